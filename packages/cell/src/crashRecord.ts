/**
 * Crashes under one task from which on it runs without others on its worker: a sound neighbour of a task that crashes its
 * workers is cleared by its end, and the next crash names only one task.
 */
const ISOLATED_FROM = 2
/** A task is given up after so many crashes, if it was alone on its worker at as many of them as the second number says. */
const GIVEN_UP_AFTER = 4
const ALONE_AT_LEAST = 2
/** A task is given up after so many crashes in any case: no more than two starts may follow the third. */
const GIVEN_UP_AT_LATEST = 5

/** Crashes of workers under the runs of one task, or of one gang; at most one for each run. */
export class CrashRecord {
  private readonly aloneByRun = new Map<number, boolean>()

  private constructor () {}

  static create (): CrashRecord {
    return new CrashRecord()
  }

  // Queries

  count (): number {
    return this.aloneByRun.size
  }

  /** Number of crashes at which no other work ran on the worker. */
  aloneCount (): number {
    return [...this.aloneByRun.values()].filter(isAlone => isAlone).length
  }

  /** Whether the task may have crashed a worker. */
  isSuspect (): boolean {
    return this.aloneByRun.size > 0
  }

  mustRunAlone (): boolean {
    return this.count() >= ISOLATED_FROM
  }

  isGivenUp (): boolean {
    return this.count() >= GIVEN_UP_AT_LATEST || (this.count() >= GIVEN_UP_AFTER && this.aloneCount() >= ALONE_AT_LEAST)
  }

  /** Numbers of the runs, and of those that were alone. */
  runs (): { readonly all: readonly number[], readonly alone: readonly number[] } {
    const all = [...this.aloneByRun.keys()]
    return { all, alone: all.filter(run => this.aloneByRun.get(run)) }
  }

  // Commands

  add (run: number, isAlone: boolean): void {
    this.aloneByRun.set(run, isAlone || this.aloneByRun.get(run) === true)
  }

  /** Forgets all crashes, because a run has worked for long without one. */
  clear (): void {
    this.aloneByRun.clear()
  }
}
