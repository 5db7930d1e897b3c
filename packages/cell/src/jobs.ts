import { ADMISSION_PARTITIONS, LEADER_PARTITIONS, RUNS_PER_EPOCH } from './constants.js'
import type { JobRecord } from './jobRecord.js'
import type { JobOutcome, ResourceVector, StepSpec, TaskId } from './types.js'
import type { WorkerLink } from './workerLink.js'

/** Stored progress of one step. */
export interface StepProgress {
  /** One character a task, `1` when it is done. */
  readonly done: string
  /** Numbers of the failed runs by task index. */
  readonly failed?: Readonly<Record<string, readonly number[]>>
  /** Latest checkpoint by task index, of runs whose end has been acknowledged. */
  readonly checkpoints?: Readonly<Record<string, string>>
}

/** Stored progress of a job: by occurrence, either `done` or its steps. */
export type JobProgress = Readonly<Record<string, 'done' | readonly StepProgress[]>>

export type RunState = 'starting' | 'running' | 'stopping'

/** A job whose outcome is final: its last progress, and the row that replaces the one that admitted it. */
export interface EndedRecord {
  readonly outcome: JobOutcome
  readonly endedAtMs: number
}

/** Value of a row of progress. */
export type StoredProgress = { readonly occurrences: JobProgress } | EndedRecord

/** Partition of the rows that admit and cancel a job. */
export function partitionOf (jobId: string): string {
  return admissionPartitionName(Number.parseInt(jobId.slice(-4), 16) % ADMISSION_PARTITIONS)
}

const CANCEL_SUFFIX = '.cancel'

/** Key of the row that cancels a job, beside the row that admits it. */
export function cancelKeyOf (jobId: string): string {
  return `${jobId}${CANCEL_SUFFIX}`
}

/** Id of the job that a row cancels; undefined for a key of another kind. */
export function cancelledBy (key: string): string | undefined {
  return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : undefined
}

export function admissionPartitionName (index: number): string {
  return `jobs-${index}`
}

/** Index of the leader partition with the progress of a job. */
export function leaderPartitionOf (jobId: string): number {
  return Number.parseInt(jobId.slice(-4), 16) % LEADER_PARTITIONS
}

export function leaderPartitionName (index: number): string {
  return `leader-${index}`
}

/** One run of a task on one worker, from the moment its start is decided until its end is known. */
export class Run {
  state: RunState = 'starting'
  /** The worker's clock when it confirmed the start; undefined while that is unknown. */
  confirmedAtMs: number | undefined
  percent = 0
  /** Monotonic time of the last progress, in milliseconds. */
  progressAt: number
  checkpoint: string

  private constructor (
    readonly id: TaskId,
    readonly number: number,
    readonly worker: WorkerLink,
    /** Undefined when the job isn't known here. */
    readonly task: Task | undefined,
    readonly fencingToken: number,
    readonly startedAt: number
  ) {
    this.progressAt = startedAt
    this.checkpoint = task?.checkpoint ?? ''
  }

  static create (fields: Pick<Run, 'id' | 'number' | 'worker' | 'task' | 'fencingToken' | 'startedAt'>): Run {
    return new Run(fields.id, fields.number, fields.worker, fields.task, fields.fencingToken, fields.startedAt)
  }

  /** Undefined when the size isn't known; nothing may be started beside such a run. */
  need (): ResourceVector | undefined {
    return this.task?.step.room
  }
}

export class Task {
  isDone = false
  lastRun = 0
  checkpoint = ''
  readonly failedRuns = new Set<number>()
  /** Workers on which a run of this task has failed or stood still. */
  readonly failedOn = new Set<string>()
  readonly runs: Run[] = []

  constructor (readonly step: Step, readonly index: number) {}

  id (): TaskId {
    const { job, occurrence, index } = this.step
    return { jobId: job.id, occurrence, step: index, index: this.index }
  }

  isWaiting (): boolean {
    return !this.isDone && this.runs.length === 0
  }
}

/** One step of one occurrence. */
export class Step {
  readonly tasks: readonly Task[]
  /** What a task takes from the capacity of its worker. */
  readonly room: ResourceVector
  /** Tasks that are not done. */
  remaining: number
  /** No start before this monotonic time, after refusals. */
  notBefore = 0
  /** Workers on which a run of this step has failed or stood still. */
  readonly avoided = new Set<string>()

  constructor (readonly job: Job, readonly occurrence: number, readonly index: number, readonly spec: StepSpec) {
    this.tasks = Array.from({ length: spec.count }, (_, task) => new Task(this, task))
    this.remaining = spec.count
    this.room = spec.usesIdleCapacity ? { ...spec.need, milliCores: 0 } : spec.need
  }

  /** Whether the tasks have a latency target that tasks on idle capacity beside them could miss. */
  isServing (): boolean {
    return this.spec.latencyTargetMs > 0
  }

  isDone (): boolean {
    return this.remaining === 0
  }

  /** Whether all tasks of the steps that come first are done. */
  isReady (): boolean {
    const steps = this.job.occurrences.get(this.occurrence)
    return steps !== undefined && steps !== 'done' && this.spec.after.every(index => steps[index]?.isDone() === true)
  }

  /** Run number for the next start, above all that this or an earlier leader has used. */
  nextRun (epoch: number): number {
    const last = this.spec.gang ? Math.max(...this.tasks.map(task => task.lastRun)) : 0
    return Math.max(last, (epoch - 1) * RUNS_PER_EPOCH) + 1
  }

