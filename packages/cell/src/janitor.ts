import type { Clock } from '@citronnotch/daemon/clock'
import type { Log } from '@citronnotch/daemon/logger'
import { ENDED_RETENTION_SLACK_MS, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { cancelKeyOf, leaderPartitionName, leaderPartitionOf, partitionOf } from './jobs.js'
import type { EndedRecord } from './jobs.js'
import type { RowStore, Transaction } from './ports.js'

/** Pause between two transactions, so that cleaning up takes a small part of the store's rate. */
const PAUSE_MS = 250
/** Jobs cleaned up in one transaction: each takes an expectation, a write and a removal. */
const JOBS_PER_TRANSACTION = 30
/** Jobs of one partition that are waited for before their rows are reduced, and the longest wait for them. */
const BATCH_JOBS = 8
const BATCH_WAIT_MS = 10_000

interface EndedJob extends EndedRecord {
  readonly id: string
  /** Version of the row that admitted the job, or that holds its outcome. */
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
 * Reduces the rows of ended jobs to their outcome, and removes those after the time for which it must be known.
 * A row stays for that time so that a repeated submission is recognised.
 */
export class Janitor {
  private readonly ended = new Map<string, { readonly since: number, readonly jobs: EndedJob[] }>()
  private readonly reduced: EndedJob[] = []
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

  /** Takes a row that an earlier leader has reduced. */
  jobReduced (id: string, version: number, record: EndedRecord): void {
    this.reduced.push({ id, version, ...record })
  }

  async run (signal: AbortSignal): Promise<void> {
    const { clock, mayOrder } = this.options
    while (!signal.aborted) {
      await clock.sleep(PAUSE_MS, signal)
      if (!mayOrder()) continue
      await this.reduceNext()
      if (mayOrder()) await this.dropProgress()
      await this.removeExpired()
    }
  }

  private async reduceNext () {
    const now = this.options.clock.now()
    const next = [...this.ended].find(([, { since, jobs }]) => jobs.length >= BATCH_JOBS || now - since > BATCH_WAIT_MS)
    if (next === undefined) return
    const [partition, { jobs }] = next
    this.ended.delete(partition)
    const batch = jobs.splice(0, JOBS_PER_TRANSACTION)
    if (jobs.length > 0) this.ended.set(partition, { since: 0, jobs })
    const version = await this.transact({
      partition,
      expect: batch.map(({ id, version }) => ({ table: TABLES.jobs, key: id, version })),
      puts: batch.map(({ id, outcome, endedAtMs }) => ({ table: TABLES.jobs, key: id, value: { outcome, endedAtMs } })),
      removes: batch.map(({ id }) => ({ table: TABLES.jobs, key: cancelKeyOf(id) }))
    })
    if (version === undefined) return
    for (const job of batch) {
      this.reduced.push({ ...job, version })
      const index = leaderPartitionOf(job.id)
      this.progressRows.set(index, [...(this.progressRows.get(index) ?? []), job.id])
    }
  }

  private async dropProgress () {
    const next = [...this.progressRows].find(([, keys]) => keys.length >= JOBS_PER_TRANSACTION)
    if (next === undefined) return
    const [index, keys] = next
    this.progressRows.delete(index)
    await this.transact({
      partition: leaderPartitionName(index),
      // A successor that has read the full row of a job must still find its outcome.
      expect: [{ table: TABLES.leader, key: 'epoch', version: this.options.epochVersion(index) }],
      puts: [],
      removes: keys.slice(0, 3 * JOBS_PER_TRANSACTION).map(key => ({ table: TABLES.progress, key }))
    })
  }

  private async removeExpired () {
    const { clock, retentionMs } = this.options
    const limit = clock.date().getTime() - retentionMs - ENDED_RETENTION_SLACK_MS
    const first = this.reduced[0]
    if (first === undefined || first.endedAtMs > limit) return
    const partition = partitionOf(first.id)
    const isExpired = (job: EndedJob) => job.endedAtMs <= limit && partitionOf(job.id) === partition
    const batch = this.reduced.filter(isExpired).slice(0, JOBS_PER_TRANSACTION)
    const taken = new Set(batch)
    this.reduced.splice(0, this.reduced.length, ...this.reduced.filter(job => !taken.has(job)))
    await this.transact({
      partition,
      expect: batch.map(({ id, version }) => ({ table: TABLES.jobs, key: id, version })),
      puts: [],
      removes: batch.map(({ id }) => ({ table: TABLES.jobs, key: id }))
    })
  }

  /** Rows that could not be changed are left to the next leader, which finds them when it loads its state. */
  private async transact (tx: Transaction): Promise<number | undefined> {
    const { store, log } = this.options
    const res = await store.transact(tx, STORE_TIMEOUT_MS)
    if (res.ok && res.val.committed) return res.val.version
    log.info('Rows of ended jobs are left for later.', { partition: tx.partition, rows: tx.expect.length, reason: res.err ? res.val.reason : 'conflict' })
    return undefined
  }
}
