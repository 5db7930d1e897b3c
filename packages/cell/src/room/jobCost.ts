import type { Job } from '../jobs.js'
import { ADVISED_WORKERS_PER_STEP, LATE_OBJECTIVE_FACTOR, criticalPathOf } from '../lateness.js'
import type { JobQueue, ResourceVector, StepSpec } from '../types.js'
import { expectedMs } from './durations.js'
import type { TaskDurations } from './durations.js'

/** Part of the value of a job that doesn't depend on its work; the rest grows with its work against the mean of its queue. */
const FIXED_VALUE_SHARE = 0.3
/** Largest value of a job as a multiple of that of its queue's mean one. */
const MAX_RELATIVE_VALUE = 4
/**
 * Factor in value per work from the highest priority to the next one, so that its jobs are put off for no more than some
 * very small others, and from each further one to the next, so that the higher one is kept among jobs of like work.
 */
const FIRST_PRIORITY_FACTOR = 4
const PRIORITY_FACTOR = 1.5

/** Processor time of the leader for the start of a task, in milliseconds: docs/CAPACITY.md, on a core of its own. */
const START_PROCESSOR_MS = 1.6
/** Time for which a task of a service counts as work, in milliseconds. */
const SERVICE_TASK_MS = 4_000

/** What decides on the cost of a start. */
export interface StartCostTerms {
  readonly queue: Pick<JobQueue, 'advice'>
  readonly known: TaskDurations | undefined
  readonly cell: ResourceVector
  /** Number of daemons that can ask for placement advice. */
  readonly agents: number
  /** Whether the leader has no processor time left, so that starts count by what they take of it. */
  readonly isProcessorFull: boolean
}

/** A step with the part of it that is counted. */
export interface CountedStep {
  readonly spec: StepSpec
  readonly tasks: number
}

/** Time in which all workers together would do the steps if nothing were left idle, in milliseconds. */
export function workMsOf (steps: readonly CountedStep[], known: TaskDurations | undefined, cell: ResourceVector): number {
  return steps.reduce((sum, { spec, tasks }) => tasks === 0 ? sum : sum + tasks * cellShareOf(spec.need, cell) * expectedMs(known, spec.estimateMs), 0)
}

/** The same for all tasks of the steps. */
export function totalWorkMsOf (steps: readonly StepSpec[], known: TaskDurations | undefined, cell: ResourceVector): number {
  return workMsOf(steps.map(spec => ({ spec, tasks: spec.count })), known, cell)
}

/** Part of the cell that a task takes, of the resource of which it takes most; above 0, as a task without needs takes time to start as well. */
export function cellShareOf (need: ResourceVector, cell: ResourceVector): number {
  return Math.max(Math.max(1, need.milliCores) / Math.max(1, cell.milliCores), need.memoryMb / Math.max(1, cell.memoryMb), need.accelerators / Math.max(1, cell.accelerators))
}

/** Part of the cell that is kept free for a job: for whole gangs, and for one task of each other step that can start. */
export function reservedShareOf (job: Job, cell: ResourceVector): number {
  return [...job.liveSteps()].filter(step => step.obstacle() === undefined).reduce((sum, { spec: { gang, count, need } }) => sum + (gang ? count : 1) * cellShareOf(need, cell), 0)
}

/**
 * What starting tasks takes of a cell, in milliseconds of that of which it takes most: all workers, all agents or, while
 * that is scarce, the leader's processor. How long a service runs is not known, so its tasks count for a fixed time.
 */
export function startCostMsOf (steps: readonly CountedStep[], { queue, known, cell, agents, isProcessorFull }: StartCostTerms): number {
  const workersMs = steps.reduce((sum, { spec, tasks }) => sum + tasks * cellShareOf(spec.need, cell) * (spec.longRunning ? SERVICE_TASK_MS : expectedMs(known, spec.estimateMs)), 0)
  const leaderMs = isProcessorFull ? steps.reduce((sum, { tasks }) => sum + tasks * START_PROCESSOR_MS, 0) : 0
  return Math.max(workersMs, adviceMsOf(queue, agents), leaderMs)
}

/** Time that all agents together take for the advice on a step, in milliseconds. */
function adviceMsOf ({ advice }: Pick<JobQueue, 'advice'>, agents: number): number {
  return advice === undefined ? 0 : (advice.decisionMs + ADVISED_WORKERS_PER_STEP * advice.perWorkerMs) / Math.max(1, agents)
}

/** Time that the longest chain of steps takes, without those that are done, in milliseconds. */
export function pathMsOf (steps: readonly StepSpec[], known: TaskDurations | undefined, isDone: (step: number) => boolean = () => false): number {
  return criticalPathOf(steps.map(({ estimateMs, after }, index) => ({ durationMs: isDone(index) ? 0 : expectedMs(known, estimateMs), after })))
}

/** Time from its admission within which a job should end, by the expected durations of its tasks, in milliseconds. */
export function expectedObjectiveMs (steps: readonly StepSpec[], known: TaskDurations | undefined, { slackFactor, targetLatencyMs, advice }: JobQueue): number {
  const adviceMs = adviceMsOf({ advice }, 1)
  return targetLatencyMs + slackFactor * criticalPathOf(steps.map(({ estimateMs, after }) => ({ durationMs: expectedMs(known, estimateMs) + adviceMs, after })))
}

/** Time from its admission within which a job must end to count at all, in milliseconds. */
export function usefulMsOf (objectiveMs: number): number {
  return LATE_OBJECTIVE_FACTOR * objectiveMs
}

/**
 * Value of a job for each millisecond of the cell that its remaining work takes, relative to a job of its queue's mean
 * work at the highest priority. What a queue's jobs are worth isn't known; it is taken to grow with their mean work.
 */
export function valueDensityOf ({ workMs, remainingMs, meanMs, priority }: { readonly workMs: number, readonly remainingMs: number, readonly meanMs: number, readonly priority: number }): number {
  const value = Math.min(MAX_RELATIVE_VALUE, FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * workMs / Math.max(Number.EPSILON, meanMs))
  return value * meanMs / Math.max(Number.EPSILON, remainingMs) / (priority === 0 ? 1 : FIRST_PRIORITY_FACTOR * PRIORITY_FACTOR ** (priority - 1))
}
