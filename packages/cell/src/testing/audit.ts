import { NO_RESOURCES } from '../resources.js'
import { formatTaskId } from '../types.js'
import type { JobSpec, ResourceVector, FinishStatus, TaskId } from '../types.js'

interface ObservedRun {
  readonly workerId: string
  readonly run: number
}

/** Checks the scheduling guarantees from outside the product: observes what workers run and collects all violations. */
export class Audit {
  readonly violations: string[] = []
  /** Called before a start is checked, so that workers can record runs that have finished in the meantime. */
  readonly beforeStartHooks: Array<() => void> = []
  private readonly observedRuns = new Map<string, ObservedRun[]>()
  private readonly doneTasks = new Set<string>()
  /** Runs that are done, as `worker#run` by task, without those whose worker has ended before their end was acknowledged. */
  private readonly doneEnds = new Map<string, Set<string>>()
  private readonly specs = new Map<string, JobSpec>()
  /** Workers on which tasks of each job were started, in order. */
  private readonly starts = new Map<string, string[]>()

  private constructor () {}

  static create (): Audit {
    return new Audit()
  }

  /** Registers a submitted job; a task of an unregistered job may not start. */
  expectJob (jobId: string, spec: JobSpec): void {
    this.specs.set(jobId, spec)
  }

  specOf (jobId: string): JobSpec | undefined {
    return this.specs.get(jobId)
  }

  recordStart (workerId: string, task: TaskId, run: number, payload: string): void {
    for (const hook of this.beforeStartHooks) hook()
    const taskName = formatTaskId(task)
    const spec = this.specs.get(task.jobId)
    const step = spec?.steps[task.step]
    this.starts.set(task.jobId, [...this.startsOf(task.jobId), workerId])
    if (spec === undefined || step === undefined) this.violations.push(`${taskName} was never submitted`)
    else if (spec.payload !== payload) this.violations.push(`${taskName} started with another payload`)
    if ((this.doneEnds.get(taskName)?.size ?? 0) > 0 && step?.longRunning !== true) this.violations.push(`${taskName} run ${run} started on ${workerId} after it was done`)
    const concurrentRuns = this.observedRuns.get(taskName) ?? []
    if (concurrentRuns.length > 0 && step?.speculative !== true) this.violations.push(`${taskName} run ${run} started on ${workerId} while run ${concurrentRuns[0]?.run} is on ${concurrentRuns[0]?.workerId}`)
    for (const dependency of step?.after ?? []) {
      const dependencyTaskCount = spec?.steps[dependency]?.count ?? 0
      for (let index = 0; index < dependencyTaskCount; index++) {
        if (!this.doneTasks.has(formatTaskId({ ...task, step: dependency, index }))) this.violations.push(`${taskName} started before step ${dependency} was done`)
      }
    }
    this.observedRuns.set(taskName, [...concurrentRuns, { workerId, run }])
  }

  recordFinish (workerId: string, task: TaskId, run: number, status: FinishStatus): void {
    const taskName = formatTaskId(task)
    this.observedRuns.set(taskName, (this.observedRuns.get(taskName) ?? []).filter(observed => observed.workerId !== workerId || observed.run !== run))
    if (status !== 'done') return
    for (const member of this.tasksThatEndWith(task)) {
      this.doneTasks.add(member)
      this.doneEnds.set(member, (this.doneEnds.get(member) ?? new Set()).add(`${workerId}#${run}`))
    }
  }

  /** The worker has ended before its end of a run was acknowledged: nobody can know of it, and the task may start again. */
  recordEndLost (workerId: string, task: TaskId, run: number): void {
    for (const member of this.tasksThatEndWith(task)) this.doneEnds.get(member)?.delete(`${workerId}#${run}`)
  }

  /** Names of the tasks that are done when this one is: all members of a gang end together. */
  private tasksThatEndWith (task: TaskId): readonly string[] {
    const step = this.specs.get(task.jobId)?.steps[task.step]
    return step?.gang === true ? Array.from({ length: step.count }, (_, index) => formatTaskId({ ...task, index })) : [formatTaskId(task)]
  }

  /** Resources that a task needs; none if its job is not registered. */
  needOf (task: TaskId): ResourceVector {
    const step = this.specs.get(task.jobId)?.steps[task.step]
    const { need, usesIdleCapacity } = step ?? { need: NO_RESOURCES, usesIdleCapacity: false }
    return usesIdleCapacity ? { ...need, milliCores: 0 } : need
  }

  /** Number of members of the gang that a task belongs to; 0 if it is not a gang member. */
  gangSizeOf (task: TaskId): number {
    const step = this.specs.get(task.jobId)?.steps[task.step]
    return step?.gang === true ? step.count : 0
  }

  recordOverCapacity (workerId: string, task: TaskId): void {
    this.violations.push(`${formatTaskId(task)} brought ${workerId} over its capacity`)
  }

  hasStarted (jobId: string): boolean {
    return this.starts.has(jobId)
  }

  /** Workers on which tasks of a job were started, in order. */
  startsOf (jobId: string): readonly string[] {
    return this.starts.get(jobId) ?? []
  }

  isDone (task: TaskId): boolean {
    return this.doneTasks.has(formatTaskId(task))
  }
}
