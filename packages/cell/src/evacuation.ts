import type { Run } from './jobs.js'
import { fits } from './resources.js'
import type { WorkerLink } from './workerLink.js'

/** Progress in percent from which the rate of a run is a better basis than the estimate of the caller. */
const MIN_MEASURED_PERCENT = 5

/**
 * Finds the runs that end with a worker that is about to leave: they can't finish before, so they are moved while the
 * worker still reports their checkpoints. A run that is lost with its worker has to wait until its lease expires.
 */
export function runsToMove (workers: Iterable<WorkerLink>, isUsable: (worker: WorkerLink) => boolean, now: number): readonly Run[] {
  const all = [...workers]
  return all.flatMap(worker => {
    const leavesInMs = worker.leavesInMs()
    if (leavesInMs === undefined || !worker.isAdopted) return []
    const others = all.filter(other => other.entry.service === worker.entry.service && other.canStart() && isUsable(other))
    return [...worker.runs.values()].filter(run => {
      const need = run.need()
      if (run.state !== 'running' || need === undefined || remainingMs(run, now) <= leavesInMs) return false
      return others.some(other => fits(need, other.freeCapacity()))
    })
  })
}

/** Time until a run finishes, from its progress so far or from the caller's estimate; infinite for long-running tasks. */
function remainingMs (run: Run, now: number): number {
  const { percent, startedAt, startPercent, task } = run
  if (task?.step.spec.longRunning === true) return Infinity
  const gainedPercent = percent - startPercent
  const msPerPercent = gainedPercent >= MIN_MEASURED_PERCENT ? (run.progressAt - startedAt) / gainedPercent : (task?.step.spec.estimateMs ?? 0) / 100
  return Math.max(0, msPerPercent * (100 - percent) - (now - run.progressAt))
}
