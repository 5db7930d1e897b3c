/** Splits `ip:port`; the port is 0 when it is missing. */
export function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const at = address.lastIndexOf(':')
  return at < 0 ? { host: address, port: 0 } : { host: address.slice(0, at), port: Number(address.slice(at + 1)) }
}
