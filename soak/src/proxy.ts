import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { parseAddress } from '@citronnotch/base/utils'

/** What a proxy does to the bytes of its connections. */
export type LinkFault = 'none' | 'delay' | 'silence' | 'lose-answers' | 'reset'

const DELAY_MS = 300

/** A loopback proxy in front of one address; faults apply to open and to new connections. */
export class Proxy {
  fault: LinkFault = 'none'
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server, readonly address: string) {}

  static async create (target: string): Promise<Proxy> {
    const { host, port } = parseAddress(target)
    const server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
    const bound = server.address()
    const proxy = new Proxy(server, `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`)
    server.on('connection', client => proxy.join(client, connect(port, host)))
    return proxy
  }

  /** Cuts all open connections. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private join (client: Socket, target: Socket) {
    if (this.fault === 'reset') {
      client.resetAndDestroy()
      target.destroy()
      return
    }
    this.pass(client, target, ['silence'])
    this.pass(target, client, ['silence', 'lose-answers'])
  }

  private pass (from: Socket, to: Socket, losses: readonly LinkFault[]) {
    this.sockets.add(from)
    let isLost = false
    from.on('data', data => {
      // A connection that has lost bytes delivers nothing further.
      isLost ||= losses.includes(this.fault)
      if (isLost) return
      if (this.fault === 'delay') setTimeout(() => { if (!to.destroyed) to.write(data) }, DELAY_MS)
      else to.write(data)
    })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
  }
}
