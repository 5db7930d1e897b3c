import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { STORE_TIMEOUT_MS } from './constants.js'
import { isFinalFailure } from './finalFailures.js'
import type { HeldRequests, HoldProgress, HoldableRequest, Route, Turn } from './heldRequests.js'
import type { LeaderRoute } from './leaderRoute.js'
import type { CellMetrics } from './metrics.js'
import { RESPONSE_MARGIN_MS, SERVE_MS } from './outagePolicy.js'
import { retryAfterMs } from './retryAfter.js'
import type { StoreHealth } from './storeHealth.js'

/** Pause before the first retry of a call to the store, in milliseconds. */
const INITIAL_RETRY_PAUSE_MS = 60
/** The pause doubles up to this limit, because calls to a store that resets connections or is busy fail immediately. */
const MAX_RETRY_PAUSE_MS = 400
/** Number of refusals by a store that answers other calls after which a request is tried through the leader, or given up if it is of another daemon. */
const MAX_REFUSALS = 2
/** Time for a caller to return, in milliseconds: the shortest Retry-After, and the time in which another daemon serves it. A store that refuses this daemon while it answers others of its calls may not refuse another one. */
const RETURN_MS = 1_300
/** Timeout of a submission or cancellation that is forwarded to the leader, in milliseconds: the leader sends it once, and repeats it if it is refused. */
export const FORWARD_TIMEOUT_MS = 1_200

/** Time given to an attempt at least, in milliseconds: a typical answer takes up to 50 ms, and a caller may state a shorter time than it waits. */
const MIN_ATTEMPT_MS = 100

export const STORE_AWAY = 'store-away'

const CONFIG_CHANGED = Failure.notRun('configuration-changed', 'While the request waited for the store, the configuration changed.', 'Send the same request again.')

/** Whether a request may be sent by a route now; `unknown` if that can't be told yet, so that it has to wait on. */
export type Revalidation = (via: Route) => Promise<'yes' | 'no' | 'unknown'>

/** A request to be carried out through the store, whose attempts can be repeated: at most one of them takes effect. */
export interface StoreRequest<T> extends HoldableRequest {
  readonly jobId: string
  readonly viaStore: (timeoutMs: number) => Promise<Result<T, Failure>>
  /** Undefined for requests that no other daemon carries out. */
  readonly viaLeader?: (timeoutMs: number) => Promise<Result<T, Failure>>
  /** Whether the request changes nothing, so that an attempt without an answer has not run. */
  readonly isRead?: boolean
  /** Whether to wait for a store that is unavailable. */
  readonly mayBeHeld: boolean
  /** Whether the request may still be carried out after it was held, or in any case if it is unconfirmed. */
  readonly mayStillRun?: Revalidation
  readonly isUnconfirmed?: boolean
}

export interface RequestRunnerOptions {
  readonly health: StoreHealth
  readonly held: HeldRequests
  readonly leaderRoute: LeaderRoute
  readonly random: () => number
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

/** What has happened to a request so far. */
interface Progress extends HoldProgress {
  attempts: number
  /** Number of refusals since the last attempt through the leader. */
  refusals: number
  mayHaveRun: boolean
}

/** What became of a turn: `changed` if the configuration no longer allows the request, `unconfirmed` if that can't be told yet. */
type TurnOutcome<T> =
  | { readonly kind: 'sent', readonly res: Result<T, Failure> }
  | { readonly kind: 'changed' | 'unconfirmed' | 'out-of-time' }

/**
 * Carries out callers' requests within their time. The verdict of a failure is `not-run` only if no attempt can take
 * effect: the store may apply a call without an answer seconds later, so that neither a refusal nor a read shows
 * afterwards that the request has not run. Such a request is sent again until the store tells what became of it. That is
 * safe, because each attempt expects the same versions: whichever is applied first makes the others conflict, whenever
 * they arrive.
 */
export class RequestRunner {
  private constructor (private readonly options: RequestRunnerOptions) {}

  static create (options: RequestRunnerOptions): RequestRunner {
    return new RequestRunner(options)
  }

