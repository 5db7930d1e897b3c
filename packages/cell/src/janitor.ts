import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { ADMISSION_PARTITIONS, ENDED_RETENTION_SLACK_MS, MAX_TRANSACTION_ENTRIES, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { admissionPartitionName, cancelKeyOf, leaderPartitionName, leaderPartitionOf, partitionOf } from './jobs.js'
import type { EndedRecord } from './jobs.js'
import type { RowStore, Transaction } from './ports.js'

/** Pause between two rounds, so that cleaning up takes a small part of the store's rate. */
const PAUSE_MS = 250
/** Partitions whose ended jobs are moved in one round: 32 a second. */
const PARTITIONS_PER_ROUND = 8
/** Jobs moved in one transaction: each takes an expectation, a write and three removals. */
const JOBS_PER_TRANSACTION = Math.floor(MAX_TRANSACTION_ENTRIES / 5)
/** Jobs of one partition that are waited for before their rows are moved, and the longest wait for them. */
const BATCH_JOBS = 8
const BATCH_WAIT_MS = 5_000
/** Rows of progress dropped in one transaction, and the number that is waited for. */
const PROGRESS_PER_TRANSACTION = 90
const PROGRESS_BATCH = 30
/** Outcomes read at once when expired ones are looked for. */
const PAGE_ROWS = 500
/** Pause between the sweeps of two partitions; an outcome is removed within a few minutes after its time. */
const SWEEP_PAUSE_MS = 1_500

interface EndedJob extends EndedRecord {
  readonly id: string
  /** Version of the row that admitted the job. */
  readonly version: number
}

export interface JanitorOptions {
  readonly store: RowStore
  readonly retentionMs: number
  /** Version of the epoch row of a leader partition. */
  readonly epochVersion: (leaderPartition: number) => number
  readonly mayOrder: () => boolean
  readonly clock: Clock
  readonly log: Log
}

/**
 * Moves the rows of ended jobs out of what a new leader has to read, leaving their outcome, and removes that after
 * the time for which it must be known. Until then a repeated submission is recognised by it.
 */
export class Janitor {
  private readonly ended = new Map<string, { readonly since: number, readonly jobs: EndedJob[] }>()
  /** Rows of progress to drop, by leader partition. */
  private readonly progressRows = new Map<number, string[]>()

  private constructor (private readonly options: JanitorOptions) {}

  static create (options: JanitorOptions): Janitor {
    return new Janitor(options)
  }

  /** Takes a job whose outcome is stored. */
  jobEnded (id: string, version: number, record: EndedRecord): void {
    const partition = partitionOf(id)
    const entry = this.ended.get(partition) ?? { since: this.options.clock.now(), jobs: [] }
    entry.jobs.push({ id, version, ...record })
    this.ended.set(partition, entry)
  }

  /** Takes the id of a job that is among the ended ones, whose progress is of no use any more. */
  jobMoved (id: string): void {
    const index = leaderPartitionOf(id)
    this.progressRows.set(index, [...(this.progressRows.get(index) ?? []), id])
  }

  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.clean(signal), this.sweep(signal)])
  }

  private async clean (signal: AbortSignal) {
    const { clock, mayOrder } = this.options
    while (!signal.aborted) {
      await clock.sleep(PAUSE_MS, signal)
      if (!mayOrder()) continue
      await Promise.all(this.takeBatches().map(([partition, jobs]) => this.move(partition, jobs)))
      if (mayOrder()) await this.dropProgress()
    }
  }

  /** Jobs to move now, by partition. */
  private takeBatches (): ReadonlyArray<readonly [string, readonly EndedJob[]]> {
    const now = this.options.clock.now()
    const due = [...this.ended].filter(([, { since, jobs }]) => jobs.length >= BATCH_JOBS || now - since > BATCH_WAIT_MS)
    return due.slice(0, PARTITIONS_PER_ROUND).map(([partition, { jobs }]) => {
      this.ended.delete(partition)
      const batch = jobs.splice(0, JOBS_PER_TRANSACTION)
      if (jobs.length > 0) this.ended.set(partition, { since: 0, jobs })
      return [partition, batch] as const
    })
  }

  private async move (partition: string, batch: readonly EndedJob[]) {
    const left = await this.transact({
      partition,
      expect: batch.map(({ id, version }) => ({ table: TABLES.jobs, key: id, version })),
      puts: batch.map(({ id, outcome, endedAtMs }) => ({ table: TABLES.ended, key: id, value: { outcome, endedAtMs } })),
      removes: batch.flatMap(({ id }) => [
        { table: TABLES.jobs, key: id }, { table: TABLES.jobs, key: cancelKeyOf(id) }, { table: TABLES.payloads, key: id }
      ])
    })
    // A row that is gone was moved by an earlier transaction whose answer was lost.
    if (left !== undefined) for (const { id } of batch) if (!left.has(id)) this.jobMoved(id)
  }

  private async dropProgress () {
    const next = [...this.progressRows].find(([, keys]) => keys.length >= PROGRESS_BATCH)
    if (next === undefined) return
    const [index, keys] = next
    const batch = keys.splice(0, PROGRESS_PER_TRANSACTION)
    if (keys.length === 0) this.progressRows.delete(index)
    await this.transact({
      partition: leaderPartitionName(index),
      // A successor that has read the row of a job must still find its outcome.
      expect: [{ table: TABLES.leader, key: 'epoch', version: this.options.epochVersion(index) }],
      puts: [],
      removes: batch.map(key => ({ table: TABLES.progress, key }))
    })
  }

  /** Removes outcomes whose time is over, one partition after another. */
  private async sweep (signal: AbortSignal) {
    const { clock, mayOrder } = this.options
    for (let index = 0; !signal.aborted; index = (index + 1) % ADMISSION_PARTITIONS) {
      await clock.sleep(SWEEP_PAUSE_MS, signal)
      if (mayOrder() && !signal.aborted) await this.removeExpired(admissionPartitionName(index))
    }
  }

  private async removeExpired (partition: string) {
    const { store, clock, retentionMs, log } = this.options
    const limit = clock.date().getTime() - retentionMs - ENDED_RETENTION_SLACK_MS
    let from = ''
    for (;;) {
      const page = await store.range({ table: TABLES.ended, partition, from, limit: PAGE_ROWS }, STORE_TIMEOUT_MS)
      if (page.err) {
        log.info('Outcomes are swept later.', { partition, verdict: page.val.verdict, reason: page.val.reason })
        return
      }
      const { rows, hasMore } = page.val
      const expired = rows.filter(({ value }) => Number((value as Partial<EndedRecord> | undefined)?.endedAtMs ?? 0) <= limit)
      for (let first = 0; first < expired.length; first += MAX_TRANSACTION_ENTRIES) {
        const batch = expired.slice(first, first + MAX_TRANSACTION_ENTRIES)
        await this.transact({ partition, expect: [], puts: [], removes: batch.map(({ key }) => ({ table: TABLES.ended, key })) })
      }
      const last = rows[rows.length - 1]
      if (!hasMore || last === undefined) return
      from = `${last.key}\0`
    }
  }

  /**
   * Returns the keys of expected rows that are still there: none when the transaction was committed, undefined when
   * that isn't known. What could not be changed is left to the next leader or sweep.
   */
  private async transact (tx: Transaction): Promise<ReadonlySet<string> | undefined> {
    const { store, log } = this.options
    const res = await store.transact(tx, STORE_TIMEOUT_MS)
    if (res.ok && res.val.committed) return new Set()
    log.info('Rows of ended jobs are left for later.', { partition: tx.partition, rows: tx.expect.length + tx.removes.length, reason: res.err ? res.val.reason : 'conflict' })
    return res.ok && !res.val.committed ? new Set(res.val.current.filter(({ deleted }) => !deleted).map(({ key }) => key)) : undefined
  }
}
