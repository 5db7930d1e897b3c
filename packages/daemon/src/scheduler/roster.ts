import type { Clock } from '../clock.js'
import type { Log } from '../logger.js'
import type { Platform, Vm } from '../platform/index.js'

const ROSTER_TABLE = 'rosters'

/** A worker that may run tasks of the shard, whether or not the VM list still shows it. */
export type RosterWorker = Pick<Vm, 'id' | 'address' | 'region' | 'failureDomain' | 'rack'>

interface RosterRow { readonly workers: readonly RosterWorker[] }

export interface RosterDeps {
  readonly shardId: string
  readonly platform: Pick<Platform, 'tables' | 'groupCommit'>
  readonly clock: Clock
  readonly log: Log
  isAttached (): boolean
}

/**
 * Workers of a shard, kept in row `rosters/<shardId>`. A worker is in the row before anything is
 * started on it, so that a successor knows every place where a task may run.
 */
export class Roster {
  private workers: ReadonlyMap<string, RosterWorker> = new Map()
  private version = 0

  private constructor (private readonly deps: RosterDeps) {}

  static create (deps: RosterDeps): Roster {
    return new Roster(deps)
  }

  list (): readonly RosterWorker[] {
    return [...this.workers.values()]
  }

  /**
   * Reads the row and writes it back unchanged, so that a write of a former owner that is still under way
   * fails. Returns false when the table service did not confirm it.
   */
  async claim (): Promise<boolean> {
    if (!await this.load()) return false
    return this.write(this.workers)
  }

  /** Adds the VMs that are missing and drops `remove`; does nothing while detached. */
  async update (vms: readonly Vm[], remove: readonly string[]): Promise<void> {
    const added = vms
      .filter(vm => this.workers.get(vm.address)?.id !== vm.id)
      .map(({ id, address, region, failureDomain, rack }) => ({ id, address, region, failureDomain, rack }))
    if ((added.length === 0 && remove.length === 0) || !this.deps.isAttached()) return
    const next = new Map(this.workers)
    remove.forEach(address => next.delete(address))
    added.forEach(worker => next.set(worker.address, worker))
    // After a conflict or a lost answer, what the row holds decides, and the next round tries again.
    if (!await this.write(next)) await this.load()
  }

  private async load (): Promise<boolean> {
    const rows = await this.deps.platform.tables.read([{ table: ROSTER_TABLE, key: this.deps.shardId }])
    if (!rows.ok) return false
    const row = rows.val[0]
    this.version = row?.version ?? 0
    this.workers = byAddress((row?.value as RosterRow | undefined)?.workers ?? [])
    return true
  }

  private async write (workers: ReadonlyMap<string, RosterWorker>): Promise<boolean> {
    const value: RosterRow = { workers: [...workers.values()] }
    const result = await this.deps.platform.tables.transact([
      { table: ROSTER_TABLE, key: this.deps.shardId, ifVersion: this.version, value }
    ])
    if (!result.ok || !result.val.committed) return false
    this.version = result.val.versions[0] ?? this.version
    this.workers = workers
    return true
  }
}

function byAddress (workers: readonly RosterWorker[]): ReadonlyMap<string, RosterWorker> {
  return new Map(workers.map(worker => [worker.address, worker]))
}
