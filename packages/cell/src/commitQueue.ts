import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { COMMIT_AWAITED_DELAY_MS, COMMIT_PROGRESS_DELAY_MS, COMMIT_RETRY_MS, COMMIT_START_DELAY_MS, MAX_TRANSACTION_ENTRIES, STORE_TIMEOUT_MS, TABLES, TRANSACTION_REJECTED } from './constants.js'
import type { Job, ProgressRow } from './jobs.js'
import type { RowKey, RowStore, StoredRow, Transaction } from './ports.js'

/** Pause before a job whose progress the store has rejected is stored again, in milliseconds. */
const REJECTED_RETRY_MS = 5_000
/** Time after which a store that has not refused the row yet is slow: many times that of a transaction and its batch, in milliseconds. */
const SLOW_STORE_MS = 150
/** Each row needs one expected version and one write. */
const ENTRIES_PER_ROW = 2
const MAX_BATCH_ROWS = Math.floor(MAX_TRANSACTION_ENTRIES / ENTRIES_PER_ROW)
/** Number of rows to which batches are not reduced further: the largest ones take half a second at 10 Mbit/s. */
const MIN_BATCH_ROWS = 8

export interface CommitQueueOptions {
  readonly store: RowStore
  readonly partition: string
  /** Version of the epoch row. Every transaction expects it, so that transactions of a deposed leader fail. */
  readonly epochVersion: () => number
  /** True while this daemon holds a valid leader lease. */
  readonly mayIssueCommands: () => boolean
  readonly onDeposed: () => void
  /** Called when a row turns out to be that of an earlier leader; its job takes over what it says. */
  readonly onEarlierProgress: (row: ProgressRow, value: unknown) => void
  /** Called when the store has rejected a row again, though a job's rows always fit: its job can't go on. */
  readonly onRejected: (job: Job) => void
  /** Called when the store has refused a transaction. */
  readonly onRefused: () => void
  readonly clock: Clock
  readonly log: Log
}

/** `failed`: to be sent again as it is; `rejected`: the store can't take what it contains. */
type CommitOutcome = 'stored' | 'failed' | 'rejected'

/**
 * Why a change of a job is stored: a caller or a task waits for it, as for an outcome, a successor has to know of a start
 * soon, or of other progress at some time.
 */
export type ChangeKind = 'awaited' | 'start' | 'progress'

/** Delay before a change is stored, so that others join the transaction, in milliseconds. */
const DELAYS_MS: Readonly<Record<ChangeKind, number>> = {
  awaited: COMMIT_AWAITED_DELAY_MS,
  start: COMMIT_START_DELAY_MS,
  progress: COMMIT_PROGRESS_DELAY_MS
}

/** What waits for a job to be stored. */
export interface StageOptions {
  /**
   * What has changed.
   * @default `awaited` if the job has an outcome, else `progress`
   */
  readonly kind?: ChangeKind
  /** Whether to go on without the row if the store is slow to answer, or rejects what the row contains; not if it refuses the call. */
  readonly isBestEffort?: boolean
}

interface Waiter {
  readonly resolve: () => void
  readonly isBestEffort: boolean
}

interface StagedRow {
  readonly row: ProgressRow
  /** Monotonic time in milliseconds by which the row is stored, unless other transactions delay it. */
  dueAt: number
  waiters: Waiter[]
}

/**
 * Stores the progress and outcomes of jobs in batches, one transaction at a time. Each write expects the current
 * version of its row, so that a transaction that is applied late, after its answer was lost, can't undo a newer one.
 */
export class CommitQueue {
  private staged = new Map<ProgressRow, StagedRow>()
  /** Rows that the store has rejected since they were last stored. */
  private readonly rejectedRows = new WeakSet<ProgressRow>()
  /** Maximum number of rows of the next batch: halved after one without an answer, which may not fit through the link in time. */
  private batchRows = MAX_BATCH_ROWS
  /** Whether the store refused the latest transaction. */
  private isRefused = false
  private isStopped = false
  private wakeUp: (() => void) | undefined
  private endDelay: (() => void) | undefined
  /** Monotonic time in milliseconds at which the batch that is being collected is stored. */
  private batchDueAt = Infinity

  private constructor (private readonly options: CommitQueueOptions) {}

  static create (options: CommitQueueOptions): CommitQueue {
    return new CommitQueue(options)
  }

  /** Queues the row to be stored, without waiting for it. A job stands for its first row. */
  enqueue (row: ProgressRow, kind: ChangeKind = kindOf(row)): void {
    this.entryFor(row, kind)
  }

