import type { Clock } from '@citronnotch/base/clock'
import type { Job, Run, Step } from '../jobs.js'
import { isOverdue, latenessOf } from '../lateness.js'
import { NO_RESOURCES, add } from '../resources.js'
import type { JobQueue, ResourceVector } from '../types.js'
import type { WorkerLink } from '../workerLink.js'
import { Durations } from './durations.js'
import { startCostMsOf } from './jobCost.js'
import type { StartCostTerms } from './jobCost.js'
import { LateShare, lateJobOf } from './lateShare.js'
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
  /** Whether this process has no processor time left. */
  readonly isProcessorFull: () => boolean
  readonly clock: Clock
}

/** Gives jobs that are too late to count, or overdue, their share of a cell that does not shed load. */
export class LateJobs {
  readonly order: WaitingOrder
  private readonly share: LateShare
  private readonly durations = Durations.create()
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
    this.share.renew(cell.milliCores === 0 ? [] : [...this.lateJobs()], clock.now())
  }

  /** Records that tasks of a step are started. */
  recordStart ({ job, spec }: Step, tasks: number): void {
    const queue = this.options.queue(job)
    if (queue === undefined || this.cell.milliCores === 0) return
    this.share.recordStart(job, startCostMsOf([{ spec, tasks }], this.costTermsOf(job, queue)))
  }

  /** Records that a task is done, with the run that did it. */
  recordDone (step: Step, run: Run | undefined): void {
    if (run !== undefined) this.durations.recordRun(step, run, this.options.clock.now())
  }

  private * lateJobs (): Iterable<LateJob> {
    const { jobs, queue: queueOf, clock } = this.options
    const unixMs = clock.date().getTime()
    for (const job of jobs()) {
      const queue = job.outcome === undefined ? queueOf(job) : undefined
      if (queue === undefined || (latenessOf(job, queue, unixMs) < 2 && !isOverdue(job, unixMs))) continue
      yield lateJobOf(job, this.costTermsOf(job, queue))
    }
  }

  private costTermsOf (job: Job, queue: JobQueue): StartCostTerms {
    return { queue, known: this.durations.of(job.record.queue), cell: this.cell, agents: this.options.agents(), isProcessorFull: this.options.isProcessorFull() }
  }
}
