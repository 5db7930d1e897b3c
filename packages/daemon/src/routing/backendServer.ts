import type { Clock } from '../clock.js'
import { BackendConnection } from './backendConnection.js'
import type { Exchange, SendOptions } from './backendConnection.js'
import { BackendHealth } from './backendHealth.js'
import type { ServiceEndpoint, ServiceRequest } from './types.js'

/** Idle time after which a connection isn't used for a request that can't be repeated, since the server may be closing it. */
const SAFE_IDLE_MS = 1_000

interface IdleConnection { readonly connection: BackendConnection, readonly since: number }

/** One backend server: its slots in use, its connections and its health. A slot has at most one connection. */
export class BackendServer {
  health: BackendHealth
  /** Set when the endpoint is no longer listed; what is in flight finishes. */
  isGone = false
  private used = 0
  private idle: IdleConnection[] = []

  private constructor (private current: ServiceEndpoint, private readonly clock: Clock) {
    this.health = BackendHealth.create(clock)
  }

  static create (endpoint: ServiceEndpoint, clock: Clock): BackendServer {
    return new BackendServer(endpoint, clock)
  }

  get endpoint (): ServiceEndpoint {
    return this.current
  }

  /** Slots in use, including those whose connection is still being closed. */
  get inFlight (): number {
    return this.used
  }

  get takesNewRequests (): boolean {
    return !this.isGone && !this.current.leaving
  }

  update (endpoint: ServiceEndpoint): void {
    if (endpoint.taskId !== this.current.taskId) this.health = BackendHealth.create(this.clock)
    this.current = endpoint
    this.isGone = false
  }

  take (): void {
    this.used++
  }

  /** Frees a slot that was taken but not used. */
  giveBack (): void {
    this.used--
  }

  /** Sends a request in a slot taken before. `released` resolves when the slot is free again. */
  async send (req: ServiceRequest, isIdempotent: boolean, options: SendOptions): Promise<Exchange & { readonly released: Promise<void> }> {
    const connection = await this.connection(isIdempotent)
    const { response, ended } = connection.send(req, options)
    const released = ended.then(async ({ complete }) => {
      if (complete && connection.isReusable) this.keep(connection)
      else await connection.close()
      this.used--
    })
    return { response, ended, released }
  }

  /** Closes idle connections so that at most `limit` connections are open. */
  trim (limit: number): void {
    const surplus = this.used + this.idle.length - Math.max(0, limit)
    for (const { connection } of this.idle.splice(0, Math.max(0, surplus))) connection.close()
  }

  closeIdle (): void {
    this.trim(0)
  }

  private async connection (isIdempotent: boolean): Promise<BackendConnection> {
    const last = this.idle.pop()
    if (last === undefined) return BackendConnection.create(this.current.address, this.current.workerId, this.clock)
    if (last.connection.isReusable && (isIdempotent || this.clock.now() - last.since <= SAFE_IDLE_MS)) return last.connection
    await last.connection.close()
    return BackendConnection.create(this.current.address, this.current.workerId, this.clock)
  }

  private keep (connection: BackendConnection) {
    this.idle.push({ connection, since: this.clock.now() })
    connection.whenClosed().then(() => {
      this.idle = this.idle.filter(entry => entry.connection !== connection)
    })
  }
}
