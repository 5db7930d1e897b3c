import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { ENDED_RETENTION_MARGIN_MS } from './constants.js'
import type { Janitor } from './janitor.js'
import { jobBytes } from './jobMemory.js'
import type { JobMemory } from './jobMemory.js'
import { Job, isJobId, jobIdOfCancelKey } from './jobs.js'
import { OmittedJob, accountOfRow, decodeJob } from './jobRecord.js'
import type { JobRecord } from './jobRecord.js'
import { ParkedJobs } from './parkedJobs.js'
import type { StoredRow } from './ports.js'
import { decodeEnded, decodeProgress, decodeRange, parseRangeKey } from './storedProgress.js'
import type { EndedRecord, RangeKey } from './storedProgress.js'
import type { JobOutcome, JobState } from './types.js'

interface RecentOutcome {
  readonly outcome: JobOutcome
  readonly account: string | undefined
  /** Monotonic time in milliseconds at which this leader recorded the outcome. */
  readonly recordedAt: number
}

export interface JobTableOptions {
  readonly janitor: Janitor
  readonly memory: JobMemory
  /** Called with each job that is added. */
  readonly onAdded: (job: Job) => void
  /** Called with each job that has ended and leaves the table, or that an earlier leader has ended. */
  readonly onEnded: (job: Job) => void
  /** Whether an ended job may have runs that this leader doesn't know. */
  readonly mayHaveUnknownRuns: (job: Job) => boolean
  /** Time for which callers can ask for the outcome of an ended job, in milliseconds. */
  readonly statusRetentionMs: number
  readonly clock: Clock
  readonly log: Log
}

/** The leader's in-memory table of live jobs and of the outcomes of recently ended ones. */
export class JobTable {
  private readonly jobs = new Map<string, Job>()
  /** Jobs without memory here; those that have begun are loaded before any other. */
  readonly parked = ParkedJobs.create()
  private readonly recentOutcomes = new Map<string, RecentOutcome>()
  /** Ended jobs of accounts that may have runs: a new leader must find their rows, as these runs count for the account. */
  private readonly unmoved = new Map<Job, EndedRecord>()

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

  /** Whether the table has the job, or its outcome. */
  isTracked (jobId: string): boolean {
    return this.jobs.has(jobId) || this.recentOutcomes.has(jobId)
  }

  /** State of a job; undefined if the table has neither the job nor its outcome. */
  stateOf (jobId: string): JobState | undefined {
    const job = this.jobs.get(jobId)
    if (job === undefined) return this.parked.has(jobId) ? 'queued' : this.recentOutcomes.get(jobId)?.outcome
    // Until the outcome is stored, a new leader may decide on a different one.
    if (job.outcome !== undefined && job.isOutcomeStored) return job.outcome
    return job.hasStarted ? 'active' : 'queued'
  }

  /** Client account of a job in the table, or of an outcome, if it has one. */
  accountOf (jobId: string): string | undefined {
    return this.jobs.get(jobId)?.record.account ?? this.parked.accountOf(jobId) ?? this.recentOutcomes.get(jobId)?.account
  }

  /** Number of jobs in a queue that have started no task yet. */
  pendingOf (queue: string): number {
    let pending = this.parked.countOf(queue)
    for (const job of this.jobs.values()) if (job.record.queue === queue && !job.hasStarted && job.outcome === undefined) pending++
    return pending
  }

  // Commands

  /** Adds a job unless it is already tracked, and sets its payload. */
  admit (jobId: string, record: JobRecord, payload: string, version: number): void {
    if (!this.isTracked(jobId)) {
      if (this.parked.has(jobId) || !this.options.memory.mayHold(jobBytes(record, payload.length))) return this.parked.add(jobId, { queue: record.queue, account: record.account })
      this.add(Job.create(jobId, record, version), payload.length)
    }
    const job = this.jobs.get(jobId)
    if (job !== undefined) job.payload = payload
  }

