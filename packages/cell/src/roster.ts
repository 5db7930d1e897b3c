import type { Log } from '@citronnotch/base/logger'
import { isCount, isFiniteNumber, isListOf, isString, recordOf } from '@citronnotch/base/untrusted'
import { STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { leaderPartitionName } from './jobs.js'
import type { RowStore } from './ports.js'

const PARTITION = leaderPartitionName(0)

/** A worker that may have runs. */
export interface RosterMember {
  readonly id: string
  readonly born: number
  /** Time on the store's clock at which all leases have expired; set for an unreachable worker. */
  readonly lapsesAtMs?: number
  /** Time on the store's clock at which a lease has expired that calls to former incarnations may have given this one, beyond the usual ones. */
  readonly strayLeaseUntilMs?: number
  /**
   * Ids of all jobs that may have runs on the worker; set for a worker that gets no more work and whose runs the leader
   * knows. A successor that can't reach the worker holds back only these jobs.
   */
  readonly jobs?: readonly string[]
}

export interface RosterOptions {
  readonly store: RowStore
  /** Version of the epoch row of the roster's partition, which fences earlier leaders. */
  readonly epochVersion: () => number
  readonly log: Log
}

/**
 * The workers that may have runs, kept in a row of the store. Before a new leader starts a task that an earlier leader
 * may have started, it must know the runs of each of these workers or wait until the worker's lease has expired.
 */
export class Roster {
  /** Members that the stored row is known to contain, by worker id. */
  private stored: ReadonlyMap<string, RosterMember> = new Map()
  private earlierMembers: readonly RosterMember[] = []
  private earlierMembersById: ReadonlyMap<string, RosterMember> = new Map()
  private isEarlierRowReadable = true
  private wasRowMissing = false
  private version = 0
  /** Whether the row is known to contain exactly `stored`; false after a write without a confirmed result. */
  private isRowCurrent = true

  private constructor (private readonly options: RosterOptions) {}

  static create (options: RosterOptions): Roster {
    return new Roster(options)
  }

  /** Whether the row lists this incarnation of a worker without an expiry, so that its leases may be extended. */
  hasActive ({ id, born }: Pick<RosterMember, 'id' | 'born'>): boolean {
    const member = this.stored.get(id)
    return member?.born === born && member.lapsesAtMs === undefined
  }

  /** Whether the row lists this incarnation of a worker as one that may run any job. */
  mayStartOn (worker: Pick<RosterMember, 'id' | 'born'>): boolean {
    return this.hasActive(worker) && this.stored.get(worker.id)?.jobs === undefined
  }

  /** Whether the row lets a successor wait for a stray lease up to this time on the store's clock. */
  coversStrayLease ({ id, born }: Pick<RosterMember, 'id' | 'born'>, untilMs: number): boolean {
    const member = this.stored.get(id)
    return member?.born === born && (member.strayLeaseUntilMs ?? -Infinity) >= untilMs
  }

  /** Whether the row that was loaded could be read. If not, any worker may have runs of earlier leaders. */
  isComplete (): boolean {
    return this.isEarlierRowReadable
  }

  /** Whether there was no row when it was loaded, so that no leader has sent anything to a worker before. */
  isFirst (): boolean {
    return this.wasRowMissing
  }

  /** Members that the row listed when it was loaded. */
  membersOfEarlierLeaders (): readonly RosterMember[] {
    return this.earlierMembers
  }

  /** The incarnation of a worker that the row listed when it was loaded. */
  memberOfEarlierLeaders (workerId: string): RosterMember | undefined {
    return this.earlierMembersById.get(workerId)
  }

  size (): number {
    return this.stored.size
  }

  /** Reads the row; returns false when the read failed. */
  async load (): Promise<boolean> {
    const { store, log } = this.options
    const res = await store.range({ table: TABLES.leader, partition: PARTITION, from: 'roster', limit: 1 }, STORE_TIMEOUT_MS)
    if (res.err) {
      log.warn('Roster could not be read.', { verdict: res.val.verdict, reason: res.val.reason })
      return false
    }
    const row = res.val.rows.find(({ key }) => key === 'roster')
    this.version = row?.version ?? 0
    this.wasRowMissing = row === undefined
    const { workers } = recordOf(row?.value)
    this.isEarlierRowReadable = row === undefined || isListOf(workers, isMember)
    this.earlierMembers = isListOf(workers, isMember) ? workers : []
    if (!this.isEarlierRowReadable) log.error('Roster row is not readable; all jobs wait until the leases of earlier leaders have expired.', { version: this.version })
    this.earlierMembersById = byId(this.earlierMembers)
    this.stored = this.earlierMembersById
    return true
  }

  /** Stores the members if they differ from the row. Returns true when the row was written. */
  async store (members: readonly RosterMember[]): Promise<boolean> {
    if (this.isRowCurrent && members.length === this.stored.size && members.every(member => this.isStored(member))) return false
    // From here on no run may be started on a worker that this write removes, whether or not the write succeeds.
    this.stored = byId(members.flatMap(member => this.storedOrRestricted(member)))
    this.isRowCurrent = false
    const { store, epochVersion, log } = this.options
    const res = await store.transact({
      partition: PARTITION,
      expect: [{ table: TABLES.leader, key: 'epoch', version: epochVersion() }, { table: TABLES.leader, key: 'roster', version: this.version }],
      puts: [{ table: TABLES.leader, key: 'roster', value: { workers: members } }],
      removes: []
    }, STORE_TIMEOUT_MS)
    if (res.err) {
      log.warn('Roster could not be stored.', { workers: members.length, verdict: res.val.verdict, reason: res.val.reason })
      return false
    }
    if (!res.val.committed) {
      // An earlier write whose answer was lost has been applied.
      this.version = res.val.current.find(({ key }) => key === 'roster')?.version ?? 0
      return false
    }
    this.version = res.val.version
    this.stored = byId(members)
    this.isRowCurrent = true
    log.info('Roster stored.', { workers: members.length, unreachable: members.filter(({ lapsesAtMs }) => lapsesAtMs !== undefined).length, version: this.version })
    return true
  }

  /** What both the stored row and the row being written allow for a worker; none if either of them does not list it as active. */
  private storedOrRestricted (member: RosterMember): readonly RosterMember[] {
    if (member.lapsesAtMs !== undefined || !this.hasActive(member)) return []
    const { id, born } = member
    const stored = this.stored.get(id)
    const jobs = member.jobs ?? stored?.jobs
    const strayLeaseUntilMs = Math.min(member.strayLeaseUntilMs ?? -Infinity, stored?.strayLeaseUntilMs ?? -Infinity)
    return [{ id, born, ...(strayLeaseUntilMs === -Infinity ? {} : { strayLeaseUntilMs }), ...(jobs === undefined ? {} : { jobs }) }]
  }

  private isStored ({ id, born, lapsesAtMs, strayLeaseUntilMs, jobs }: RosterMember): boolean {
    const member = this.stored.get(id)
    return member?.born === born && member.lapsesAtMs === lapsesAtMs && member.strayLeaseUntilMs === strayLeaseUntilMs && member.jobs?.length === jobs?.length && (jobs ?? []).every(job => member.jobs?.includes(job))
  }
}

function isMember (value: unknown): value is RosterMember {
  const { id, born, lapsesAtMs, strayLeaseUntilMs, jobs } = recordOf(value)
  return isString(id) && isCount(born) && [lapsesAtMs, strayLeaseUntilMs].every(ms => ms === undefined || isFiniteNumber(ms)) && (jobs === undefined || isListOf(jobs, isString))
}

function byId (members: readonly RosterMember[]): ReadonlyMap<string, RosterMember> {
  return new Map(members.map(member => [member.id, member]))
}
