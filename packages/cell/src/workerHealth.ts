import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'

/** Failed runs of different jobs in a row, with none done, that suspend a worker. */
const FAILURES_TO_SUSPEND = 2
const FIRST_SUSPENSION_MS = 2_000
/** Time after a failure in which other workers are preferred, unless a run is done here first. */
const DOUBT_MS = 3_000
const LONGEST_SUSPENSION_MS = 10_000

interface Record {
  readonly failedJobs: Set<string>
  /** Monotonic time of the last failure. */
  failedAt: number
  suspensionMs: number
  /** Monotonic time of the end of the suspension. */
  until: number
}

/** Recognises workers that fail everything, and lets them back after growing pauses. */
export class WorkerHealth {
  private readonly records = new Map<string, Record>()

  private constructor (private readonly clock: Clock, private readonly log: Log) {}

  static create (clock: Clock, log: Log): WorkerHealth {
    return new WorkerHealth(clock, log)
  }

  isSuspended (workerId: string): boolean {
    return (this.records.get(workerId)?.until ?? 0) > this.clock.now()
  }

  /** Whether the last run that ended here failed, a short time ago. */
  isDoubtful (workerId: string): boolean {
    const failedAt = this.records.get(workerId)?.failedAt
    return failedAt !== undefined && this.clock.now() - failedAt < DOUBT_MS
  }

  done (workerId: string): void {
    this.records.delete(workerId)
  }

  /** One job counts once, so that a job that always fails doesn't suspend a worker. */
  failed (workerId: string, jobId: string): void {
    const record = this.recordOf(workerId)
    record.failedJobs.add(jobId)
    record.failedAt = this.clock.now()
    if (record.failedJobs.size >= FAILURES_TO_SUSPEND) this.suspend(workerId, 'fails what it starts')
  }

  /** The worker makes no progress on what it runs. */
  stalled (workerId: string): void {
    if (!this.isSuspended(workerId)) this.suspend(workerId, 'makes no progress')
  }

  forget (workerId: string): void {
    this.records.delete(workerId)
  }

  private suspend (workerId: string, reason: string) {
    const record = this.recordOf(workerId)
    record.until = this.clock.now() + record.suspensionMs
    this.log.warn('Worker suspended.', { worker: workerId, reason, failedJobs: record.failedJobs.size, forMs: record.suspensionMs })
    record.suspensionMs = Math.min(2 * record.suspensionMs, LONGEST_SUSPENSION_MS)
    // One more failure after the suspension is enough.
    const [last] = [...record.failedJobs].slice(-1)
    record.failedJobs.clear()
    for (let i = 1; i < FAILURES_TO_SUSPEND; i++) record.failedJobs.add(`${last ?? ''}/${i}`)
  }

  private recordOf (workerId: string): Record {
    const record = this.records.get(workerId) ?? { failedJobs: new Set<string>(), failedAt: -Infinity, suspensionMs: FIRST_SUSPENSION_MS, until: 0 }
    this.records.set(workerId, record)
    return record
  }
}
