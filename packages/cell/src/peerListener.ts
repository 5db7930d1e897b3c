import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Log } from '@citronnotch/base/logger'
import { listenAt } from '@citronnotch/base/utils'
import { PeerConnection } from './peerConnection.js'
import { UnfinishedCalls } from './unfinishedCalls.js'

/** Connections from other daemons, of which each has one: more than any cell has daemons, and 10 MB if all of them are idle. */
export const MAX_PEER_CONNECTIONS = 256
/** Memory for calls that other daemons have begun and not ended, in bytes: a body of the largest size from each of a hundred daemons at once. */
export const MAX_UNFINISHED_BYTES = 32 * 1024 * 1024
/** Interval between log lines on closed connections, in milliseconds. */
const LOG_INTERVAL_MS = 1_000

interface Connection {
  readonly socket: Socket
  readonly calls: UnfinishedCalls
  /** Bytes received when that was looked at last, and when they had changed. */
  bytesRead: number
  changedAt: number
}

/** Why a connection is closed: too many of them, too much held by calls that have not ended, or sent what no daemon sends. */
type CloseReason = 'connections' | 'unfinished' | 'foreign'
const noneClosed = (): Record<CloseReason, number> => ({ connections: 0, unfinished: 0, foreign: 0 })

export interface PeerListenerOptions {
  /** `ip:port` */
  readonly address: string
  readonly maxConnections: number
  /** Bound of what all connections hold of calls that have not ended, in bytes. */
  readonly maxUnfinishedBytes: number
  readonly onConnection: (connection: Duplex) => void
  readonly now: () => number
  readonly log: Log
}

/**
 * Listener for other daemons. Any machine of the network can connect to it: beyond the limit, the connection from which
 * nothing has come for the longest time is closed for a new one, and daemons open theirs again when they need it. The same
 * holds for what calls that have not ended take, of which the connection is closed that holds the most for the longest time.
 */
export class PeerListener {
  private readonly connections = new Set<Connection>()
  private unfinishedBytes = 0
  private closed = noneClosed()
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
    const connection = { socket, calls: UnfinishedCalls.create(), bytesRead: 0, changedAt: this.options.now() }
    this.connections.add(connection)
    socket.once('close', () => this.forget(connection))
    this.options.onConnection(PeerConnection.create(socket, {
      onReceived: chunk => this.receive(connection, chunk),
      onSent: chunk => this.account(connection, () => connection.calls.send(chunk))
    }))
  }

  private receive (connection: Connection, chunk: Buffer): boolean {
    this.account(connection, () => connection.calls.receive(chunk, this.options.now()))
    if (connection.calls.isForeign) this.drop(connection, 'foreign')
    while (this.unfinishedBytes > this.options.maxUnfinishedBytes && this.closeLargest());
    return this.connections.has(connection)
  }

  private account (connection: Connection, pass: () => void) {
    if (!this.connections.has(connection)) return
    const before = connection.calls.heldBytes
    pass()
    this.unfinishedBytes += connection.calls.heldBytes - before
  }

  private forget (connection: Connection) {
    if (this.connections.delete(connection)) this.unfinishedBytes -= connection.calls.heldBytes
  }

  private closeLargest (): boolean {
    const now = this.options.now()
    let largest: Connection | undefined
    let largestWeight = -1
    for (const connection of this.connections) {
      const { heldBytes, oldestStartedAt } = connection.calls
      const weight = oldestStartedAt === undefined ? -1 : heldBytes * (1 + now - oldestStartedAt)
      if (weight <= largestWeight) continue
      largest = connection
      largestWeight = weight
    }
    if (largest !== undefined) this.drop(largest, 'unfinished')
    return largest !== undefined
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
    if (quietest !== undefined) this.drop(quietest, 'connections')
  }

  private drop (connection: Connection, reason: CloseReason) {
    this.forget(connection)
    connection.socket.destroy()
    this.closed[reason]++
    const now = this.options.now()
    if (now - this.loggedAt < LOG_INTERVAL_MS) return
    this.loggedAt = now
    const { connections, unfinished, foreign } = this.closed
    this.options.log.warn('Connections of other daemons closed.', { tooMany: connections, unfinished, foreign, connections: this.connections.size, unfinishedBytes: this.unfinishedBytes })
    this.closed = noneClosed()
  }
}
