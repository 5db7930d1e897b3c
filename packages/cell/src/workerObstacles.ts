import { fits } from './resources.js'
import type { Step } from './jobs.js'
import type { ResourceVector } from './types.js'
import type { WorkerLink } from './workerLink.js'
import { hostsStep } from './workerPreference.js'

/**
 * Why no task of a step can start on a worker now.
 * Of the worker, whatever the step:
 * - `unreachable`, `draining`, `not-in-roster` (the stored roster doesn't list it yet), `suspended` (after failures or as slow), `maintenance`
 * - `unknown-runs`: it has runs of jobs that the leader hasn't read
 * - `starts-unconfirmed`: as many starts are under way as it confirms in time
 * - `refused-start`: it refused a start a moment ago
 * - `exclusive-run`: a task is there beside which nothing may start, or nothing but lasting tasks some seconds after its start
 * Of the step there:
 * - `other-service`, `label`, `too-small` (for one task even when empty)
 * - `reserved`: kept free for a gang, a task that must run alone, a lasting task that has waited, or late work whose turn it is
 * - `on-trial`: has been slow or interrupted, and takes no gang and one task at first
 * - `policy-refused`, `no-ticket`: by the placement policy of the queue
 * - `not-empty`: the task must run alone, because workers have crashed under it
 * - `no-processor`, `no-memory`, `no-accelerator`: too little is free
 * - `max-per-worker`: has as many tasks of the step as may be on one worker
 * - `idle-capacity`: has no idle processor time, or hosts tasks with a latency target
 * - `avoided`: a run of the task, or of its gang, has failed or stalled there
 */
export type WorkerObstacle =
  | 'unreachable' | 'draining' | 'not-in-roster' | 'suspended' | 'maintenance' | 'unknown-runs' | 'starts-unconfirmed' | 'refused-start' | 'exclusive-run'
  | 'other-service' | 'label' | 'too-small' | 'reserved' | 'on-trial' | 'policy-refused' | 'no-ticket' | 'not-empty'
  | 'no-processor' | 'no-memory' | 'no-accelerator' | 'max-per-worker' | 'idle-capacity' | 'avoided'

/** Why a task of a step doesn't fit on a worker with this free capacity, beside `planned` further ones; undefined if it does. */
export function roomObstacle (step: Step, worker: WorkerLink, free: ResourceVector, planned = 0): WorkerObstacle | undefined {
  const { need, spec: { usesIdleCapacity } } = step
  if (!fits(need, free)) return need.milliCores > free.milliCores ? 'no-processor' : need.memoryMb > free.memoryMb ? 'no-memory' : 'no-accelerator'
  if (slotsWithinLimit(step, worker) <= planned) return 'max-per-worker'
  return usesIdleCapacity && (free.milliCores <= 0 || hostsStep(worker, other => other.hasLatencyTarget())) ? 'idle-capacity' : undefined
}

/** Number of tasks of the step that may still start on a worker under the step's `maxPerWorker`. */
export function slotsWithinLimit (step: Step, worker: WorkerLink): number {
  const { maxPerWorker } = step.spec
  if (maxPerWorker === 0) return Infinity
  let count = 0
  for (const { task } of worker.runs.values()) if (task?.step === step) count++
  return maxPerWorker - count
}
