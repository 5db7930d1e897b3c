import type { JobSpec, TaskState } from '@citronnotch/protocol'
import type { Resources } from '../workers/index.js'

export interface SchedulerOptions {
  /**
   * Lease of a running task in milliseconds.
   * @default 20000
   */
  readonly taskLeaseMs?: number
  /**
   * Interval between renewals of a worker's leases in milliseconds.
   * @default 5000
   */
  readonly workerRenewMs?: number
  /**
   * Interval between scans for parts that no notification announced, in milliseconds.
   * @default 10000
   */
  readonly partScanMs?: number
  /**
   * Time that a stopped task gets to end by itself, in milliseconds.
   * @default 5000
   */
  readonly stopGraceMs?: number
}

export type ResolvedSchedulerOptions = Required<SchedulerOptions>

/** Why a task is being stopped, and so what follows when it has stopped. */
export type StopReason = 'cancelled' | 'preempted' | 'gang-broken' | 'worker-leaving' | 'not-expected'

/** A task of an owned shard. Only the task table changes it. */
export interface Task {
  readonly taskId: string
  readonly jobId: string
  readonly index: number
  readonly spec: JobSpec
  readonly resources: Resources
  readonly state: TaskState
  /** Address of the worker that holds, or may hold, the task. */
  readonly worker?: string
  /** Number of the latest start; unique for the task over all owners. */
  readonly attempt: number
  readonly failures: number
  readonly stopReason?: StopReason
  readonly reason?: string
  readonly checkpoint?: string
  readonly serviceAddress?: string
  /** Monotonic time in milliseconds at which the state began. */
  readonly since: number
}
