import type { Clock, Resources } from '@citronnotch/daemon'

/** One run of a task at a worker; `run` is unique within the log. */
interface RunFields {
  readonly run: number
  readonly workerId: string
  readonly taskId: string
  readonly attempt: number
}

export const TASK_END_CAUSES = ['finished', 'failed', 'stopped', 'lease-expired', 'worker-lost'] as const
export type TaskEndCause = typeof TASK_END_CAUSES[number]

/** What happened at a stand-in, without any knowledge of the product's state. */
export type TruthEvent =
  | { readonly type: 'worker-started', readonly workerId: string, readonly incarnation: string, readonly capacity: Resources }
  | RunFields & { readonly type: 'task-started', readonly resources: Resources }
  | RunFields & { readonly type: 'task-ended', readonly cause: TaskEndCause }
  | { readonly type: 'task-start-failed', readonly workerId: string, readonly taskId: string, readonly attempt: number }
  | { readonly type: 'server-started', readonly server: string, readonly slots: number, readonly connections: number }
  | { readonly type: 'connection-opened', readonly server: string }
  | { readonly type: 'connection-closed', readonly server: string }
  | { readonly type: 'request-started', readonly server: string, readonly method: string, readonly workId?: string }
  | { readonly type: 'request-ended', readonly server: string }
  | { readonly type: 'transaction', readonly rows: readonly string[], readonly committed: boolean }

/** An event with its monotonic time and its position in the log. */
export type TruthRecord = TruthEvent & { readonly at: number, readonly seq: number }

/** Record of what really happened at all stand-ins of one process. */
export class TruthLog {
  private readonly entries: TruthRecord[] = []
  private lastRun = 0

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): TruthLog {
    return new TruthLog(clock)
  }

  /** Adds an event. `at` is given when the event was noticed after it happened, such as the end of a lease. */
  record (event: TruthEvent, at: number = this.clock.now()): void {
    this.entries.push({ ...event, at, seq: this.entries.length })
  }

  /** Number of a new run of a task. */
  nextRun (): number {
    return ++this.lastRun
  }

  records (): readonly TruthRecord[] {
    return this.entries
  }
}
