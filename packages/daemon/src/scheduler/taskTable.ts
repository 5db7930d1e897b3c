import { taskIdOf } from '@citronnotch/protocol'
import type { TaskState } from '@citronnotch/protocol'
import type { PartRow } from '../jobs/index.js'
import type { Task } from './types.js'

/** States in which a task holds the resources of its worker. */
const holdingStates: ReadonlySet<TaskState> = new Set(['starting', 'running', 'stopping'])
const endedStates: ReadonlySet<TaskState> = new Set(['finished', 'failed', 'cancelled'])

export function isHolding (task: Task): boolean {
  return holdingStates.has(task.state)
}

export function isEnded (task: Task): boolean {
  return endedStates.has(task.state)
}

/** The tasks of a shard, by id, job and worker. */
export class TaskTable {
  private readonly tasks = new Map<string, Task>()
  private readonly byJob = new Map<string, Set<string>>()
  private readonly byWorker = new Map<string, Set<string>>()

  static create (): TaskTable {
    return new TaskTable()
  }

  get (taskId: string): Task | undefined {
    return this.tasks.get(taskId)
  }

  all (): Iterable<Task> {
    return this.tasks.values()
  }

  ofJob (jobId: string): readonly Task[] {
    return this.lookUp(this.byJob.get(jobId))
  }

  /** Tasks that hold resources of a worker. */
  onWorker (address: string): readonly Task[] {
    return this.lookUp(this.byWorker.get(address))
  }

  /** Adds the tasks of a part that are not known yet and have not ended; returns them. */
  addPart (part: PartRow, state: 'unknown' | 'waiting', now: number): readonly Task[] {
    const done = new Set(part.done)
    const added: Task[] = []
    for (let index = part.from; index < part.to; index++) {
      const taskId = taskIdOf(part.jobId, index)
      if (done.has(index) || part.failed[index] !== undefined || this.tasks.has(taskId)) continue
      const { spec } = part
      const task: Task = {
        taskId,
        jobId: part.jobId,
        index,
        spec,
        resources: { cores: spec.cores, memoryMb: spec.memoryMb, accelerators: spec.accelerators },
        state,
        attempt: 0,
        failures: 0,
        since: now
      }
      this.tasks.set(taskId, task)
      addTo(this.byJob, part.jobId, taskId)
      added.push(task)
    }
    return added
  }

  /** Replaces fields of a task and returns the new one. */
  update (task: Task, change: Partial<Task>): Task {
    const next: Task = { ...task, ...change }
    this.tasks.set(task.taskId, next)
    if (isHolding(task) && task.worker !== undefined) removeFrom(this.byWorker, task.worker, task.taskId)
    if (isHolding(next) && next.worker !== undefined) addTo(this.byWorker, next.worker, next.taskId)
    return next
  }

  removeJob (jobId: string): void {
    for (const task of this.ofJob(jobId)) {
      if (task.worker !== undefined) removeFrom(this.byWorker, task.worker, task.taskId)
      this.tasks.delete(task.taskId)
    }
    this.byJob.delete(jobId)
  }

  count (state: TaskState): number {
    let count = 0
    for (const task of this.tasks.values()) if (task.state === state) count++
    return count
  }

  private lookUp (taskIds: ReadonlySet<string> | undefined): readonly Task[] {
    return [...taskIds ?? []].flatMap(taskId => this.tasks.get(taskId) ?? [])
  }
}

function addTo (index: Map<string, Set<string>>, key: string, taskId: string) {
  const taskIds = index.get(key)
  if (taskIds === undefined) index.set(key, new Set([taskId]))
  else taskIds.add(taskId)
}

function removeFrom (index: Map<string, Set<string>>, key: string, taskId: string) {
  const taskIds = index.get(key)
  taskIds?.delete(taskId)
  if (taskIds?.size === 0) index.delete(key)
}
