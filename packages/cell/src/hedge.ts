import type { CancelTimer, Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'

export interface HedgeOptions {
  readonly clock: Clock
  /** Typical time of an answer before any was seen, in milliseconds. */
  readonly initialMs: number
  /** Shortest time after which a call is sent again, in milliseconds. */
  readonly minimumMs: number
}

/** Times that one call is sent at most, and the growth of the time between two sends. */
const MAX_SENDS = 8
const BACKOFF = 1.4
/** Repetitions that an answered call pays for, and how many can be saved up: a server that slows down isn't flooded. */
const BUDGET_PER_ANSWER = 0.8
const MAX_BUDGET = 10
/** Multiple of the typical time after which an answer counts as overdue. */
const OVERDUE_MULTIPLE = 3
/** Steps of the estimate of the typical time; together they settle near the 60th percentile. */
const STEP_UP = 1.25
const STEP_DOWN = 1 / 1.15

/**
 * Sends a call again, over another connection, when its answer is overdue. Only for calls that may be executed
 * several times without harm. Earlier sends aren't given up, so that a slow server is told from a lost answer.
 * Resolves with the first success, or when all sends have failed; then with one that may have run, if any.
 */
export class Hedge {
  private typicalMs: number
  private budget = MAX_BUDGET

  private constructor (private readonly options: HedgeOptions) {
    this.typicalMs = options.initialMs
  }

  static create (options: HedgeOptions): Hedge {
    return new Hedge(options)
  }

  /** Time after which an answer is overdue. */
  overdueMs (): number {
    return Math.max(this.options.minimumMs, OVERDUE_MULTIPLE * this.typicalMs)
  }

  async call<T> (send: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const { clock } = this.options
    return new Promise(resolve => {
      let isAnswered = false
      let cancelRepeat: CancelTimer | undefined
      let open = 0
      let sent = 0
      let waitMs = 0
      let worst: Result<T, Failure> | undefined
      const answer = (res: Result<T, Failure>) => {
        isAnswered = true
        cancelRepeat?.()
        resolve(res)
      }
      const sendOnce = async () => {
        open++
        sent++
        const res = await this.timed(send)
        open--
        if (isAnswered) return
        if (worst === undefined || (res.err && res.val.verdict !== 'not-run')) worst = res
        if (res.err && open > 0) return
        answer(res.ok ? res : worst)
      }
      const sendAndRepeat = () => {
        sendOnce().catch((err: unknown) => answer(Err(Failure.mayHaveRun('call-failed', `The call failed unexpectedly: ${String(err)}.`))))
        if (sent >= MAX_SENDS) return
        waitMs = sent === 1 ? this.overdueMs() : waitMs * BACKOFF
        cancelRepeat = clock.after(waitMs, () => {
          if (isAnswered || this.budget < 1) return
          this.budget--
          sendAndRepeat()
        })
      }
      sendAndRepeat()
    })
  }

  private async timed<T> (send: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const { clock } = this.options
    const started = clock.now()
    const res = await send()
    // A refusal comes sooner than an answer and says nothing about the time of one.
    if (res.err && res.val.verdict === 'not-run') return res
    if (res.ok) this.budget = Math.min(MAX_BUDGET, this.budget + BUDGET_PER_ANSWER)
    const tookMs = clock.now() - started
    if (tookMs <= this.typicalMs) this.typicalMs *= STEP_DOWN
    else this.typicalMs *= STEP_UP
    // A late answer, unlike a lost one, shows that the server is slow.
    if (res.ok && tookMs > this.overdueMs()) this.typicalMs = tookMs / 2
    return res
  }
}
