import { Readable } from 'node:stream'
import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { Member } from '../membership/types.js'
import type { Metrics } from '../metrics.js'
import type { PeerClients } from '../peers/index.js'
import type { Timeline } from '../timeline/index.js'
import { collectBody, countedBody } from './bodies.js'
import { ConcurrencyLimits } from './concurrencyLimits.js'
import type { ConcurrencyLimitsOptions } from './concurrencyLimits.js'
import { MAX_ATTEMPTS, MAX_STORED_RESPONSE_BYTES, RELEASE_WAIT_MS } from './constants.js'
import { DrainCounter } from './drainCounter.js'
import type { IdempotencyStore, Outcome, Ticket } from './idempotencyStore.js'
import { isIdempotent } from './isIdempotent.js'
import { RetryBudget } from './retryBudget.js'
import type { RetryBudgetOptions } from './retryBudget.js'
import { ShardChoice } from './shardChoice.js'
import type { BackendPool, OwnedRoom, RequestRouter, ResolvedServiceConfig, ServiceRequest, ServiceResponse } from './types.js'

export interface RouterOptions {
  readonly self: Member
  readonly clock: Clock
  readonly timeline: Timeline
  readonly metrics: Metrics
  readonly serviceConfig: (service: string) => ResolvedServiceConfig
  /** Room of services in all shards, from gossip and from the local pool. */
  readonly roomView: () => readonly OwnedRoom[]
  readonly pool: Pick<BackendPool, 'forward'>
  readonly clients: Pick<PeerClients, 'route'>
  readonly idempotency: Pick<IdempotencyStore, 'begin' | 'finish' | 'release' | 'drained'>
  readonly limits?: ConcurrencyLimitsOptions
  readonly retries?: RetryBudgetOptions
  /**
   * Random numbers from 0 to 1, for the choice of shard.
   * @default Math.random
   */
  readonly random?: () => number
}

type Response = Result<ServiceResponse, Failure>

/** Refusals for lack of room: the shard counts as full for a short time. */
const FULL_CODES = new Set(['queue-full', 'queue-wait-exceeded', 'deadline-too-short', 'no-backend-server'])
/** Refusals that another shard would repeat. */
const FINAL_CODES = new Set(['deadline-exceeded', 'caller-gone', 'invalid-request', 'invalid-frame', 'body-too-large'])
/** Failures of one server or connection, after which the same shard may have a better one. */
const SAME_SHARD_CODES = new Set(['backend-lost', 'backend-unreachable', 'owner-lost', 'owner-unreachable', 'slot-withdrawn'])

/** Takes callers' requests to the owners of shards. */
export class Router implements RequestRouter {
  private readonly running = DrainCounter.create()
  private readonly limits: ConcurrencyLimits
  private readonly budget: RetryBudget
  private readonly shards: ShardChoice
  private readonly remoteBytes = new Map<string, number>()

  private constructor (private readonly options: RouterOptions) {
    this.limits = ConcurrencyLimits.create(options.limits)
    this.budget = RetryBudget.create(options.clock, options.retries)
    this.shards = ShardChoice.create({ ...options, random: options.random ?? Math.random })
  }

  static create (options: RouterOptions): Router {
    return new Router(options)
  }

  async handle (req: ServiceRequest): Promise<Response> {
    const { metrics, clock } = this.options
    const tags = { service: req.service, team: req.team }
    const admitted = this.limits.enter(req.team, req.caller)
    if (admitted.err) return this.refused(req, admitted.val)
    const leave = admitted.val
    const startedAt = clock.now()
    this.running.enter()
    metrics.count('routing.requests', 1, tags)
    const isKeyed = req.idempotencyKey !== undefined && !this.isIdempotent(req)
    const result = await (isKeyed ? this.handleOnce(req) : this.route(req))
    const finish = () => {
      leave()
      this.running.leave()
    }
    if (result.err) {
      finish()
      return this.refused(req, result.val)
    }
    metrics.timing('routing.head_ms', clock.now() - startedAt, tags)
    if (result.val.body.destroyed) finish()
    else result.val.body.once('close', finish)
    return result
  }

  async drained (): Promise<void> {
    await this.running.drained()
    await this.options.idempotency.drained()
  }

  /** Bytes of requests and responses that crossed a region border, by team. */
  crossRegionBytes (): ReadonlyMap<string, number> {
    return this.remoteBytes
  }

  /** Forwards a request until it succeeds, its outcome is unknown, or no retry is allowed. */
  private async route (req: ServiceRequest): Promise<Response> {
    const { clock } = this.options
    const excluded = new Set<string>()
    let unknown: Failure | undefined
    let last: Failure | undefined
    this.budget.addAttempt()
    for (let attempt = 1; ; attempt++) {
      if (clock.now() >= req.deadline) return this.failed(unknown, Failure.notRun('deadline-exceeded', 'The deadline has passed'))
      if (req.signal.aborted) return this.failed(unknown, Failure.notRun('caller-gone', 'The caller has gone away'))
      const room = this.shards.choose(req.service, excluded)
      if (room === undefined) return this.failed(unknown, last ?? Failure.notRun('no-backend-server', `No backend server of service "${req.service}" is known`))
      const result = await this.send(room, req)
      if (result.ok) return result
      last = result.val
      if (last.verdict !== 'not-run') unknown = last
      if (FULL_CODES.has(last.code)) this.shards.refused(room)
      const mayRetry = last.verdict === 'not-run' || (last.verdict === 'may-have-run' && this.isIdempotent(req))
      if (!mayRetry || FINAL_CODES.has(last.code) || attempt >= MAX_ATTEMPTS || !this.budget.tryRetry()) return this.failed(unknown, last)
      this.excludeAfter(room, last, excluded, req.service)
      this.options.metrics.count('routing.retries', 1, { service: req.service, code: last.code })
      this.options.timeline.record('request-retried', last.reason, { requestId: req.requestId, shardId: room.shardId, service: req.service, team: req.team })
    }
  }

