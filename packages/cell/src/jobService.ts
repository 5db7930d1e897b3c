import type { Clock } from '@citronnotch/daemon/clock'
import { Failure } from '@citronnotch/daemon/errors'
import type { Log } from '@citronnotch/daemon/logger'
import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import { PARTITION, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import type { JobRecord } from './jobs.js'
import type { CellMetrics } from './metrics.js'
import type { RowStore, StoredRow } from './ports.js'
import type { StoreHealth } from './storeHealth.js'
import type { JobOutcome, JobSpec, JobState, Queue } from './types.js'

/** Pause before a call to the store is repeated. */
const RETRY_PAUSE_MS = 60
/** Part of the caller's time that is left for the answer. */
const ANSWER_MARGIN_MS = 150

/** What the current leader can be asked and told; every call may fail. */
export interface LeaderContact {
  admitted (jobId: string, record: JobRecord, version: number): void
  cancelled (jobId: string): void
  /** Undefined when the leader doesn't know the job or doesn't answer. */
  stateOf (jobId: string): Promise<JobState | undefined>
  pendingOf (queue: string): Promise<number | undefined>
}

export interface JobServiceOptions {
  readonly store: RowStore
  readonly storeHealth: StoreHealth
  readonly leader: LeaderContact
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

/** Admits, cancels and shows jobs at any daemon. */
export class JobService {
  private constructor (private readonly options: JobServiceOptions) {}

  static create (options: JobServiceOptions): JobService {
    return new JobService(options)
  }

  // Commands

  /** Resolves with Ok once the job is stored; a repetition of the same id is the same job. */
  async submit (jobId: string, queue: Queue, spec: JobSpec, budgetMs: number): Promise<Result<'admitted' | 'known', Failure>> {
    const { store, clock, leader } = this.options
    const record: JobRecord = { queue: queue.name, service: queue.service, spec, admittedAtMs: clock.date().getTime() }
    const admit = () => store.transact({
      partition: PARTITION,
      expect: [{ table: TABLES.jobs, key: jobId, version: 0 }, { table: TABLES.ended, key: jobId, version: 0 }],
      puts: [{ table: TABLES.jobs, key: jobId, value: record }],
      removes: []
    }, STORE_TIMEOUT_MS)
    const res = await this.withinBudget(jobId, 'submit', budgetMs, admit)
    if (res.err) return res
    if (!res.val.committed) return Ok('known')
    leader.admitted(jobId, record, res.val.version)
    return Ok('admitted')
  }

  /** Resolves with Ok once the cancellation is stored; `unknown` when there is no such live job. */
  async cancel (jobId: string, budgetMs: number): Promise<Result<'cancelled' | 'unknown', Failure>> {
    const { store, clock, leader } = this.options
    const started = clock.now()
    for (;;) {
      const remaining = budgetMs - (clock.now() - started)
      const rows = await this.withinBudget(jobId, 'cancel', remaining, () => this.readJob(jobId))
      if (rows.err) return rows
      const job = rows.val.find(({ key }) => key === jobId)
      if (job === undefined) return this.cancelEnded(jobId, remaining)
      if (rows.val.some(({ key }) => key === `${jobId}.cancel`)) return Ok('cancelled')
      const res = await this.withinBudget(jobId, 'cancel', remaining, () => store.transact({
        partition: PARTITION,
        expect: [{ table: TABLES.jobs, key: jobId, version: job.version }],
        puts: [{ table: TABLES.jobs, key: `${jobId}.cancel`, value: { atMs: clock.date().getTime() } }],
        removes: []
      }, STORE_TIMEOUT_MS))
      if (res.err) return res
      if (!res.val.committed) continue
      leader.cancelled(jobId)
      return Ok('cancelled')
    }
  }

  // Queries

  /** Undefined when there is no such job. */
  async stateOf (jobId: string, budgetMs: number): Promise<Result<JobState | undefined, Failure>> {
    const known = await this.options.leader.stateOf(jobId)
    if (known !== undefined) return Ok(known)
    const rows = await this.withinBudget(jobId, 'show', budgetMs, () => this.readJob(jobId))
    if (rows.err) return rows
    if (rows.val.some(({ key }) => key === `${jobId}.cancel`)) return Ok('cancelled')
    if (rows.val.some(({ key }) => key === jobId)) return Ok(rows.val.some(({ key }) => key === `${jobId}.progress`) ? 'active' : 'queued')
    return this.outcomeOf(jobId, budgetMs)
  }

  async pendingOf (queue: Queue): Promise<Result<number, Failure>> {
    const pending = await this.options.leader.pendingOf(queue.name)
    if (pending !== undefined) return Ok(pending)
    return Err(Failure.notRun('leader-unknown', 'The leader of the cell can not be asked now.', 'Ask again in a second.'))
  }

  private async cancelEnded (jobId: string, budgetMs: number): Promise<Result<'cancelled' | 'unknown', Failure>> {
    const outcome = await this.outcomeOf(jobId, budgetMs)
    if (outcome.err) return outcome
    return Ok(outcome.val === 'cancelled' ? 'cancelled' : 'unknown')
  }

  private async outcomeOf (jobId: string, budgetMs: number): Promise<Result<JobOutcome | undefined, Failure>> {
    const { store } = this.options
    const page = await this.withinBudget(jobId, 'show', budgetMs, () =>
      store.range({ table: TABLES.ended, partition: PARTITION, from: jobId, to: `${jobId}/`, limit: 1 }, STORE_TIMEOUT_MS))
    if (page.err) return page
    return Ok((page.val.rows[0]?.value as { readonly outcome?: JobOutcome } | undefined)?.outcome)
  }

  private async readJob (jobId: string): Promise<Result<readonly StoredRow[], Failure>> {
    const page = await this.options.store.range({ table: TABLES.jobs, partition: PARTITION, from: jobId, to: `${jobId}/` }, STORE_TIMEOUT_MS)
    return page.ok ? Ok(page.val.rows) : page
  }

  /**
   * Repeats a call without an answer while the caller waits. A failure says `not-run` only when no attempt can
   * have taken effect; while the store is known to be away it is given at once.
   */
  private async withinBudget<T> (jobId: string, operation: string, budgetMs: number, call: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const { clock, storeHealth, log, metrics } = this.options
    const started = clock.now()
    let mayHaveRun = false
    for (let attempt = 1; ; attempt++) {
      if (storeHealth.isAway()) {
        metrics.count(`store_away_${operation}`)
        if (!mayHaveRun) return Err(Failure.notRun('store-away', 'The store can not be reached.', 'Try again in a second.'))
      } else {
        const res = await call()
        if (res.ok) return res
        if (res.val.verdict !== 'not-run') mayHaveRun = true
        log.info('Call to the store failed.', { job: jobId, operation, attempt, verdict: res.val.verdict, reason: res.val.reason })
        if (!mayHaveRun && attempt >= 2) return res
      }
      const remaining = budgetMs - ANSWER_MARGIN_MS - (clock.now() - started)
      if (remaining < RETRY_PAUSE_MS + STORE_TIMEOUT_MS / 2 || (storeHealth.isAway() && mayHaveRun)) {
        return Err(mayHaveRun
          ? Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.', 'Send the same request again.')
          : Failure.notRun('store-away', 'The store can not be reached.', 'Try again in a second.'))
      }
      await clock.sleep(RETRY_PAUSE_MS)
    }
  }
}
