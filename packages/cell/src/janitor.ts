import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { finiteOr, recordOf } from '@citronnotch/base/untrusted'
import { ADMISSION_PARTITIONS, ENDED_RETENTION_MARGIN_MS, MAX_TRANSACTION_ENTRIES, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { admissionPartitionName, cancelKeyOf, leaderPartitionName, leaderPartitionOf, admissionPartitionOf } from './jobs.js'
import type { EndedRecord } from './storedProgress.js'
import type { RowStore, Transaction } from './ports.js'

/** Pause between two rounds, so that clean-up uses only a small part of the store's request rate. */
const ROUND_PAUSE_MS = 250
/** Maximum number of partitions whose ended jobs are moved in one round, which makes at most 32 partitions a second. */
const PARTITIONS_PER_ROUND = 8
/** Maximum number of jobs moved in one transaction: each takes one expected version, one write and three removals. */
const JOBS_PER_TRANSACTION = Math.floor(MAX_TRANSACTION_ENTRIES / 5)
/** The jobs of a partition are moved once this many have ended, or once the first has waited for the maximum time. */
const MIN_BATCH_JOBS = 8
const MAX_BATCH_WAIT_MS = 5_000
/** Maximum number of progress rows removed in one transaction, and the number to wait for before one is sent. */
const PROGRESS_PER_TRANSACTION = 90
const MIN_PROGRESS_BATCH = 30
/** Outcomes read in one call of the scan for expired ones. */
const PAGE_ROWS = 500
/** Pause between the scans of two partitions; an outcome is removed within a few minutes of its expiry. */
const SCAN_PAUSE_MS = 1_500

interface EndedJob extends EndedRecord {
  readonly id: string
  /** Version of the row that admitted the job. */
  readonly version: number
}

export interface JanitorOptions {
  readonly store: RowStore
  /** Time for which callers can ask for the outcome of an ended job, in milliseconds. */
  readonly retentionMs: number
  /** Version of the epoch row of a leader partition. */
  readonly epochVersion: (leaderPartition: number) => number
  /** True while this daemon holds a valid leader lease. */
  readonly mayIssueCommands: () => boolean
  readonly clock: Clock
  readonly log: Log
}

/**
 * Replaces the rows of an ended job by a row in the table of ended jobs, so that a new leader has fewer rows to read.
 * That row holds the outcome and identifies repeated submissions. It is removed after the retention time.
 */
export class Janitor {
  /**
   * Ended jobs whose rows are still to be moved, by partition. `since` is the monotonic time in milliseconds at which
   * the first was queued; 0 makes the jobs due at once.
   */
  private readonly endedJobs = new Map<string, { readonly since: number, readonly jobs: EndedJob[] }>()
  /** Keys of the progress rows to remove, by leader partition. */
  private readonly obsoleteProgressKeys = new Map<number, string[]>()

  private constructor (private readonly options: JanitorOptions) {}

  static create (options: JanitorOptions): Janitor {
    return new Janitor(options)
  }

  /** Queues a job whose outcome is stored, so that its rows are moved. */
  enqueueEndedJob (id: string, version: number, record: EndedRecord): void {
    const partition = admissionPartitionOf(id)
    const entry = this.endedJobs.get(partition) ?? { since: this.options.clock.now(), jobs: [] }
    entry.jobs.push({ id, version, ...record })
    this.endedJobs.set(partition, entry)
  }

  /**
   * Queues progress rows of a job for removal: those of ranges of its tasks that a stored outcome or a done occurrence has
   * made obsolete, or its first row, once the job is in the table of ended jobs.
   */
  enqueueProgressRemoval (id: string, rowKeys: readonly string[] = [id]): void {
    const index = leaderPartitionOf(id)
    const keys = this.obsoleteProgressKeys.get(index) ?? []
    for (const key of rowKeys) keys.push(key)
    this.obsoleteProgressKeys.set(index, keys)
  }

  /** Moves the rows of ended jobs until the signal aborts. */
  async cleanUp (signal: AbortSignal): Promise<void> {
    const { clock, mayIssueCommands } = this.options
    while (!signal.aborted) {
      await clock.sleep(ROUND_PAUSE_MS, signal)
      if (!mayIssueCommands()) continue
      await Promise.all(this.dequeueBatches().map(([partition, jobs]) => this.moveToEnded(partition, jobs)))
      if (mayIssueCommands()) await this.removeProgress()
    }
  }

  /** Removes the jobs that are due from the queue and returns them by partition. */
  private dequeueBatches (): ReadonlyArray<readonly [string, readonly EndedJob[]]> {
    const now = this.options.clock.now()
    const due = [...this.endedJobs].filter(([, { since, jobs }]) => jobs.length >= MIN_BATCH_JOBS || now - since > MAX_BATCH_WAIT_MS)
    return due.slice(0, PARTITIONS_PER_ROUND).map(([partition, { jobs }]) => {
      this.endedJobs.delete(partition)
      const batch = jobs.splice(0, JOBS_PER_TRANSACTION)
      if (jobs.length > 0) this.endedJobs.set(partition, { since: 0, jobs })
      return [partition, batch] as const
    })
  }

  private async moveToEnded (partition: string, batch: readonly EndedJob[]) {
    const existingKeys = await this.transact({
      partition,
      expect: batch.map(({ id, version }) => ({ table: TABLES.jobs, key: id, version })),
      puts: batch.map(({ id, outcome, endedAtMs, account }) => ({ table: TABLES.ended, key: id, value: { outcome, endedAtMs, ...(account === undefined ? {} : { account }) } })),
      removes: batch.flatMap(({ id }) => [
        { table: TABLES.jobs, key: id }, { table: TABLES.jobs, key: cancelKeyOf(id) }, { table: TABLES.payloads, key: id }
      ])
    })
    // Rows that no longer exist were moved by an earlier transaction whose answer was lost.
    if (existingKeys !== undefined) for (const { id } of batch) if (!existingKeys.has(id)) this.enqueueProgressRemoval(id)
  }

  private async removeProgress () {
    const next = [...this.obsoleteProgressKeys].find(([, keys]) => keys.length >= MIN_PROGRESS_BATCH)
    if (next === undefined) return
    const [index, keys] = next
    const batch = keys.splice(0, PROGRESS_PER_TRANSACTION)
    if (keys.length === 0) this.obsoleteProgressKeys.delete(index)
    await this.transact({
      partition: leaderPartitionName(index),
      // The epoch row guards against removal after a takeover: a new leader that has read the row of a job must still
      // find the outcome in its progress row.
      expect: [{ table: TABLES.leader, key: 'epoch', version: this.options.epochVersion(index) }],
      puts: [],
      removes: batch.map(key => ({ table: TABLES.progress, key }))
    })
  }

  /** Removes expired outcomes, one partition after another, until the signal aborts. */
  async removeExpired (signal: AbortSignal): Promise<void> {
    const { clock, mayIssueCommands } = this.options
    for (let index = 0; !signal.aborted; index = (index + 1) % ADMISSION_PARTITIONS) {
      await clock.sleep(SCAN_PAUSE_MS, signal)
      if (mayIssueCommands() && !signal.aborted) await this.removeExpiredOf(admissionPartitionName(index))
    }
  }

  private async removeExpiredOf (partition: string) {
    const { store, clock, retentionMs, log } = this.options
    const expiryCutoffMs = clock.date().getTime() - retentionMs - ENDED_RETENTION_MARGIN_MS
    let from = ''
    for (;;) {
      const page = await store.range({ table: TABLES.ended, partition, from, limit: PAGE_ROWS }, STORE_TIMEOUT_MS)
      if (page.err) {
        log.info('Expired outcomes could not be read; retrying in the next scan.', { partition, verdict: page.val.verdict, reason: page.val.reason })
        return
      }
      const { rows, hasMore } = page.val
      const expired = rows.filter(({ value }) => finiteOr(recordOf(value).endedAtMs, 0) <= expiryCutoffMs)
      for (let offset = 0; offset < expired.length; offset += MAX_TRANSACTION_ENTRIES) {
        const batch = expired.slice(offset, offset + MAX_TRANSACTION_ENTRIES)
        await this.transact({ partition, expect: [], puts: [], removes: batch.map(({ key }) => ({ table: TABLES.ended, key })) })
      }
      const lastRow = rows[rows.length - 1]
      if (!hasMore || lastRow === undefined) return
      from = `${lastRow.key}\0`
    }
  }

  /**
   * Returns the keys of the expected rows that still exist: none if the transaction was committed, undefined if its
   * result is unknown. Rows that could not be changed are left to the next leader or scan.
   */
  private async transact (tx: Transaction): Promise<ReadonlySet<string> | undefined> {
    const { store, log } = this.options
    const res = await store.transact(tx, STORE_TIMEOUT_MS)
    if (res.ok && res.val.committed) return new Set()
    log.info('Transaction on rows of ended jobs failed; left to the next leader or scan.', { partition: tx.partition, rows: tx.expect.length + tx.removes.length, reason: res.err ? res.val.reason : 'conflict' })
    return res.ok && !res.val.committed ? new Set(res.val.current.filter(({ deleted }) => !deleted).map(({ key }) => key)) : undefined
  }
}