  private async send (room: OwnedRoom, req: ServiceRequest): Promise<Response> {
    const { pool, clients, self } = this.options
    const isRemote = this.shards.isRemote(room)
    const ended = this.shards.started(room)
    if (isRemote) this.countRemote(req.team, req.body.length)
    const result = room.local
      ? await pool.forward(room.shardId, req)
      : await clients.route(room.owner.peerAddress, room.shardId, req, { entryRegion: self.region, idempotent: this.isIdempotent(req) })
    if (result.err) {
      ended()
      return result
    }
    const body = isRemote ? countedBody(result.val.body, bytes => this.countRemote(req.team, bytes)) : result.val.body
    if (body.destroyed) ended()
    else body.once('close', ended)
    return Ok({ ...result.val, body })
  }

  /** Forwards a request with an idempotency key at most once, and keeps its outcome for repeats. */
  private async handleOnce (req: ServiceRequest): Promise<Response> {
    const { idempotency, clock } = this.options
    const begun = await idempotency.begin(req)
    if (begun.err) return begun
    if (begun.val.kind === 'finished') return repeated(begun.val.outcome)
    const { ticket } = begun.val
    // A caller that has gone away may ask for the outcome with the same key, so the request runs on.
    const result = await this.route({ ...req, signal: new AbortController().signal })
    if (result.ok) return await this.record(ticket, result.val)
    if (result.val.verdict === 'not-run') {
      const settled = new AbortController()
      const released = idempotency.release(ticket).finally(() => settled.abort())
      await Promise.race([released, clock.sleep(RELEASE_WAIT_MS, settled.signal)])
    } else {
      idempotency.finish(ticket, { verdict: 'may-have-run', code: result.val.code, reason: result.val.reason })
    }
    return result
  }

  private async record (ticket: Ticket, res: ServiceResponse): Promise<Response> {
    const { idempotency } = this.options
    const { status, headers, workerId } = res
    const collected = await collectBody(res.body, MAX_STORED_RESPONSE_BYTES)
    if (collected.kind === 'failed') {
      const failure = truncated(collected.error)
      idempotency.finish(ticket, { verdict: 'may-have-run', code: failure.code, reason: failure.reason })
      return Err(failure)
    }
    if (collected.kind === 'complete') {
      idempotency.finish(ticket, { verdict: 'ran', status, headers, workerId, body: collected.data.toString('base64') })
      return Ok({ ...res, body: Readable.from([collected.data], { objectMode: false }) })
    }
    const { body } = collected
    body.once('close', () => {
      const outcome: Outcome = body.readableEnded
        ? { verdict: 'ran', status, headers, workerId }
        : { verdict: 'may-have-run', code: 'response-truncated', reason: 'The response was cut off' }
      idempotency.finish(ticket, outcome)
    })
    return Ok({ ...res, body })
  }

  private excludeAfter ({ shardId }: OwnedRoom, { code }: Failure, excluded: Set<string>, service: string) {
    excluded.add(shardId)
    // When there is no other shard, another server of the same one may still answer.
    if (SAME_SHARD_CODES.has(code) && this.shards.choose(service, excluded) === undefined) excluded.delete(shardId)
  }

  /** A refusal after an attempt with an unknown outcome doesn't make that outcome known. */
  private failed (unknown: Failure | undefined, last: Failure): Response {
    return Err(unknown === undefined || last.verdict !== 'not-run' ? last : Failure.create({ ...unknown.toRefusal(), code: unknown.code, reason: `${unknown.reason}; then: ${last.reason}` }))
  }

  private refused (req: ServiceRequest, failure: Failure): Response {
    const { metrics, timeline } = this.options
    const { requestId, service, team } = req
    metrics.count('routing.failed', 1, { service, team, code: failure.code, verdict: failure.verdict })
    timeline.record('request-refused', `${failure.reason} (${failure.verdict})`, { requestId, service, team })
    return Err(failure)
  }

  private countRemote (team: string, bytes: number) {
    this.remoteBytes.set(team, (this.remoteBytes.get(team) ?? 0) + bytes)
    this.options.metrics.count('routing.cross_region_bytes', bytes, { team })
  }

  private isIdempotent (req: ServiceRequest): boolean {
    return isIdempotent(req.method, this.options.serviceConfig(req.service))
  }
}

function repeated (outcome: Outcome): Response {
  if (outcome.verdict === 'may-have-run') return Err(Failure.mayHaveRun(outcome.code, `An earlier attempt with this key ended with an unknown outcome: ${outcome.reason}`))
  const { status, headers, workerId, body } = outcome
  if (body === undefined) {
    return Err(Failure.create({
      code: 'response-not-stored',
      verdict: 'ran',
      reason: `The request ran and was answered with status ${status}; its response is larger than ${MAX_STORED_RESPONSE_BYTES} bytes and was not kept`
    }))
  }
  return Ok({ status, headers, workerId, body: Readable.from([Buffer.from(body, 'base64')], { objectMode: false }) })
}

function truncated (error: unknown): Failure {
  return error instanceof Failure ? error : Failure.mayHaveRun('response-truncated', 'The response was cut off')
}
