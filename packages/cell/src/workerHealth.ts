import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'

/** Number of different jobs that must fail on a worker, with no run done in between, to suspend it. */
const SUSPEND_AFTER_JOBS = 2
const INITIAL_SUSPENSION_MS = 2_000
/** Time for which a worker is suspect after a failure, so that others are preferred; a run that is done ends it early. */
const SUSPECT_MS = 3_000
const MAX_SUSPENSION_MS = 10_000

interface FailureHistory {
  readonly failedJobs: Set<string>
  /** Monotonic time of the last failed run; -Infinity when none has failed. */
  failedAt: number
  /** Duration of the next suspension, in milliseconds. */
  suspensionMs: number
  /** Monotonic time at which the suspension ends. */
  suspendedUntil: number
}

/** Suspends workers on which runs of several jobs fail in a row, or a run stalls, each time for longer. */
export class WorkerHealth {
  private readonly histories = new Map<string, FailureHistory>()

  private constructor (private readonly clock: Clock, private readonly log: Log) {}

  static create (clock: Clock, log: Log): WorkerHealth {
    return new WorkerHealth(clock, log)
  }

  isSuspended (workerId: string, now = this.clock.now()): boolean {
    return (this.histories.get(workerId)?.suspendedUntil ?? 0) > now
  }

  /** Whether a run failed on the worker recently and none has been done since. */
  isSuspect (workerId: string, now = this.clock.now()): boolean {
    const failedAt = this.histories.get(workerId)?.failedAt
    return failedAt !== undefined && now - failedAt < SUSPECT_MS
  }

  recordSuccess (workerId: string): void {
    this.histories.delete(workerId)
  }

  /** Each job counts once, so that a job that always fails doesn't suspend a worker. */
  recordFailure (workerId: string, jobId: string): void {
    const history = this.historyOf(workerId)
    history.failedJobs.add(jobId)
    history.failedAt = this.clock.now()
    if (history.failedJobs.size >= SUSPEND_AFTER_JOBS) this.suspend(workerId, 'fails what it starts')
  }

  /** Suspends the worker because one of its runs makes no progress. */
  recordStall (workerId: string): void {
    if (!this.isSuspended(workerId)) this.suspend(workerId, 'makes no progress')
  }

  forget (workerId: string): void {
    this.histories.delete(workerId)
  }

  private suspend (workerId: string, reason: string) {
    const history = this.historyOf(workerId)
    history.suspendedUntil = this.clock.now() + history.suspensionMs
    this.log.warn('Worker suspended.', { worker: workerId, reason, failedJobs: history.failedJobs.size, forMs: history.suspensionMs })
    history.suspensionMs = Math.min(2 * history.suspensionMs, MAX_SUSPENSION_MS)
    // Placeholders stand for all but one of the jobs that must fail, so that the next failed run suspends the worker again.
    const [lastJobId] = [...history.failedJobs].slice(-1)
    history.failedJobs.clear()
    for (let i = 1; i < SUSPEND_AFTER_JOBS; i++) history.failedJobs.add(`${lastJobId ?? ''}/${i}`)
  }

  private historyOf (workerId: string): FailureHistory {
    const history = this.histories.get(workerId) ?? { failedJobs: new Set<string>(), failedAt: -Infinity, suspensionMs: INITIAL_SUSPENSION_MS, suspendedUntil: 0 }
    this.histories.set(workerId, history)
    return history
  }
}
