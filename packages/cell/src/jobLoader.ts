import type { Log } from '@citronnotch/daemon/logger'
import { ADMISSION_PARTITIONS, LEADER_PARTITIONS, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { admissionPartitionName, leaderPartitionName } from './jobs.js'
import type { RangeQuery, RowStore, StoredRow } from './ports.js'

/** Rows of one read; the store's own limit. */
const PAGE_ROWS = 500

/** Partitions read at the same time; a slow store takes a quarter of a second for each read. */
const PARALLEL_READS = 64

export interface LoadedRows {
  readonly rows: readonly StoredRow[]
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
   * Writes the epoch rows, on which every later transaction of an earlier leader fails. Returns their versions by
   * leader partition, undefined when the store didn't answer, and `deposed` when a later epoch is there.
   */
  async fence (epoch: number): Promise<readonly number[] | 'deposed' | undefined> {
    const partitions = Array.from({ length: LEADER_PARTITIONS }, (_, index) => leaderPartitionName(index))
    const versions = await Promise.all(partitions.map(partition => this.fencePartition(partition, epoch)))
    if (versions.includes('deposed')) return 'deposed'
    return versions.every(version => typeof version === 'number') ? versions : undefined
  }

  private async fencePartition (partition: string, epoch: number): Promise<number | 'deposed' | undefined> {
    const row = await this.store.range({ table: TABLES.leader, partition, from: 'epoch', to: 'epoch\0', limit: 1 }, STORE_TIMEOUT_MS)
    if (row.err) {
      this.log.warn('Epoch could not be read.', { epoch, partition, reason: row.val.reason })
      return undefined
    }
    const current = row.val.rows[0]
    const stored = Number((current?.value as { epoch?: unknown } | undefined)?.epoch ?? 0)
    if (stored > epoch) return 'deposed'
    if (stored === epoch && current !== undefined) return current.version
    const res = await this.store.transact({
      partition,
      expect: [{ table: TABLES.leader, key: 'epoch', version: current?.version ?? 0 }],
      puts: [{ table: TABLES.leader, key: 'epoch', value: { epoch } }],
      removes: []
    }, STORE_TIMEOUT_MS)
    if (res.ok && res.val.committed) return res.val.version
    this.log.warn('Epoch is not stored yet.', { epoch, partition, reason: res.err ? res.val.reason : 'conflict' })
    return undefined
  }

  /** Reads the rows that admit and cancel jobs. Returns undefined when the store didn't answer every read. */
  readJobs (): Promise<LoadedRows | undefined> {
    return this.readPartitions(TABLES.jobs, ADMISSION_PARTITIONS, admissionPartitionName)
  }

  /** Reads the progress of jobs; complete only once the epoch rows are written. */
  readProgress (): Promise<LoadedRows | undefined> {
    return this.readPartitions(TABLES.progress, LEADER_PARTITIONS, leaderPartitionName)
  }

  private async readPartitions (table: string, count: number, nameOf: (index: number) => string): Promise<LoadedRows | undefined> {
    const rows: StoredRow[] = []
    let version = Infinity
    let next = 0
    let isComplete = true
    const readNext = async () => {
      while (next < count && isComplete) {
        const page = await this.readAll({ table, partition: nameOf(next++) })
        if (page === undefined) isComplete = false
        else {
          rows.push(...page.rows)
          version = Math.min(version, page.version)
        }
      }
    }
    await Promise.all(Array.from({ length: PARALLEL_READS }, readNext))
    return isComplete ? { rows, version } : undefined
  }

  private async readAll (query: RangeQuery): Promise<LoadedRows | undefined> {
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
