import type { Job } from '../jobs.js'
import type { CellMetrics } from '../metrics.js'
import type { ResourceVector, StepSpec } from '../types.js'
import type { TaskDurations } from './durations.js'
import { totalWorkMsOf, valueDensityOf } from './jobCost.js'
import { LATE_SHARE } from './lateShare.js'
import { USABLE_SHARE, standingOf, wouldBeKept } from './waitingPlan.js'
import type { PlannedJob } from './waitingPlan.js'

/** Upper bounds of the work of the jobs of a size class, as multiples of the mean of their queue; the last one has none. */
const SIZE_BOUNDS: readonly number[] = [0.4, 0.8, 1.25, 2.5]
/** Work of a job that stands for its class. */
const SIZES: readonly number[] = [0.25, 0.6, 1, 1.75, 4]
/** Number of size classes. */
export const SIZE_CLASSES = SIZES.length
/** Part of a job's value for its capacity from which on waiting jobs count as worth as much; of two such, the earlier one goes first. */
const LIKE_VALUE_SHARE = 0.9
/** Time over which arriving work is averaged, in milliseconds: as short as bursts that last for some seconds allow. */
const INFLOW_WINDOW_MS = 2_000
/** Age from which on a forecast counts for nothing, in milliseconds: a burst may have ended since. */
export const MAX_FORECAST_AGE_MS = 1_000
/** Weight of a further job in the means of its queue and class. */
const MEAN_WEIGHT = 0.05
/** Waiting work from which on the cell counts as overloaded, in milliseconds of the whole cell. */
const OVERLOADED_MS = 1_000
/** Time for which an overload is expected to go on, as a multiple of that for which it has lasted. */
const LASTING_FACTOR = 1
/**
 * Weight of a further start in the correction of its class, and bound of it in milliseconds. The model knows nothing of
 * gangs that wait for room on many workers and of advice calls, and jobs are kept again when others have started.
 */
const CORRECTION_WEIGHT = 0.1
const MAX_CORRECTION_MS = 20_000
/** Age from which on a job that is seen first tells nothing of the forecast at its admission, in milliseconds. */
const MAX_ADMISSION_AGE_MS = 1_000

/** When jobs of one size would start, in milliseconds from now. */
export interface ClassForecast {
  /** As expected. */
  readonly startInMs: number
  /** If what can't be known turns out well: nothing more arrives, no capacity is left idle, and only what is worth more goes ahead. */
  readonly earliestStartInMs: number
}

/** When a job that is admitted to a queue now would start. */
export interface QueueForecast {
  /** Capacity of all workers beside what services hold. */
  readonly cell: ResourceVector
  /** Missing until enough tasks of the queue have ended. */
  readonly durations?: TaskDurations
  /** Mean work of the queue's jobs in milliseconds of the whole cell. */
  readonly meanWorkMs: number
  /** By size, the smallest first; see `sizeClassOf`. */
  readonly classes: readonly ClassForecast[]
  /** Time by which the wait becomes shorter in each millisecond, from 0 to 1. */
  readonly decline: number
  /** Time since the forecast was made when the leader reported it, in milliseconds; missing in reports of earlier versions. */
  readonly ageMs?: number
}

/** Index of the size class of a job among the forecasts of its queue. */
function sizeClassOf (workMs: number, meanWorkMs: number): number {
  const index = SIZE_BOUNDS.findIndex(bound => workMs <= bound * meanWorkMs)
  return index < 0 ? SIZE_BOUNDS.length : index
}

/** When a job with these steps would start by the forecast of its queue. */
export function startForecastOf ({ cell, durations, meanWorkMs, classes }: QueueForecast, steps: readonly StepSpec[]): ClassForecast & { readonly sizeClass: number } {
  const sizeClass = sizeClassOf(totalWorkMsOf(steps, durations, cell), meanWorkMs)
  const { startInMs = 0, earliestStartInMs = 0 } = classes[sizeClass] ?? {}
  return { sizeClass, startInMs, earliestStartInMs }
}

interface QueueState {
  /** Mean time after the admission until which a job must start to be on time, and mean time that it then takes, in milliseconds. */
  meanLaxityMs: number
  meanPathMs: number
  priority: number
  /** Arriving work in milliseconds of the whole cell for each millisecond, and what has arrived since the last renewal. */
  inflow: number
  arrivedMs: number
  correctionsMs: number[]
  classes: readonly ClassForecast[]
}

