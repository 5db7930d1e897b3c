import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { ENDED_RETENTION_SLACK_MS } from './constants.js'
import type { Janitor } from './janitor.js'
import { Job, cancelledBy } from './jobs.js'
import type { StoredProgress } from './jobs.js'
import { decodeJob } from './jobRecord.js'
import type { JobRecord } from './jobRecord.js'
import type { StoredRow } from './ports.js'
import type { JobOutcome, JobState } from './types.js'

interface RecentEnd {
  readonly outcome: JobOutcome
  /** Monotonic time at which the outcome was known to be stored. */
  readonly endedAt: number
}

export interface JobTableOptions {
  readonly janitor: Janitor
  /** Time for which the outcome of an ended job must be known, in milliseconds. */
  readonly statusRetentionMs: number
  readonly clock: Clock
  readonly log: Log
}

/** The live jobs of the cell and the outcomes of those that ended a short time ago, as the leader knows them. */
export class JobTable {
  private readonly jobs = new Map<string, Job>()
  private readonly recent = new Map<string, RecentEnd>()

  private constructor (private readonly options: JobTableOptions) {}

  static create (options: JobTableOptions): JobTable {
    return new JobTable(options)
  }

  // Queries

  live (): Iterable<Job> {
    return this.jobs.values()
  }

  size (): number {
    return this.jobs.size
  }

  get (jobId: string): Job | undefined {
    return this.jobs.get(jobId)
  }

  /** State of a job, or undefined when it isn't known. */
  stateOf (jobId: string): JobState | undefined {
    const job = this.jobs.get(jobId)
    if (job === undefined) return this.recent.get(jobId)?.outcome
    // A successor may decide otherwise as long as the outcome is not stored.
    if (job.outcome !== undefined && job.isStored) return job.outcome
    return job.hasStarted ? 'active' : 'queued'
  }

  /** Number of jobs of a queue of which no task has started. */
  pendingOf (queue: string): number {
    let pending = 0
    for (const job of this.jobs.values()) if (job.record.queue === queue && !job.hasStarted && job.outcome === undefined) pending++
    return pending
  }

  // Commands

  /** Adds a job unless it is known. */
  admit (jobId: string, record: JobRecord, payload: string, version: number): void {
    if (!this.isKnown(jobId)) this.jobs.set(jobId, Job.create(jobId, record, version))
    const job = this.jobs.get(jobId)
    if (job !== undefined) job.payload = payload
  }

  /** Adds the jobs of rows that admit and cancel jobs, with their progress. Returns the ids of cancelled ones. */
  restore (jobs: readonly StoredRow[], progress: readonly StoredRow[]): readonly string[] {
    const progressById = new Map(progress.map(row => [row.key, row]))
    for (const row of jobs) {
      if (!isAdmission(row)) continue
      if (!this.isKnown(row.key)) this.restoreJob(row, progressById.get(row.key))
      progressById.delete(row.key)
    }
    // An earlier leader has moved these jobs to the ended ones and was about to drop their progress.
    for (const { key, value } of progressById.values()) if ('outcome' in (value as StoredProgress) && !this.isKnown(key)) this.options.janitor.jobMoved(key)
    return cancelledIn(jobs)
  }

  /** Adds the jobs of changed rows. Returns the ids of cancelled ones. */
  applyChanges (rows: readonly StoredRow[]): readonly string[] {
    for (const row of rows) if (isAdmission(row) && !this.isKnown(row.key)) this.addJob(row)
    return cancelledIn(rows)
  }

  /** Notes that the outcome of a job is stored. */
  ended (job: Job, outcome: JobOutcome): void {
    job.isStored = true
    this.remember(job.id, outcome)
    this.options.janitor.jobEnded(job.id, job.version, { outcome, endedAtMs: this.options.clock.date().getTime() })
    this.forgetWhenEmpty(job)
  }

  /** Adds what is due of scheduled jobs, and forgets jobs and outcomes that are no longer needed. */
  tick (): void {
    const { clock, statusRetentionMs } = this.options
    const unixMs = clock.date().getTime()
    for (const job of this.jobs.values()) {
      job.addDueOccurrences(unixMs)
      this.forgetWhenEmpty(job)
    }
    for (const [id, { endedAt }] of this.recent) {
      if (clock.now() - endedAt < statusRetentionMs + ENDED_RETENTION_SLACK_MS) break
      this.recent.delete(id)
    }
  }

  private isKnown (jobId: string): boolean {
    return this.jobs.has(jobId) || this.recent.has(jobId)
  }

  private restoreJob (row: StoredRow, progress: StoredRow | undefined) {
    const { janitor } = this.options
    const stored = progress?.value as StoredProgress | undefined
    if (stored !== undefined && 'outcome' in stored) {
      this.remember(row.key, stored.outcome)
      janitor.jobEnded(row.key, row.version, stored)
    } else {
      const job = this.addJob(row)
      if (job !== undefined && stored !== undefined) job.restore(stored.occurrences, progress?.version ?? 0)
    }
  }

  private addJob (row: StoredRow): Job | undefined {
    const record = decodeJob(row.value)
    if (record === undefined) {
      this.options.log.error('Row of a job can not be read.', { job: row.key, version: row.version })
      return undefined
    }
    const job = Job.create(row.key, record, row.version)
    this.jobs.set(row.key, job)
    return job
  }

  private remember (jobId: string, outcome: JobOutcome) {
    this.recent.set(jobId, { outcome, endedAt: this.options.clock.now() })
  }

  private forgetWhenEmpty (job: Job) {
    if (job.isStored && [...job.runs()].length === 0) this.jobs.delete(job.id)
  }
}

function isAdmission ({ key, deleted }: StoredRow): boolean {
  return !deleted && !key.includes('.')
}

function cancelledIn (rows: readonly StoredRow[]): readonly string[] {
  return rows.flatMap(({ key, deleted }) => deleted ? [] : cancelledBy(key) ?? [])
}