  /**
   * Adds jobs from their admission rows and progress rows, and parks those that have not begun and for which there is no
   * memory. Returns the ids of the jobs with a cancellation row, and of those that have begun but were omitted.
   */
  restore (jobRows: readonly StoredRow[], progressRows: readonly StoredRow[]): { readonly cancelledJobs: readonly string[], readonly begunJobs: readonly string[] } {
    const rowsByJob = groupByJob(progressRows)
    const admissions = jobRows.filter(row => isAdmissionRow(row) && !this.isTracked(row.key)).sort((a, b) => a.version - b.version)
    for (const row of admissions) {
      const progress = rowsByJob.get(row.key)
      if (progress !== undefined && !(row.value instanceof OmittedJob)) this.restoreJob(row, progress)
    }
    for (const row of admissions) if (!rowsByJob.has(row.key)) this.addOrPark(row)
    const begunJobs = admissions.filter(row => row.value instanceof OmittedJob && rowsByJob.has(row.key)).map(({ key }) => key)
    for (const { key } of jobRows) rowsByJob.delete(key)
    // An earlier leader moved these jobs to the table of ended jobs, but didn't remove their progress rows.
    for (const [jobId, { first, ranges }] of rowsByJob) {
      if (this.isTracked(jobId)) continue
      const isObsolete = first === undefined || decodeEnded(first.value) !== undefined
      if (isObsolete) this.options.janitor.enqueueProgressRemoval(jobId, [...first === undefined ? [] : [first.key], ...ranges.map(([, { key }]) => key)])
    }
    return { cancelledJobs: cancelledJobIds(jobRows), begunJobs }
  }

  /** Adds a parked job from its rows, whatever memory it takes. Returns whether it is cancelled. */
  unpark (jobId: string, jobRows: readonly StoredRow[], progressRows: readonly StoredRow[]): boolean {
    this.parked.remove(jobId)
    const row = jobRows.find(({ key }) => key === jobId)
    if (row !== undefined && isAdmissionRow(row) && !this.isTracked(jobId)) this.restoreJob(row, groupByJob(progressRows).get(jobId))
    return cancelledJobIds(jobRows).length > 0
  }

  /** Adds the jobs admitted by changed rows. Returns the ids of the jobs with a cancellation row. */
  applyChanges (rows: readonly StoredRow[]): readonly string[] {
    for (const row of rows) if (isAdmissionRow(row) && !this.isTracked(row.key)) this.addOrPark(row)
    return cancelledJobIds(rows)
  }

  /** Records that the outcome of a job is stored, and hands the job to the janitor. */
  markOutcomeStored (job: Job, outcome: JobOutcome): void {
    job.isOutcomeStored = true
    const { account } = job.record
    this.recordOutcome(job.id, outcome, account)
    this.options.janitor.enqueueProgressRemoval(job.id, job.rangeKeys())
    this.moveOnceWithoutRuns(job, { outcome, endedAtMs: this.options.clock.date().getTime(), ...(account === undefined ? {} : { account }) })
    this.removeIfFinished(job)
  }

  /** Adds due occurrences of scheduled jobs, and removes ended jobs without runs and expired outcomes. */
  tick (): void {
    const { clock, statusRetentionMs } = this.options
    const unixMs = clock.date().getTime()
    for (const job of this.jobs.values()) {
      job.addDueOccurrences(unixMs)
      this.removeIfFinished(job)
    }
    for (const [job, ended] of this.unmoved) if (!this.mayHaveRuns(job)) this.move(job, ended)
    for (const [id, { recordedAt }] of this.recentOutcomes) {
      if (clock.now() - recordedAt < statusRetentionMs + ENDED_RETENTION_MARGIN_MS) break
      this.recentOutcomes.delete(id)
    }
  }

