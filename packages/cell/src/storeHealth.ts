import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'

/** Minimum number of consecutive failed calls before the store counts as unavailable. */
const UNAVAILABLE_AFTER_FAILURES = 2
/** Minimum time without an answer before the store counts as unavailable; a slow store answers some call within that time. */
const UNAVAILABLE_AFTER_MS = 1_000

/** Tracks whether the store answers this daemon, from the outcome of every call. */
export class StoreHealth {
  private failures = 0
  private lastAnswerAt = -Infinity
  /** Monotonic time of the first failure since the last answer. */
  private failingSince = 0
  private unavailableSince: number | undefined

  private constructor (private readonly clock: Clock, private readonly log: Log) {}

  static create (clock: Clock, log: Log): StoreHealth {
    return new StoreHealth(clock, log)
  }

  isUnavailable (): boolean {
    return this.unavailableSince !== undefined
  }

  /** Time since the first failed call to an unavailable store, in milliseconds; 0 while it is available. */
  unavailableMs (): number {
    return this.unavailableSince === undefined ? 0 : this.clock.now() - this.failingSince
  }

  recordSuccess (): void {
    this.failures = 0
    this.lastAnswerAt = this.clock.now()
    if (this.unavailableSince === undefined) return
    this.log.info('Store available again.', { awayMs: Math.round(this.clock.now() - this.unavailableSince) })
    this.unavailableSince = undefined
  }

  recordFailure (reason: string): void {
    const now = this.clock.now()
    if (this.failures === 0) this.failingSince = now
    this.failures++
    if (this.failures < UNAVAILABLE_AFTER_FAILURES || now - this.lastAnswerAt < UNAVAILABLE_AFTER_MS || this.unavailableSince !== undefined) return
    this.unavailableSince = now
    this.log.warn('Store unavailable.', { reason, failures: this.failures })
  }
}
