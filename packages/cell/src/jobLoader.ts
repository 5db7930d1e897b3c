import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { ADMISSION_PARTITIONS, LEADER_PARTITIONS, LOAD_TIMEOUT_MS, STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { admissionPartitionName, leaderPartitionName } from './jobs.js'
import type { RangeQuery, RowStore, StoredRow } from './ports.js'
import { ReadWindow } from './readWindow.js'

/** Rows of one read, small enough to arrive within the time of a read over a link of 2 Mbit/s that 32 reads share. */
const PAGE_ROWS = 100

export interface LoadedRows {
  readonly rows: readonly StoredRow[]
  /** Version of the store before the read; later changes may be missing. */
  readonly version: number
}

/** Reads the state of the cell for a new leader, and again when the store has lost its history. */
export class JobLoader {
  private readonly window = ReadWindow.create()
  /** Partitions that were read by a call that has not read all, by name. */
  private readonly jobPages = new Map<string, LoadedRows>()
  private readonly progressPages = new Map<string, LoadedRows>()

  private constructor (private readonly store: RowStore, private readonly clock: Clock, private readonly log: Log) {}

  static create (store: RowStore, clock: Clock, log: Log): JobLoader {
    return new JobLoader(store, clock, log)
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
    return this.readPartitions(TABLES.jobs, ADMISSION_PARTITIONS, admissionPartitionName, this.jobPages)
  }

  /** Reads the progress of jobs; complete only once the epoch rows are written. */
  readProgress (): Promise<LoadedRows | undefined> {
    return this.readPartitions(TABLES.progress, LEADER_PARTITIONS, leaderPartitionName, this.progressPages)
  }

  /** What was read stays in `pages` until all is there, so that a repeated call goes on where an earlier one failed. */
  private async readPartitions (table: string, count: number, nameOf: (index: number) => string, pages: Map<string, LoadedRows>): Promise<LoadedRows | undefined> {
    const missing = Array.from({ length: count }, (_, index) => nameOf(index)).filter(name => !pages.has(name))
    await this.readAll(missing, async partition => {
      const page = await this.readPartition({ table, partition })
      if (page !== undefined) pages.set(partition, page)
    })
    if (pages.size < count) return undefined
    const loaded = [...pages.values()]
    pages.clear()
    return { rows: loaded.flatMap(({ rows }) => rows), version: Math.min(...loaded.map(({ version }) => version)) }
  }

  /** Reads partitions as the window allows. */
  private readAll (partitions: readonly string[], read: (partition: string) => Promise<void>): Promise<void> {
    const { window } = this
    const waiting = [...partitions]
    return new Promise((resolve, reject) => {
      let open = 0
      const readNext = () => {
        if (waiting.length === 0 && open === 0) return resolve()
        while (window.hasRoom()) {
          const partition = waiting.shift()
          if (partition === undefined) return
          open++
          read(partition).then(() => {
            open--
            readNext()
          }, reject)
        }
      }
      readNext()
    })
  }

  private async readPartition (query: RangeQuery): Promise<LoadedRows | undefined> {
    const { window, clock } = this
    const rows: StoredRow[] = []
    let version: number | undefined
    let from: string | undefined
    for (;;) {
      const sentAt = clock.now()
      window.sent()
      const page = await this.store.range({ ...query, limit: PAGE_ROWS, ...(from === undefined ? {} : { from }) }, LOAD_TIMEOUT_MS)
      window.answered(page.ok, clock.now() - sentAt)
      if (page.err) {
        this.log.warn('Rows could not be read.', { table: query.table, partition: query.partition, parallelReads: window.size(), verdict: page.val.verdict, reason: page.val.reason })
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