  /** Queues the row to be stored. Resolves when its current state or a newer one is stored. */
  stage (row: ProgressRow, { kind = kindOf(row), isBestEffort = false }: StageOptions = {}): Promise<void> {
    if (isBestEffort && this.rejectedRows.has(row)) return Promise.resolve()
    const entry = this.entryFor(row, kind)
    return new Promise(resolve => {
      if (!isBestEffort) {
        entry.waiters.push({ resolve, isBestEffort })
        return
      }
      let cancel = () => {}
      const goOnIfSlow = () => {
        if (this.isStopped) return
        if (this.isRefused) cancel = this.options.clock.after(SLOW_STORE_MS, goOnIfSlow)
        else resolve()
      }
      cancel = this.options.clock.after(SLOW_STORE_MS, goOnIfSlow)
      entry.waiters.push({
        isBestEffort,
        resolve: () => {
          cancel()
          resolve()
        }
      })
    })
  }

  /** Whether the store has refused the latest transaction, so that rows that are staged now may not be stored soon. */
  isRefusedByStore (): boolean {
    return this.isRefused
  }

  /** Number of rows waiting to be stored, without those in the current transaction. */
  size (): number {
    return this.staged.size
  }

  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    signal.addEventListener('abort', () => {
      this.isStopped = true
      this.wakeUp?.()
      this.endDelay?.()
    }, { once: true })
    while (!signal.aborted) {
      if (this.staged.size === 0) await new Promise<void>(resolve => { this.wakeUp = resolve })
      if (signal.aborted) return
      await this.delayBatch()
      if (!await this.storeBatch(this.dequeueBatch())) await clock.sleep(COMMIT_RETRY_MS, signal)
    }
  }

  /**
   * Stores a batch or stages it again, and resolves with whether to go on at once. A batch that the store rejects is split,
   * so that a row that the store can't take doesn't keep the others from being stored.
   */
  private async storeBatch (batch: readonly StagedRow[]): Promise<boolean> {
    let outcome: CommitOutcome = 'failed'
    try {
      if (this.options.mayIssueCommands()) outcome = await this.commit(batch)
    } finally {
      if (outcome === 'failed') for (const entry of batch) this.restage(entry)
    }
    if (outcome === 'stored') batch.forEach(entry => this.release(entry))
    if (outcome !== 'rejected') return outcome === 'stored'
    if (batch.length <= 1) {
      this.setAside(batch)
      return true
    }
    const middle = Math.ceil(batch.length / 2)
    let areStored = false
    try {
      areStored = await this.storeBatch(batch.slice(0, middle))
    } finally {
      // Neither half is staged any more, and only what is sent is staged again when it fails.
      areStored = await this.storeBatch(batch.slice(middle)) && areStored
    }
    return areStored
  }

  private release ({ row, waiters }: StagedRow) {
    this.rejectedRows.delete(row)
    for (const { resolve } of waiters) resolve()
  }

  /**
   * Stages rows again only after a while. A row that is rejected for the second time ends its job: the ends of its runs
   * could never be acknowledged, and would keep the workers from listing others.
   */
  private setAside (batch: readonly StagedRow[]) {
    const { log, clock, onRejected } = this.options
    for (const entry of batch) {
      const { row } = entry
      if (this.rejectedRows.has(row) && row.job.outcome === undefined) onRejected(row.job)
      if (row.job.isOutcomeStored) this.release(entry)
      this.rejectedRows.add(row)
      for (const { resolve, isBestEffort } of entry.waiters) if (isBestEffort) resolve()
      entry.waiters = entry.waiters.filter(({ isBestEffort }) => !isBestEffort)
    }
    log.error('The store rejects the progress of a job; the others are stored without it.', { rows: batch.map(({ row }) => row.key) })
    clock.after(REJECTED_RETRY_MS, () => {
      for (const entry of batch) this.restage(entry)
      this.wakeUp?.()
    })
  }

  private entryFor (row: ProgressRow, kind: ChangeKind): StagedRow {
    const dueAt = this.options.clock.now() + DELAYS_MS[kind]
    const entry = this.staged.get(row) ?? { row, dueAt, waiters: [] }
    entry.dueAt = Math.min(entry.dueAt, dueAt)
    this.staged.set(row, entry)
    this.wakeUp?.()
    if (dueAt < this.batchDueAt) this.endDelay?.()
    return entry
  }

  /** Waits for further changes that can join the transaction, until the first one is due. */
  private async delayBatch () {
    const { clock } = this.options
    for (;;) {
      this.batchDueAt = Math.min(...[...this.staged.values()].map(({ dueAt }) => dueAt))
      const remainingMs = this.batchDueAt - clock.now()
      if (remainingMs <= 0 || this.isStopped) return
      await new Promise<void>(resolve => {
        const cancel = clock.after(remainingMs, resolve)
        this.endDelay = () => {
          cancel()
          resolve()
        }
      })
      this.endDelay = undefined
    }
  }

  /** Takes the rows of the next transaction, those of jobs with an outcome first: callers wait for them. */
  private dequeueBatch (): readonly StagedRow[] {
    const entries = [...this.staged.values()]
    const batch = [...entries.filter(({ row }) => row.job.outcome !== undefined), ...entries.filter(({ row }) => row.job.outcome === undefined)]
      .slice(0, this.batchRows)
    for (const { row } of batch) this.staged.delete(row)
    return batch
  }

  private restage (entry: StagedRow) {
    const newer = this.staged.get(entry.row)
    if (newer === undefined) {
      this.staged.set(entry.row, entry)
      return
    }
    newer.waiters.push(...entry.waiters)
    newer.dueAt = Math.min(newer.dueAt, entry.dueAt)
  }

  private takeOver (row: ProgressRow, stored: StoredRow | undefined) {
    this.options.log.warn('The progress row of a job is of an earlier leader.', { row: row.key, version: row.progressVersion })
    this.options.onEarlierProgress(row, stored?.value)
  }

  private async commit (batch: readonly StagedRow[]): Promise<CommitOutcome> {
    const { store, partition, log, onDeposed } = this.options
    const epochVersion = this.options.epochVersion()
    // The values are captured here; a row that changes later is staged again.
    const unixMs = this.options.clock.date().getTime()
    const writes = batch.map(({ row }) => ({ row, key: { table: TABLES.progress, key: row.key }, version: row.progressVersion, value: row.value(unixMs) }))
    const tx: Transaction = {
      partition,
      expect: [{ table: TABLES.leader, key: 'epoch', version: epochVersion }, ...writes.map(({ key, version }) => ({ ...key, version }))],
      puts: writes.map(({ key, value }) => ({ ...key, value })),
      removes: []
    }
    const res = await store.transact(tx, STORE_TIMEOUT_MS)
    this.isRefused = res.err && res.val.verdict === 'not-run' && res.val.code !== TRANSACTION_REJECTED
    if (res.err && res.val.code === TRANSACTION_REJECTED) return 'rejected'
    if (res.err) {
      log.warn('Storing job progress failed; retrying.', { rows: batch.length, verdict: res.val.verdict, reason: res.val.reason })
      if (res.val.verdict === 'not-run') this.options.onRefused()
      else this.batchRows = Math.max(MIN_BATCH_ROWS, Math.floor(batch.length / 2))
      return 'failed'
    }
    this.batchRows = Math.min(MAX_BATCH_ROWS, 2 * this.batchRows)
    if (res.val.committed) {
      for (const { row } of writes) row.progressVersion = res.val.version
      return 'stored'
    }
    const currentRows = new Map(res.val.current.map(row => [`${row.table}/${row.key}`, row]))
    if (currentVersionOf(currentRows, { table: TABLES.leader, key: 'epoch' }) !== epochVersion) {
      onDeposed()
      return 'failed'
    }
    // An earlier transaction whose answer was lost has been applied, possibly with the same values as this one.
    for (const { row, key } of writes) {
      row.progressVersion = currentVersionOf(currentRows, key)
      // Since the epoch row was written, only this leader stores progress.
      if (row.progressVersion > 0 && row.progressVersion < epochVersion) this.takeOver(row, currentRows.get(`${key.table}/${key.key}`))
    }
    const isAlreadyStored = writes.every(({ key, value }) => JSON.stringify(currentRows.get(`${key.table}/${key.key}`)?.value) === JSON.stringify(value))
    if (isAlreadyStored) return 'stored'
    log.info('Versions of progress rows refreshed after a conflict.', { rows: batch.length })
    return 'failed'
  }
}

function kindOf ({ job }: ProgressRow): ChangeKind {
  return job.outcome === undefined ? 'progress' : 'awaited'
}

function currentVersionOf (rows: ReadonlyMap<string, StoredRow>, { table, key }: RowKey): number {
  const row = rows.get(`${table}/${key}`)
  return row === undefined || row.deleted ? 0 : row.version
}
