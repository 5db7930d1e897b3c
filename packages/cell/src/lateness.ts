import type { Job } from './jobs.js'
import type { Queue } from './types.js'

/** A late job counts until this multiple of its objective. */
const LATE_MULTIPLE = 3
/** Part of the estimated work left that is sure to take its time; estimates are off by up to 0.9. */
const SURE_SHARE = 0.5
/** Workers named in the call for advice that the objective allows for each step. */
const ADVISED_WORKERS = 30

/** 0 while a job can still meet its objective, 1 while it can still count as late, 2 after that. */
export type Lateness = 0 | 1 | 2

/** What a job's steps and its queue say of its time, in milliseconds. */
interface Objective {
  readonly queue: Queue
  readonly chainMs: number
  readonly objectiveMs: number
}

/** A pass judges every waiting job, and a job's objective changes only with the configuration. */
const objectives = new WeakMap<Job, Objective>()

/** Judges a job by the time that it has taken and the work that is left: what can't be in time any more yields. */
export function latenessOf (job: Job, queue: Queue, unixMs: number): Lateness {
  const { schedule, steps } = job.record.spec
  // A job that lasts earns as long as it is at work, whatever its age.
  if (schedule !== undefined || steps.some(({ longRunning }) => longRunning)) return 0
  const { chainMs, objectiveMs } = objectiveOf(job, queue)
  const ageMs = unixMs - job.record.admittedAtMs
  if (ageMs + SURE_SHARE * chainMs <= objectiveMs) return 0
  const endsMs = ageMs + SURE_SHARE * remainingMs(job)
  if (endsMs <= objectiveMs) return 0
  return endsMs <= LATE_MULTIPLE * objectiveMs ? 1 : 2
}

function objectiveOf (job: Job, queue: Queue): Objective {
  const known = objectives.get(job)
  if (known?.queue === queue) return known
  const { steps } = job.record.spec
  const adviceMs = queue.advice === undefined ? 0 : queue.advice.decisionMs + ADVISED_WORKERS * queue.advice.perWorkerMs
  const chainMs = longestChain(steps.map(({ estimateMs, after }) => ({ takesMs: estimateMs, after })))
  const advisedMs = longestChain(steps.map(({ estimateMs, after }) => ({ takesMs: estimateMs + adviceMs, after })))
  const objective = { queue, chainMs, objectiveMs: queue.targetLatencyMs + queue.slackFactor * advisedMs }
  objectives.set(job, objective)
  return objective
}

function remainingMs (job: Job): number {
  const live = job.occurrences.get(0)
  if (live === undefined || live === 'done') return 0
  return longestChain(live.map(step => ({ takesMs: step.isDone() ? 0 : step.spec.estimateMs, after: step.spec.after })))
}

function longestChain (steps: ReadonlyArray<{ readonly takesMs: number, readonly after: readonly number[] }>): number {
  const ends: number[] = []
  steps.forEach(({ takesMs, after }, index) => {
    ends[index] = takesMs + Math.max(0, ...after.filter(each => each < index).map(each => ends[each] ?? 0))
  })
  return Math.max(0, ...ends)
}