interface Admission {
  readonly admittedAtMs: number
  readonly sizeClass: number
  readonly startInMs: number
  readonly endInMs: number
  hasStarted: boolean
}

/** What goes ahead of a new job, in milliseconds of the whole cell. */
interface Ahead {
  readonly workMs: number
  /** The part of it that goes ahead even in a favourable reading. */
  readonly certainMs: number
  /** Arriving work that goes ahead of it as well, and the time for which it does; in milliseconds. */
  readonly inflow: number
  readonly inflowMs: number
}

/** Forecasts when jobs start, by queue and size, from a summary of what waits; renewed some times a second, read with each admission. */
export class Forecast {
  private readonly queues = new Map<string, QueueState>()
  private readonly admissions = new WeakMap<Job, Admission>()
  private renewedAt = -Infinity
  /** Monotonic time at which the overload began, in milliseconds; undefined while there is none. */
  private overloadedSince: number | undefined
  private decline = 1

  private constructor (private readonly meanWorkOf: (queue: string) => number | undefined, private readonly metrics: CellMetrics) {}

  /** `meanWorkOf`: mean work of the jobs of a queue in milliseconds of the whole cell. */
  static create (meanWorkOf: (queue: string) => number | undefined, metrics: CellMetrics): Forecast {
    return new Forecast(meanWorkOf, metrics)
  }

  // Queries

  /** Undefined until a job of the queue has been seen. */
  of (queue: string): Pick<QueueForecast, 'meanWorkMs' | 'classes' | 'decline'> | undefined {
    const { classes = [] } = this.queues.get(queue) ?? {}
    const meanWorkMs = this.meanWorkOf(queue)
    return meanWorkMs === undefined || classes.length === 0 ? undefined : { meanWorkMs, classes, decline: this.decline }
  }

  // Commands

  /** Takes in what waits; `now` is a monotonic time in milliseconds. */
  renew (jobs: Iterable<PlannedJob>, unixMs: number, now: number): void {
    const waiting: PlannedJob[] = []
    for (const job of jobs) {
      this.noteAdmission(job, unixMs)
      // The work of a service isn't known, and schedules are not refused in place of other jobs.
      if (job.waitingMs > 0 && Number.isFinite(job.latestStartMs)) waiting.push(job)
    }
    this.renewInflow(now)
    const totalMs = waiting.reduce((sum, { waitingMs }) => sum + waitingMs, 0)
    this.overloadedSince = totalMs < OVERLOADED_MS ? undefined : this.overloadedSince ?? now
    const overloadedMs = this.overloadedSince === undefined ? 0 : now - this.overloadedSince
    this.decline = Math.min(1, Math.max(LATE_SHARE, 1 - this.inflowOf(() => true) / USABLE_SHARE))
    const kept = waiting.filter(job => standingOf(job, unixMs) === 0)
    const others = waiting.filter(job => standingOf(job, unixMs) === 1 || standingOf(job, unixMs) === 2)
    for (const [name, state] of this.queues) {
      const meanWorkMs = this.meanWorkOf(name)
      if (meanWorkMs === undefined) continue
      state.classes = SIZES.map((size, index): ClassForecast => {
        const ahead = this.aheadOf(state, size * meanWorkMs, meanWorkMs, { kept, others }, unixMs)
        return {
          startInMs: Math.round(Math.max(0, waitMs({ ...ahead, inflowMs: Math.min(ahead.inflowMs, LASTING_FACTOR * overloadedMs) }, USABLE_SHARE) + (state.correctionsMs[index] ?? 0))),
          earliestStartInMs: Math.round(ahead.certainMs)
        }
      })
    }
  }

  recordStart (job: Job, unixMs: number): void {
    const admission = this.admissions.get(job)
    if (admission === undefined || admission.hasStarted) return
    admission.hasStarted = true
    const { queue } = job.record
    const errorMs = unixMs - admission.admittedAtMs - admission.startInMs
    this.metrics.observe(`forecast_start_error_ms_${queue}`, Math.abs(errorMs))
    const state = this.queues.get(queue)
    if (state === undefined) return
    const corrected = (state.correctionsMs[admission.sizeClass] ?? 0) + CORRECTION_WEIGHT * errorMs
    state.correctionsMs[admission.sizeClass] = Math.min(MAX_CORRECTION_MS, Math.max(-MAX_CORRECTION_MS, corrected))
  }

