import type { ResolvedPlacerOptions } from './options.js'

interface WorkerHealth {
  /** Jobs that failed here since the last success. */
  failedJobs: Set<string>
  suspendedUntil: number | undefined
  backoffMs: number
  /** Task of the one start after a suspension whose outcome is not known yet. */
  probe: string | undefined
  /** Failures that a job's start cleared; a failure of that job right afterwards brings them back. */
  readonly cleared: Map<string, { readonly failedJobs: Set<string>, readonly backoffMs: number }>
}

interface JobHealth {
  /** Workers on which the job failed since its last success. */
  failedOn: Set<string>
  /** Failures that a start on a worker cleared, by worker. */
  readonly cleared: Map<string, Set<string>>
}

/** Workers on which a job must fail, without success elsewhere, before its failures are blamed on the job. */
const WORKERS_TO_BLAME_JOB = 3
/** Jobs whose failures are remembered. */
const MAX_FAILING_JOBS = 10_000
/** Cleared streaks remembered for each worker and job. */
const MAX_CLEARED = 16

/** Which workers get no tasks because starts on them keep failing. */
export class Suspensions {
  private readonly workers = new Map<string, WorkerHealth>()
  private readonly failingJobs = new Map<string, JobHealth>()
  /** Workers that may be suspended now. */
  private readonly suspended = new Set<string>()

  private constructor () {}

  static create (): Suspensions {
    return new Suspensions()
  }

  /**
   * Ends the streaks of the worker and of the job. A worker that accepts starts and then fails the
   * tasks is still recognised, because a failure of the same job there revokes this.
   */
  noteStarted (workerId: string, jobId: string): void {
    const health = this.workers.get(workerId)
    if (health !== undefined && health.failedJobs.size > 0) {
      if (health.cleared.size >= MAX_CLEARED) health.cleared.clear()
      health.cleared.set(jobId, { failedJobs: health.failedJobs, backoffMs: health.backoffMs })
      health.failedJobs = new Set()
      this.lift(workerId, health)
    }
    const job = this.failingJobs.get(jobId)
    if (job !== undefined && job.failedOn.size > 0) {
      if (job.cleared.size >= MAX_CLEARED) job.cleared.clear()
      job.cleared.set(workerId, job.failedOn)
      job.failedOn = new Set()
    }
  }

  noteFailed (workerId: string, jobId: string, now: number, options: ResolvedPlacerOptions): void {
    const failedOn = this.noteJobFailure(jobId, workerId)
    if (failedOn.size >= WORKERS_TO_BLAME_JOB) {
      this.blameJob(jobId, failedOn, options)
      return
    }
    const health = this.healthOf(workerId)
    const cleared = health.cleared.get(jobId)
    if (cleared !== undefined) {
      health.cleared.delete(jobId)
      for (const failed of cleared.failedJobs) health.failedJobs.add(failed)
      health.backoffMs = Math.max(health.backoffMs, cleared.backoffMs)
    }
    health.failedJobs.add(jobId)
    const probeFailed = health.probe !== undefined
    const due = health.failedJobs.size >= options.suspendAfterFailures && health.suspendedUntil === undefined
    if (!probeFailed && !due) return
    health.backoffMs = Math.min(options.suspendBackoffMaxMs, health.backoffMs === 0 ? options.suspendBackoffMs : health.backoffMs * 2)
    health.suspendedUntil = now + health.backoffMs
    health.probe = undefined
    this.suspended.add(workerId)
  }

  /** Records that a suspended worker got its probe. */
  noteTaken (workerId: string, taskId: string): void {
    const health = this.workers.get(workerId)
    if (health?.suspendedUntil !== undefined) health.probe = taskId
  }

  /** A probe that ended without an outcome is repeated. */
  noteReleased (workerId: string, taskId: string): void {
    const health = this.workers.get(workerId)
    if (health?.probe === taskId) health.probe = undefined
  }

  forgetWorker (workerId: string): void {
    this.workers.delete(workerId)
    this.suspended.delete(workerId)
  }

  isSuspended (workerId: string, now: number): boolean {
    const health = this.workers.get(workerId)
    if (health?.suspendedUntil === undefined) return false
    return health.probe !== undefined || now < health.suspendedUntil
  }

  hasFailedOn (jobId: string, workerId: string): boolean {
    return this.failingJobs.get(jobId)?.failedOn.has(workerId) ?? false
  }

  suspendedWorkers (): Iterable<string> {
    return this.suspended
  }

  private noteJobFailure (jobId: string, workerId: string): Set<string> {
    let job = this.failingJobs.get(jobId)
    if (job === undefined) {
      job = { failedOn: new Set(), cleared: new Map() }
      this.failingJobs.set(jobId, job)
      if (this.failingJobs.size > MAX_FAILING_JOBS) this.failingJobs.delete(this.failingJobs.keys().next().value!)
    }
    for (const failed of job.cleared.get(workerId) ?? []) job.failedOn.add(failed)
    job.cleared.delete(workerId)
    job.failedOn.add(workerId)
    return job.failedOn
  }

  /** Takes back what the job's failures added to workers, and lifts suspensions that rested on them. */
  private blameJob (jobId: string, failedOn: Iterable<string>, options: ResolvedPlacerOptions) {
    for (const workerId of failedOn) {
      const health = this.workers.get(workerId)
      if (health === undefined || !health.failedJobs.delete(jobId)) continue
      if (health.failedJobs.size >= options.suspendAfterFailures) continue
      this.lift(workerId, health)
    }
  }

  private lift (workerId: string, health: WorkerHealth) {
    health.suspendedUntil = undefined
    health.backoffMs = 0
    health.probe = undefined
    this.suspended.delete(workerId)
  }

  private healthOf (workerId: string): WorkerHealth {
    let health = this.workers.get(workerId)
    if (health === undefined) {
      health = { failedJobs: new Set(), suspendedUntil: undefined, backoffMs: 0, probe: undefined, cleared: new Map() }
      this.workers.set(workerId, health)
    }
    return health
  }
}
