import type { JobSpec } from '@citronnotch/protocol'
import type { Resources } from '../workers/index.js'

/** Value of a row of table `jobs`, key `<jobId>`. */
export interface JobRow {
  readonly jobId: string
  readonly spec: JobSpec
  /** Tasks of each shard, as index ranges `[from, to)`. */
  readonly parts: Readonly<Record<string, { readonly from: number, readonly to: number }>>
  readonly cancelled: boolean
  /** ISO 8601. */
  readonly admittedAt: string
  /** Random; tells an admission whose answer was lost whether the row is its own. */
  readonly token: string
}

/**
 * Value of a row of table `parts`, key `<shardId>/<jobId>`: the tasks of a job that belong to one shard.
 * Written by the owner of the shard, and by a cancellation. Carries the spec, so that an owner reads one row.
 */
export interface PartRow {
  readonly jobId: string
  readonly shardId: string
  readonly spec: JobSpec
  readonly from: number
  readonly to: number
  /** Indexes of finished tasks. */
  readonly done: readonly number[]
  /** Tasks that were given up, by index. */
  readonly failed: Readonly<Record<string, string>>
  readonly cancelled: boolean
}

/** Value of a row of table `ended`, key `<jobId>/<shardId>`: replaces a part of which every task has ended. */
export interface EndedRow {
  readonly jobId: string
  readonly shardId: string
  readonly from: number
  readonly to: number
  readonly failed: Readonly<Record<string, string>>
  readonly cancelled: boolean
  /** Indexes of finished tasks. */
  readonly done: readonly number[]
  /** ISO 8601. */
  readonly endedAt: string
}

/** Names of the tables that hold jobs. */
export const JOB_TABLES = { jobs: 'jobs', parts: 'parts', ended: 'ended' } as const

export function partKey (shardId: string, jobId: string): string {
  return `${shardId}/${jobId}`
}

export function endedKey (jobId: string, shardId: string): string {
  return `${jobId}/${shardId}`
}

/** What an admitting daemon knows of a shard, from gossip or because it owns it. */
export interface ShardRoom {
  readonly shardId: string
  readonly region: string
  readonly failureDomain: string
  /** Resources of all workers together. */
  readonly capacity: Resources
  /** Largest amount of each resource that a worker has. */
  readonly largestWorker: Resources
  readonly free: Resources
  readonly waitingTasks: number
}

/** Rules for a team's jobs from the configuration in force. */
export interface TeamRules {
  /** Undefined when there is no such team. */
  quotaOf (team: string): Partial<Resources> | undefined
  readonly teams: readonly string[]
}
