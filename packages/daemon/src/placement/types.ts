import type { JobKind } from '@citronnotch/protocol'
import type { Resources, Usage } from '../workers/index.js'

/** A worker as placement sees it. */
export interface PlacerWorker {
  readonly workerId: string
  readonly region: string
  readonly failureDomain: string
  readonly rack: string
  readonly capacity: Resources
}

/** A task that waits for, or occupies, a place. */
export interface PlacerTask {
  readonly taskId: string
  readonly jobId: string
  readonly team: string
  readonly kind: JobKind
  readonly urgent: boolean
  readonly resources: Resources
  /** Empty means any. */
  readonly regions: readonly string[]
  readonly failureDomains: readonly string[]
  readonly checkpointable: boolean
  /** Declared run time in seconds. */
  readonly runSeconds: number
  /** Monotonic time in milliseconds since which the task waits. */
  readonly waitingSince: number
  /** Number of tasks that a gang job starts together; 1 for other kinds. */
  readonly gangSize: number
}

/** A decision; its resources are already taken in the ledger when it is returned. */
export type PlacementDecision =
  | { readonly type: 'start', readonly taskId: string, readonly workerId: string }
  /** All tasks of a gang job; start all or give all back. */
  | { readonly type: 'start-gang', readonly jobId: string, readonly places: ReadonlyArray<{ readonly taskId: string, readonly workerId: string }> }
  /** Stop (or checkpoint) a running batch task to make room. Its resources stay taken until `release`. */
  | { readonly type: 'preempt', readonly taskId: string, readonly workerId: string, readonly forTaskId: string }
  /** The task can never run on the workers of this shard as they are. */
  | { readonly type: 'park', readonly taskId: string, readonly reason: string }

export interface PlacementSummary {
  readonly free: Resources
  /** Largest single place. */
  readonly largestFree: Resources
  readonly waitingTasks: number
  readonly occupiedTasks: number
}

/** Weights and limits from the configuration in force. */
export interface PlacerOptions {
  /**
   * Share of each team, relative to the others. A team that is not listed has share 1.
   * @default {}
   */
  readonly teamShares?: Readonly<Record<string, number>>
  /**
   * Most that a team may occupy in this shard.
   * @default {}
   */
  readonly teamQuotas?: Readonly<Record<string, Partial<Resources>>>
  /**
   * 0 weighs waiting time only (spread), 1 packing only.
   * @default 0.5
   */
  readonly packingWeight?: number
  /**
   * Time in milliseconds after which a waiting gang job gets a reservation.
   * @default 5000
   */
  readonly gangReserveAfterMs?: number
  /**
   * Failed starts in a row after which a worker is suspended.
   * @default 3
   */
  readonly suspendAfterFailures?: number
  /**
   * First suspension of a worker in milliseconds; doubles with each failed probe.
   * @default 10000
   */
  readonly suspendBackoffMs?: number
  /**
   * Longest suspension of a worker in milliseconds.
   * @default 600000
   */
  readonly suspendBackoffMaxMs?: number
  /**
   * Time in milliseconds that a task of a team below its share waits before batch tasks
   * of teams above their share are preempted for it.
   * @default 3000
   */
  readonly returnShareAfterMs?: number
  /**
   * Time in milliseconds for which the set of workers must be unchanged before a task is parked.
   * Longer than a call to a worker, so that a new owner has tried to adopt all its workers.
   * @default 5000
   */
  readonly parkAfterMs?: number
}

/** Placement policy of one shard: a ledger of workers and tasks, no I/O. Times are monotonic milliseconds. */
export interface Placer {
  configure (options: PlacerOptions): void
  /** Adds a worker, or changes its capacity. Unschedulable until `setSchedulable`. */
  addWorker (worker: PlacerWorker): void
  /** Removes a worker; its occupied tasks must have been released. */
  removeWorker (workerId: string): void
  /** A worker that is unreachable or leaving gets no new tasks. */
  setSchedulable (workerId: string, schedulable: boolean): void
  /** Adds waiting tasks; the tasks of a gang job are passed in one call. */
  enqueue (tasks: readonly PlacerTask[]): void
  /** Removes a waiting task. */
  dequeue (taskId: string): void
  /** Takes resources for a task that was found on a worker, even beyond the worker's capacity. */
  occupy (task: PlacerTask, workerId: string, now: number): void
  /** Frees the resources of a task that certainly does not run any more. */
  release (taskId: string): void
  /** A start on the worker succeeded; ends a streak of failures. */
  noteStarted (workerId: string, jobId: string): void
  /** A start or a task failed right away; suspends the worker after some failures in a row. */
  noteFailed (workerId: string, jobId: string, now: number): void
  noteUsage (taskId: string, usage: Usage): void
  /** Decides for waiting tasks, most deserving first; at most `limit` decisions. */
  decide (now: number, limit: number): readonly PlacementDecision[]
  /** Why a task waits, for callers and operators. */
  explain (taskId: string, now: number): string
  summary (): PlacementSummary
  /** Resources of one worker that are taken. */
  used (workerId: string): Resources
  isSuspended (workerId: string, now: number): boolean
}
