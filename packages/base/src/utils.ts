/** Splits `ip:port`; the port is 0 if it is missing. */
export function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const separator = address.lastIndexOf(':')
  return separator < 0 ? { host: address, port: 0 } : { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}
