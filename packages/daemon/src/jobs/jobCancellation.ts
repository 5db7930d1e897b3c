import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { Platform, Row, RowWrite } from '../platform/index.js'
import type { Timeline } from '../timeline/index.js'
import { JOB_TABLES, partKey } from './types.js'
import type { JobRow, PartRow } from './types.js'

/** Writes of a shard's owner may come in between; each attempt starts from fresh rows. */
const MAX_ATTEMPTS = 10
const RETRY_PAUSE_MS = 50

export interface JobCancellationDeps {
  readonly platform: Pick<Platform, 'tables' | 'groupCommit'>
  readonly clock: Clock
  readonly timeline: Timeline
  notify (shardId: string, jobId: string): void
}

/** Cancels jobs: marks the job and its parts in one transaction, then tells the owners. */
export class JobCancellation {
  private constructor (private readonly deps: JobCancellationDeps) {}

  static create (deps: JobCancellationDeps): JobCancellation {
    return new JobCancellation(deps)
  }

  /** Idempotent. Tasks may still run when it returns; their owners stop them. */
  async cancel (jobId: string): Promise<Result<void, Failure>> {
    let last: Failure | undefined
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const rows = await this.readRows(jobId)
      if (!rows.ok) return rows
      const { job, parts } = rows.val
      if (job.value.cancelled) return Ok(undefined)
      const result = await this.deps.platform.groupCommit.commit([cancelled(job), ...parts.map(cancelled)])
      if (result.ok && result.val.committed) {
        this.announce(job.value)
        return Ok(undefined)
      }
      if (!result.ok && result.val.verdict === 'not-run') return Err(result.val)
      if (!result.ok) last = result.val
      await this.deps.clock.sleep(RETRY_PAUSE_MS * (attempt + 1))
    }
    return Err(last ?? Failure.notRun('busy', `Job ${jobId} was changed by others on every attempt.`, 'Cancel it again.'))
  }

  private async readRows (jobId: string): Promise<Result<{ readonly job: Row<JobRow>, readonly parts: ReadonlyArray<Row<PartRow>> }, Failure>> {
    const jobs = await this.deps.platform.tables.read([{ table: JOB_TABLES.jobs, key: jobId }])
    if (!jobs.ok) return Err(Failure.notRun('store-unavailable', 'The table service can not be reached, so nothing was cancelled.', 'Try again later.'))
    const job = jobs.val[0] as Row<JobRow> | undefined
    if (job === undefined) return Err(Failure.notRun('unknown-job', `Job ${jobId} does not exist.`, 'Check the job id.'))
    const keys = Object.keys(job.value.parts).map(shardId => ({ table: JOB_TABLES.parts, key: partKey(shardId, jobId) }))
    const parts = await this.deps.platform.tables.read(keys)
    if (!parts.ok) return Err(Failure.notRun('store-unavailable', 'The table service can not be reached, so nothing was cancelled.', 'Try again later.'))
    return Ok({ job, parts: parts.val as ReadonlyArray<Row<PartRow>> })
  }

  private announce ({ jobId, spec, parts }: JobRow) {
    this.deps.timeline.record('job-cancelled', `Cancelled "${spec.name}" on request.`, { jobId, team: spec.team })
    for (const shardId of Object.keys(parts)) this.deps.notify(shardId, jobId)
  }
}

function cancelled<T extends { readonly cancelled: boolean }> (row: Row<T>): RowWrite {
  return { table: row.table, key: row.key, ifVersion: row.version, value: { ...row.value, cancelled: true } }
}
