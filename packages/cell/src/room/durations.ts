import type { Run, Step } from '../jobs.js'

/** Weight of each further step in the means of its queue: about the last fifty count. */
const MEAN_WEIGHT = 0.02
/** Number of ended steps from which on a queue's mean is used. */
const MIN_STEPS = 10
/** Squared relative error that is assumed of estimates, and of means, until more is known. */
const ASSUMED_ERROR = 0.25

/**
 * Bounds of an expected duration, in milliseconds: values and orders are quotients of durations. The longest is far beyond
 * that of a task that ends, and its products with numbers of tasks are finite.
 */
const MIN_EXPECTED_MS = 1
const MAX_EXPECTED_MS = 7 * 86_400_000
/** Expected duration of a task of which neither its caller nor its queue says anything, in milliseconds. */
const UNKNOWN_MS = 1_000

/** What is known of the tasks of a queue. */
export interface TaskDurations {
  readonly meanMs: number
  /** Weight of a caller's estimate against the mean, from 0 to 1. */
  readonly estimateWeight: number
}

interface MeasuredDurations {
  readonly steps: number
  readonly meanMs: number
  /** Mean squared errors of the callers' estimates and of the mean, relative to the mean. */
  readonly estimateError: number
  readonly meanError: number
}

/** Expected duration of a task, in milliseconds; that of its caller if nothing is known of its queue. An estimate of 0 stands for an unknown one. */
export function expectedMs (known: TaskDurations | undefined, estimateMs: number): number {
  const isEstimated = estimateMs > 0
  const meanMs = known?.meanMs ?? UNKNOWN_MS
  const estimateWeight = isEstimated ? known?.estimateWeight ?? 1 : 0
  const expected = estimateWeight === 0 ? meanMs : estimateWeight * Math.min(MAX_EXPECTED_MS, estimateMs) + (1 - estimateWeight) * meanMs
  return Math.min(MAX_EXPECTED_MS, Math.max(MIN_EXPECTED_MS, expected))
}

/** Measures the durations of tasks by queue: callers' estimates may be wrong by 90%, so the queue's mean counts as well, by how wrong either has been. */
export class Durations {
  private readonly queues = new Map<string, MeasuredDurations>()

  private constructor () {}

  static create (): Durations {
    return new Durations()
  }

  // Queries

  /** Undefined until enough steps of the queue have ended. */
  of (queue: string): TaskDurations | undefined {
    const known = this.queues.get(queue)
    if (known === undefined || known.steps < MIN_STEPS) return undefined
    return { meanMs: known.meanMs, estimateWeight: known.meanError / Math.max(Number.EPSILON, known.meanError + known.estimateError) }
  }

  // Commands

  /** Records the run that did a task; `now` is a monotonic time in milliseconds. Services run for as long as they are wanted. */
  recordRun (step: Step, run: Run, now: number): void {
    if (run.id.index === 0 && !step.spec.longRunning) this.record(step, now - run.startedAt)
  }

  /** Records how long a task of a step ran until it was done, in milliseconds; once for each step, so that wide ones don't count more. */
  record ({ job, spec }: Step, ranMs: number): void {
    const { queue } = job.record
    const isEstimated = spec.estimateMs > 0
    const { steps, meanMs, estimateError, meanError } = this.queues.get(queue) ?? { steps: 0, meanMs: ranMs, estimateError: ASSUMED_ERROR, meanError: ASSUMED_ERROR }
    const errorOf = (ms: number) => ((ms - ranMs) / Math.max(1, meanMs)) ** 2
    this.queues.set(queue, {
      steps: steps + 1,
      meanMs: meanMs + Math.max(MEAN_WEIGHT, 1 / (steps + 1)) * (ranMs - meanMs),
      estimateError: estimateError + (isEstimated ? MEAN_WEIGHT * (errorOf(Math.min(MAX_EXPECTED_MS, spec.estimateMs)) - estimateError) : 0),
      meanError: meanError + MEAN_WEIGHT * (errorOf(meanMs) - meanError)
    })
  }
}
