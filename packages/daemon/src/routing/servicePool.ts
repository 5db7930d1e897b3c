import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { BackendServer } from './backendServer.js'
import { MAX_EJECTED_SHARE, SERVICE_TIME_MAX_AGE_MS } from './constants.js'
import { FairQueue } from './fairQueue.js'
import type { ResolvedServiceConfig, ServiceRequest } from './types.js'

/** Interval at which a queue is looked at again when no request ends, such as after an ejection. */
const QUEUE_CHECK_MS = 100

export interface ServicePoolOptions {
  readonly clock: Clock
  readonly config: () => ResolvedServiceConfig
  /** Slots of a server that this daemon may use now. */
  readonly slotLimit: (server: BackendServer) => number
  readonly random: () => number
}

interface Waiter {
  readonly team: string
  readonly tried: ReadonlySet<string>
  readonly settle: (result: Result<BackendServer, Failure>) => void
}

/** Queue and choice of backend server of one service in one shard. */
export class ServicePool {
  private servers: readonly BackendServer[] = []
  private readonly queue = FairQueue.create<Waiter>()
  private lastSampleAt = -Infinity
  private isWatching = false

  private constructor (private readonly options: ServicePoolOptions) {}

  static create (options: ServicePoolOptions): ServicePool {
    return new ServicePool(options)
  }

  get queued (): number {
    return this.queue.length
  }

  get usableServers (): number {
    return this.usable().length
  }

  get freeSlots (): number {
    return this.usable().reduce((sum, server) => sum + this.free(server), 0)
  }

  setServers (servers: readonly BackendServer[]): void {
    this.servers = servers
    if (this.usable().length === 0) this.failQueued(noServer())
    this.grant()
  }

  failQueued (failure: Failure): void {
    for (const waiter of this.queue.clear()) waiter.settle(Err(failure))
  }

  /** Takes a slot, waiting for one in the queue. Every failure means that nothing was run. */
  async acquire (req: ServiceRequest, tried: ReadonlySet<string>, giveUp: AbortSignal): Promise<Result<BackendServer, Failure>> {
    if (giveUp.aborted) return Err(gaveUp(giveUp))
    if (this.usable().length === 0) return Err(noServer())
    const server = this.queue.length === 0 ? this.choose(tried) : undefined
    if (server !== undefined) {
      server.take()
      return Ok(server)
    }
    const refusal = this.refusal(req)
    return refusal === undefined ? await this.wait(req, tried, giveUp) : Err(refusal)
  }

  /** Records the end of a request, and passes its slot on once that is free. */
  record (server: BackendServer, end: 'answered' | 'failed' | 'aborted', ms: number): void {
    const wasEjected = server.health.isEjected
    server.health.record(end, ms, this.medianMs())
    if (end === 'answered') this.lastSampleAt = this.options.clock.now()
    if (!wasEjected && server.health.isEjected) this.grant()
  }

  /** Gives free slots to queued requests, the teams in turn. */
  grant (): void {
    while (this.queue.length > 0) {
      if (this.choose(new Set()) === undefined) return
      const waiter = this.queue.shift()!
      const server = this.choose(waiter.tried)!
      server.take()
      waiter.settle(Ok(server))
    }
  }

  private async wait (req: ServiceRequest, tried: ReadonlySet<string>, giveUp: AbortSignal): Promise<Result<BackendServer, Failure>> {
    const { clock, config } = this.options
    const { maxWaitMs } = config()
    const settled = new AbortController()
    const result = await new Promise<Result<BackendServer, Failure>>(resolve => {
      const waiter: Waiter = { team: req.team, tried, settle: resolve }
      const leave = (failure: Failure) => { if (this.queue.remove(req.team, waiter)) resolve(Err(failure)) }
      this.queue.push(req.team, waiter)
      this.watch()
      giveUp.addEventListener('abort', () => leave(gaveUp(giveUp)), { once: true, signal: settled.signal })
      clock.sleep(maxWaitMs, settled.signal).then(() => leave(Failure.notRun('queue-wait-exceeded', `No slot became free within ${maxWaitMs} ms`)))
    })
    settled.abort()
    return result
  }

