import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { COMMIT_GAP_MS, COMMIT_RETRY_MS, MAX_TRANSACTION_ENTRIES, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import type { Job, StoredProgress } from './jobs.js'
import type { RowKey, RowStore, StoredRow, Transaction } from './ports.js'

/** One expectation and one write. */
const ENTRIES_PER_JOB = 2

export interface CommitQueueOptions {
  readonly store: RowStore
  readonly partition: string
  /** Version of the epoch row; a transaction of a deposed leader fails on it. */
  readonly epochVersion: () => number
  /** True while this daemon may give orders. */
  readonly mayOrder: () => boolean
  readonly onDeposed: () => void
  /** The store has refused a transaction. */
  readonly onRefused: () => void
  readonly clock: Clock
  readonly log: Log
}

interface Staged {
  readonly job: Job
  readonly waiters: Array<() => void>
}

/**
 * Stores the progress and the ends of jobs, many in one transaction, one transaction at a time. Each write
 * expects the version that the row has, so that a transaction whose answer was lost can't undo a later one.
 */
export class CommitQueue {
  private staged = new Map<Job, Staged>()
  private wake: (() => void) | undefined

  private constructor (private readonly options: CommitQueueOptions) {}

  static create (options: CommitQueueOptions): CommitQueue {
    return new CommitQueue(options)
  }

  /** Resolves when the state that the job has now, or a later one, is stored. */
  stage (job: Job): Promise<void> {
    const entry = this.staged.get(job) ?? { job, waiters: [] }
    this.staged.set(job, entry)
    this.wake?.()
    return new Promise(resolve => { entry.waiters.push(resolve) })
  }

  /** Number of jobs whose state isn't stored yet. */
  size (): number {
    return this.staged.size
  }

  async run (signal: AbortSignal): Promise<void> {
    const { clock, mayOrder } = this.options
    signal.addEventListener('abort', () => this.wake?.(), { once: true })
    while (!signal.aborted) {
      if (this.staged.size === 0) await new Promise<void>(resolve => { this.wake = resolve })
      if (signal.aborted) return
      await clock.sleep(COMMIT_GAP_MS, signal)
      const batch = this.takeBatch()
      const committed = mayOrder() && await this.commit(batch)
      if (committed) {
        for (const { waiters } of batch) for (const resolve of waiters) resolve()
      } else {
        for (const entry of batch) this.restage(entry)
        await clock.sleep(COMMIT_RETRY_MS, signal)
      }
    }
  }

  private takeBatch (): readonly Staged[] {
    const batch: Staged[] = []
    let entries = 0
    for (const entry of this.staged.values()) {
      if (entries + ENTRIES_PER_JOB > MAX_TRANSACTION_ENTRIES) break
      entries += ENTRIES_PER_JOB
      batch.push(entry)
      this.staged.delete(entry.job)
    }
    return batch
  }

  private restage (entry: Staged) {
    const later = this.staged.get(entry.job)
    if (later !== undefined) later.waiters.push(...entry.waiters)
    else this.staged.set(entry.job, entry)
  }

  private async commit (batch: readonly Staged[]): Promise<boolean> {
    const { store, partition, log, onDeposed } = this.options
    const epochVersion = this.options.epochVersion()
    // What is sent is fixed here; later changes of a job are staged again.
    const writes = batch.map(({ job }) => ({ job, key: progressKey(job), version: job.progressVersion, value: valueOf(job, this.options.clock) }))
    const tx: Transaction = {
      partition,
      expect: [{ table: TABLES.leader, key: 'epoch', version: epochVersion }, ...writes.map(({ key, version }) => ({ ...key, version }))],
      puts: writes.map(({ key, value }) => ({ ...key, value })),
      removes: []
    }
    const res = await store.transact(tx, STORE_TIMEOUT_MS)
    if (res.err) {
      log.warn('Progress is not stored yet.', { jobs: batch.length, verdict: res.val.verdict, reason: res.val.reason })
      if (res.val.verdict === 'not-run') this.options.onRefused()
      return false
    }
    if (res.val.committed) {
      for (const { job } of writes) job.progressVersion = res.val.version
      return true
    }
    const rows = new Map(res.val.current.map(row => [`${row.table}/${row.key}`, row]))
    if (versionIn(rows, { table: TABLES.leader, key: 'epoch' }) !== epochVersion) {
      onDeposed()
      return false
    }
    // An earlier transaction whose answer was lost has taken effect, perhaps this very one.
    for (const { job, key } of writes) job.progressVersion = versionIn(rows, key)
    const isSame = writes.every(({ key, value }) => JSON.stringify(rows.get(`${key.table}/${key.key}`)?.value) === JSON.stringify(value))
    if (isSame) return true
    log.info('Versions read again after a conflict.', { jobs: batch.length })
    return false
  }
}

function valueOf (job: Job, clock: Clock): StoredProgress {
  return job.outcome === undefined
    ? { occurrences: job.progress() }
    : { outcome: job.outcome, endedAtMs: clock.date().getTime() }
}

function progressKey (job: Job): RowKey {
  return { table: TABLES.progress, key: job.id }
}

function versionIn (rows: ReadonlyMap<string, StoredRow>, { table, key }: RowKey): number {
  const row = rows.get(`${table}/${key}`)
  return row === undefined || row.deleted ? 0 : row.version
}