  recordEnd (job: Job, unixMs: number): void {
    const admission = this.admissions.get(job)
    if (admission !== undefined) this.metrics.observe(`forecast_end_error_ms_${job.record.queue}`, Math.abs(unixMs - admission.admittedAtMs - admission.endInMs))
  }

  /** Takes in a job that is seen for the first time. */
  noteAdmission ({ job, workMs, latestStartMs, pathMs, queue }: PlannedJob, unixMs: number): void {
    const { admittedAtMs, queue: name } = job.record
    if (this.admissions.has(job) || !Number.isFinite(latestStartMs) || job.hasStarted || unixMs - admittedAtMs > MAX_ADMISSION_AGE_MS) return
    const state = this.queues.get(name) ?? {
      meanLaxityMs: latestStartMs - admittedAtMs, meanPathMs: pathMs, priority: queue.priority, inflow: 0, arrivedMs: 0, correctionsMs: SIZES.map(() => 0), classes: []
    }
    this.queues.set(name, state)
    state.meanLaxityMs += MEAN_WEIGHT * (latestStartMs - admittedAtMs - state.meanLaxityMs)
    state.meanPathMs += MEAN_WEIGHT * (pathMs - state.meanPathMs)
    state.priority = queue.priority
    state.arrivedMs += workMs
    const sizeClass = sizeClassOf(workMs, this.meanWorkOf(name) ?? workMs)
    const startInMs = state.classes[sizeClass]?.startInMs ?? 0
    this.admissions.set(job, { admittedAtMs, sizeClass, startInMs, endInMs: startInMs + pathMs, hasStarted: false })
  }

  private renewInflow (now: number) {
    const elapsedMs = this.renewedAt === -Infinity ? 0 : now - this.renewedAt
    this.renewedAt = now
    for (const state of this.queues.values()) {
      if (elapsedMs > 0) state.inflow += (1 - Math.exp(-elapsedMs / INFLOW_WINDOW_MS)) * (state.arrivedMs / elapsedMs - state.inflow)
      state.arrivedMs = 0
    }
  }

  private inflowOf (isCounted: (state: QueueState) => boolean): number {
    let inflow = 0
    for (const state of this.queues.values()) if (isCounted(state)) inflow += state.inflow
    return inflow
  }

  private aheadOf ({ meanLaxityMs, priority }: QueueState, workMs: number, meanWorkMs: number, { kept, others }: { readonly kept: readonly PlannedJob[], readonly others: readonly PlannedJob[] }, unixMs: number): Ahead {
    const density = valueDensityOf({ workMs, remainingMs: workMs, meanMs: meanWorkMs, priority })
    const isDenser = (job: PlannedJob) => job.density >= LIKE_VALUE_SHARE * density
    const isKept = wouldBeKept({ density: LIKE_VALUE_SHARE * density, waitingMs: workMs, latestStartMs: unixMs + meanLaxityMs }, kept, unixMs)
    const urgentMs = sumOf(kept.filter(({ latestStartMs }) => latestStartMs <= unixMs + meanLaxityMs))
    const urgent: Ahead = {
      workMs: urgentMs,
      certainMs: urgentMs,
      inflow: this.inflowOf(other => other.meanLaxityMs < meanLaxityMs),
      inflowMs: meanLaxityMs
    }
    if (isKept && waitMs(urgent, USABLE_SHARE) <= meanLaxityMs) return urgent
    // It will be late, so that all that can be on time goes first.
    const denserMs = sumOf(others.filter(isDenser))
    return { workMs: sumOf(kept) + denserMs, certainMs: sumOf(kept.filter(isDenser)) + denserMs, inflow: this.inflowOf(() => true), inflowMs: Infinity }
  }
}

/** Time until what goes ahead has started, at a part of the capacity. */
function waitMs ({ workMs, inflow, inflowMs }: Ahead, usableShare: number): number {
  // What arrives beyond the capacity doesn't go ahead of anything.
  const arriving = Math.min(inflow, usableShare)
  return Math.min(workMs / Math.max(LATE_SHARE, usableShare - arriving), (workMs + arriving * inflowMs) / usableShare)
}

function sumOf (jobs: readonly PlannedJob[]): number {
  return jobs.reduce((sum, { waitingMs }) => sum + waitingMs, 0)
}
