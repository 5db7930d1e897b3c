import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { CallWindow } from './callWindow.js'
import type { CallWindowOptions } from './callWindow.js'
import type { LeaderRoute } from './leaderRoute.js'
import type { CellMetrics } from './metrics.js'
import { decideOnOutage } from './outagePolicy.js'
import type { OutageState } from './outagePolicy.js'
import type { StoreHealth } from './storeHealth.js'

/** Interval between probes of the store while requests are held, in milliseconds: a few round trips between regions, and a twentieth of a caller's time. */
const PROBE_INTERVAL_MS = 150
/** Concurrency of the held requests when the store is back. The daemon has 80 connections for all its calls, and a slow store, which answers in about 900 ms, isn't congested by a few. */
const HELD_WINDOW: CallWindowOptions = { initial: 4, max: 32, congestedMs: 1_200 }

/** `store`: directly; `leader`: through the leader. */
export type Route = 'store' | 'leader'

/** A request of a caller, as far as it matters while it waits. */
export interface HoldableRequest {
  /** `submit` or `cancel`. */
  readonly operation: string
  /** Monotonic time at which the caller gives up, in milliseconds. */
  readonly deadlineAt: number
  readonly bytes: number
  /** How it is sent through the leader; undefined for requests that no other daemon carries out. */
  readonly viaLeader?: unknown
  /** Aborts when the caller has gone. */
  readonly signal?: AbortSignal
}

export type Turn =
  /** The request may be sent; `end` must be called with its outcome, or without one if nothing was sent. */
  | { readonly kind: 'send', readonly via: Route, end (isSuccess?: boolean): void }
  | { readonly kind: 'refused', readonly retryAfterMs: number }
  /** No time is left to serve the request, or its caller has gone. */
  | { readonly kind: 'expired' | 'gone' }

/** What has happened to a request before; `hold` sets `wasHeld`. */
export interface HoldProgress {
  readonly mayHaveRun: boolean
  wasHeld: boolean
}

export type HeldOutcome = 'served' | 'refused' | 'gone'

interface Waiting {
  readonly req: HoldableRequest
  readonly settle: (turn: Turn) => void
}

export interface HeldRequestsOptions {
  readonly health: StoreHealth
  readonly leaderRoute: LeaderRoute
  /** Sends a small read to the store. */
  readonly probe: () => Promise<unknown>
  readonly random: () => number
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

/**
 * Requests that wait while the store is unavailable to this daemon. When it answers again, or the leader can reach it,
 * they are sent nearest deadline first, a bounded number at a time.
 */
export class HeldRequests {
  private readonly waiting = new Set<Waiting>()
  private heldBytes = 0
  private window = CallWindow.create(HELD_WINDOW)
  private isWatching = false
  private readonly report: HoldReport

  private constructor (private readonly options: HeldRequestsOptions) {
    this.report = HoldReport.create(options)
  }

  static create (options: HeldRequestsOptions): HeldRequests {
    return new HeldRequests(options)
  }

  /**
   * Resolves when the request may be sent or can't be. One that may have run already, or that was held before, is not
   * refused because of the outage's duration: its caller has waited for the outcome. One that may have run is held beyond
   * the bounds too, as its caller may not return; there are no more of them than were under way when the store went silent.
   */
  async hold (req: HoldableRequest, progress: HoldProgress): Promise<Turn> {
    const { health, leaderRoute, clock, random } = this.options
    const state: OutageState = progress.mayHaveRun
      ? { outageMs: 0, isIsolated: false, held: 0, heldBytes: 0 }
      : { outageMs: progress.wasHeld ? 0 : health.outageMs(), isIsolated: leaderRoute.isCutOff(), held: this.waiting.size, heldBytes: this.heldBytes }
    const decision = decideOnOutage(state, { timeLeftMs: req.deadlineAt - clock.now(), bytes: req.bytes }, random)
    if (decision.kind === 'refuse') return { kind: 'refused', retryAfterMs: decision.retryAfterMs }
    if (!progress.wasHeld) this.report.recordHeld(req.operation)
    progress.wasHeld = true
    return new Promise(resolve => {
      const expire = () => waiting.settle({ kind: 'expired' })
      const leave = () => waiting.settle({ kind: 'gone' })
      const waiting: Waiting = {
        req,
        settle: turn => {
          if (!this.waiting.delete(waiting)) return
          this.heldBytes -= req.bytes
          cancelExpiry()
          req.signal?.removeEventListener('abort', leave)
          resolve(turn)
        }
      }
      const cancelExpiry = clock.after(decision.forMs, expire)
      req.signal?.addEventListener('abort', leave, { once: true })
      this.waiting.add(waiting)
      this.heldBytes += req.bytes
      this.watch()
    })
  }

