import type { Clock } from '../clock.js'
import { RETRY_BURST, RETRY_MIN_PER_SECOND, RETRY_SHARE } from './constants.js'

export interface RetryBudgetOptions {
  /**
   * Retries per first attempt.
   * @default 0.1
   */
  readonly share?: number
  /**
   * Retries per second allowed at any load.
   * @default 1
   */
  readonly minPerSecond?: number
  /**
   * Retries that can be saved up.
   * @default 20
   */
  readonly burst?: number
}

/** Token bucket that limits retries to a share of the load. */
export class RetryBudget {
  private tokens: number
  private refilledAt: number

  private constructor (private readonly clock: Clock, private readonly options: Required<RetryBudgetOptions>) {
    this.tokens = options.minPerSecond
    this.refilledAt = clock.now()
  }

  static create (clock: Clock, options: RetryBudgetOptions = {}): RetryBudget {
    return new RetryBudget(clock, { share: RETRY_SHARE, minPerSecond: RETRY_MIN_PER_SECOND, burst: RETRY_BURST, ...options })
  }

  /** Takes note of a first attempt. */
  addAttempt (): void {
    this.tokens = Math.min(this.options.burst, this.tokens + this.options.share)
  }

  /** Takes a token for one retry; false when the budget is spent. */
  tryRetry (): boolean {
    const now = this.clock.now()
    const refill = (now - this.refilledAt) / 1_000 * this.options.minPerSecond
    this.tokens = Math.min(this.options.burst, this.tokens + refill)
    this.refilledAt = now
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
