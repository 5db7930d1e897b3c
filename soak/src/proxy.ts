import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { parseAddress } from '@citronnotch/base/utils'

/** Fault that a proxy injects into its connections. */
export type LinkFault = 'none' | 'delay' | 'drop-all' | 'drop-responses' | 'reset'

const LINK_DELAY_MS = 300

/** Loopback TCP proxy in front of one address; a fault applies to open and new connections. */
export class TcpProxy {
  fault: LinkFault = 'none'
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server, readonly address: string) {}

  static async create (target: string): Promise<TcpProxy> {
    const { host, port } = parseAddress(target)
    const server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
    const bound = server.address()
    const proxy = new TcpProxy(server, `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`)
    server.on('connection', client => proxy.relay(client, connect(port, host)))
    return proxy
  }

  /** Resets all open connections. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private relay (client: Socket, target: Socket) {
    if (this.fault === 'reset') {
      client.resetAndDestroy()
      target.destroy()
      return
    }
    this.forward(client, target, ['drop-all'])
    this.forward(target, client, ['drop-all', 'drop-responses'])
  }

  private forward (from: Socket, to: Socket, droppingFaults: readonly LinkFault[]) {
    this.sockets.add(from)
    let isDropping = false
    from.on('data', data => {
      // After dropped data, this direction stays silent until the connection closes.
      isDropping ||= droppingFaults.includes(this.fault)
      if (isDropping) return
      if (this.fault === 'delay') setTimeout(() => { if (!to.destroyed) to.write(data) }, LINK_DELAY_MS)
      else to.write(data)
    })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
  }
}
