import type { Clock } from '@citronnotch/daemon/clock'
import type { Log } from '@citronnotch/daemon/logger'
import { COMMIT_GAP_MS, COMMIT_RETRY_MS, MAX_TRANSACTION_ENTRIES, PARTITION, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import type { Job } from './jobs.js'
import type { RowKey, RowStore, StoredRow, Transaction } from './ports.js'

export interface CommitQueueOptions {
  readonly store: RowStore
  /** Version of the epoch row; a transaction of a deposed leader fails on it. */
  readonly epochVersion: number
  /** True while this daemon may give orders. */
  readonly mayOrder: () => boolean
  readonly onDeposed: () => void
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
      const size = entry.job.outcome === undefined ? 2 : 6
      if (entries + size > MAX_TRANSACTION_ENTRIES) break
      entries += size
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
    const { store, epochVersion, log, onDeposed } = this.options
    // What is sent is fixed here; later changes of a job are staged again.
    const writes = batch.map(({ job }) => ({ job, isEnd: job.outcome !== undefined, tx: writesOf(job, this.options.clock) }))
    const tx: Transaction = {
      partition: PARTITION,
      expect: [{ table: TABLES.leader, key: 'epoch', version: epochVersion }, ...writes.flatMap(({ tx }) => tx.expect)],
      puts: writes.flatMap(({ tx }) => tx.puts),
      removes: writes.flatMap(({ tx }) => tx.removes)
    }
    const res = await store.transact(tx, STORE_TIMEOUT_MS)
    if (res.err) {
      log.warn('Progress is not stored yet.', { jobs: batch.length, verdict: res.val.verdict, reason: res.val.reason })
      return false
    }
    if (res.val.committed) {
      const { version } = res.val
      for (const { job, isEnd } of writes) job.progressVersion = isEnd ? 0 : version
      return true
    }
    const rows = new Map(res.val.current.map(row => [`${row.table}/${row.key}`, row]))
    if (versionIn(rows, { table: TABLES.leader, key: 'epoch' }) !== epochVersion) {
      onDeposed()
      return false
    }
    // An earlier transaction whose answer was lost has taken effect.
    for (const { job } of writes) job.progressVersion = versionIn(rows, progressKey(job))
    const ended = new Set(writes.filter(({ job, isEnd }) => isEnd && versionIn(rows, jobKey(job)) === 0).map(({ job }) => job))
    for (const { job, waiters } of batch) {
      if (!ended.has(job)) continue
      for (const resolve of waiters.splice(0)) resolve()
    }
    for (const job of ended) job.isStored = true
    log.info('Versions read again after a conflict.', { jobs: batch.length, ended: ended.size })
    return false
  }
}

function writesOf (job: Job, clock: Clock): Pick<Transaction, 'expect' | 'puts' | 'removes'> {
  if (job.isStored) return { expect: [], puts: [], removes: [] }
  const progress = progressKey(job)
  if (job.outcome === undefined) {
    return { expect: [{ ...progress, version: job.progressVersion }], puts: [{ ...progress, value: job.progress() }], removes: [] }
  }
  return {
    expect: [{ ...jobKey(job), version: job.version }],
    puts: [{ table: TABLES.ended, key: job.id, value: { outcome: job.outcome, queue: job.record.queue, endedAtMs: clock.date().getTime() } }],
    removes: [jobKey(job), progress, { table: TABLES.jobs, key: `${job.id}.cancel` }]
  }
}

function jobKey (job: Job): RowKey {
  return { table: TABLES.jobs, key: job.id }
}

function progressKey (job: Job): RowKey {
  return { table: TABLES.jobs, key: `${job.id}.progress` }
}

function versionIn (rows: ReadonlyMap<string, StoredRow>, { table, key }: RowKey): number {
  const row = rows.get(`${table}/${key}`)
  return row === undefined || row.deleted ? 0 : row.version
}
