import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { cancelKeyOf, leaderPartitionName, leaderPartitionOf, partitionOf } from './jobs.js'
import type { EndedRecord, StoredProgress } from './jobs.js'
import { encodeJob } from './jobRecord.js'
import type { JobRecord } from './jobRecord.js'
import type { CellMetrics } from './metrics.js'
import type { RowStore, StoredRow } from './ports.js'
import type { StoreHealth } from './storeHealth.js'
import type { JobOutcome, JobSpec, JobState, Queue } from './types.js'

/** Pause before a call to the store is repeated. */
const RETRY_PAUSE_MS = 60
/** The pause doubles up to this: a store that resets connections fails calls at once. */
const LONGEST_RETRY_PAUSE_MS = 400
/** A call that fails sooner was reset; one without an answer takes its whole time. */
const QUICK_FAILURE_MS = 300
/** Part of the caller's time that is left for the answer. */
const ANSWER_MARGIN_MS = 150

const STORE_AWAY = Failure.notRun('store-away', 'The store can not be reached.', 'Try again in a second.')

/** What the current leader can be asked and told; every call may fail. */
export interface LeaderContact {
  admitted (jobId: string, record: JobRecord, payload: string, version: number): void
  cancelled (jobId: string): void
  /** Has the leader admit or cancel a job; for a daemon that can't reach the store itself. */
  submit (jobId: string, record: JobRecord, payload: string): Promise<Result<'admitted' | 'known', Failure>>
  cancel (jobId: string): Promise<Result<'cancelled' | 'unknown', Failure>>
  /** Undefined when the leader doesn't know the job or doesn't answer. */
  stateOf (jobId: string): Promise<JobState | undefined>
  pendingOf (queue: string): Promise<number | undefined>
}