  /** Records what became of a request that was held. */
  recordOutcome (operation: string, outcome: HeldOutcome): void {
    this.report.recordOutcome(operation, outcome)
  }

  /** Probes the store while requests wait, and sends them when it answers. */
  private watch () {
    if (this.isWatching) return
    this.isWatching = true
    this.window = CallWindow.create(HELD_WINDOW)
    this.watchStore().catch((err: unknown) => this.options.log.error('Waiting for the store failed unexpectedly.', { err }))
  }

  private async watchStore () {
    const { health, clock } = this.options
    let answer = health.nextAnswer()
    try {
      while (this.waiting.size > 0) {
        if (!health.isAnswering()) this.probe()
        this.releaseWaiting()
        const isAnswered = await Promise.race([answer.then(() => true), clock.sleep(PROBE_INTERVAL_MS).then(() => false)])
        if (isAnswered) answer = health.nextAnswer()
      }
    } finally {
      // At once, as a request that is held before the promise settles needs a watch of its own.
      this.isWatching = false
    }
  }

  private probe () {
    this.options.probe().catch((err: unknown) => this.options.log.error('Probe of the store failed unexpectedly.', { err }))
  }

  private releaseWaiting () {
    const { health, leaderRoute, clock } = this.options
    while (this.waiting.size > 0 && this.window.hasCapacity()) {
      const via = health.isAnswering() ? 'store' : 'leader'
      const next = this.nearestDeadline(via)
      if (next === undefined || (via === 'leader' && !leaderRoute.acquire())) return
      const { window } = this
      const sentAt = clock.now()
      window.recordSent()
      next.settle({
        kind: 'send',
        via,
        end: isSuccess => {
          // A leader that can't reach the store either has not sent anything.
          if (isSuccess === undefined || (via === 'leader' && !isSuccess)) window.recordSkipped()
          else window.recordAnswer(isSuccess, clock.now() - sentAt)
          this.releaseWaiting()
        }
      })
    }
  }

  /** The request with the nearest deadline among those that can be sent by the route. */
  private nearestDeadline (via: Route): Waiting | undefined {
    let nearest: Waiting | undefined
    for (const waiting of this.waiting) {
      if (via === 'leader' && waiting.req.viaLeader === undefined) continue
      if (nearest === undefined || waiting.req.deadlineAt < nearest.req.deadlineAt) nearest = waiting
    }
    return nearest
  }
}

type Counts = Record<string, number>

/** Counts held requests by operation and outcome, and logs when the first of an outage is held and when all have their answer after it. */
class HoldReport {
  private open = 0
  /** Monotonic time at which the first request was held; undefined if none has been since the store answered. */
  private startedAt: number | undefined
  private counts: Record<'held' | HeldOutcome, Counts> = noCounts()

  private constructor (private readonly options: Pick<HeldRequestsOptions, 'clock' | 'log' | 'metrics' | 'health'>) {}

  static create (options: Pick<HeldRequestsOptions, 'clock' | 'log' | 'metrics' | 'health'>): HoldReport {
    return new HoldReport(options)
  }

  recordHeld (operation: string): void {
    const { clock, log, health, metrics } = this.options
    if (this.startedAt === undefined) {
      this.counts = noCounts()
      this.startedAt = clock.now()
      log.warn('Requests are held until the store answers.', { outageMs: Math.round(health.outageMs()) })
    }
    this.open++
    increment(this.counts.held, operation)
    metrics.count(`held_${operation}`)
  }

  recordOutcome (operation: string, outcome: HeldOutcome): void {
    const { health, log, metrics } = this.options
    this.open--
    increment(this.counts[outcome], operation)
    metrics.count(`held_${outcome}_${operation}`)
    if (this.open > 0) return
    if (health.isAnswering()) this.close()
    else health.nextAnswer().then(() => this.close()).catch((err: unknown) => log.error('Held requests could not be reported.', { err }))
  }

  private close () {
    if (this.open > 0 || this.startedAt === undefined) return
    this.options.log.info('No requests are held any more.', { forMs: Math.round(this.options.clock.now() - this.startedAt), ...this.counts })
    this.startedAt = undefined
  }
}

function noCounts (): Record<'held' | HeldOutcome, Counts> {
  return { held: {}, served: {}, refused: {}, gone: {} }
}

function increment (counts: Counts, operation: string) {
  counts[operation] = (counts[operation] ?? 0) + 1
}
