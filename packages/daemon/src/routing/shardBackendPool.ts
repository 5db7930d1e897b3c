import { Err } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { Log } from '../logger.js'
import type { Authority } from '../membership/types.js'
import type { Metrics } from '../metrics.js'
import type { Timeline } from '../timeline/index.js'
import { BackendServer } from './backendServer.js'
import { MAX_ATTEMPTS } from './constants.js'
import { DrainCounter } from './drainCounter.js'
import { isIdempotent } from './isIdempotent.js'
import { RetryBudget } from './retryBudget.js'
import { ServicePool } from './servicePool.js'
import type { BackendPool, ResolvedServiceConfig, ServiceEndpoint, ServiceRequest, ServiceResponse, ServiceRoom } from './types.js'

export interface ShardBackendPoolOptions {
  readonly clock: Clock
  readonly log: Log
  readonly timeline: Timeline
  readonly metrics: Metrics
  readonly serviceConfig: (service: string) => ResolvedServiceConfig
  readonly authority: (shardId: string) => Authority | undefined
  /**
   * Random numbers from 0 to 1, for ties between backend servers.
   * @default Math.random
   */
  readonly random?: () => number
}

type Reserved = Parameters<BackendPool['setReserved']>[1]

interface Shard {
  readonly servers: Map<string, BackendServer>
  readonly services: Map<string, ServicePool>
  reserved: Reserved
}

const NOTHING_RESERVED: Reserved = { byAddress: new Map(), halveAll: false }
/** Failures before the first byte that another server of the shard may not have. */
const TRY_ANOTHER = new Set(['backend-unreachable', 'slot-withdrawn'])

/** Backend servers of the shards that this daemon owns. */
export class ShardBackendPool implements BackendPool {
  private readonly shards = new Map<string, Shard>()
  private readonly running = DrainCounter.create()
  private readonly budget: RetryBudget

  private constructor (private readonly options: ShardBackendPoolOptions) {
    this.budget = RetryBudget.create(options.clock)
  }

  static create (options: ShardBackendPoolOptions): ShardBackendPool {
    return new ShardBackendPool(options)
  }

  setEndpoints (shardId: string, endpoints: readonly ServiceEndpoint[]): void {
    const shard = this.shard(shardId)
    const listed = new Set(endpoints.map(({ address }) => address))
    for (const endpoint of endpoints) {
      const server = shard.servers.get(endpoint.address)
      if (server === undefined) shard.servers.set(endpoint.address, BackendServer.create(endpoint, this.options.clock))
      else server.update(endpoint)
    }
    for (const [address, server] of shard.servers) {
      if (listed.has(address)) continue
      server.isGone = true
      server.closeIdle()
      if (server.inFlight === 0) shard.servers.delete(address)
    }
    this.assign(shardId, shard)
  }

  dropShard (shardId: string): void {
    const shard = this.shards.get(shardId)
    if (shard === undefined) return
    for (const pool of shard.services.values()) pool.failQueued(notOwned(shardId))
    this.setEndpoints(shardId, [])
    shard.reserved = NOTHING_RESERVED
  }

  inFlight (shardId: string): ReadonlyMap<string, number> {
    const servers = [...this.shards.get(shardId)?.servers ?? []]
    return new Map(servers.flatMap(([address, { inFlight }]) => inFlight > 0 ? [[address, inFlight]] : []))
  }

  setReserved (shardId: string, reserved: Reserved): void {
    const shard = this.shard(shardId)
    shard.reserved = reserved
    for (const server of shard.servers.values()) server.trim(this.slotLimit(shardId, shard, server))
    for (const pool of shard.services.values()) pool.grant()
  }

  async forward (shardId: string, req: ServiceRequest): Promise<Result<ServiceResponse, Failure>> {
    const { timeline, metrics } = this.options
    const startedAt = this.options.clock.now()
    const giveUp = this.giveUpOf(req)
    this.running.enter()
    this.budget.addAttempt()
    const { result, ended } = await this.attempt(shardId, req, giveUp.signal)
    ended.then(() => {
      giveUp.stop()
      this.running.leave()
    })
    if (result.err) {
      const { code, verdict, reason } = result.val
      metrics.count('routing.owner.failed', 1, { service: req.service, code, verdict })
      timeline.record('request-refused', `${reason} (${verdict})`, { requestId: req.requestId, shardId, service: req.service, team: req.team })
    } else {
      metrics.timing('routing.owner.head_ms', this.options.clock.now() - startedAt, { service: req.service })
    }
    return result
  }

  room (): readonly ServiceRoom[] {
    return [...this.shards].flatMap(([shardId, { services }]) => this.options.authority(shardId) === undefined
      ? []
      : [...services].flatMap(([service, pool]) => pool.usableServers === 0
          ? []
          : [{ shardId, service, backendServers: pool.usableServers, freeSlots: pool.freeSlots, queuedRequests: pool.queued }]))
  }

  drained (): Promise<void> {
    return this.running.drained()
  }

  /** Closes idle connections; requests in flight finish. */
  close (): void {
    for (const { servers } of this.shards.values()) for (const server of servers.values()) server.closeIdle()
  }

  /** Tries servers until one accepts the connection. */
  private async attempt (shardId: string, req: ServiceRequest, giveUp: AbortSignal): Promise<{ result: Result<ServiceResponse, Failure>, ended: Promise<void> }> {
    const tried = new Set<string>()
    for (;;) {
      const { result, ended, address } = await this.attemptOnce(shardId, req, tried, giveUp)
      if (result.ok || address === undefined || result.val.verdict !== 'not-run' || !TRY_ANOTHER.has(result.val.code)) return { result, ended }
      tried.add(address)
      if (tried.size >= MAX_ATTEMPTS || !this.budget.tryRetry()) return { result, ended }
      await ended
    }
  }

