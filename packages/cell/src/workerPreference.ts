import type { Clock } from '@citronnotch/base/clock'
import type { Job, Step } from './jobs.js'
import { canWait } from './lateness.js'
import type { JobQueue } from './types.js'
import type { WorkerHealth } from './workerHealth.js'
import type { WorkerLink } from './workerLink.js'

/** Penalty for urgent work on a worker that is on trial, as that for a worker on which a run has failed. */
const TRIAL_PENALTY = 2
/** The same for work that can wait, which is chosen for the trial. */
const TRIAL_PENALTY_OF_DEFERRABLE = -1

/** Penalty for running beside a task that may have crashed a worker, or for starting such a task beside others. */
const SUSPECT_PENALTY = 3

/** What speaks against starts on a worker. */
export interface WorkerRatings {
  /** Whether other workers are preferred because of recent failures on this one. */
  readonly isSuspect: (worker: WorkerLink, now: number) => boolean
  /** Penalty points for tasks of a step on a worker that is on trial; Infinity if none may start there now. */
  readonly trialPenalty: (worker: WorkerLink, step: Step) => number
}

export interface RatingOptions {
  readonly health: WorkerHealth
  /** The queue of a job; undefined if nothing is known of it. */
  readonly queue: (job: Job) => JobQueue | undefined
  readonly clock: Clock
}

/** Rates workers by their health. One that is on trial gets one task at first, of work that can wait if there is any, and no gang. */
export function ratingsOf ({ health, queue: queueOf, clock }: RatingOptions): WorkerRatings {
  return {
    isSuspect: (worker, now) => health.isSuspect(worker.id, now),
    trialPenalty: (worker, { job, spec }) => {
      if (!health.isOnTrial(worker.id)) return 0
      if (spec.gang || worker.runs.size > 0) return Infinity
      const queue = queueOf(job)
      return queue !== undefined && canWait(job, queue, clock.date().getTime()) ? TRIAL_PENALTY_OF_DEFERRABLE : TRIAL_PENALTY
    }
  }
}

/** Penalty points for a task of the step on a worker; `isTaskSuspect`: workers may have crashed under the task. */
export function penaltyOf (worker: WorkerLink, step: Step, { isWorkerSuspect, isTaskSuspect }: { readonly isWorkerSuspect: boolean, readonly isTaskSuspect: boolean }): number {
  const { affinityRack } = step.spec
  const isOffAffinityRack = affinityRack !== '' && !worker.entry.labels.includes(affinityRack)
  const hasIdleCapacityTasks = step.hasLatencyTarget() && hostsStep(worker, other => other.spec.usesIdleCapacity)
  return (step.avoidedWorkers.has(worker.id) || isWorkerSuspect ? 2 : 0) + (isOffAffinityRack ? 1 : 0) + (hasIdleCapacityTasks ? 1 : 0) +
    (worker.hasSuspectRun() || (isTaskSuspect && worker.runs.size > 0) ? SUSPECT_PENALTY : 0)
}

export function hostsStep (worker: WorkerLink, matches: (step: Step) => boolean): boolean {
  for (const { task } of worker.runs.values()) if (task !== undefined && matches(task.step)) return true
  return false
}
