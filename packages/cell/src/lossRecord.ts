import type { Task } from './jobs.js'
import type { LossReason } from './workerLink.js'

/** What a run that its worker did not list as finished means for the crashes of its task. */
export const RECORD_LOSS: Readonly<Record<LossReason, (task: Task, run: number) => void>> = {
  // The crash is recorded apart; a worker that has announced that it leaves has ended the run.
  'worker-restarted': (task, run) => task.closeRun(run),
  // The worker may have crashed: that is known when it is back.
  'lease-lapsed': () => {},
  'not-listed': (task, run) => task.step.recordEnd(task, run),
  'not-started': (task, run) => task.step.withdrawStart(task, run)
}
