import type { Job } from '../jobs.js'
import { dueMsOf, isTimed } from '../lateness.js'
import type { JobQueue, ResourceVector } from '../types.js'
import type { Durations } from './durations.js'
import { expectedObjectiveMs, pathMsOf, totalWorkMsOf, usefulMsOf, valueDensityOf, workMsOf } from './jobCost.js'

/** Share of the workers' capacity that is in use while work waits; gangs and uneven needs leave the rest idle. */
export const USABLE_SHARE = 0.85
/** Time by which gangs are started before others of the same deadline, in milliseconds: room for all members takes that long to come together. */
const GANG_LEAD_MS = 3_000
/**
 * Time after its admission, or after an occurrence was due, by which a job without an objective is to start, in
 * milliseconds: it takes its place among the others by that, so that a standing overload doesn't keep it waiting for good.
 */
const UNTIMED_START_MS = 5_000
/** Latest starts that differ by less than this count as equal, in milliseconds; the plan is not renewed more often either. */
const RANK_STEP_MS = 250
/** Latest starts up to which the plan adds up what must have started by then, in milliseconds from now: each 1.5 times the last one. */
const HORIZONS_MS: readonly number[] = Array.from({ length: 14 }, (_, index) => 500 * 1.5 ** index)
/** Weight of a further job in the mean work of its queue: about the last fifty count. */
const MEAN_WEIGHT = 0.02
/** Factor in the value of jobs that their accounts are not owed: less than any owed job is worth for its capacity. */
const EXCESS_FACTOR = 1e-6

/**
 * 0: is to be on time; 1: could be on time, but only in place of others that are worth more for the same capacity; 2: late,
 * but can still count; 3: too late to count.
 */
export type Standing = 0 | 1 | 2 | 3

export interface QueuedJob {
  readonly job: Job
  readonly queue: JobQueue
}

/** A live job as the latest plan has it. Times are Unix milliseconds. */
export interface PlannedJob extends QueuedJob {
  /** Expected work in milliseconds of the whole cell: in all, and of the tasks that have no run. */
  readonly workMs: number
  readonly waitingMs: number
  /** Latest time at which the rest of the job must begin so that it is on time, and so that it counts at all. */
  readonly latestStartMs: number
  readonly uselessFromMs: number
  readonly objectiveMs: number
  readonly pathMs: number
  /** What the rest of the job is worth for the capacity that it takes. */
  readonly density: number
  /** Place among jobs that are to be on time. */
  readonly rank: number
  isShed: boolean
}

export interface WaitingPlanOptions {
  readonly durations: Durations
  /** Capacity of all workers beside what services hold. */
  readonly cell: () => ResourceVector
  /** Whether a job came beyond the rate that its account is owed. */
  readonly isExcess: (job: Job) => boolean
}

/** Decides which of the waiting jobs are to be on time when there is not enough room for all. */
export class WaitingPlan {
  private planned = new Map<Job, PlannedJob>()
  /** Mean work by queue, in milliseconds of a thousandth of a core: the cell's capacity changes, for instance while a new leader adopts its workers. */
  private readonly meanWork = new Map<string, { readonly mean: number, readonly jobs: number }>()

  /** Jobs that count in the mean work of their queue. */
  private readonly counted = new WeakSet<Job>()

  private constructor (private readonly options: WaitingPlanOptions) {}

  static create (options: WaitingPlanOptions): WaitingPlan {
    return new WaitingPlan(options)
  }

  // Queries

  all (): Iterable<PlannedJob> {
    return this.planned.values()
  }

  /** Mean work of the jobs of a queue in milliseconds of the whole cell; undefined if none has been seen. */
  meanWorkOf (queue: string): number | undefined {
    const known = this.meanWork.get(queue)
    return known === undefined ? undefined : known.mean / this.options.cell().milliCores
  }

  /** A job in the plan; undefined if it has come since then. */
  known (job: Job): PlannedJob | undefined {
    return this.planned.get(job)
  }

  /** A job in the plan; one that has come since then is looked at now. */
  of (queued: QueuedJob): PlannedJob {
    const known = this.planned.get(queued.job)
    if (known !== undefined) return known
    this.recordWork(queued)
    const job = this.assess(queued)
    this.planned.set(queued.job, job)
    return job
  }

  // Commands

  /** Assesses all live jobs again. */
  renew (jobs: Iterable<QueuedJob>, unixMs: number): void {
    const planned = new Map<Job, PlannedJob>()
    for (const queued of jobs) {
      this.recordWork(queued)
      planned.set(queued.job, this.assess(queued))
    }
    this.planned = planned
    shed([...planned.values()].filter(({ latestStartMs, waitingMs }) => Number.isFinite(latestStartMs) && latestStartMs >= unixMs && waitingMs > 0), unixMs)
  }

  private recordWork ({ job }: QueuedJob) {
    // Before a worker is known, nothing can be said of how much work a job is. How long a service runs isn't known at all.
    if (!isTimed(job) || this.counted.has(job) || this.options.cell().milliCores === 0) return
    this.counted.add(job)
    const { queue, spec } = job.record
    const workMs = totalWorkMsOf(spec.steps, this.options.durations.of(queue), this.options.cell())
    const work = workMs * this.options.cell().milliCores
    const { mean, jobs } = this.meanWork.get(queue) ?? { mean: work, jobs: 0 }
    this.meanWork.set(queue, { mean: mean + Math.max(MEAN_WEIGHT, 1 / (jobs + 1)) * (work - mean), jobs: jobs + 1 })
  }