  private async attemptOnce (shardId: string, req: ServiceRequest, tried: ReadonlySet<string>, giveUp: AbortSignal) {
    const { clock, authority, serviceConfig } = this.options
    const done = Promise.resolve()
    const shard = this.shards.get(shardId)
    if (shard === undefined || authority(shardId) === undefined) return { result: Err(notOwned(shardId)), ended: done }
    const pool = shard.services.get(req.service)
    if (pool === undefined) return { result: Err(Failure.notRun('no-backend-server', `The shard has no backend server for service "${req.service}"`)), ended: done }
    const acquired = await pool.acquire(req, tried, giveUp)
    if (acquired.err) return { result: acquired, ended: done }

    const server = acquired.val
    const mayWrite = () => this.refusalBeforeWrite(shardId, shard, server, req)
    const sentAt = clock.now()
    const { response, ended, released } = await server.send(req, isIdempotent(req.method, serviceConfig(req.service)), { mayWrite, giveUp })
    const finished = this.finish(shardId, shard, pool, server, sentAt, giveUp, { response, ended, released })
    return { result: await response, ended: finished, address: server.endpoint.address }
  }

  private async finish (
    shardId: string, shard: Shard, pool: ServicePool, server: BackendServer, sentAt: number, giveUp: AbortSignal,
    { response, ended, released }: Awaited<ReturnType<BackendServer['send']>>
  ) {
    const { clock, log } = this.options
    const { complete, written, status } = await ended
    const result = await response
    const { address } = server.endpoint
    if (complete) pool.record(server, status !== undefined && status >= 500 ? 'failed' : 'answered', clock.now() - sentAt)
    else if (giveUp.aborted) pool.record(server, 'aborted', clock.now() - sentAt)
    else if (written || (result.err && result.val.code === 'backend-unreachable')) pool.record(server, 'failed', clock.now() - sentAt)
    if (server.health.isEjected) log.debug('Backend server is ejected', { address, shardId })
    await released
    server.trim(this.slotLimit(shardId, shard, server))
    if (server.isGone && server.inFlight === 0) {
      server.closeIdle()
      if (shard.servers.get(address) === server) shard.servers.delete(address)
    }
    pool.grant()
  }

  private refusalBeforeWrite (shardId: string, shard: Shard, server: BackendServer, req: ServiceRequest): Failure | undefined {
    if (this.options.authority(shardId) === undefined) return notOwned(shardId)
    if (this.options.clock.now() >= req.deadline) return Failure.notRun('deadline-exceeded', 'The deadline passed before the request was sent')
    if (!server.takesNewRequests) return Failure.notRun('slot-withdrawn', 'The backend server is leaving')
    return server.inFlight > this.slotLimit(shardId, shard, server)
      ? Failure.notRun('slot-withdrawn', 'The slot is reserved for the former owner of the shard')
      : undefined
  }

  /** Slots of a server that this daemon may use: a detached owner and its successor share them. */
  private slotLimit (shardId: string, { reserved }: Shard, { endpoint }: BackendServer): number {
    const { slots, connections } = this.options.serviceConfig(endpoint.service)
    const share = (reserved.halveAll ? 0.5 : 1) * (this.options.authority(shardId)?.mode === 'detached' ? 0.5 : 1)
    const others = reserved.byAddress.get(endpoint.address) ?? 0
    return Math.max(0, Math.floor(Math.min(slots, connections) * share) - others)
  }

  private giveUpOf (req: ServiceRequest): { readonly signal: AbortSignal, readonly stop: () => void } {
    const { clock } = this.options
    const stopped = new AbortController()
    const giveUp = new AbortController()
    const onGone = () => giveUp.abort(Failure.mayHaveRun('caller-gone', 'The caller has gone away'))
    if (req.signal.aborted) onGone()
    req.signal.addEventListener('abort', onGone, { once: true, signal: stopped.signal })
    clock.sleep(Math.max(0, req.deadline - clock.now()), stopped.signal).then(() => {
      if (!stopped.signal.aborted) giveUp.abort(Failure.mayHaveRun('deadline-exceeded', 'The deadline passed before the answer was complete'))
    })
    return { signal: giveUp.signal, stop: () => stopped.abort() }
  }

  private shard (shardId: string): Shard {
    let shard = this.shards.get(shardId)
    if (shard === undefined) {
      shard = { servers: new Map(), services: new Map(), reserved: NOTHING_RESERVED }
      this.shards.set(shardId, shard)
    }
    return shard
  }

  private assign (shardId: string, shard: Shard) {
    const { clock, serviceConfig, random = Math.random } = this.options
    const byService = new Map<string, BackendServer[]>([...shard.services.keys()].map(service => [service, []]))
    for (const server of shard.servers.values()) {
      const { service } = server.endpoint
      byService.set(service, [...byService.get(service) ?? [], server])
    }
    for (const [service, servers] of byService) {
      let pool = shard.services.get(service)
      if (pool === undefined) {
        pool = ServicePool.create({
          clock,
          random,
          config: () => serviceConfig(service),
          slotLimit: server => this.slotLimit(shardId, shard, server)
        })
        shard.services.set(service, pool)
      }
      pool.setServers(servers)
    }
  }
}

function notOwned (shardId: string): Failure {
  return Failure.notRun('shard-not-owned', `This daemon doesn't own shard "${shardId}"`)
}
