import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { Log } from '@citronnotch/base/logger'
import { listenAt } from '@citronnotch/base/utils'

/** Connections from other daemons, of which each has one: more than any cell has daemons, and 10 MB if all of them are idle. */
export const MAX_PEER_CONNECTIONS = 256
/** Interval between log lines on closed connections, in milliseconds. */
const LOG_INTERVAL_MS = 1_000

interface Connection {
  readonly socket: Socket
  /** Bytes received when that was looked at last, and when they had changed. */
  bytesRead: number
  changedAt: number
}

export interface PeerListenerOptions {
  /** `ip:port` */
  readonly address: string
  readonly maxConnections: number
  readonly onConnection: (socket: Socket) => void
  readonly now: () => number
  readonly log: Log
}

/**
 * Listener for other daemons. Any machine of the network can connect to it: beyond the limit, the connection from which
 * nothing has come for the longest time is closed for a new one, and daemons open theirs again when they need it.
 */
export class PeerListener {
  private readonly connections = new Set<Connection>()
  private closed = 0
  private loggedAt = -Infinity

  private constructor (private readonly server: Server, private readonly options: PeerListenerOptions) {
    server.on('connection', socket => this.accept(socket))
  }

  /** Rejects when the address can't be bound. */
  static async create (options: PeerListenerOptions): Promise<PeerListener> {
    const server = createServer({ noDelay: true })
    const listener = new PeerListener(server, options)
    await listenAt(server, options.address)
    return listener
  }

  close (): void {
    this.server.close()
    for (const { socket } of this.connections) socket.destroy()
  }

  private accept (socket: Socket) {
    if (this.connections.size >= this.options.maxConnections) this.closeQuietest()
    const connection = { socket, bytesRead: 0, changedAt: this.options.now() }
    this.connections.add(connection)
    socket.once('close', () => this.connections.delete(connection))
    this.options.onConnection(socket)
  }

  private closeQuietest () {
    const now = this.options.now()
    let quietest: Connection | undefined
    for (const connection of this.connections) {
      if (connection.socket.bytesRead !== connection.bytesRead) {
        connection.bytesRead = connection.socket.bytesRead
        connection.changedAt = now
      }
      if (quietest === undefined || connection.changedAt < quietest.changedAt) quietest = connection
    }
    if (quietest === undefined) return
    this.connections.delete(quietest)
    quietest.socket.destroy()
    this.closed++
    if (now - this.loggedAt < LOG_INTERVAL_MS) return
    this.loggedAt = now
    this.options.log.warn('Connections of other daemons closed, as there are too many.', { closed: this.closed, connections: this.connections.size })
    this.closed = 0
  }
}
