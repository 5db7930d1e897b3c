import type { Log } from '@citronnotch/daemon/logger'
import { ADMISSION_PARTITIONS, LEADER_PARTITION, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import type { RangeQuery, RowStore, StoredRow } from './ports.js'

/** Rows of one read; the store's own limit. */
const PAGE_ROWS = 500

export interface JobRows {
  /** Rows that admit and cancel jobs. */
  readonly jobs: readonly StoredRow[]
  readonly progress: readonly StoredRow[]
  /** Version of the store before the read; later changes may be missing. */
  readonly version: number
}

/** Reads the state of the cell for a new leader, and again when the store has lost its history. */
export class JobLoader {
  private constructor (private readonly store: RowStore, private readonly log: Log) {}

  static create (store: RowStore, log: Log): JobLoader {
    return new JobLoader(store, log)
  }

  /**
   * Writes the epoch row, on which every later transaction of an earlier leader fails. Returns its version,
   * undefined when the store didn't answer, and `deposed` when a later epoch is there.
   */
  async fence (epoch: number): Promise<number | 'deposed' | undefined> {
    const row = await this.store.range({ table: TABLES.leader, partition: LEADER_PARTITION, from: 'epoch', to: 'epoch\0', limit: 1 }, STORE_TIMEOUT_MS)
    if (row.err) {
      this.log.warn('Epoch could not be read.', { epoch, reason: row.val.reason })
      return undefined
    }
    const current = row.val.rows[0]
    const stored = Number((current?.value as { epoch?: unknown } | undefined)?.epoch ?? 0)
    if (stored > epoch) return 'deposed'
    if (stored === epoch && current !== undefined) return current.version
    const res = await this.store.transact({
      partition: LEADER_PARTITION,
      expect: [{ table: TABLES.leader, key: 'epoch', version: current?.version ?? 0 }],
      puts: [{ table: TABLES.leader, key: 'epoch', value: { epoch } }],
      removes: []
    }, STORE_TIMEOUT_MS)
    if (res.ok && res.val.committed) return res.val.version
    this.log.warn('Epoch is not stored yet.', { epoch, reason: res.err ? res.val.reason : 'conflict' })
    return undefined
  }

  /** Returns undefined when the store didn't answer every read. */
  async load (): Promise<JobRows | undefined> {
    const progress = await this.readAll({ table: TABLES.progress, partition: LEADER_PARTITION })
    if (progress === undefined) return undefined
    const partitions = Array.from({ length: ADMISSION_PARTITIONS }, (_, index) => `jobs-${index}`)
    const pages = await Promise.all(partitions.map(partition => this.readAll({ table: TABLES.jobs, partition })))
    const jobs: StoredRow[] = []
    for (const page of pages) {
      if (page === undefined) return undefined
      jobs.push(...page.rows)
    }
    return { jobs, progress: progress.rows, version: progress.version }
  }

  private async readAll (query: RangeQuery): Promise<{ readonly rows: readonly StoredRow[], readonly version: number } | undefined> {
    const rows: StoredRow[] = []
    let version: number | undefined
    let from: string | undefined
    for (;;) {
      const page = await this.store.range({ ...query, limit: PAGE_ROWS, ...(from === undefined ? {} : { from }) }, STORE_TIMEOUT_MS)
      if (page.err) {
        this.log.warn('Rows could not be read.', { table: query.table, partition: query.partition, verdict: page.val.verdict, reason: page.val.reason })
        return undefined
      }
      version ??= page.val.version
      rows.push(...page.val.rows)
      const last = rows[rows.length - 1]
      if (!page.val.hasMore || last === undefined) return { rows, version }
      from = `${last.key}\0`
    }
  }
}
