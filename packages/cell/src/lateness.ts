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

/** Judges a job by the time that it has taken and the work that is left: what can't be in time any more yields. */
export function latenessOf (job: Job, queue: Queue, unixMs: number): Lateness {
  const { schedule, steps } = job.record.spec
  // A job that lasts earns as long as it is at work, whatever its age.
  if (schedule !== undefined || steps.some(({ longRunning }) => longRunning)) return 0
  const adviceMs = queue.advice === undefined ? 0 : queue.advice.decisionMs + ADVISED_WORKERS * queue.advice.perWorkerMs
  const chainMs = longestChain(steps.map(({ estimateMs, after }) => ({ takesMs: estimateMs + adviceMs, after })))
  const objectiveMs = queue.targetLatencyMs + queue.slackFactor * chainMs
  const endsMs = unixMs - job.record.admittedAtMs + SURE_SHARE * remainingMs(job)
  if (endsMs <= objectiveMs) return 0
  return endsMs <= LATE_MULTIPLE * objectiveMs ? 1 : 2
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
