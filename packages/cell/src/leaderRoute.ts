import type { Clock } from '@citronnotch/base/clock'
import type { Failure } from '@citronnotch/base/errors'
import type { Result } from '@citronnotch/base/result'
import { isFinalFailure } from './finalFailures.js'

/** Time for which nothing is sent through the leader after it could not serve a request, in milliseconds: about what a daemon needs to notice that its store is back or another one leads. */
const CLOSED_MS = 300
/** Time for which a leader that could not be reached counts as out of reach, in milliseconds: until the next attempt, and that may take a timeout of 1,200 ms. */
const CUT_OFF_MS = 1_500
/** Code of the failure of a call to a daemon to which there is no connection. */
export const PEER_UNREACHABLE = 'peer-unreachable'

/**
 * Circuit breaker of the way to the store through the leader, for requests that this daemon can't send to the store. One
 * request at a time tries it; when the leader has served one, all may follow until it fails one.
 */
export class LeaderRoute {
  private isOpen = false
  private isTrying = false
  /** Monotonic time until which the leader counts as out of reach, in milliseconds. */
  private cutOffUntil = -Infinity
  /** Monotonic time until which the leader is not tried, in milliseconds. */
  private closedUntil = -Infinity

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): LeaderRoute {
    return new LeaderRoute(clock)
  }

  /** Whether the last request found no connection to the leader, a short time ago. */
  isCutOff (): boolean {
    return this.clock.now() < this.cutOffUntil
  }

  /** Whether a request may be sent through the leader now. If so, its result must be recorded, or that it was not sent. */
  acquire (): boolean {
    if (this.isOpen) return true
    if (this.isTrying || this.clock.now() < this.closedUntil) return false
    this.isTrying = true
    return true
  }

  /** Ends an attempt that was not made. */
  recordUnused (): void {
    this.isTrying = false
  }

  /** Ends an attempt that may not be made yet, as the configuration is not confirmed; the requests that follow wait too. */
  recordBlocked (): void {
    this.isTrying = false
    this.isOpen = false
    this.closedUntil = this.clock.now() + CLOSED_MS
  }

  record (res: Result<unknown, Failure>): void {
    this.isTrying = false
    this.isOpen = res.ok || isFinalFailure(res.val)
    this.cutOffUntil = res.err && res.val.code === PEER_UNREACHABLE ? this.clock.now() + CUT_OFF_MS : -Infinity
    if (!this.isOpen) this.closedUntil = this.clock.now() + CLOSED_MS
  }
}