  markDone (task: Task): void {
    const ended = this.spec.gang ? this.tasks : [task]
    for (const each of ended) {
      if (each.isDone) continue
      each.isDone = true
      this.remaining--
    }
  }

  /** Records where a task resumes; the members of a gang share one checkpoint. */
  saveCheckpoint (task: Task, checkpoint: string): void {
    if (checkpoint === '') return
    for (const each of this.spec.gang ? this.tasks : [task]) each.checkpoint = checkpoint
  }

  /** Counts a failed run; the members of a gang fail together. Returns the number of failures. */
  markFailed (task: Task, run: number): number {
    const counted = this.spec.gang ? this.tasks[0] ?? task : task
    counted.failedRuns.add(run)
    return counted.failedRuns.size
  }
}

/** A live job with the state of its tasks. */
export class Job {
  readonly occurrences = new Map<number, 'done' | Step[]>()
  outcome: JobOutcome | undefined
  isCancelled = false
  hasStarted = false
  /** True once the row of the outcome is known to be stored. */
  isStored = false
  /** Version of the row of progress; 0 while there is none. */
  progressVersion = 0
  /** What the tasks are told to do; undefined until it is read, for a job that this leader hasn't seen admitted. */
  payload: string | undefined

  private constructor (
    readonly id: string,
    readonly record: JobRecord,
    /** Version of the row that admitted the job. */
    readonly version: number
  ) {}

  static create (id: string, record: JobRecord, version: number): Job {
    const job = new Job(id, record, version)
    if (record.spec.schedule === undefined) job.addOccurrence(0)
    return job
  }

  addOccurrence (occurrence: number): void {
    if (this.occurrences.has(occurrence)) return
    this.occurrences.set(occurrence, this.record.spec.steps.map((spec, index) => new Step(this, occurrence, index, spec)))
  }

  /** Adds the occurrences that are due at a Unix time in milliseconds. */
  addDueOccurrences (unixMs: number): void {
    const { schedule } = this.record.spec
    if (schedule === undefined) return
    for (let k = this.occurrences.size; k < schedule.repetitions; k++) {
      if (schedule.firstRunMs + k * schedule.intervalMs > unixMs) return
      this.addOccurrence(k)
    }
  }

  task ({ occurrence, step, index }: TaskId): Task | undefined {
    const steps = this.occurrences.get(occurrence)
    return steps === undefined || steps === 'done' ? undefined : steps[step]?.tasks[index]
  }

  * liveSteps (): Iterable<Step> {
    for (const steps of this.occurrences.values()) {
      if (steps === 'done') continue
      for (const step of steps) if (!step.isDone()) yield step
    }
  }

  * runs (): Iterable<Run> {
    for (const steps of this.occurrences.values()) {
      if (steps === 'done') continue
      for (const step of steps) for (const task of step.tasks) yield * task.runs
    }
  }

  /** Forgets the steps of an occurrence that is done. Returns whether the whole job is done. */
  settle (occurrence: number): boolean {
    const steps = this.occurrences.get(occurrence)
    if (steps !== undefined && steps !== 'done' && steps.every(step => step.isDone())) {
      if (steps.every(step => step.tasks.every(task => task.runs.length === 0))) this.occurrences.set(occurrence, 'done')
    }
    const expected = this.record.spec.schedule?.repetitions ?? 1
    return this.occurrences.size >= expected &&
      [...this.occurrences.values()].every(each => each === 'done' || each.every(step => step.isDone()))
  }

  progress (): JobProgress {
    return Object.fromEntries([...this.occurrences].map(([occurrence, steps]) => [
      String(occurrence),
      steps === 'done' ? 'done' : steps.map(stepProgress)
    ]))
  }

  /** Takes over what an earlier leader stored. */
  restore (progress: JobProgress, version: number): void {
    this.progressVersion = version
    this.hasStarted = true
    for (const [key, steps] of Object.entries(progress)) {
      const occurrence = Number(key)
      if (steps === 'done') {
        this.occurrences.set(occurrence, 'done')
        continue
      }
      this.addOccurrence(occurrence)
      const own = this.occurrences.get(occurrence)
      if (own === undefined || own === 'done') continue
      steps.forEach((stored, index) => { if (own[index] !== undefined) restoreStep(own[index], stored) })
    }
  }
}

function stepProgress (step: Step): StepProgress {
  const failed = step.tasks.filter(task => task.failedRuns.size > 0)
  const saved = step.tasks.filter(task => !task.isDone && task.checkpoint !== '')
  return {
    done: step.tasks.map(task => task.isDone ? '1' : '0').join(''),
    ...(failed.length === 0 ? {} : { failed: Object.fromEntries(failed.map(task => [task.index, [...task.failedRuns]])) }),
    ...(saved.length === 0 ? {} : { checkpoints: Object.fromEntries(saved.map(task => [task.index, task.checkpoint])) })
  }
}

function restoreStep (step: Step, stored: StepProgress) {
  step.tasks.forEach((task, index) => {
    if (stored.done[index] === '1' && !task.isDone) {
      task.isDone = true
      step.remaining--
    }
    for (const run of stored.failed?.[index] ?? []) task.failedRuns.add(run)
    task.checkpoint = stored.checkpoints?.[index] ?? ''
    task.lastRun = Math.max(0, ...task.failedRuns)
  })
}
