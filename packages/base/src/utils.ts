import { isIPv4 } from 'node:net'
import type { Server } from 'node:net'

const MAX_PORT = 65_535

/** Splits `ip:port`; the port is 0 if it is missing. */
export function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const separator = address.lastIndexOf(':')
  return separator < 0 ? { host: address, port: 0 } : { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

/** Connections that wait to be accepted before the system drops further ones, at least. */
const MIN_BACKLOG = 511

/** Has a server listen at `ip:port` to so many clients at once; rejects when the address can't be bound. */
export function listenAt (server: Server, address: string, connections = 0): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen({ ...parseAddress(address), backlog: Math.max(MIN_BACKLOG, connections) }, () => resolve())
  })
}

/** Whether the text is an IPv4 address and a port that a connection can be opened to, such as `10.1.0.13:8161`. */
export function isSocketAddress (text: string): boolean {
  const { host, port } = parseAddress(text)
  return isIPv4(host) && port >= 1 && port <= MAX_PORT && text === `${host}:${port}`
}
