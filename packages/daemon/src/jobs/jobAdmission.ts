import { createHash, randomUUID } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { Err, Ok, jobSpecSchema } from '@citronnotch/protocol'
import type { JobAdmitted, JobSpec, Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { Log } from '../logger.js'
import type { Metrics } from '../metrics.js'
import type { Platform, RowWrite } from '../platform/index.js'
import type { Timeline } from '../timeline/index.js'
import { splitJob } from './splitJob.js'
import type { JobParts } from './splitJob.js'
import { JOB_TABLES, partKey } from './types.js'
import type { JobRow, PartRow, ShardRoom, TeamRules } from './types.js'

/** Time after which an admission whose outcome stays unknown is reported as such. */
const SETTLE_MS = 8_000
const SETTLE_PAUSE_MS = 250

export interface JobAdmissionDeps {
  readonly platform: Pick<Platform, 'tables' | 'groupCommit'>
  readonly clock: Clock
  readonly log: Log
  readonly timeline: Timeline
  readonly metrics: Metrics
  /** Undefined while no configuration is in force. */
  teamRules (): TeamRules | undefined
  /** Fills in what the configuration gives for a job of its kind. */
  applyDefaults (input: unknown): unknown
  shards (): readonly ShardRoom[]
  /** Tells the owner of the shard about a new part. */
  notify (shardId: string, jobId: string): void
  /** @default Math.random */
  readonly random?: () => number
}

/** Checks jobs and keeps them in the table service before the caller is told that they are admitted. */
export class JobAdmission {
  private constructor (private readonly deps: JobAdmissionDeps) {}

  static create (deps: JobAdmissionDeps): JobAdmission {
    return new JobAdmission(deps)
  }

  /**
   * Admits a job. The same team and idempotency key always give the same job.
   * Fails with `not-run`, or with `may-have-run` when the table service did not confirm the job in time.
   */
  async submit (input: unknown, idempotencyKey?: string): Promise<Result<JobAdmitted, Failure>> {
    const spec = this.check(input)
    if (!spec.ok) return this.refuse(spec.val)
    const parts = splitJob(spec.val, this.deps.shards(), this.deps.random ?? Math.random)
    if (!parts.ok) return this.refuse(parts.val)
    const jobId = jobIdOf(spec.val.team, idempotencyKey)
    const row: JobRow = {
      jobId,
      spec: spec.val,
      parts: parts.val,
      cancelled: false,
      admittedAt: this.deps.clock.date().toISOString(),
      token: randomUUID()
    }
    const outcome = await this.write(row)
    if (!outcome.ok) return this.refuse(outcome.val)
    if (!outcome.val.repeated) this.announce(row)
    return outcome
  }

  private check (input: unknown): Result<JobSpec, Failure> {
    const rules = this.deps.teamRules()
    if (rules === undefined) {
      return Err(Failure.notRun('no-configuration', 'No configuration is in force on this daemon.', 'Apply one with "citronnotch apply <folder>".'))
    }
    const parsed = jobSpecSchema.safeParse(this.deps.applyDefaults(input))
    if (!parsed.success) {
      const issues = parsed.error.issues.map(issue => `${issue.path.join('.') || 'job'}: ${issue.message}`)
      return Err(Failure.notRun('invalid-job', `The job is not valid: ${issues.join('; ')}.`, 'Correct the fields and submit it again.'))
    }
    return this.checkQuota(parsed.data, rules)
  }

  private checkQuota (spec: JobSpec, rules: TeamRules): Result<JobSpec, Failure> {
    const quota = rules.quotaOf(spec.team)
    if (quota === undefined) {
      return Err(Failure.notRun('unknown-team', `Team "${spec.team}" does not exist; there are: ${rules.teams.join(', ')}.`, 'Use one of these teams, or add the team to the configuration.'))
    }
    const together = spec.kind === 'batch' ? 1 : spec.tasks
    for (const resource of ['cores', 'memoryMb', 'accelerators'] as const) {
      const limit = quota[resource]
      if (limit === undefined || spec[resource] * together <= limit) continue
      return Err(Failure.notRun('quota-exceeded', `The job needs ${spec[resource] * together} ${resource} at once; the quota of team "${spec.team}" is ${limit}.`, 'Ask for less, or raise the quota in the configuration.'))
    }
    return Ok(spec)
  }

  /**
   * Creates the rows. The same transaction is repeated after a lost answer: it either creates the rows now,
   * or finds the row with this admission's own token.
   */
  private async write (row: JobRow): Promise<Result<JobAdmitted, Failure>> {
    const { clock, platform } = this.deps
    const giveUpAt = clock.now() + SETTLE_MS
    let failure: Failure | undefined
    do {
      const result = await platform.groupCommit.commit(rowsOf(row))
      if (result.ok && result.val.committed) return Ok({ jobId: row.jobId, repeated: false })
      const existing = result.ok ? await this.compare(row) : undefined
      if (existing !== undefined) return existing
      if (!result.ok && result.val.verdict === 'not-run' && failure === undefined) return Err(result.val)
      if (!result.ok) failure = result.val
      await clock.sleep(SETTLE_PAUSE_MS)
    } while (clock.now() < giveUpAt)
    return Err(Failure.mayHaveRun('outcome-unknown', `The table service did not confirm job ${row.jobId} in time.`, `Ask for it with "citronnotch status ${row.jobId}", or submit it again with the same idempotency key.`))
  }

  /** Settles a conflict by the row that exists; undefined when it can't be read. */
  private async compare (row: JobRow): Promise<Result<JobAdmitted, Failure> | undefined> {
    const rows = await this.deps.platform.tables.read([{ table: JOB_TABLES.jobs, key: row.jobId }])
    if (!rows.ok) return undefined
    const existing = rows.val[0]?.value as JobRow | undefined
    if (existing === undefined) return undefined
    if (existing.token === row.token) return Ok({ jobId: row.jobId, repeated: false })
    if (isDeepStrictEqual(existing.spec, row.spec)) return Ok({ jobId: row.jobId, repeated: true })
    return Err(Failure.notRun('key-reused', `The idempotency key already belongs to job ${row.jobId}, which has another specification.`, 'Use another key for another job.'))
  }

  private announce (row: JobRow) {
    const { jobId, spec, parts } = row
    const shards = Object.entries(parts).map(([shardId, { from, to }]) => `${shardId}: ${to - from}`).join(', ')
    this.deps.timeline.record('job-admitted', `${spec.kind} job "${spec.name}" of ${spec.tasks} tasks (${shards}).`, { jobId, team: spec.team })
    this.deps.metrics.count('job.admitted', 1, { kind: spec.kind, team: spec.team })
    for (const shardId of Object.keys(parts)) this.deps.notify(shardId, jobId)
  }

  private refuse (failure: Failure): Result<never, Failure> {
    this.deps.timeline.record('job-refused', `${failure.reason} (${failure.verdict})`)
    this.deps.metrics.count('job.refused', 1, { code: failure.code })
    return Err(failure)
  }
}

function jobIdOf (team: string, idempotencyKey: string | undefined): string {
  if (idempotencyKey === undefined) return `j-${randomUUID()}`
  return `j-${createHash('sha256').update(JSON.stringify([team, idempotencyKey])).digest('hex').slice(0, 32)}`
}

function rowsOf (row: JobRow): readonly RowWrite[] {
  return [
    { table: JOB_TABLES.jobs, key: row.jobId, ifVersion: 0, value: row },
    ...partsOf(row.jobId, row.spec, row.parts).map(part => ({
      table: JOB_TABLES.parts, key: partKey(part.shardId, part.jobId), ifVersion: 0, value: part
    }))
  ]
}

function partsOf (jobId: string, spec: JobSpec, parts: JobParts): readonly PartRow[] {
  return Object.entries(parts).map(([shardId, { from, to }]) => ({
    jobId, shardId, spec, from, to, done: [], failed: {}, cancelled: false
  }))
}
