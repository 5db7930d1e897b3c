import { NO_RESOURCES, fits } from './resources.js'
import type { ResourceVector } from './types.js'
import type { WorkerLink } from './workerLink.js'

/**
 * Free capacity of the workers on which tasks can be started in one scheduling round, indexed by processor time. A step
 * that needs more than any of them has free costs a binary search, not a look at each worker.
 */
export class RoundCapacity {
  private readonly workers: readonly WorkerLink[]
  /** Indexes of the workers, most free processor time first. The order is that of the start of the round; capacity only shrinks during it. */
  private readonly indexesByFree: readonly number[]
  /** Free processor time at the start of the round, in the order of `indexesByFree`. */
  private readonly initialMilliCores: readonly number[]
  private readonly free: Map<WorkerLink, ResourceVector>
  private readonly byId: ReadonlyMap<string, WorkerLink>

  private constructor (usable: Iterable<WorkerLink>) {
    const entries = [...usable].map((worker, index) => ({ worker, index, free: worker.freeCapacity() }))
    this.workers = entries.map(({ worker }) => worker)
    this.free = new Map(entries.map(({ worker, free }) => [worker, free]))
    this.byId = new Map(entries.map(({ worker }) => [worker.id, worker]))
    const byFree = entries.sort((a, b) => b.free.milliCores - a.free.milliCores)
    this.indexesByFree = byFree.map(({ index }) => index)
    this.initialMilliCores = byFree.map(({ free }) => free.milliCores)
  }

  static create (usable: Iterable<WorkerLink>): RoundCapacity {
    return new RoundCapacity(usable)
  }

  // Queries

  all (): readonly WorkerLink[] {
    return this.workers
  }

  /** All workers, those with the most free processor time at the start of the round first. */
  * mostFreeFirst (): Iterable<WorkerLink> {
    for (const index of this.indexesByFree) yield this.workers[index] as WorkerLink
  }

  get (workerId: string): WorkerLink | undefined {
    return this.byId.get(workerId)
  }

  /** Undefined if no task can be started on the worker. */
  freeOn (worker: WorkerLink): ResourceVector | undefined {
    return this.free.get(worker)
  }

  hasRoomFor (need: ResourceVector): boolean {
    for (let rank = this.countWith(need.milliCores) - 1; rank >= 0; rank--) if (this.hasRoomAt(this.indexesByFree[rank], need)) return true
    return false
  }

  /** Workers on which a task with this need fits now, in the order of `all`. */
  withRoomFor (need: ResourceVector): readonly WorkerLink[] {
    const indexes = this.indexesByFree.slice(0, this.countWith(need.milliCores)).filter(index => this.hasRoomAt(index, need))
    return indexes.sort((a, b) => a - b).map(index => this.workers[index] as WorkerLink)
  }

  // Commands

  /** Takes over the free capacity of a worker after a start there. */
  refresh (worker: WorkerLink): void {
    if (!this.free.has(worker)) return
    if (worker.isStartWindowFull()) this.free.delete(worker)
    else this.free.set(worker, worker.freeCapacity())
  }

  private hasRoomAt (index: number | undefined, need: ResourceVector): boolean {
    const worker = index === undefined ? undefined : this.workers[index]
    return worker !== undefined && fits(need, this.free.get(worker) ?? NO_RESOURCES)
  }

  /** Number of workers that had at least this much processor time free at the start of the round. */
  private countWith (milliCores: number): number {
    let low = 0
    let high = this.initialMilliCores.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.initialMilliCores[middle] ?? 0) >= milliCores) low = middle + 1
      else high = middle
    }
    return low
  }
}

/** Whether more than half of the processor time of the workers is free. */
export function isHalfEmpty (workers: readonly WorkerLink[]): boolean {
  const sumOf = (milliCoresOf: (worker: WorkerLink) => number) => workers.reduce((sum, worker) => sum + milliCoresOf(worker), 0)
  return 2 * sumOf(worker => worker.freeCapacity().milliCores) > sumOf(worker => worker.entry.capacity.milliCores)
}
