import type { JobSpec } from '@citronnotch/protocol'

/** Value of a row of table `jobs`, key `<jobId>`. */
export interface JobRow {
  readonly jobId: string
  readonly spec: JobSpec
  /** Tasks of each shard, as index ranges `[from, to)`. */
  readonly parts: Readonly<Record<string, { readonly from: number, readonly to: number }>>
  readonly cancelled: boolean
  /** ISO 8601. */
  readonly admittedAt: string
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
