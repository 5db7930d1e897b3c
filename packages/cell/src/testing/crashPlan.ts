import type { TestCell } from './testCell.js'

export interface CrashPlanOptions {
  readonly cell: TestCell
  /** Whether a task, by its name, crashes each worker that starts it. */
  readonly isDeadly: (taskName: string) => boolean
  /** Time from the start of such a task until its worker crashes, in milliseconds; may depend on the task. */
  readonly crashAfterMs?: number | ((taskName: string) => number)
  /** Time until the worker is back under its id, in milliseconds. */
  readonly backAfterMs?: number
  /** Called before each crash under such a task: `aheadMs` before it, or in the same moment. */
  readonly beforeCrash?: () => void
  readonly aheadMs?: number
  /** Called at each crash of a worker, with the names of the tasks that run there. */
  readonly onCrash?: (workerId: string, tasks: readonly string[]) => void
}

const DEFAULT_CRASH_AFTER_MS = 300

const STEP_MS = 50

/** Plays a cell in which tasks crash their workers, which come back under their ids some seconds later. */
export class CrashPlan {
  /** Number of crashes by task, counting only the deadly ones. */
  readonly crashes = new Map<string, number>()
  private readonly startedAt = new Map<string, number>()
  /** Runs before whose crash `beforeCrash` has been called. */
  private readonly announced = new Set<string>()
  private readonly backAt = new Map<string, number>()

  private constructor (private readonly options: CrashPlanOptions) {}

  static create (options: CrashPlanOptions): CrashPlan {
    return new CrashPlan(options)
  }

  /** Advances the clock until the condition holds, by at most `limitMs`. Returns whether it holds. */
  async advanceUntil (condition: () => boolean, limitMs: number): Promise<boolean> {
    const { clock } = this.options.cell
    for (const endMs = clock.now() + limitMs; clock.now() < endMs;) {
      if (condition()) return true
      await clock.advance(STEP_MS)
      this.crashAndRestart()
    }
    return condition()
  }

  /** Crashes a worker for another cause than a task. */
  crash (workerId: string): void {
    const { cell, backAfterMs = 3_000, onCrash = () => {} } = this.options
    const worker = cell.workers.all().find(({ entry }) => entry.id === workerId)
    if (worker === undefined || this.backAt.has(workerId)) return
    onCrash(workerId, worker.runningTasks())
    worker.crash()
    this.backAt.set(workerId, cell.clock.now() + backAfterMs)
  }

  private crashAndRestart () {
    const { cell, isDeadly, crashAfterMs = DEFAULT_CRASH_AFTER_MS, aheadMs = 0, beforeCrash = () => {} } = this.options
    const crashAfterMsOf = typeof crashAfterMs === 'number' ? () => crashAfterMs : crashAfterMs
    const now = cell.clock.now()
    const running = new Set<string>()
    for (const worker of cell.workers.all()) {
      const { id, born } = worker.entry
      if ((this.backAt.get(id) ?? Infinity) <= now) {
        this.backAt.delete(id)
        worker.restart(born + 1)
        cell.setRegistry(cell.workers.all().map(({ entry }) => entry))
      }
      for (const name of worker.runningTasks().filter(isDeadly)) {
        const key = `${name} ${id} ${born}`
        running.add(key)
        const startedAt = this.startedAt.get(key) ?? now
        this.startedAt.set(key, startedAt)
        if (now - startedAt >= crashAfterMsOf(name) - aheadMs && !this.announced.has(key)) {
          this.announced.add(key)
          beforeCrash()
        }
        if (now - startedAt < crashAfterMsOf(name)) continue
        this.crashes.set(name, (this.crashes.get(name) ?? 0) + 1)
        this.crash(id)
      }
    }
    for (const key of this.startedAt.keys()) if (!running.has(key)) this.forget(key)
  }

  /** A gang that is broken may start again on the same incarnation of a worker. */
  private forget (key: string) {
    this.startedAt.delete(key)
    this.announced.delete(key)
  }
}
