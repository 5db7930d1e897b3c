import type { Log } from '@citronnotch/base/logger'
import { STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { leaderPartitionName } from './jobs.js'
import type { RowStore } from './ports.js'
import type { WorkerEntry } from './types.js'

const PARTITION = leaderPartitionName(0)

interface Member {
  readonly id: string
  readonly born: number
}

export interface RosterOptions {
  readonly store: RowStore
  /** Version of the epoch row of the roster's partition, which fences earlier leaders. */
  readonly epochVersion: () => number
  readonly log: Log
}

/**
 * The workers that may run something, as a row of the store. A successor must know what each of them runs, or
 * wait until its lease has ended, before it starts a task that an earlier leader may have started.
 */
export class Roster {
  /** Start of the stored life of each worker, by id. */
  private stored: ReadonlyMap<string, number> = new Map()
  private earlierMembers: readonly Member[] = []
  private version = 0
  /** Whether the row is known to name just the stored workers. */
  private isWritten = true

  private constructor (private readonly options: RosterOptions) {}

  static create (options: RosterOptions): Roster {
    return new Roster(options)
  }

  has ({ id, born }: Member): boolean {
    return this.stored.get(id) === born
  }

  /** Members that earlier leaders stored. */
  earlier (): readonly Member[] {
    return this.earlierMembers
  }

  size (): number {
    return this.stored.size
  }

  /** Reads the row; returns false when the store didn't answer. */
  async load (): Promise<boolean> {
    const { store, log } = this.options
    const res = await store.range({ table: TABLES.leader, partition: PARTITION, from: 'roster', limit: 1 }, STORE_TIMEOUT_MS)
    if (res.err) {
      log.warn('Roster could not be read.', { verdict: res.val.verdict, reason: res.val.reason })
      return false
    }
    const row = res.val.rows.find(({ key }) => key === 'roster')
    this.version = row?.version ?? 0
    this.earlierMembers = (row?.value as { workers?: readonly Member[] } | undefined)?.workers ?? []
    this.stored = bornById(this.earlierMembers)
    return true
  }

  /** Stores the workers if they differ. Returns whether the row has changed. */
  async store (workers: readonly WorkerEntry[]): Promise<boolean> {
    const members = workers.map(({ id, born }) => ({ id, born }))
    if (this.isWritten && members.length === this.stored.size && members.every(member => this.has(member))) return false
    // From here on nothing may be started on a worker that the row may no longer name.
    this.stored = bornById(members.filter(member => this.has(member)))
    this.isWritten = false
    const { store, epochVersion, log } = this.options
    const res = await store.transact({
      partition: PARTITION,
      expect: [{ table: TABLES.leader, key: 'epoch', version: epochVersion() }, { table: TABLES.leader, key: 'roster', version: this.version }],
      puts: [{ table: TABLES.leader, key: 'roster', value: { workers: members } }],
      removes: []
    }, STORE_TIMEOUT_MS)
    if (res.err) {
      log.warn('Roster is not stored yet.', { workers: members.length, verdict: res.val.verdict, reason: res.val.reason })
      return false
    }
    if (!res.val.committed) {
      // An earlier write whose answer was lost has taken effect.
      this.version = res.val.current.find(({ key }) => key === 'roster')?.version ?? 0
      return false
    }
    this.version = res.val.version
    this.stored = bornById(members)
    this.isWritten = true
    log.info('Roster stored.', { workers: members.length, version: this.version })
    return true
  }
}

function bornById (members: readonly Member[]): ReadonlyMap<string, number> {
  return new Map(members.map(({ id, born }) => [id, born]))
}
