import type { Job } from '../jobs.js'
import { NO_RESOURCES, add, multiply } from '../resources.js'
import type { ResourceVector } from '../types.js'

const UNBOUNDED: ResourceVector = { milliCores: Infinity, memoryMb: Infinity, accelerators: Infinity }

/** What may run on workers whose runs are not known yet. */
export interface HiddenRuns {
  /** Jobs that may have such runs. */
  readonly jobs: Iterable<Job>
  /** Whether there are jobs that may have such runs and that this leader has not read. */
  readonly hasUnreadJobs: boolean
  /** Capacity of these workers; undefined if that isn't known. */
  readonly capacity: ResourceVector | undefined
}

/** Needs of the waiting tasks of an account's jobs. */
interface Waiting {
  readonly reserved: ResourceVector
  /** Processor time of tasks on idle capacity, which a worker runs beyond its capacity, in thousandths of a core. */
  readonly idleMilliCores: number
}

/**
 * Upper bounds of what accounts have running without this leader knowing, after a takeover: the needs of the waiting
 * tasks of the jobs that are held back, and the capacity of the workers whose runs are not known, whichever is smaller.
 */
export class HiddenUsage {
  private waiting: ReadonlyMap<string, Waiting> = new Map()
  private capacity = NO_RESOURCES
  private hasUnreadJobs = false
  private updates = 0

  static create (): HiddenUsage {
    return new HiddenUsage()
  }

  of (account: string): ResourceVector {
    const { capacity } = this
    const waiting = this.waiting.get(account)
    if (this.hasUnreadJobs) return capacity
    if (waiting === undefined) return NO_RESOURCES
    const { reserved, idleMilliCores } = waiting
    return {
      milliCores: Math.min(reserved.milliCores, capacity.milliCores) + idleMilliCores,
      memoryMb: Math.min(reserved.memoryMb, capacity.memoryMb),
      accelerators: Math.min(reserved.accelerators, capacity.accelerators)
    }
  }

  /** Grows with each update. */
  version (): number {
    return this.updates
  }

  /** Computes the bounds anew; undefined once all runs are known. */
  update (hidden: HiddenRuns | undefined): void {
    if (hidden === undefined && this.waiting.size === 0 && this.capacity === NO_RESOURCES) return
    const waiting = new Map<string, Waiting>()
    for (const job of hidden?.jobs ?? []) {
      const { account } = job.record
      if (account !== undefined) waiting.set(account, addWaiting(waiting.get(account), job))
    }
    this.updates++
    this.waiting = waiting
    this.capacity = hidden === undefined ? NO_RESOURCES : hidden.capacity ?? UNBOUNDED
    this.hasUnreadJobs = hidden?.hasUnreadJobs === true
  }
}

function addWaiting ({ reserved, idleMilliCores }: Waiting = { reserved: NO_RESOURCES, idleMilliCores: 0 }, job: Job): Waiting {
  // An earlier leader may have added occurrences that this one doesn't know to be due.
  const { schedule, steps } = job.record.spec
  if (schedule !== undefined) return { reserved: UNBOUNDED, idleMilliCores: steps.some(({ usesIdleCapacity }) => usesIdleCapacity) ? Infinity : idleMilliCores }
  for (const step of job.liveSteps()) {
    reserved = add(reserved, multiply(step.need, step.waitingTasks))
    idleMilliCores += (step.spec.need.milliCores - step.need.milliCores) * step.waitingTasks
  }
  return { reserved, idleMilliCores }
}