  private restoreJob (row: StoredRow, { first, ranges }: JobProgressRows = { first: undefined, ranges: [] }) {
    const { janitor, log } = this.options
    const stored = decodeProgress(first?.value)
    const decodedRanges = ranges.map(([key, { value, version }]) => ({ key, version, progress: decodeRange(value) }))
    if ((first !== undefined && stored === undefined) || decodedRanges.some(({ progress }) => progress === undefined)) {
      // Without its progress, tasks of the job that are done would run again.
      log.error('Progress row could not be decoded; the job is left out.', { job: row.key, version: first?.version })
    } else if (stored !== undefined && 'outcome' in stored) {
      const account = accountOfRow(row.value)
      this.recordOutcome(row.key, stored.outcome, account)
      const record = decodeJob(row.value)
      const ended = { ...stored, ...(account === undefined ? {} : { account }) }
      if (record === undefined) janitor.enqueueEndedJob(row.key, row.version, ended)
      else {
        const job = Job.create(row.key, record, row.version)
        this.options.onEnded(job)
        this.moveOnceWithoutRuns(job, ended)
      }
      janitor.enqueueProgressRemoval(row.key, ranges.map(([, { key }]) => key))
    } else {
      const job = this.addJob(row)
      if (job === undefined) return
      if (stored !== undefined) job.restoreFirstRow(stored, first?.version ?? 0)
      for (const { key, progress, version } of decodedRanges) if (progress !== undefined) job.restoreRange(key, progress, version)
    }
  }

  private addOrPark (row: StoredRow) {
    if (this.parked.has(row.key)) return
    const { memory } = this.options
    const record = row.value instanceof OmittedJob ? undefined : decodeJob(row.value)
    if (row.value instanceof OmittedJob) this.parked.add(row.key, row.value)
    else if (record !== undefined && !memory.mayHold(jobBytes(record, 0))) this.parked.add(row.key, { queue: record.queue, account: record.account })
    else this.addJob(row)
  }

  private addJob (row: StoredRow): Job | undefined {
    const record = decodeJob(row.value)
    if (record === undefined) {
      this.options.log.error('Job row could not be decoded.', { job: row.key, version: row.version })
      return undefined
    }
    return this.add(Job.create(row.key, record, row.version), 0)
  }

  private add (job: Job, payloadLength: number): Job {
    job.accountedBytes = jobBytes(job.record, payloadLength)
    this.options.memory.add(job.record.queue, job.accountedBytes)
    this.jobs.set(job.id, job)
    this.options.onAdded(job)
    return job
  }

  private moveOnceWithoutRuns (job: Job, ended: EndedRecord) {
    if (ended.account !== undefined && this.mayHaveRuns(job)) this.unmoved.set(job, ended)
    else this.move(job, ended)
  }

  private move (job: Job, ended: EndedRecord) {
    this.unmoved.delete(job)
    this.options.janitor.enqueueEndedJob(job.id, job.version, ended)
  }

  private mayHaveRuns (job: Job): boolean {
    return [...job.runs()].length > 0 || this.options.mayHaveUnknownRuns(job)
  }

  private recordOutcome (jobId: string, outcome: JobOutcome, account: string | undefined) {
    this.recentOutcomes.set(jobId, { outcome, account, recordedAt: this.options.clock.now() })
  }

  private removeIfFinished (job: Job) {
    if (!job.isOutcomeStored || [...job.runs()].length > 0 || !this.jobs.delete(job.id)) return
    this.options.memory.remove(job.record.queue, job.accountedBytes)
    this.options.onEnded(job)
  }
}

/** Rows of one job in the progress table. */
interface JobProgressRows {
  first: StoredRow | undefined
  readonly ranges: Array<readonly [RangeKey, StoredRow]>
}

function groupByJob (rows: readonly StoredRow[]): Map<string, JobProgressRows> {
  const rowsByJob = new Map<string, JobProgressRows>()
  for (const row of rows) {
    const range = parseRangeKey(row.key)
    const jobId = range?.jobId ?? row.key
    if (!isJobId(jobId)) continue
    const ofJob = rowsByJob.get(jobId) ?? { first: undefined, ranges: [] }
    if (range === undefined) ofJob.first = row
    else ofJob.ranges.push([range, row])
    rowsByJob.set(jobId, ofJob)
  }
  return rowsByJob
}

function isAdmissionRow ({ key, deleted }: StoredRow): boolean {
  return !deleted && isJobId(key)
}

function cancelledJobIds (rows: readonly StoredRow[]): readonly string[] {
  return rows.flatMap(({ key, deleted }) => deleted ? [] : jobIdOfCancelKey(key) ?? [])
}
