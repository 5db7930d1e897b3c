import type { Clock } from '@citronnotch/base/clock'
import type { Job, Step } from '../jobs.js'
import { latenessOf } from '../lateness.js'
import { NO_RESOURCES, add } from '../resources.js'
import type { JobQueue, ResourceVector } from '../types.js'
import type { WorkerLink } from '../workerLink.js'
import { adviceMsOf, reservedShareOf, workMsOf } from './jobCost.js'
import { LateShare } from './lateShare.js'
import type { LateJob } from './lateShare.js'
import { admissionOrder } from './order.js'
import type { WaitingOrder } from './order.js'

export interface LateJobsOptions {
  readonly jobs: () => Iterable<Job>
  readonly queue: (job: Job) => JobQueue | undefined
  /** Whether tasks of a job may be started now by what is known of its earlier runs and by the limit of its account. */
  readonly canStart: (job: Job) => boolean
  readonly workers: () => Iterable<Pick<WorkerLink, 'entry' | 'isInService'>>
  /** Number of daemons that can ask for placement advice. */
  readonly agents: () => number
  readonly clock: Clock
}

/** What a leader does about jobs that are too late to count in a cell that does not shed load: they get their share of it. */
export class LateJobs {
  readonly order: WaitingOrder
  private readonly share: LateShare
  private cell: ResourceVector = NO_RESOURCES

  private constructor (private readonly options: LateJobsOptions) {
    this.share = LateShare.create(options.canStart)
    this.order = admissionOrder(this.share)
  }

  static create (options: LateJobsOptions): LateJobs {
    return new LateJobs(options)
  }

  /** Chooses the jobs that go first; called some times a second. */
  renew (): void {
    const { workers, clock } = this.options
    let cell = NO_RESOURCES
    for (const worker of workers()) if (worker.isInService()) cell = add(cell, worker.entry.capacity)
    this.cell = cell
    this.share.renewLate(cell.milliCores === 0 ? [] : [...this.lateJobs()], clock.now())
  }

  /** Records that tasks of a step are started. */
  recordStart ({ job, spec }: Step, tasks: number): void {
    const queue = this.options.queue(job)
    if (queue === undefined || this.cell.milliCores === 0) return
    this.share.recordStart(job, Math.max(workMsOf([{ spec, tasks }], undefined, this.cell), adviceMsOf(queue, this.options.agents())))
  }

  private * lateJobs (): Iterable<LateJob> {
    const { jobs, queue: queueOf, agents, clock } = this.options
    const unixMs = clock.date().getTime()
    for (const job of jobs()) {
      const queue = job.outcome === undefined ? queueOf(job) : undefined
      if (queue === undefined || latenessOf(job, queue, unixMs) < 2) continue
      const waiting = [...job.liveSteps()].map(({ spec, waitingTasks }) => ({ spec, tasks: waitingTasks }))
      yield { job, waitingMs: Math.max(workMsOf(waiting, undefined, this.cell), adviceMsOf(queue, agents())), reservedShare: () => reservedShareOf(job, this.cell) }
    }
  }
}
