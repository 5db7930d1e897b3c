import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { parseAddress } from '@citronnotch/base/utils'

/** Fault that a proxy injects into its connections. */
export type LinkFault = 'none' | 'delay' | 'drop-all' | 'drop-responses' | 'reset'
  /** What is sent arrives when the fault is over, as over a link that was cut. */
  | 'hold'

const LINK_DELAY_MS = 300
const HOLD_POLL_MS = 20

/** Loopback TCP proxy in front of one address; a fault applies to open and new connections. */
export class TcpProxy {
  fault: LinkFault = 'none'
  /** Faults for connections from one address, in place of `fault`. */
  readonly sourceFaults = new Map<string, LinkFault>()
  private readonly sockets = new Set<Socket>()

  private isClosed = false

  private constructor (private readonly server: Server, readonly address: string) {}

  /** Listens on a free port unless one is given. */
  static async create (target: string, ownPort = 0): Promise<TcpProxy> {
    const { host, port } = parseAddress(target)
    const server = createServer()
    await new Promise<void>(resolve => server.listen(ownPort, '127.0.0.1', () => resolve()))
    const bound = server.address()
    const proxy = new TcpProxy(server, `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`)
    server.on('connection', client => proxy.relay(client, connect(port, host)))
    return proxy
  }

  /** Resets all open connections and refuses new ones until `accept`. */
  refuse (): void {
    if (this.server.listening) this.server.close()
    this.reset()
  }

  accept (): void {
    if (!this.server.listening && !this.isClosed) this.server.listen(parseAddress(this.address).port, '127.0.0.1')
  }

  /** Resets all open connections. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  close (): void {
    this.isClosed = true
    if (this.server.listening) this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private relay (client: Socket, target: Socket) {
    const source = client.remoteAddress ?? ''
    if (this.faultOf(source) === 'reset') {
      client.resetAndDestroy()
      target.destroy()
      return
    }
    this.forward(source, client, target, ['drop-all'])
    this.forward(source, target, client, ['drop-all', 'drop-responses'])
  }

  private faultOf (source: string): LinkFault {
    return this.sourceFaults.get(source) ?? this.fault
  }

  private forward (source: string, from: Socket, to: Socket, droppingFaults: readonly LinkFault[]) {
    this.sockets.add(from)
    let isDropping = false
    const held: Buffer[] = []
    let isHolding = false
    const release = () => {
      if (this.faultOf(source) === 'hold') return setTimeout(release, HOLD_POLL_MS)
      isHolding = false
      if (to.destroyed) return
      for (const data of held.splice(0)) to.write(data)
      if (from.destroyed) to.end()
    }
    from.on('data', data => {
      // After dropped data, this direction stays silent until the connection closes.
      isDropping ||= droppingFaults.includes(this.faultOf(source))
      if (isDropping) return
      if (this.faultOf(source) === 'hold' && !isHolding) {
        isHolding = true
        release()
      }
      if (isHolding) held.push(data)
      else if (this.faultOf(source) === 'delay') setTimeout(() => { if (!to.destroyed) to.write(data) }, LINK_DELAY_MS)
      else to.write(data)
    })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.sockets.delete(from)
      if (!isHolding) to.destroy()
    })
  }
}
