import { createHash } from 'node:crypto'
import type { Clock, StartTask } from '@citronnotch/daemon'
import type { BackendServerStandIn } from './backendServerStandIn.js'
import type { TaskEndCause, TruthLog } from './truthLog.js'

export interface TaskRunOptions {
  readonly clock: Clock
  readonly log: TruthLog
  readonly workerId: string
  /** End of the lease in the worker's monotonic time. */
  readonly leaseUntil: number
  /** Declared seconds that pass in one second. */
  readonly speed: number
  /** Work already done before a checkpoint, in milliseconds of the declared run time. */
  readonly doneMs: number
}

/** Longer timers of Node.js fire at once. */
const MAX_SLEEP_MS = 2 ** 31 - 1

/** One run of a task: its progress, its lease and its end. */
export class TaskRun {
  readonly startedAt: number
  backend: BackendServerStandIn | undefined
  private leaseUntil: number
  private doneMs: number
  private progressAt: number
  private rate = 1
  private ended: TaskEndCause | undefined
  private changed = new AbortController()
  private readonly runNumber: number

  private constructor (readonly task: StartTask, private readonly options: TaskRunOptions) {
    const { clock, log, workerId, leaseUntil, doneMs } = options
    this.startedAt = clock.now()
    this.progressAt = this.startedAt
    this.leaseUntil = leaseUntil
    this.doneMs = doneMs
    this.runNumber = log.nextRun()
    const { taskId, attempt, resources } = task
    log.record({ type: 'task-started', run: this.runNumber, workerId, taskId, attempt, resources })
  }

  static create (task: StartTask, options: TaskRunOptions): TaskRun {
    const run = new TaskRun(task, options)
    run.watch()
    return run
  }

  running (): boolean {
    return this.ended === undefined
  }

  endCause (): TaskEndCause | undefined {
    return this.ended
  }

  /** Work done so far, in milliseconds of the declared run time. */
  progressMs (): number {
    const until = this.options.clock.now()
    return this.doneMs + (until - this.progressAt) * this.options.speed * this.rate
  }

  renew (leaseUntil: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, leaseUntil)
    this.wake()
  }

  /** Slows the task down to a fraction of its declared processors. */
  throttle (cores: number): void {
    this.doneMs = this.progressMs()
    this.progressAt = this.options.clock.now()
    this.rate = Math.min(1, cores / this.task.resources.cores)
    this.wake()
  }

  end (cause: TaskEndCause, at: number = this.options.clock.now()): void {
    if (this.ended !== undefined) return
    this.ended = cause
    const { log, workerId } = this.options
    const { taskId, attempt } = this.task
    log.record({ type: 'task-ended', run: this.runNumber, workerId, taskId, attempt, cause }, at)
    this.wake()
  }

  /** Ends the run when its time or its lease is over, however late this is called. */
  expire (): void {
    const finishAt = this.finishAt()
    const at = Math.min(finishAt, this.leaseUntil)
    if (this.ended === undefined && at <= this.options.clock.now()) {
      this.end(finishAt <= this.leaseUntil ? 'finished' : 'lease-expired', at)
    }
  }

  /** Ends the run in time and closes its backend server. */
  private async watch () {
    for (;;) {
      this.expire()
      if (this.ended !== undefined) break
      const wait = Math.min(this.finishAt(), this.leaseUntil) - this.options.clock.now()
      await this.options.clock.sleep(Math.min(wait, MAX_SLEEP_MS), this.changed.signal)
    }
    this.backend?.close()
  }

  private finishAt (): number {
    const { runSeconds, service } = this.task
    if (service !== undefined || runSeconds === 0 || this.rate === 0) return Infinity
    return this.progressAt + (runSeconds * 1_000 - this.doneMs) / (this.options.speed * this.rate)
  }

  private wake () {
    const { changed } = this
    this.changed = new AbortController()
    changed.abort()
  }
}

/** Real use of a task as a factor of its declared size, from 1/spread to spread; the same in every run. */
export function usageFactor (taskId: string, spread: number): number {
  const fraction = createHash('sha256').update(taskId).digest().readUInt32BE(0) / 0xffff_ffff
  return spread ** (2 * fraction - 1)
}
