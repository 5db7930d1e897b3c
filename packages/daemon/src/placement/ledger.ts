import type { Indexed } from './freeIndex.js'
import { FreeIndex } from './freeIndex.js'
import type { PlacerTask, PlacerWorker } from './types.js'
import type { Vector } from './vector.js'
import { add, capacityOf, fits, zero } from './vector.js'

/** A task whose resources are taken on a worker. */
export interface Occupied {
  readonly task: PlacerTask
  readonly demand: Readonly<Vector>
  readonly worker: WorkerEntry
  readonly startedAt: number
  /** Task for which this one is being stopped. */
  preemptedFor: string | undefined
  /** Gang job whose reserved capacity this task uses; it is stopped at the end of its declared run time. */
  backfilledFor: string | undefined
  /** Neighbours in the list of the team's preemptible tasks. */
  older: Occupied | undefined
  newer: Occupied | undefined
}

/** A worker with what is taken of it and promised on it. */
export interface WorkerEntry extends Indexed {
  readonly worker: PlacerWorker
  readonly domain: Domain
  capacity: Readonly<Vector>
  readonly used: Vector
  /** Part of `used` that preempted tasks will free. */
  readonly releasing: Vector
  /** Demand of tasks for which others were preempted here. */
  readonly claimed: Vector
  /** Demand of the gang job that holds the reservation. */
  readonly reserved: Vector
  /** Capacity less `used`, and less claims and reservations that must be kept free now. */
  readonly available: Vector
  readonly tasks: Map<string, Occupied>
  schedulable: boolean
  suspended: boolean
}

/** Workers of one failure domain. */
export interface Domain {
  readonly region: string
  readonly failureDomain: string
  readonly index: FreeIndex<WorkerEntry>
  readonly racks: Map<string, Set<WorkerEntry>>
  /** Racks in a fixed order, for searches that visit only some of them. */
  rackNames: readonly string[]
}

/** Workers, their occupied tasks, and an index by available resources. */
export class Ledger {
  readonly workers = new Map<string, WorkerEntry>()
  readonly occupied = new Map<string, Occupied>()
  readonly domains = new Map<string, Domain>()
  /** Capacity of all known workers. */
  readonly total = zero()
  /** Workers whose availability grew since the placer last looked. */
  readonly grown = new Set<WorkerEntry>()
  /** Increases whenever the availability of a worker grows. */
  growth = 0
  /** Workers on which preempted tasks are being stopped. */
  readonly freeing = new Set<WorkerEntry>()
  /** Increases when a worker is added, removed or changes its capacity. */
  version = 0
  /** False while places that were taken on trial are given back. */
  tracksGrowth = true

  private constructor () {}

  static create (): Ledger {
    return new Ledger()
  }

  /** Adds a worker, or changes the capacity of a known one in the same place. */
  addWorker (worker: PlacerWorker): void {
    const capacity = capacityOf(worker.capacity)
    const known = this.workers.get(worker.workerId)
    if (known !== undefined) {
      if (fits(capacity, known.capacity) && fits(known.capacity, capacity)) return
      add(this.total, known.capacity, -1)
      add(this.total, capacity)
      known.capacity = capacity
      this.version++
      this.refresh(known)
      return
    }
    const domain = this.domainOf(worker)
    const entry: WorkerEntry = {
      worker,
      domain,
      capacity,
      used: zero(),
      releasing: zero(),
      claimed: zero(),
      reserved: zero(),
      available: zero(),
      tasks: new Map(),
      schedulable: false,
      suspended: false,
      slot: undefined
    }
    this.workers.set(worker.workerId, entry)
    add(this.total, capacity)
    const rack = domain.racks.get(worker.rack)
    if (rack === undefined) {
      domain.racks.set(worker.rack, new Set([entry]))
      domain.rackNames = [...domain.racks.keys()]
    } else {
      rack.add(entry)
    }
    this.version++
    this.refresh(entry)
  }

  removeWorker (entry: WorkerEntry): void {
    entry.domain.index.remove(entry)
    this.grown.delete(entry)
    this.freeing.delete(entry)
    this.workers.delete(entry.worker.workerId)
    add(this.total, entry.capacity, -1)
    this.version++
    const { racks } = entry.domain
    const rack = racks.get(entry.worker.rack)!
    rack.delete(entry)
    if (rack.size > 0) return
    racks.delete(entry.worker.rack)
    entry.domain.rackNames = [...racks.keys()]
  }

  take (task: PlacerTask, demand: Readonly<Vector>, worker: WorkerEntry, now: number): Occupied {
    const occupied: Occupied = { task, demand, worker, startedAt: now, preemptedFor: undefined, backfilledFor: undefined, older: undefined, newer: undefined }
    this.occupied.set(task.taskId, occupied)
    worker.tasks.set(task.taskId, occupied)
    add(worker.used, demand)
    this.refresh(worker)
    return occupied
  }

  free (occupied: Occupied): void {
    const { worker, demand } = occupied
    this.occupied.delete(occupied.task.taskId)
    worker.tasks.delete(occupied.task.taskId)
    add(worker.used, demand, -1)
    if (occupied.preemptedFor !== undefined) add(worker.releasing, demand, -1)
    this.refresh(worker)
  }

  markPreempted (occupied: Occupied, forTaskId: string): void {
    occupied.preemptedFor = forTaskId
    add(occupied.worker.releasing, occupied.demand)
    this.refresh(occupied.worker)
  }

  isOpen (entry: WorkerEntry): boolean {
    return entry.schedulable && !entry.suspended
  }

  /** Recomputes what is available after a change, and reindexes the worker. */
  refresh (entry: WorkerEntry): void {
    const { available, capacity, used, claimed, releasing, reserved } = entry
    const wasOpen = entry.slot !== undefined
    const { cores, memory, accelerators } = available
    available.cores = capacity.cores - used.cores - Math.max(0, claimed.cores - releasing.cores) - reserved.cores
    available.memory = capacity.memory - used.memory - Math.max(0, claimed.memory - releasing.memory) - reserved.memory
    available.accelerators = capacity.accelerators - used.accelerators - Math.max(0, claimed.accelerators - releasing.accelerators) - reserved.accelerators
    if (releasing.cores > 0 || releasing.memory > 0 || releasing.accelerators > 0) this.freeing.add(entry)
    else this.freeing.delete(entry)
    if (!this.isOpen(entry)) {
      entry.domain.index.remove(entry)
      this.grown.delete(entry)
      return
    }
    entry.domain.index.update(entry)
    if (!this.tracksGrowth) return
    if (!wasOpen || available.cores > cores || available.memory > memory || available.accelerators > accelerators) {
      this.grown.add(entry)
      this.growth++
    }
  }

  private domainOf ({ region, failureDomain }: PlacerWorker): Domain {
    const key = `${region}/${failureDomain}`
    let domain = this.domains.get(key)
    if (domain === undefined) {
      domain = { region, failureDomain, index: FreeIndex.create<WorkerEntry>(), racks: new Map(), rackNames: [] }
      this.domains.set(key, domain)
    }
    return domain
  }
}

/** Resources of a worker that no task has taken, whoever they are kept for. */
export function unused ({ capacity, used }: WorkerEntry): Vector {
  return { cores: capacity.cores - used.cores, memory: capacity.memory - used.memory, accelerators: capacity.accelerators - used.accelerators }
}