  async run<T> (req: StoreRequest<T>): Promise<Result<T, Failure>> {
    const progress: Progress = { attempts: 0, refusals: 0, mayHaveRun: false, wasHeld: false }
    let res: Result<T, Failure> | undefined
    try {
      res = await this.attemptUntilSettled(req, progress)
      return res
    } finally {
      if (progress.wasHeld) this.options.held.recordOutcome(req.operation, res?.ok === true ? 'served' : req.signal?.aborted === true ? 'gone' : 'refused')
    }
  }

  /** Failure of a request that was not carried out, with a time at which the caller should retry. */
  unavailable (req: Pick<HoldableRequest, 'deadlineAt'>): Failure {
    return storeAway(this.retryAfterMs(req))
  }

  private async attemptUntilSettled<T> (req: StoreRequest<T>, progress: Progress): Promise<Result<T, Failure>> {
    const { health, clock, log, metrics } = this.options
    const giveUp = (failure = this.unavailable(req)) => Err(progress.mayHaveRun ? answerLost() : failure)
    for (;;) {
      const turn = await this.nextTurn(req, progress)
      if (turn.kind === 'refused') {
        if (progress.attempts === 0 && !progress.wasHeld) metrics.count(`store_away_${req.operation}`)
        return giveUp(storeAway(turn.retryAfterMs))
      }
      if (turn.kind !== 'send') return giveUp()
      const sent = await this.useTurn(req, turn, progress)
      if (sent.kind !== 'sent') {
        if (sent.kind !== 'unconfirmed' || this.timeLeftMs(req) < SERVE_MS) return giveUp(sent.kind === 'changed' ? CONFIG_CHANGED : undefined)
        await clock.sleep(INITIAL_RETRY_PAUSE_MS, req.signal)
        continue
      }
      const { res } = sent
      if (res.ok || isFinalFailure(res.val)) return res
      const { verdict, reason } = res.val
      if (verdict !== 'not-run') progress.mayHaveRun = true
      progress.refusals = verdict === 'not-run' && turn.via === 'store' ? progress.refusals + 1 : 0
      log.info('Call to the store failed.', { job: req.jobId, operation: req.operation, attempt: progress.attempts, via: turn.via, verdict, reason })
      const isTriedEnough = progress.refusals >= MAX_REFUSALS && (!req.mayBeHeld || this.timeLeftMs(req) < RETURN_MS)
      if (isTriedEnough && !progress.mayHaveRun) return giveUp()
      // What the store doesn't answer waits below.
      if (!health.isAnswering() && !this.isSentMeanwhile(req)) continue
      const pauseMs = Math.min(INITIAL_RETRY_PAUSE_MS * 2 ** (progress.attempts - 1), MAX_RETRY_PAUSE_MS)
      const maxPauseMs = this.timeLeftMs(req) - SERVE_MS
      // One that has certainly not run is refused rather than sent late: its outcome might become unknown.
      if (maxPauseMs < (progress.mayHaveRun ? INITIAL_RETRY_PAUSE_MS : pauseMs)) return giveUp()
      await clock.sleep(Math.min(pauseMs, maxPauseMs), req.signal)
    }
  }

  /** Sends the request once, unless it may not be sent now, and ends the turn in any case. */
  private async useTurn<T> (req: StoreRequest<T>, turn: Extract<Turn, { kind: 'send' }>, progress: Progress): Promise<TurnOutcome<T>> {
    const { leaderRoute } = this.options
    let outcome: TurnOutcome<T> | undefined
    try {
      outcome = await this.sendIfAllowed(req, turn.via, progress)
      return outcome
    } finally {
      if (turn.via === 'leader') {
        if (outcome?.kind === 'sent') leaderRoute.record(outcome.res)
        else if (outcome?.kind === 'unconfirmed') leaderRoute.recordBlocked()
        else leaderRoute.recordUnused()
      }
      if (outcome?.kind === 'sent') turn.end(outcome.res.ok || isFinalFailure(outcome.res.val))
      else turn.end()
    }
  }