  private refusal (req: ServiceRequest): Failure | undefined {
    const { clock, config } = this.options
    const { queueLength, maxWaitMs } = config()
    const medianMs = this.medianMs()
    const slots = this.usable().reduce((sum, server) => sum + this.allowed(server), 0)
    if (medianMs !== undefined && slots > 0 && clock.now() - this.lastSampleAt <= SERVICE_TIME_MAX_AGE_MS) {
      const waitMs = (this.queue.aheadOf(req.team) + 1) * medianMs / slots
      const remainingMs = req.deadline - clock.now()
      if (waitMs + medianMs > remainingMs) {
        return Failure.notRun('deadline-too-short', `The answer would take about ${Math.ceil(waitMs + medianMs)} ms, ${Math.floor(remainingMs)} ms are left`)
      }
      if (waitMs > maxWaitMs) return Failure.notRun('queue-wait-exceeded', `The wait would be about ${Math.ceil(waitMs)} ms, at most ${maxWaitMs} ms are allowed`)
    }
    if (this.queue.length < queueLength) return undefined
    const evicted = this.queue.evictFor(req.team)
    if (evicted === undefined) return queueFull(queueLength)
    evicted.settle(Err(queueFull(queueLength)))
    return undefined
  }

  /** Returns the server with the least load for its speed, among those with a free slot. */
  private choose (tried: ReadonlySet<string>): BackendServer | undefined {
    const free = this.usable().filter(server => this.free(server) > 0)
    const untried = free.filter(server => !tried.has(server.endpoint.address))
    const medianMs = this.medianMs() ?? 1
    let best: BackendServer | undefined
    let bestLoad = Infinity
    let ties = 0
    for (const server of untried.length > 0 ? untried : free) {
      const load = (server.inFlight + 1) * server.health.cost(medianMs)
      if (load > bestLoad) continue
      ties = load === bestLoad ? ties + 1 : 1
      if (this.options.random() * ties < 1) best = server
      bestLoad = load
    }
    return best
  }

  /** Servers that may get new requests: all but the ejected, or all when most are ejected. */
  private usable (): readonly BackendServer[] {
    const open = this.servers.filter(server => server.takesNewRequests)
    return this.ignoresHealth() ? open : open.filter(server => !server.health.isEjected)
  }

  private ignoresHealth (): boolean {
    const open = this.servers.filter(server => server.takesNewRequests)
    const ejected = open.filter(server => server.health.isEjected).length
    return ejected > open.length * MAX_EJECTED_SHARE
  }

  private allowed (server: BackendServer): number {
    const limit = this.options.slotLimit(server)
    return this.ignoresHealth() ? limit : Math.min(limit, server.health.allowedSlots)
  }

  private free (server: BackendServer): number {
    return Math.max(0, this.allowed(server) - server.inFlight)
  }

  private medianMs (): number | undefined {
    const known = this.servers.flatMap(({ health }) => health.averageMs ?? []).sort((a, b) => a - b)
    return known[known.length >> 1]
  }

  /** Slots also become free without the end of a request: an ejection or a reservation ends. */
  private watch () {
    if (this.isWatching) return
    this.isWatching = true
    this.checkWhileQueued()
  }

  private async checkWhileQueued () {
    while (this.queue.length > 0) {
      await this.options.clock.sleep(QUEUE_CHECK_MS)
      this.grant()
    }
    this.isWatching = false
  }
}

function noServer (): Failure {
  return Failure.notRun('no-backend-server', 'The shard has no backend server for this service')
}

function queueFull (length: number): Failure {
  return Failure.notRun('queue-full', `${length} requests are waiting already`)
}

function gaveUp (signal: AbortSignal): Failure {
  const { code, reason } = signal.reason as Failure
  return Failure.notRun(code, reason)
}
