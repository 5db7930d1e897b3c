import { NO_RESOURCES } from '../resources.js'
import { AccountAudit } from './accountAudit.js'
import { formatStepId, formatTaskId } from '../types.js'
import type { JobSpec, ResourceVector, FinishStatus, TaskId } from '../types.js'

export interface ObservedRun {
  readonly workerId: string
  readonly run: number
}

/** A run that was started while an earlier one of the same task was under way. */
export interface DoubleRun {
  readonly task: string
  readonly run: number
  readonly workerId: string
  readonly earlier: ObservedRun
}

/** A run that has ended as done. */
interface DoneEnd {
  /** Whether the worker's lease has lapsed since, and whether any run was killed by that. */
  lapse: 'none' | 'without-runs' | 'with-runs'
  /** Monotonic time in milliseconds at which the end was acknowledged. */
  acknowledgedAt: number | undefined
  /** The end counts as taken note of, as the worker listed it a while ago: a lapse has no effect on it any more. */
  isNoted: boolean
  /** The worker has ended before the end was acknowledged: nobody can know of it. */
  isLost: boolean
  /** Starts of the task since. */
  readonly laterStarts: string[]
}

/** Time after the acknowledgement of an end, or after the answer that the job is completed, from which no start is excused, in milliseconds. */
const LATE_START_MS = 1_000

/** Checks the scheduling guarantees from outside the product: observes what workers run and collects all violations. */
export class Audit {
  readonly violations: string[] = []
  /** Runs among the violations that were started beside an earlier one. */
  readonly doubleRuns: DoubleRun[] = []
  /**
   * Starts after an end that was acknowledged although the worker's lease had passed meanwhile, without a run that it
   * killed: allowed if a lease lapses by its time, and a violation if it takes a run that is killed.
   */
  readonly startsAfterIdleLapse: string[] = []
  /** Called before a start is checked, so that workers can record runs that have finished in the meantime. */
  readonly beforeStartHooks: Array<() => void> = []
  /** Called after each start and each end of a run was recorded; tests and measurements set it. */
  onRun: (workerId: string, task: TaskId, run: number, event: 'started' | FinishStatus) => void = () => {}
  readonly accounts = new AccountAudit()
  /** Accounts of the jobs that have one. */
  private readonly accountOf = new Map<string, string>()
  private readonly observedRuns = new Map<string, ObservedRun[]>()
  private readonly doneTasks = new Set<string>()
  /** Steps of which all tasks were found to be done. */
  private readonly doneSteps = new Set<string>()
  /** Ends of each task as done, by task. */
  private readonly doneEnds = new Map<string, DoneEnd[]>()
  /** The same that aren't acknowledged, by worker and then by task and run. */
  private readonly unacknowledgedEnds = new Map<string, Map<string, DoneEnd>>()
  /** Time of the first answer that a job is completed, by job. */
  private readonly completedAt = new Map<string, number>()
  private readonly specs = new Map<string, JobSpec>()
  /** Workers on which tasks of each job were started, in order. */
  private readonly starts = new Map<string, string[]>()

  private constructor () {}

  static create (): Audit {
    return new Audit()
  }

  /** Registers a submitted job; a task of an unregistered job may not start. */
  expectJob (jobId: string, spec: JobSpec, account?: string): void {
    this.specs.set(jobId, spec)
    if (account !== undefined) this.accountOf.set(jobId, account)
  }

  specOf (jobId: string): JobSpec | undefined {
    return this.specs.get(jobId)
  }

  /** `now` is monotonic; `isLate`: the worker held the order back. */
  recordStart (workerId: string, task: TaskId, run: number, payload: string, now: number, isLate = false): void {
    for (const hook of this.beforeStartHooks) hook()
    const taskName = formatTaskId(task)
    const spec = this.specs.get(task.jobId)
    const step = spec?.steps[task.step]
    const starts = this.starts.get(task.jobId) ?? []
    starts.push(workerId)
    this.starts.set(task.jobId, starts)
    if (spec === undefined || step === undefined) this.violations.push(`${taskName} was never submitted`)
    else if (spec.payload !== payload) this.violations.push(`${taskName} started with another payload`)
    if (step?.longRunning !== true) this.checkEnds(`${taskName} run ${run} started on ${workerId}`, task, step?.speculative === true, now, isLate)
    const concurrentRuns = this.observedRuns.get(taskName) ?? []
    const [earlier] = concurrentRuns
    if (earlier !== undefined && step?.speculative !== true) {
      this.violations.push(`${taskName} run ${run} started on ${workerId} while run ${earlier.run} is on ${earlier.workerId}`)
      this.doubleRuns.push({ task: taskName, run, workerId, earlier })
    }
    for (const dependency of step?.after ?? []) {
      if (!this.isStepDone(task, dependency, spec?.steps[dependency]?.count ?? 0)) this.violations.push(`${taskName} started before step ${dependency} was done`)
    }
    const account = this.accountOf.get(task.jobId)
    if (account !== undefined && step !== undefined && !this.accounts.recordStart(account, step.need, now)) this.violations.push(`${taskName} run ${run} on ${workerId} brought account ${account} over its limit`)
    this.observedRuns.set(taskName, [...concurrentRuns, { workerId, run }])
    this.onRun(workerId, task, run, 'started')
  }

