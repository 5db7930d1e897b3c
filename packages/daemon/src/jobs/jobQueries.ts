import { Err, Ok, taskIdOf } from '@citronnotch/protocol'
import type { JobView, Result, TaskState, TaskView } from '@citronnotch/protocol'
import { Failure } from '../errors.js'
import type { Platform } from '../platform/index.js'
import { JOB_TABLES, endedKey, partKey } from './types.js'
import type { EndedRow, JobRow, PartRow } from './types.js'

const MAX_PAGE = 500

export interface JobQueriesDeps {
  readonly platform: Pick<Platform, 'tables'>
  /** Live tasks of a part from the owner of the shard; undefined when it can't be asked. */
  livePart (shardId: string, jobId: string): Promise<readonly TaskView[] | undefined>
}

/** Answers questions about jobs from the table service and the owners of shards. */
export class JobQueries {
  private constructor (private readonly deps: JobQueriesDeps) {}

  static create (deps: JobQueriesDeps): JobQueries {
    return new JobQueries(deps)
  }

  async get (jobId: string): Promise<Result<JobView, Failure>> {
    const rows = await this.deps.platform.tables.read([{ table: JOB_TABLES.jobs, key: jobId }])
    if (!rows.ok) return Err(storeUnavailable)
    const job = rows.val[0]?.value as JobRow | undefined
    if (job === undefined) return Err(Failure.notRun('unknown-job', `Job ${jobId} does not exist.`, 'Check the job id.'))
    const parts = await this.readParts(job)
    if (!parts.ok) return parts
    const tasks = (await Promise.all(parts.val.map(part => this.viewPart(part)))).flat()
    return Ok(viewOf(job, tasks))
  }

  /** Lists jobs by id, without their tasks' places. */
  async list (team: string | undefined, after: string | undefined, limit: number): Promise<Result<readonly JobView[], Failure>> {
    const rows = await this.deps.platform.tables.scan(JOB_TABLES.jobs, {
      prefix: '', limit: Math.min(limit, MAX_PAGE), ...(after === undefined ? {} : { after })
    })
    if (!rows.ok) return Err(storeUnavailable)
    const jobs = rows.val.map(row => row.value as JobRow).filter(job => team === undefined || job.spec.team === team)
    const views = await Promise.all(jobs.map(async job => {
      const parts = await this.readParts(job)
      return parts.ok ? viewOf(job, parts.val.flatMap(storedTasks)) : undefined
    }))
    return Ok(views.flatMap(view => view === undefined ? [] : [{ ...view, tasks: [] }]))
  }

  private async readParts (job: JobRow): Promise<Result<ReadonlyArray<PartRow | EndedRow>, Failure>> {
    const keys = Object.keys(job.parts).flatMap(shardId => [
      { table: JOB_TABLES.parts, key: partKey(shardId, job.jobId) },
      { table: JOB_TABLES.ended, key: endedKey(job.jobId, shardId) }
    ])
    const rows = await this.deps.platform.tables.read(keys)
    return rows.ok ? Ok(rows.val.map(row => row.value as PartRow | EndedRow)) : Err(storeUnavailable)
  }

  private async viewPart (part: PartRow | EndedRow): Promise<readonly TaskView[]> {
    const stored = storedTasks(part)
    if ('endedAt' in part) return stored
    const live = await this.deps.livePart(part.shardId, part.jobId)
    const byId = new Map(live?.map(task => [task.taskId, task]))
    return stored.map(task => task.state === 'unknown' ? byId.get(task.taskId) ?? task : task)
  }
}

const storeUnavailable = Failure.notRun('store-unavailable', 'The table service can not be reached, so the state of jobs is not known.', 'Try again later; running work goes on.')

/** Tasks as the table service knows them; those without an outcome are `unknown`. */
function storedTasks (part: PartRow | EndedRow): readonly TaskView[] {
  const tasks: TaskView[] = []
  for (let index = part.from; index < part.to; index++) {
    const reason = part.failed[index]
    tasks.push({
      taskId: taskIdOf(part.jobId, index),
      shardId: part.shardId,
      state: storedState(part, index),
      ...(reason === undefined ? {} : { reason })
    })
  }
  return tasks
}

function storedState (part: PartRow | EndedRow, index: number): TaskState {
  if (part.failed[index] !== undefined) return 'failed'
  if (part.done.includes(index)) return 'finished'
  return 'endedAt' in part ? 'cancelled' : 'unknown'
}

function viewOf (job: JobRow, tasks: readonly TaskView[]): JobView {
  const { jobId, spec, admittedAt } = job
  return { jobId, spec, admittedAt, tasks, state: jobState(job, tasks) }
}

function jobState (job: JobRow, tasks: readonly TaskView[]): JobView['state'] {
  const has = (...states: readonly TaskState[]) => tasks.some(task => states.includes(task.state))
  if (has('running', 'starting', 'stopping')) return 'running'
  if (job.cancelled) return 'cancelled'
  if (has('waiting', 'unknown')) return has('finished') ? 'running' : 'waiting'
  return has('failed') ? 'failed' : 'finished'
}
