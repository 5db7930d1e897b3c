import type { RunUsage } from './accounts/index.js'
import type { Run } from './jobs.js'
import { NO_RESOURCES, add, subtract } from './resources.js'
import { formatTaskId } from './types.js'
import type { ResourceVector, TaskId } from './types.js'

export function runKeyOf (task: TaskId, run: number): string {
  return `${formatTaskId(task)}#${run}`
}

/** The runs that a link tracks on its worker, and what they take there. */
export class TrackedRuns {
  readonly byKey = new Map<string, Run>()
  private suspectRuns = 0
  /** Number of runs that must be alone, however long they have run. */
  private aloneRuns = 0
  /** Lasting runs that started beside nothing but runs that must be alone, and other lasting ones that did. */
  private readonly lastingCompany = new Set<Run>()
  private usedCapacity: ResourceVector = NO_RESOURCES
  private runsWithUnknownNeed = 0

  private constructor (private readonly usage: RunUsage) {}

  /** `usage` takes note of the runs of all workers. */
  static create (usage: RunUsage): TrackedRuns {
    return new TrackedRuns(usage)
  }

  // Queries

  has (run: Run): boolean {
    return this.byKey.get(runKeyOf(run.id, run.number)) === run
  }

  /** Capacity that the runs take; undefined if that isn't known of all of them. */
  used (): ResourceVector | undefined {
    return this.runsWithUnknownNeed > 0 ? undefined : this.usedCapacity
  }

  /** Whether there is a run of a task that may have crashed a worker. */
  haveSuspect (): boolean {
    return this.suspectRuns > 0
  }

  /**
   * Whether there are runs, all of which must be alone but for lasting ones that started later. A run that must be alone
   * but has other company, or has started beside others, keeps nobody out.
   */
  areAllAlone (): boolean {
    return this.aloneRuns > 0 && this.aloneRuns + this.lastingCompany.size === this.byKey.size
  }

  /** Whether nothing else may start beside the runs now. */
  haveExclusive (now: number): boolean {
    return this.areAllAlone() && [...this.byKey.values()].some(run => run.isExclusive(now))
  }

  // Commands

  add (run: Run): void {
    if (!run.mustRunAlone && run.task?.step.spec.longRunning === true && this.areAllAlone()) this.lastingCompany.add(run)
    this.byKey.set(runKeyOf(run.id, run.number), run)
    this.count(run, 1)
    this.usage.add(run)
  }

  /** Returns whether the run was tracked. */
  remove (run: Run): boolean {
    if (!this.byKey.delete(runKeyOf(run.id, run.number))) return false
    this.count(run, -1)
    this.lastingCompany.delete(run)
    if (this.aloneRuns === 0) this.lastingCompany.clear()
    this.usage.remove(run)
    return true
  }

  /** Gives up all runs and returns them. */
  takeAll (): readonly Run[] {
    const runs = [...this.byKey.values()]
    for (const run of runs) this.remove(run)
    return runs
  }

  private count (run: Run, change: 1 | -1) {
    this.suspectRuns += change * Number(run.isSuspect)
    this.aloneRuns += change * Number(run.mustRunAlone)
    const need = run.need()
    if (need === undefined) this.runsWithUnknownNeed += change
    else this.usedCapacity = change > 0 ? add(this.usedCapacity, need) : subtract(this.usedCapacity, need)
  }
}
