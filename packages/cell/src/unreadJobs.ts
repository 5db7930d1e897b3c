import { formatTaskId } from './types.js'
import type { TaskId } from './types.js'

/** Jobs that a leader hasn't read yet, with the runs that workers list of them. */
export class UnreadJobs {
  private readonly runs = new Map<string, Set<string>>()

  private constructor () {}

  static create (): UnreadJobs {
    return new UnreadJobs()
  }

  /** Whether a worker has listed a run of the job that was not removed. */
  has (jobId: string): boolean {
    return this.runs.has(jobId)
  }

  add (task: TaskId, run: number, workerId: string): void {
    const runs = this.runs.get(task.jobId) ?? new Set()
    this.runs.set(task.jobId, runs.add(keyOf(task, run, workerId)))
  }

  /** Has no effect on a run that was not added. */
  remove (task: TaskId, run: number, workerId: string): void {
    const runs = this.runs.get(task.jobId)
    if (runs?.delete(keyOf(task, run, workerId)) === true && runs.size === 0) this.runs.delete(task.jobId)
  }
}

function keyOf (task: TaskId, run: number, workerId: string): string {
  return `${formatTaskId(task)}#${run} ${workerId}`
}
