import { NOTHING } from '../resources.js'
import { formatTaskId } from '../types.js'
import type { JobSpec, ResourceVector, RunEnd, TaskId } from '../types.js'

interface RunningCopy {
  readonly worker: string
  readonly run: number
}

/** Watches what workers run, as an observer outside the product, and collects every broken promise. */
export class Audit {
  readonly violations: string[] = []
  /** Called before a start is judged, so that what has ended meanwhile counts as ended. */
  readonly refresh: Array<() => void> = []
  private readonly running = new Map<string, RunningCopy[]>()
  private readonly done = new Set<string>()
  private readonly jobs = new Map<string, JobSpec>()
  private readonly startedJobs = new Set<string>()

  private constructor () {}

  static create (): Audit {
    return new Audit()
  }

  /** Makes a job known; a start of any other one is a violation. */
  expectJob (jobId: string, spec: JobSpec): void {
    this.jobs.set(jobId, spec)
  }

  specOf (jobId: string): JobSpec | undefined {
    return this.jobs.get(jobId)
  }

  started (worker: string, task: TaskId, run: number, payload: string): void {
    for (const each of this.refresh) each()
    const name = formatTaskId(task)
    const spec = this.jobs.get(task.jobId)
    const step = spec?.steps[task.step]
    this.startedJobs.add(task.jobId)
    if (spec === undefined || step === undefined) this.violations.push(`${name} was never submitted`)
    else if (spec.payload !== payload) this.violations.push(`${name} started with another payload`)
    if (this.done.has(name) && step?.longRunning !== true) this.violations.push(`${name} run ${run} started on ${worker} after it was done`)
    const copies = this.running.get(name) ?? []
    if (copies.length > 0 && step?.speculative !== true) this.violations.push(`${name} run ${run} started on ${worker} while run ${copies[0]?.run} is on ${copies[0]?.worker}`)
    for (const earlier of step?.after ?? []) {
      const count = spec?.steps[earlier]?.count ?? 0
      for (let index = 0; index < count; index++) {
        if (!this.done.has(formatTaskId({ ...task, step: earlier, index }))) this.violations.push(`${name} started before step ${earlier} was done`)
      }
    }
    this.running.set(name, [...copies, { worker, run }])
  }

  ended (worker: string, task: TaskId, run: number, end: RunEnd): void {
    const name = formatTaskId(task)
    this.running.set(name, (this.running.get(name) ?? []).filter(copy => copy.worker !== worker || copy.run !== run))
    if (end !== 'done') return
    const step = this.jobs.get(task.jobId)?.steps[task.step]
    if (step?.gang !== true) this.done.add(name)
    else for (let index = 0; index < step.count; index++) this.done.add(formatTaskId({ ...task, index }))
  }

  /** What a task needs; nothing when its job isn't known. */
  needOf (task: TaskId): ResourceVector {
    const step = this.jobs.get(task.jobId)?.steps[task.step]
    const { need, usesIdleCapacity } = step ?? { need: NOTHING, usesIdleCapacity: false }
    return usesIdleCapacity ? { ...need, milliCores: 0 } : need
  }

  /** Number of members of the gang that a task belongs to; 0 for other tasks. */
  gangSizeOf (task: TaskId): number {
    const step = this.jobs.get(task.jobId)?.steps[task.step]
    return step?.gang === true ? step.count : 0
  }

  overCapacity (worker: string, task: TaskId): void {
    this.violations.push(`${formatTaskId(task)} brought ${worker} over its capacity`)
  }

  hasStarted (jobId: string): boolean {
    return this.startedJobs.has(jobId)
  }

  isDone (task: TaskId): boolean {
    return this.done.has(formatTaskId(task))
  }
}
