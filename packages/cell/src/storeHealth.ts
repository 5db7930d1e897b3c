import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'

/** Minimum number of consecutive failed calls before the store counts as unavailable. */
const UNAVAILABLE_AFTER_FAILURES = 2
/** Minimum time without an answer before the store counts as unavailable; a slow store answers some call within that time, in milliseconds. */
const UNAVAILABLE_AFTER_MS = 1_000

/** Number of overdue calls, or failed ones beside an overdue one, from which the store counts as silent; a single one may be a lost answer. */
const SILENT_AFTER_CALLS = 2
/** Bounds of the time after which a call is overdue, in milliseconds: many times a typical answer, and the timeout of a call. */
const MIN_OVERDUE_MS = 500
const MAX_OVERDUE_MS = 1_400
/** Multiple of the slowest recent answer after which a call is overdue, so that a slow store isn't taken for a silent one. */
const OVERDUE_FACTOR = 2
/** Factor by which the slowest answer is forgotten with each answer; after about ten answers a slow phase no longer counts. */
const SLOWEST_DECAY = 0.9

/** Number of failures without an answer in between from which the store counts as refusing, and the time that they must span, in milliseconds: shorter series are single busy or reset calls. */
const REFUSING_AFTER_FAILURES = 3
const REFUSING_AFTER_MS = 150

/** A call that has been sent and has neither been answered nor failed. */
export interface PendingCall {
  /** Monotonic time at which the call was sent, in milliseconds. */
  readonly sentAt: number
}

/**
 * Tracks whether the store answers this daemon, from the outcome of every call. Two thresholds: `isAnswering` turns false
 * within half a second, and costs requests a short delay if it is wrong; `isUnavailable`, on which readiness and
 * leadership depend, takes a second longer.
 */
export class StoreHealth {
  private failures = 0
  private lastAnswerAt = -Infinity
  /** Monotonic time of the first failure since the last answer. */
  private failingSince = 0
  /** Monotonic time at which the first call was sent that has failed since the last answer. */
  private failedSentAt = 0
  private unavailableSince: number | undefined
  private slowestAnswerMs = 0
  /** Unanswered calls, oldest first. */
  private readonly pending = new Set<PendingCall>()
  private answerWaiters: Array<() => void> = []
  private readonly createdAt: number

  private constructor (private readonly clock: Clock, private readonly log: Log) {
    this.createdAt = clock.now()
  }

  static create (clock: Clock, log: Log): StoreHealth {
    return new StoreHealth(clock, log)
  }

  // Queries

  isUnavailable (): boolean {
    return this.unavailableSince !== undefined
  }

  /** Time since the first failed call to an unavailable store, in milliseconds; 0 while it is available. */
  unavailableMs (): number {
    return this.unavailableSince === undefined ? 0 : this.clock.now() - this.failingSince
  }

  /** Whether calls that are sent now are likely to be answered: false once several are overdue, or failed, and none has been answered meanwhile. */
  isAnswering (): boolean {
    return !this.isUnavailable() && !this.isRefusing() && !this.isSilent()
  }

  /** Time since the first call was sent that has failed or is unanswered since the last answer, in milliseconds; 0 if there is none. */
  outageMs (): number {
    const pending = [...this.pending].find(({ sentAt }) => sentAt >= this.lastAnswerAt)
    const since = Math.min(this.failures === 0 ? Infinity : this.failedSentAt, pending?.sentAt ?? Infinity)
    return Math.max(0, this.clock.now() - since)
  }

  /** Time since the last answer of the store, in milliseconds; since the start of the daemon if there was none. */
  unansweredMs (): number {
    return this.clock.now() - Math.max(this.lastAnswerAt, this.createdAt)
  }

  /** Resolves when the store answers the next call. */
  nextAnswer (): Promise<void> {
    return new Promise(resolve => this.answerWaiters.push(resolve))
  }

  // Commands

  /** Records that a call is sent whose answer is expected at once; each such call must be ended by one of the next three. */
  recordSent (): PendingCall {
    const call: PendingCall = { sentAt: this.clock.now() }
    this.pending.add(call)
    return call
  }

  recordSuccess (call?: PendingCall): void {
    const now = this.clock.now()
    this.failures = 0
    this.lastAnswerAt = now
    if (call !== undefined) {
      this.pending.delete(call)
      this.slowestAnswerMs = Math.max(now - call.sentAt, this.slowestAnswerMs * SLOWEST_DECAY)
    }
    if (this.unavailableSince !== undefined) {
      this.log.info('Store available again.', { awayMs: Math.round(now - this.unavailableSince) })
      this.unavailableSince = undefined
    }
    const waiters = this.answerWaiters
    this.answerWaiters = []
    for (const resolve of waiters) resolve()
  }

  recordFailure (reason: string, call?: PendingCall): void {
    const now = this.clock.now()
    if (call !== undefined) this.pending.delete(call)
    // An answer may have come since the call was sent.
    const sentAt = Math.max(this.lastAnswerAt, call?.sentAt ?? now)
    this.failedSentAt = this.failures === 0 ? sentAt : Math.min(this.failedSentAt, sentAt)
    if (this.failures === 0) this.failingSince = now
    this.failures++
    if (this.failures < UNAVAILABLE_AFTER_FAILURES || now - this.lastAnswerAt < UNAVAILABLE_AFTER_MS || this.unavailableSince !== undefined) return
    this.unavailableSince = now
    this.log.warn('Store unavailable.', { reason, failures: this.failures })
  }

  /** Records the end of a call that was never sent, which says nothing about the store. */
  recordNotSent (call: PendingCall): void {
    this.pending.delete(call)
  }

  private isRefusing (): boolean {
    return this.failures >= REFUSING_AFTER_FAILURES && this.clock.now() - this.failingSince >= REFUSING_AFTER_MS
  }

  /** Calls that were sent before the last answer don't count: their own answers may have been lost. */
  private isSilent (): boolean {
    const overdueMs = Math.min(MAX_OVERDUE_MS, Math.max(MIN_OVERDUE_MS, OVERDUE_FACTOR * this.slowestAnswerMs))
    let overdue = this.failures
    for (const { sentAt } of this.pending) {
      if (this.clock.now() - sentAt < overdueMs) return false
      if (sentAt >= this.lastAnswerAt && ++overdue >= SILENT_AFTER_CALLS) return true
    }
    return false
  }
}
