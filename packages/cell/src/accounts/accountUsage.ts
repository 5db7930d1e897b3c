import type { JobRecord } from '../jobRecord.js'
import type { Run } from '../jobs.js'
import { NO_RESOURCES, add, subtract } from '../resources.js'
import type { ResourceVector } from '../types.js'
import type { WorkerLink } from '../workerLink.js'

/** Takes note of the runs that links to workers track. */
export interface RunUsage {
  add (run: Run): void
  /** Has no effect on a run that was not added. */
  remove (run: Run): void
}

/** What the runs of an account take. */
export interface Usage extends ResourceVector {
  readonly runs: number
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] }

/** What a run counts for: its account and the full need of its step, or its worker if the job is unknown. */
type Charge = { readonly account: string | undefined, readonly need: ResourceVector } | { readonly worker: WorkerLink }

const NO_USAGE: Usage = { ...NO_RESOURCES, runs: 0 }

/**
 * What runs by account over all workers. A run counts from before its start is sent until its worker has listed its end,
 * or it is certainly not running. Kept incrementally, since a cell has thousands of runs.
 */
export class AccountUsage implements RunUsage {
  private readonly byAccount = new Map<string | undefined, Mutable<Usage>>()
  private readonly charges = new Map<Run, Charge>()
  /** Workers with runs of unknown jobs. */
  private readonly unknownRuns = new Map<WorkerLink, { runs: number, readonly capacity: ResourceVector }>()
  private unknownCapacity = NO_RESOURCES
  private changes = 0

  private constructor (private readonly recordOf: (jobId: string) => JobRecord | undefined) {}

  /** `recordOf`: a live job, or one that has ended and may still have runs of earlier leaders, as far as this leader has read it. */
  static create (recordOf: (jobId: string) => JobRecord | undefined): AccountUsage {
    return new AccountUsage(recordOf)
  }

  // Queries

  /** What the runs of an account take; `undefined`: those of jobs without an account. */
  of (account: string | undefined): Usage {
    return this.byAccount.get(account) ?? NO_USAGE
  }

  /** Capacity of the workers with runs of jobs that this leader doesn't know; any account may have them. */
  unknown (): ResourceVector {
    return this.unknownCapacity
  }

  /** Grows with each change. */
  version (): number {
    return this.changes
  }

  // Commands

  add (run: Run): void {
    this.remove(run)
    const charge = this.chargeOf(run)
    this.charges.set(run, charge)
    this.changes++
    if ('worker' in charge) this.addUnknown(charge.worker, 1)
    else this.change(charge.account, charge.need, 1)
  }

  remove (run: Run): void {
    const charge = this.charges.get(run)
    if (charge === undefined) return
    this.charges.delete(run)
    this.changes++
    if ('worker' in charge) this.addUnknown(charge.worker, -1)
    else this.change(charge.account, charge.need, -1)
  }

  private chargeOf ({ id, task, worker }: Run): Charge {
    const record = task?.step.job.record ?? this.recordOf(id.jobId)
    const need = record?.spec.steps[id.step]?.need
    return record === undefined || need === undefined ? { worker } : { account: record.account, need }
  }

  /** A worker counts once with its whole capacity, however many of its runs are unknown. */
  private addUnknown (worker: WorkerLink, change: 1 | -1) {
    const entry = this.unknownRuns.get(worker) ?? { runs: 0, capacity: worker.entry.capacity }
    if (entry.runs === 0) this.unknownCapacity = add(this.unknownCapacity, entry.capacity)
    entry.runs += change
    this.unknownRuns.set(worker, entry)
    if (entry.runs > 0) return
    this.unknownRuns.delete(worker)
    this.unknownCapacity = subtract(this.unknownCapacity, entry.capacity)
  }

  private change (account: string | undefined, { milliCores, memoryMb, accelerators }: ResourceVector, sign: 1 | -1) {
    const usage = this.byAccount.get(account) ?? { ...NO_USAGE }
    usage.milliCores += sign * milliCores
    usage.memoryMb += sign * memoryMb
    usage.accelerators += sign * accelerators
    usage.runs += sign
    if (usage.runs === 0) this.byAccount.delete(account)
    else this.byAccount.set(account, usage)
  }
}
