import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import type { HiddenRuns } from './accounts/index.js'
import type { Job } from './jobs.js'
import type { JobTable } from './jobTable.js'
import type { WorkerPool } from './workerPool.js'

/** Interval at which it is checked whether more runs of earlier leaders are known, in milliseconds. */
const CHECK_INTERVAL_MS = 10

export interface EarlierJobsOptions {
  /** Version of the lease row that began this epoch. */
  readonly epochStartVersion: number
  /** Whether the previous leader may still issue commands. */
  readonly mayPredecessorBeActive: boolean
  readonly jobs: JobTable
  readonly workers: WorkerPool
  /** Called when jobs may be scheduled that were held back. */
  readonly onEnabled: () => void
  readonly clock: Clock
  readonly log: Log
}

/** Jobs that an earlier leader may have started, and those of them that are held back until their runs are known. */
export class EarlierJobs {
  /** Latest version of the jobs that an earlier leader may have started. */
  private startedUntil: number
  /** Whether no earlier leader can start anything any more. */
  private areLeadersFenced = false
  /** Jobs admitted before this epoch that may have unknown runs and must not be scheduled yet. */
  private heldBack: ReadonlySet<string> | 'all' = 'all'
  /** Jobs that have ended and may still have such runs, by id; undefined for those without an account, whose runs count for none. */
  private readonly ended = new Map<string, Job | undefined>()

  private constructor (private readonly options: EarlierJobsOptions) {
    this.startedUntil = options.mayPredecessorBeActive ? Infinity : options.epochStartVersion
  }

  static create (options: EarlierJobsOptions): EarlierJobs {
    return new EarlierJobs(options)
  }

  // Queries

  /** Whether no earlier leader can have started a task of the job. */
  isOwn (job: Job): boolean {
    return job.version > this.startedUntil
  }

  /** Whether a job must not be scheduled, as it may have runs that this leader doesn't know. */
  isHeldBack ({ id, version }: Job): boolean {
    const { epochStartVersion, mayPredecessorBeActive } = this.options
    if (!mayPredecessorBeActive && version > epochStartVersion) return false
    return this.heldBack === 'all' || this.heldBack.has(id)
  }

  /** A job of an account that has ended and may still have such runs. */
  endedJob (jobId: string): Job | undefined {
    return this.ended.get(jobId)
  }

  areLeadersKnownToBeFenced (): boolean {
    return this.areLeadersFenced
  }

  /** Runs that this leader may not know; undefined if there are none. */
  hiddenRuns (): HiddenRuns | undefined {
    const { jobs, workers } = this.options
    const { heldBack, ended } = this
    if (sizeOf(heldBack) === 0) return undefined
    const hasUnreadJobs = heldBack === 'all' ? jobs.parked.size() > 0 : [...heldBack].some(id => jobs.get(id) === undefined && !ended.has(id))
    return { jobs: [...jobs.live(), ...ended.values()].flatMap(job => job !== undefined && this.isHeldBack(job) ? job : []), hasUnreadJobs, capacity: workers.capacityWithUnknownRuns() }
  }

  // Commands

  /** Keeps a job that has ended and leaves the table: it may still have runs that this leader doesn't know. */
  jobEnded (job: Job): void {
    if (this.isHeldBack(job)) this.ended.set(job.id, job.record.account === undefined ? undefined : job)
  }

  /** Records that all jobs up to a version have been read; `wereLeadersFenced` as it was when the read began. */
  recordRead (version: number, wereLeadersFenced: boolean): void {
    // A job that an earlier leader knew was stored before this read.
    if (wereLeadersFenced) this.startedUntil = Math.min(this.startedUntil, version)
  }

  /** Enables scheduling of the jobs from earlier epochs, each once this leader knows its runs or their leases have expired. */
  async enable (signal: AbortSignal): Promise<void> {
    const { clock, log, workers, jobs, onEnabled } = this.options
    const startedAt = clock.now()
    while (!signal.aborted) {
      workers.logExpiredMembers()
      const heldBack = workers.jobsWithUnknownRuns()
      const isChanged = sizeOf(heldBack) !== sizeOf(this.heldBack)
      this.heldBack = heldBack
      if (isChanged) {
        log.info('Scheduling of jobs from earlier epochs enabled.', { tookMs: Math.round(clock.now() - startedAt), complete: !workers.haveEarlierLeasesExpired(), jobs: jobs.size(), heldBack: sizeOf(heldBack) })
        onEnabled()
      }
      if (sizeOf(heldBack) === 0) {
        this.areLeadersFenced = true
        this.ended.clear()
        return
      }
      await clock.sleep(CHECK_INTERVAL_MS, signal)
    }
  }
}

function sizeOf (jobIds: ReadonlySet<string> | 'all'): number {
  return jobIds === 'all' ? Infinity : jobIds.size
}