  /** Whether all tasks of a step of the task's occurrence are done. */
  private isStepDone ({ jobId, occurrence }: TaskId, step: number, count: number): boolean {
    const stepName = formatStepId({ jobId, occurrence, step })
    if (this.doneSteps.has(stepName)) return true
    for (let index = 0; index < count; index++) if (!this.doneTasks.has(formatTaskId({ jobId, occurrence, step, index }))) return false
    this.doneSteps.add(stepName)
    return true
  }

  recordFinish (workerId: string, task: TaskId, run: number, status: FinishStatus): void {
    const taskName = formatTaskId(task)
    const observedRuns = this.observedRuns.get(taskName) ?? []
    const remainingRuns = observedRuns.filter(observed => observed.workerId !== workerId || observed.run !== run)
    this.observedRuns.set(taskName, remainingRuns)
    this.onRun(workerId, task, run, status)
    const account = this.accountOf.get(task.jobId)
    const need = this.specs.get(task.jobId)?.steps[task.step]?.need
    if (account !== undefined && need !== undefined && remainingRuns.length < observedRuns.length) this.accounts.recordFinish(account, need)
    if (status !== 'done') return
    const end: DoneEnd = { lapse: 'none', acknowledgedAt: undefined, isNoted: false, isLost: false, laterStarts: [] }
    for (const member of this.tasksThatEndWith(task)) {
      this.doneTasks.add(member)
      this.doneEnds.set(member, [...this.doneEnds.get(member) ?? [], end])
    }
    this.unacknowledgedEnds.set(workerId, (this.unacknowledgedEnds.get(workerId) ?? new Map<string, DoneEnd>()).set(`${taskName}#${run}`, end))
  }

  /** The worker has been told that its end of a run was taken note of. */
  recordAcknowledged (workerId: string, task: TaskId, run: number, now: number): void {
    const end = this.takeUnacknowledged(workerId, task, run)
    if (end === undefined) return
    end.acknowledgedAt = now
    if (end.lapse === 'without-runs') this.startsAfterIdleLapse.push(...end.laterStarts)
  }

  /** The worker has listed its end of a run in an answer, 100 ms ago. */
  recordNoted (workerId: string, task: TaskId, run: number): void {
    const end = this.unacknowledgedEnds.get(workerId)?.get(`${formatTaskId(task)}#${run}`)
    if (end !== undefined) end.isNoted = true
  }

  /** The lease of a worker has passed; from then on its unacknowledged ends don't count. */
  recordLapse (workerId: string, killedRuns: number): void {
    for (const end of this.unacknowledgedEnds.get(workerId)?.values() ?? []) {
      if (end.isNoted) continue
      if (killedRuns > 0) end.lapse = 'with-runs'
      else if (end.lapse === 'none') end.lapse = 'without-runs'
    }
  }

  /** The worker has ended before its end of a run was acknowledged: nobody can know of it, and the task may start again. */
  recordEndLost (workerId: string, task: TaskId, run: number): void {
    const end = this.takeUnacknowledged(workerId, task, run)
    if (end !== undefined) end.isLost = true
  }

  /** A caller was told that the job is completed. */
  recordCompleted (jobId: string, now: number): void {
    if (!this.completedAt.has(jobId)) this.completedAt.set(jobId, now)
  }

  private takeUnacknowledged (workerId: string, task: TaskId, run: number): DoneEnd | undefined {
    const ends = this.unacknowledgedEnds.get(workerId)
    const key = `${formatTaskId(task)}#${run}`
    const end = ends?.get(key)
    ends?.delete(key)
    return end
  }

  /**
   * Checks a start against the ends of the task as done. A start while an end is neither acknowledged nor void counts at
   * once: a scheduler that can't know of the end can't know either that it becomes void.
   */
  private checkEnds (start: string, task: TaskId, isSpeculative: boolean, now: number, isLate: boolean) {
    const isTooLate = (since: number | undefined) => !isLate && since !== undefined && now - since > LATE_START_MS
    const ends = (this.doneEnds.get(formatTaskId(task)) ?? []).filter(({ isLost, acknowledgedAt }) => !isLost && (!isSpeculative || isTooLate(acknowledgedAt)))
    for (const end of ends) end.laterStarts.push(start)
    if (ends.some(({ lapse }) => lapse === 'none')) this.violations.push(`${start} after it was done`)
    else if (isTooLate(this.completedAt.get(task.jobId))) this.violations.push(`${start} after its job was shown as completed`)
    else if (ends.some(({ lapse, acknowledgedAt }) => lapse === 'without-runs' && acknowledgedAt !== undefined)) this.startsAfterIdleLapse.push(start)
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
