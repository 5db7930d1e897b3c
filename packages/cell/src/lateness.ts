import type { Job } from './jobs.js'
import type { JobQueue } from './types.js'

/** Multiple of the objective up to which a late job still counts. */
export const LATE_OBJECTIVE_FACTOR = 3
/** Minimum fraction of its estimated remaining time that a job is expected to take; estimates have a relative error of up to 0.9. */
const MIN_DURATION_SHARE = 0.5
/** The objective of a job allows time for one advice call per step, with this number of workers. */
export const ADVISED_WORKERS_PER_STEP = 30

/** Multiple of its estimated remaining time that a job is given when it is put off. */
const DEFERRED_DURATION_FACTOR = 2
/** Fraction of its objective that a job must have left beyond that to be put off. */
const DEFERRED_LAXITY_SHARE = 0.3
/** The same for a job that is put off because the processor is far too busy. */
const BRIEFLY_DEFERRED_DURATION_FACTOR = 1.5
const BRIEFLY_DEFERRED_LAXITY_SHARE = 0.1

/** Time after it was due from which a job without an objective is overdue, in milliseconds. */
const UNTIMED_OVERDUE_MS = 15_000

/** 0: the job can still meet its objective; 1: it will be late but can still count; 2: it is too late to count. */
export type Lateness = 0 | 1 | 2

/** Estimated critical path of a job and objective for its completion under one queue configuration, in milliseconds. */
interface Objective {
  readonly queue: JobQueue
  readonly criticalPathMs: number
  readonly objectiveMs: number
}

/** Cached because each scheduling round rates every waiting job, and an objective changes only with the configuration. */
const objectiveCache = new WeakMap<Job, Objective>()

/** Rates a job by its age and its remaining work. Jobs that can't be on time any more yield to others. */
export function latenessOf (job: Job, queue: JobQueue, unixMs: number): Lateness {
  if (!isTimed(job)) return 0
  const { criticalPathMs, objectiveMs } = objectiveOf(job, queue)
  const ageMs = unixMs - job.record.admittedAtMs
  if (ageMs + MIN_DURATION_SHARE * criticalPathMs <= objectiveMs) return 0
  const earliestEndMs = ageMs + MIN_DURATION_SHARE * remainingMs(job)
  if (earliestEndMs <= objectiveMs) return 0
  return earliestEndMs <= LATE_OBJECTIVE_FACTOR * objectiveMs ? 1 : 2
}

/** Whether a job can wait and still be on time, even if its remaining work takes much longer than estimated. */
export function canWait (job: Job, queue: JobQueue, unixMs: number): boolean {
  return hasLaxity(job, queue, unixMs, DEFERRED_DURATION_FACTOR, DEFERRED_LAXITY_SHARE)
}

/** Whether a job can wait a little and still be on time, if its remaining work takes about as long as estimated. */
export function canWaitBriefly (job: Job, queue: JobQueue, unixMs: number): boolean {
  return hasLaxity(job, queue, unixMs, BRIEFLY_DEFERRED_DURATION_FACTOR, BRIEFLY_DEFERRED_LAXITY_SHARE)
}

function hasLaxity (job: Job, queue: JobQueue, unixMs: number, durationFactor: number, laxityShare: number): boolean {
  if (!isTimed(job)) return false
  const { objectiveMs } = objectiveOf(job, queue)
  const laxityMs = objectiveMs - (unixMs - job.record.admittedAtMs) - durationFactor * remainingMs(job)
  return laxityMs > laxityShare * objectiveMs
}

/** Time from its admission within which a job should complete, in milliseconds; undefined for scheduled and long-running jobs. */
export function objectiveMsOf (job: Job, queue: JobQueue): number | undefined {
  return isTimed(job) ? objectiveOf(job, queue).objectiveMs : undefined
}

/** Whether a job is useful only soon after its admission. */
export function isTimed ({ record: { spec } }: Job): boolean {
  return spec.schedule === undefined && !spec.steps.some(({ longRunning }) => longRunning)
}

/** Unix time in milliseconds since which a job waits: its admission or, of a scheduled one, when its first occurrence that waits was due. */
export function dueMsOf (job: Job): number {
  const { admittedAtMs, spec: { schedule } } = job.record
  if (schedule === undefined) return admittedAtMs
  const waiting = [...job.liveSteps()].find(step => step.hasWaitingTasks())
  return Math.max(admittedAtMs, schedule.firstRunMs + (waiting?.occurrence ?? 0) * schedule.intervalMs)
}

/** Whether a job without an objective has been due for so long that it is to start like a job that is too late to count. */
export function isOverdue (job: Job, unixMs: number): boolean {
  return !isTimed(job) && unixMs - dueMsOf(job) > UNTIMED_OVERDUE_MS
}

function objectiveOf (job: Job, queue: JobQueue): Objective {
  const cached = objectiveCache.get(job)
  if (cached?.queue === queue) return cached
  const { steps } = job.record.spec
  const adviceCallMs = queue.advice === undefined ? 0 : queue.advice.decisionMs + ADVISED_WORKERS_PER_STEP * queue.advice.perWorkerMs
  const criticalPathMs = criticalPathOf(steps.map(({ estimateMs, after }) => ({ durationMs: estimateMs, after })))
  const advisedCriticalPathMs = criticalPathOf(steps.map(({ estimateMs, after }) => ({ durationMs: estimateMs + adviceCallMs, after })))
  const objective = { queue, criticalPathMs, objectiveMs: queue.targetLatencyMs + queue.slackFactor * advisedCriticalPathMs }
  objectiveCache.set(job, objective)
  return objective
}

/** Estimated critical path of the steps that aren't done, in milliseconds; 0 for scheduled jobs. */
export function remainingMs (job: Job): number {
  const steps = job.occurrences.get(0)
  if (steps === undefined || steps === 'done') return 0
  return criticalPathOf(steps.map(step => ({ durationMs: step.isDone() ? 0 : step.spec.estimateMs, after: step.spec.after })))
}

/** Length of the longest chain of steps, in milliseconds. */
export function criticalPathOf (steps: ReadonlyArray<{ readonly durationMs: number, readonly after: readonly number[] }>): number {
  const endTimesMs: number[] = []
  steps.forEach(({ durationMs, after }, index) => {
    endTimesMs[index] = durationMs + Math.max(0, ...after.filter(predecessor => predecessor < index).map(predecessor => endTimesMs[predecessor] ?? 0))
  })
  return Math.max(0, ...endTimesMs)
}