  private async sendIfAllowed<T> (req: StoreRequest<T>, via: Route, progress: Progress): Promise<TurnOutcome<T>> {
    // One that has not been sent yet gets a short time in any case: its caller may wait longer than it states.
    const isOutOfTime = () => (progress.attempts > 0 || progress.wasHeld) && this.timeLeftMs(req) <= 0
    if (isOutOfTime()) return { kind: 'out-of-time' }
    const mayRun = await this.revalidate(req, via, progress)
    if (mayRun === 'no') return { kind: 'changed' }
    if (isOutOfTime()) return { kind: 'out-of-time' }
    if (mayRun === 'unknown') return { kind: 'unconfirmed' }
    progress.attempts++
    return { kind: 'sent', res: await this.attempt(req, via) }
  }

  private async revalidate<T> (req: StoreRequest<T>, via: Route, { wasHeld }: Progress): ReturnType<Revalidation> {
    const { mayStillRun, isUnconfirmed } = req
    return mayStillRun !== undefined && (wasHeld || isUnconfirmed === true) ? this.withinTime(req, mayStillRun(via), () => 'unknown') : 'yes'
  }

  /** Sends the request once. A hedged call may take longer than its timeout, but not longer than the caller waits. */
  private attempt<T> (req: StoreRequest<T>, via: Route): Promise<Result<T, Failure>> {
    const timeLeftMs = this.callTimeMs(req)
    const call = via === 'leader' && req.viaLeader !== undefined ? req.viaLeader(Math.min(FORWARD_TIMEOUT_MS, timeLeftMs)) : req.viaStore(Math.min(STORE_TIMEOUT_MS, timeLeftMs))
    return this.withinTime(req, call, () => Err(req.isRead === true ? this.unavailable(req) : answerLost()))
  }

  /** Result of a call, or `otherwise` at the end of the caller's time. */
  private withinTime<T> (req: HoldableRequest, call: Promise<T>, otherwise: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
      const cancel = this.options.clock.after(this.callTimeMs(req), () => resolve(otherwise()))
      call.then(resolve, reject).finally(cancel)
    })
  }

  /** Waits until the request may be sent: through the store while it answers, else through the leader or when the store is back. */
  private async nextTurn<T> (req: StoreRequest<T>, progress: Progress): Promise<Turn> {
    const { health, held, leaderRoute } = this.options
    if (req.signal?.aborted === true) return { kind: 'gone' }
    const isAnswering = health.isAnswering()
    const isRefused = isAnswering && progress.refusals >= MAX_REFUSALS
    if ((!isAnswering || isRefused) && req.viaLeader !== undefined && leaderRoute.acquire()) return sendVia('leader')
    if (isAnswering || this.isSentMeanwhile(req)) return sendVia('store')
    if (!req.mayBeHeld) return { kind: 'refused', retryAfterMs: this.retryAfterMs(req) }
    return held.hold(req, progress)
  }

  /** Whether a request is sent to a store that doesn't answer at the moment: a read has no effect, and an outage is not certain yet. */
  private isSentMeanwhile ({ isRead, mayBeHeld }: StoreRequest<unknown>): boolean {
    return isRead === true && !mayBeHeld && !this.options.health.isUnavailable()
  }

  /** Time after which a caller should return, in milliseconds; so early that it can be served then, if there is time for that. */
  private retryAfterMs ({ deadlineAt }: Pick<HoldableRequest, 'deadlineAt'>): number {
    const { health, clock, random } = this.options
    return retryAfterMs(health.outageMs(), random, deadlineAt - clock.now() - RESPONSE_MARGIN_MS - SERVE_MS)
  }

  /** Time that a call on behalf of the request may take, in milliseconds. */
  private callTimeMs (req: HoldableRequest): number {
    return Math.max(MIN_ATTEMPT_MS, this.timeLeftMs(req))
  }

  /** Time until the answer has to be sent to the caller, in milliseconds. */
  private timeLeftMs ({ deadlineAt }: HoldableRequest): number {
    return deadlineAt - this.options.clock.now() - RESPONSE_MARGIN_MS
  }
}

function sendVia (via: Route): Turn {
  return { kind: 'send', via, end: () => {} }
}

function storeAway (retryAfterMs: number): Failure {
  return Failure.create({ code: STORE_AWAY, verdict: 'not-run', reason: 'The store can not be reached.', hint: 'Try again after the given time.', retryAfterMs })
}

function answerLost (): Failure {
  return Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.', 'Send the same request again.')
}