/** What the store holds of a job. */
interface StoredState {
  /** Row that admitted the job; undefined once it has ended, or when there is no such job. */
  readonly job: StoredRow | undefined
  readonly isCancelled: boolean
  readonly outcome: JobOutcome | undefined
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
    const { clock, storeHealth, leader } = this.options
    const { payload, ...outline } = spec
    const record: JobRecord = { queue: queue.name, service: queue.service, spec: outline, admittedAtMs: clock.date().getTime() }
    const started = clock.now()
    const own = storeHealth.isAway() ? this.storeAway() : await this.admit(jobId, record, payload, budgetMs)
    if (own.ok || own.val.verdict !== 'not-run') return own
    if (clock.now() - started > budgetMs / 2) return own
    this.options.metrics.count('submitted_by_leader')
    return leader.submit(jobId, record, payload)
  }

  /** Admits a job through this daemon's own connection to the store. */
  async admit (jobId: string, record: JobRecord, payload: string, budgetMs: number): Promise<Result<'admitted' | 'known', Failure>> {
    const { store, leader } = this.options
    const res = await this.withinBudget(jobId, 'submit', budgetMs, () => store.transact({
      partition: partitionOf(jobId),
      expect: [{ table: TABLES.jobs, key: jobId, version: 0 }, { table: TABLES.ended, key: jobId, version: 0 }],
      puts: [{ table: TABLES.jobs, key: jobId, value: encodeJob(record) }, { table: TABLES.payloads, key: jobId, value: { payload } }],
      removes: []
    }, STORE_TIMEOUT_MS))
    if (res.err) return res
    if (!res.val.committed) return Ok('known')
    leader.admitted(jobId, record, payload, res.val.version)
    return Ok('admitted')
  }

  /** Resolves with Ok once the cancellation is stored; `unknown` when there is no such live job. */
  async cancel (jobId: string, budgetMs: number): Promise<Result<'cancelled' | 'unknown', Failure>> {
    const { storeHealth, leader } = this.options
    return storeHealth.isAway() ? leader.cancel(jobId) : this.storeCancel(jobId, budgetMs)
  }

  /** Cancels a job through this daemon's own connection to the store. */
  async storeCancel (jobId: string, budgetMs: number): Promise<Result<'cancelled' | 'unknown', Failure>> {
    const { store, clock, leader } = this.options
    const started = clock.now()
    for (;;) {
      const remaining = budgetMs - (clock.now() - started)
      const stored = await this.withinBudget(jobId, 'cancel', remaining, () => this.readJob(jobId))
      if (stored.err) return stored
      const { job, isCancelled, outcome } = stored.val
      if (outcome === 'cancelled' || isCancelled) return Ok('cancelled')
      if (job === undefined || outcome !== undefined) return Ok('unknown')
      const res = await this.withinBudget(jobId, 'cancel', remaining, () => store.transact({
        partition: partitionOf(jobId),
        expect: [{ table: TABLES.jobs, key: jobId, version: job.version }],
        puts: [{ table: TABLES.jobs, key: cancelKeyOf(jobId), value: { atMs: clock.date().getTime() } }],
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
    const stored = await this.withinBudget(jobId, 'show', budgetMs, () => this.readJob(jobId))
    if (stored.err) return stored
    const { job, outcome } = stored.val
    // A stored cancellation is not an outcome: the leader may complete the job before it sees it.
    return Ok(outcome ?? (job === undefined ? undefined : 'active'))
  }

  async pendingOf (queue: Queue): Promise<Result<number, Failure>> {
    const pending = await this.options.leader.pendingOf(queue.name)
    if (pending !== undefined) return Ok(pending)
    return Err(Failure.notRun('leader-unknown', 'The leader of the cell can not be asked now.', 'Ask again in a second.'))
  }

  /** Reads what the store holds of a job. */
  private async readJob (jobId: string): Promise<Result<StoredState, Failure>> {
    const live = await this.readRows(TABLES.jobs, partitionOf(jobId), jobId, `${jobId}/`)
    if (live.err) return live
    const job = live.val.find(({ key }) => key === jobId)
    const isCancelled = live.val.some(({ key }) => key === cancelKeyOf(jobId))
    // A row that is missing was moved to the ended ones, if there ever was one.
    const last = job === undefined
      ? await this.readRows(TABLES.ended, partitionOf(jobId), jobId, `${jobId}\0`)
      : await this.readRows(TABLES.progress, leaderPartitionName(leaderPartitionOf(jobId)), jobId, `${jobId}\0`)
    if (last.err) return last
    const value = last.val[0]?.value as EndedRecord | StoredProgress | undefined
    return Ok({ job, isCancelled, outcome: value !== undefined && 'outcome' in value ? value.outcome : undefined })
  }

  private async readRows (table: string, partition: string, from: string, to: string): Promise<Result<readonly StoredRow[], Failure>> {
    const page = await this.options.store.range({ table, partition, from, to }, STORE_TIMEOUT_MS)
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
      if (storeHealth.isAway() && !mayHaveRun) {
        metrics.count(`store_away_${operation}`)
        return this.storeAway()
      }
      const sentAt = clock.now()
      const res = await call()
      if (res.ok) return res
      if (res.val.verdict !== 'not-run') mayHaveRun = true
      log.info('Call to the store failed.', { job: jobId, operation, attempt, verdict: res.val.verdict, reason: res.val.reason })
      if (!mayHaveRun && attempt >= 2) return res
      const remaining = budgetMs - ANSWER_MARGIN_MS - (clock.now() - started)
      // A store that resets connections is asked again until it is back; one that is silent would take the caller's time.
      const isSilent = clock.now() - sentAt > QUICK_FAILURE_MS
      if (remaining < RETRY_PAUSE_MS + STORE_TIMEOUT_MS / 2 || (storeHealth.isAway() && isSilent)) {
        return Err(mayHaveRun
          ? Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.', 'Send the same request again.')
          : STORE_AWAY)
      }
      await clock.sleep(Math.min(RETRY_PAUSE_MS * 2 ** (attempt - 1), LONGEST_RETRY_PAUSE_MS))
    }
  }

  private storeAway (): Result<never, Failure> {
    return Err(STORE_AWAY)
  }
}