  private assess ({ job, queue }: QueuedJob): PlannedJob {
    const { steps } = job.record.spec
    const { admittedAtMs } = job.record
    const known = this.options.durations.of(job.record.queue)
    const workMs = totalWorkMsOf(steps, known, this.options.cell())
    const liveSteps = [...job.liveSteps()]
    const waitingMs = workMsOf(liveSteps.map(({ spec, waitingTasks }) => ({ spec, tasks: waitingTasks })), known, this.options.cell())
    const density = valueDensityOf({ workMs, remainingMs: waitingMs, meanMs: this.meanWorkOf(job.record.queue) ?? workMs, priority: queue.priority }) * (this.options.isExcess(job) ? EXCESS_FACTOR : 1)
    const isGangWaiting = liveSteps.some(({ spec, waitingTasks }) => spec.gang && spec.count > 1 && waitingTasks > 0)
    const rankOf = (latestStartMs: number) => Math.floor((latestStartMs - (isGangWaiting ? GANG_LEAD_MS : 0)) / RANK_STEP_MS)
    if (!isTimed(job)) return { job, queue, workMs, waitingMs, density, latestStartMs: Infinity, uselessFromMs: Infinity, objectiveMs: Infinity, pathMs: Infinity, rank: rankOf(dueMsOf(job) + UNTIMED_START_MS), isShed: false }
    const occurrence = job.occurrences.get(0)
    const pathMs = pathMsOf(steps, known, step => occurrence === 'done' || occurrence?.[step]?.isDone() === true)
    const objectiveMs = expectedObjectiveMs(steps, known, queue)
    const latestStartMs = admittedAtMs + objectiveMs - pathMs
    return {
      job,
      queue,
      workMs,
      waitingMs,
      density,
      latestStartMs,
      uselessFromMs: admittedAtMs + usefulMsOf(objectiveMs) - pathMs,
      objectiveMs,
      pathMs,
      rank: rankOf(latestStartMs),
      isShed: this.planned.get(job)?.isShed === true
    }
  }
}

export function standingOf ({ latestStartMs, uselessFromMs, isShed }: PlannedJob, unixMs: number): Standing {
  if (unixMs > uselessFromMs) return 3
  if (unixMs > latestStartMs) return 2
  return isShed ? 1 : 0
}

/** Negative if the first job goes before the second one. */
export function compareJobs (a: PlannedJob, b: PlannedJob, unixMs: number): number {
  const standing = standingOf(a, unixMs)
  const difference = standing - standingOf(b, unixMs)
  if (difference !== 0) return difference
  if (standing === 0) return a.rank - b.rank
  return standing === 3 ? a.job.record.admittedAtMs - b.job.record.admittedAtMs : b.density - a.density
}

/**
 * Marks the jobs that can't be on time together with those that are worth more for the capacity that they take: the
 * latter are kept one by one, as long as everything kept can begin by its latest start.
 */
function shed (jobs: readonly PlannedJob[], unixMs: number) {
  const keptMs = HORIZONS_MS.map(() => 0)
  for (const job of [...jobs].sort((a, b) => b.density - a.density)) {
    job.isShed = !fitsBeside(keptMs, job, unixMs)
    if (!job.isShed) addTo(keptMs, job, unixMs)
  }
}

/** Whether a job that is not in the plan could be kept beside the jobs that are worth more for the capacity that they take. */
export function wouldBeKept (job: Pick<PlannedJob, 'density' | 'latestStartMs' | 'waitingMs'>, kept: readonly PlannedJob[], unixMs: number): boolean {
  const keptMs = HORIZONS_MS.map(() => 0)
  for (const other of kept) if (other.density >= job.density) addTo(keptMs, other, unixMs)
  return fitsBeside(keptMs, job, unixMs)
}

type StartingJob = Pick<PlannedJob, 'latestStartMs' | 'waitingMs'>

/** `keptMs`: work that must have started by each horizon. */
function fitsBeside (keptMs: readonly number[], { latestStartMs, waitingMs }: StartingJob, unixMs: number): boolean {
  const first = horizonOf(latestStartMs - unixMs)
  return HORIZONS_MS.every((horizonMs, index) => index < first || keptMs[index] === 0 || (keptMs[index] ?? 0) + waitingMs <= USABLE_SHARE * horizonMs)
}

function addTo (keptMs: number[], { latestStartMs, waitingMs }: StartingJob, unixMs: number) {
  for (let index = horizonOf(latestStartMs - unixMs); index < keptMs.length; index++) keptMs[index] = (keptMs[index] ?? 0) + waitingMs
}

function horizonOf (laxityMs: number): number {
  const horizon = HORIZONS_MS.findIndex(horizonMs => horizonMs >= laxityMs)
  return horizon < 0 ? HORIZONS_MS.length - 1 : horizon
}
