import type { Clock } from '@citronnotch/base/clock'
import type { Job, Run, Step } from '../jobs.js'
import { isOverdue } from '../lateness.js'
import type { CellMetrics } from '../metrics.js'
import { NO_RESOURCES, add, multiply, subtract } from '../resources.js'
import type { JobQueue, ResourceVector } from '../types.js'
import type { WorkerLink } from '../workerLink.js'
import { Durations } from './durations.js'
import { Forecast, MAX_FORECAST_AGE_MS } from './forecast.js'
import type { QueueForecast } from './forecast.js'
import { startCostMsOf } from './jobCost.js'
import type { StartCostTerms } from './jobCost.js'
import { LateShare, lateJobOf } from './lateShare.js'
import type { LateJob } from './lateShare.js'
import { planOrder } from './order.js'
import type { WaitingOrder } from './order.js'
import { WaitingPlan, standingOf } from './waitingPlan.js'
import type { QueuedJob } from './waitingPlan.js'

/** Largest share of the processor that renewals may take; with 10,000 live jobs one takes some ten milliseconds. */
const MAX_RENEWAL_SHARE = 0.1
/** Part of the capacity that counts at least, whatever services hold: waits are quotients by it. */
const MIN_CAPACITY_SHARE = 0.1

export interface LoadSheddingOptions {
  readonly jobs: () => Iterable<Job>
  readonly queue: (job: Job) => JobQueue | undefined
  /** Whether a job came beyond the rate that its account is owed; `unixMs` is the time now. */
  readonly isExcess: (job: Job, unixMs: number) => boolean
  /** Whether tasks of a job may be started now by what is known of its earlier runs and by the limit of its account. */
  readonly canStart: (job: Job) => boolean
  readonly workers: () => Iterable<Pick<WorkerLink, 'entry' | 'isInService'>>
  /** Number of daemons that can ask for placement advice. */
  readonly agents: () => number
  /** Whether this process has no processor time left. */
  readonly isProcessorFull: () => boolean
  readonly clock: Clock
  readonly metrics: CellMetrics
}

/** What a leader does about load that its workers can't bear: decides what waits, and forecasts for how long. */
export class LoadShedding {
  readonly order: WaitingOrder
  private readonly durations = Durations.create()
  private readonly lateShare: LateShare
  private readonly plan: WaitingPlan
  private readonly forecast: Forecast
  private cell = NO_RESOURCES
  /** Monotonic time of the end of the last renewal, and what it took, in milliseconds. */
  private renewedAt = -Infinity
  private renewalMs = 0
  /** Monotonic time of the latest forecast, in milliseconds. */
  private forecastAt = -Infinity

  private constructor (private readonly options: LoadSheddingOptions) {
    this.plan = WaitingPlan.create({ durations: this.durations, cell: () => this.cell, isExcess: job => options.isExcess(job, options.clock.date().getTime()) })
    this.forecast = Forecast.create(queue => this.plan.meanWorkOf(queue), options.metrics)
    this.lateShare = LateShare.create(options.canStart)
    this.order = planOrder(this.plan, this.lateShare)
  }

  static create (options: LoadSheddingOptions): LoadShedding {
    return new LoadShedding(options)
  }

  // Queries

  /** Forecast for the jobs of a queue, as an addition to a report; empty if there is none. */
  report (queue: string): { readonly forecast?: QueueForecast } {
    const ageMs = this.forecastAgeMs()
    const forecast = ageMs > MAX_FORECAST_AGE_MS ? undefined : this.forecast.of(queue)
    const durations = this.durations.of(queue)
    return forecast === undefined ? {} : { forecast: { ...forecast, cell: this.cell, ageMs, ...(durations === undefined ? {} : { durations }) } }
  }

  /** Time since the forecasts were renewed, in milliseconds; infinite before the first renewal. */
  forecastAgeMs (): number {
    return this.options.clock.now() - this.forecastAt
  }

  // Commands

  /** Looks at all live jobs again, unless that takes too much of the processor; called some times a second. */
  renew (): void {
    const { clock } = this.options
    const startedAt = clock.now()
    if (startedAt - this.renewedAt < this.renewalMs * (1 / MAX_RENEWAL_SHARE - 1)) return
    this.renewNow()
    this.renewedAt = clock.now()
    this.renewalMs = this.renewedAt - startedAt
  }

  /** Records that tasks of a step are started. */
  recordStart ({ job, spec }: Step, tasks: number): void {
    const queue = this.options.queue(job)
    if (queue === undefined || this.cell.milliCores === 0) return
    const unixMs = this.options.clock.date().getTime()
    this.forecast.noteAdmission(this.plan.of({ job, queue }), unixMs)
    this.forecast.recordStart(job, unixMs)
    this.lateShare.recordStart(job, startCostMsOf([{ spec, tasks }], this.costTermsOf(job, queue)))
  }

  /** Records that a task is done, with the run that did it. */
  recordDone (step: Step, run: Run | undefined): void {
    if (run !== undefined) this.durations.recordRun(step, run, this.options.clock.now())
  }

  /** Records that a job has ended. */
  recordEnd (job: Job): void {
    this.forecast.recordEnd(job, this.options.clock.date().getTime())
  }

  private renewNow () {
    const { clock, workers } = this.options
    const unixMs = clock.date().getTime()
    let cell = NO_RESOURCES
    for (const worker of workers()) if (worker.isInService()) cell = add(cell, worker.entry.capacity)
    // Without any worker, nothing can be said of how long work takes, and the forecast becomes old.
    if (cell.milliCores === 0) return
    this.cell = withoutServices(cell, this.options.jobs())
    this.plan.renew(this.queuedJobs(), unixMs)
    this.forecast.renew(this.plan.all(), unixMs, clock.now())
    this.lateShare.renew([...this.lateJobs(unixMs)], clock.now())
    this.forecastAt = clock.now()
  }

  private * lateJobs (unixMs: number): Iterable<LateJob> {
    for (const planned of this.plan.all()) {
      const { job, queue } = planned
      if (standingOf(planned, unixMs) < 3 && !isOverdue(job, unixMs)) continue
      yield lateJobOf(job, this.costTermsOf(job, queue))
    }
  }

  private costTermsOf (job: Job, queue: JobQueue): StartCostTerms {
    return { queue, known: this.durations.of(job.record.queue), cell: this.cell, agents: this.options.agents(), isProcessorFull: this.options.isProcessorFull() }
  }

  private * queuedJobs (): Iterable<QueuedJob> {
    const { jobs, queue: queueOf } = this.options
    for (const job of jobs()) {
      const queue = job.outcome === undefined ? queueOf(job) : undefined
      if (queue !== undefined) yield { job, queue }
    }
  }
}

/** Capacity that is left beside the running tasks of services, which don't end by themselves. */
function withoutServices (cell: ResourceVector, jobs: Iterable<Job>): ResourceVector {
  let left = cell
  for (const job of jobs) {
    if (job.outcome !== undefined || !job.record.spec.steps.some(({ longRunning }) => longRunning)) continue
    for (const step of job.liveSteps()) if (step.spec.longRunning) left = subtract(left, multiply(step.need, step.remainingTasks - step.waitingTasks))
  }
  const leastOf = (name: keyof ResourceVector) => Math.max(MIN_CAPACITY_SHARE * cell[name], left[name])
  return { milliCores: leastOf('milliCores'), memoryMb: leastOf('memoryMb'), accelerators: leastOf('accelerators') }
}
