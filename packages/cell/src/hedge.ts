import type { CancelTimer, Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'

export interface HedgeOptions {
  readonly clock: Clock
  /** Initial estimate of the typical response time, in milliseconds. */
  readonly initialTypicalMs: number
  /** Minimum delay before an unanswered call is sent again, in milliseconds. */
  readonly minOverdueMs: number
  /**
   * Whether the answers are so large that they take long on a narrow link. Then the time after which a call is sent again
   * in any case grows with the typical response time.
   * @default false
   */
  readonly hasLargeAnswers?: boolean
}

interface PendingCall {
  /** Monotonic time at which the call was sent first. */
  readonly sentAt: number
}

/** Maximum number of sends of one call. */
const MAX_SENDS = 8
/** Maximum number of early retries of the oldest unanswered call. */
const MAX_EARLY_RETRIES = 2
/** Growth of the interval between two sends. */
const BACKOFF_FACTOR = 1.4
/** Retries that each successful answer adds to the budget. The budget keeps retries from flooding a server that slows down. */
const RETRY_BUDGET_PER_ANSWER = 0.8
/** Maximum number of retries that the budget can hold. */
const MAX_RETRY_BUDGET = 10
/** Multiple of the typical response time after which an answer is overdue. */
const OVERDUE_FACTOR = 3
/** Time after which an overdue call is sent again even if others are overdue too; longer than the answers of a slow store. */
const PATIENCE_MS = 800
/** Factors by which each send that isn't refused adjusts the typical time; the estimate settles near the 60th percentile. */
const TYPICAL_TIME_INCREASE = 1.25
const TYPICAL_TIME_DECREASE = 1 / 1.15

/**
 * Sends a call again, over another connection, when its answer is overdue, and a call that was sent later is answered or
 * no other call is overdue: an answer was lost. When several calls are overdue and none is answered, the server is slow,
 * and repeating them would only add to its queue. The call must be idempotent. Earlier
 * sends stay open, so that a late answer from a slow server can be distinguished from a lost one. Resolves with the
 * first success or, once all sends have failed, with a `may-have-run` failure if there is one.
 */
export class Hedge {
  private typicalMs: number
  private retryBudget = MAX_RETRY_BUDGET
  /** Unanswered calls, oldest first. */
  private readonly pendingCalls = new Set<PendingCall>()
  /** Latest time at which a call that has been answered was sent. */
  private lastAnsweredSentAt = -Infinity

  private constructor (private readonly options: HedgeOptions) {
    this.typicalMs = options.initialTypicalMs
  }

  static create (options: HedgeOptions): Hedge {
    return new Hedge(options)
  }

  /** Time after which an answer is overdue, in milliseconds. */
  overdueMs (): number {
    return Math.max(this.options.minOverdueMs, OVERDUE_FACTOR * this.typicalMs)
  }

  async call<T> (send: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const { clock } = this.options
    return new Promise(resolve => {
      const pendingCall: PendingCall = { sentAt: clock.now() }
      this.pendingCalls.add(pendingCall)
      let isAnswered = false
      let cancelRetry: CancelTimer | undefined
      let pendingSends = 0
      let sentCount = 0
      let retryDelayMs = 0
      let resultIfAllFail: Result<T, Failure> | undefined
      const settle = (res: Result<T, Failure>) => {
        isAnswered = true
        this.pendingCalls.delete(pendingCall)
        cancelRetry?.()
        resolve(res)
      }
      const sendOnce = async () => {
        pendingSends++
        sentCount++
        const res = await this.sendTimed(send)
        pendingSends--
        if (isAnswered) return
        if (resultIfAllFail === undefined || (res.err && res.val.verdict !== 'not-run')) resultIfAllFail = res
        if (res.err && pendingSends > 0) return
        settle(res.ok ? res : resultIfAllFail)
      }
      const sendAndScheduleRetry = () => {
        sendOnce().catch((err: unknown) => settle(Err(Failure.mayHaveRun('call-failed', `The call failed unexpectedly: ${String(err)}.`))))
        if (sentCount >= MAX_SENDS) return
        retryDelayMs = sentCount === 1 ? this.overdueMs() : retryDelayMs * BACKOFF_FACTOR
        scheduleRetry()
      }
      const scheduleRetry = () => {
        cancelRetry = clock.after(retryDelayMs, () => {
          if (isAnswered || this.retryBudget < 1) return
          if (!this.isAnswerLost(pendingCall, sentCount)) return scheduleRetry()
          this.retryBudget--
          sendAndScheduleRetry()
        })
      }
      sendAndScheduleRetry()
    })
  }

  /** Whether the answer to an overdue call is more likely to be lost than late. */
  private isAnswerLost (pendingCall: PendingCall, sentCount: number): boolean {
    const { clock, hasLargeAnswers = false } = this.options
    const ageMs = clock.now() - pendingCall.sentAt
    const patienceMs = hasLargeAnswers ? Math.max(PATIENCE_MS, this.overdueMs()) : PATIENCE_MS
    if (this.lastAnsweredSentAt > pendingCall.sentAt || ageMs >= patienceMs) return true
    const [oldest] = this.pendingCalls
    return oldest === pendingCall && sentCount <= MAX_EARLY_RETRIES
  }

  private async sendTimed<T> (send: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const { clock } = this.options
    const startedAt = clock.now()
    const res = await send()
    // A refusal is faster than the answer to an executed call and says nothing about the response time.
    if (res.err && res.val.verdict === 'not-run') return res
    if (res.ok) {
      this.lastAnsweredSentAt = Math.max(this.lastAnsweredSentAt, startedAt)
      this.retryBudget = Math.min(MAX_RETRY_BUDGET, this.retryBudget + RETRY_BUDGET_PER_ANSWER)
    }
    const tookMs = clock.now() - startedAt
    if (tookMs <= this.typicalMs) this.typicalMs *= TYPICAL_TIME_DECREASE
    else this.typicalMs *= TYPICAL_TIME_INCREASE
    // Unlike a lost answer, a late answer shows that the server is slow.
    if (res.ok && tookMs > this.overdueMs()) this.typicalMs = tookMs / 2
    return res
  }
}
