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
/** Crashes after which the starts of a task are limited, and how many may follow, however they end. */
const LIMITED_FROM = 3
const MAX_FURTHER_STARTS = 2
/** Seen crashes without which a task is never given up. */
const MIN_SEEN_CRASHES = 2
/** Maximum number of runs without a crash of the task's own that are kept; a lasting task may have any number of them. */
const MAX_OTHER_RUNS = 16

/**
 * What is known of a run of a task under which a worker has crashed before: `open` until an end or a report of the worker
 * says that the worker has not crashed under it, then `ended`. `outage`: its worker has crashed with others, for a common
 * cause, which is no evidence against the task.
 */
type RunFate = 'open' | 'ended' | 'crashed' | 'crashed-alone' | 'outage'

/** Numbers of runs by what is known of them. */
export interface CrashedRuns {
  /** Runs under which a worker has crashed for no other known cause, and those of them that were alone on it. */
  readonly all: readonly number[]
  readonly alone: readonly number[]
  /** Runs that an outage has ended; only the first ones, which decide from when on starts are limited. */
  readonly outage: readonly number[]
  /** Later runs under which no crash was seen, as far as they have ended otherwise or not. */
  readonly ended: readonly number[]
  readonly open: readonly number[]
}

/** Crashes of workers under the runs of one task, or of one gang, at most one for each run, and the starts after the first of them. */
export class CrashRecord {
  private readonly fates = new Map<number, RunFate>()
  /** Names of the crashes for which each run is charged, as far as this leader has seen them: several members of a gang share one run. */
  private readonly charges = new Map<number, Set<string>>()

  private constructor () {}

  static create (): CrashRecord {
    return new CrashRecord()
  }

  // Queries

  /** Number of crashes that count against the task. */
  count (): number {
    return this.runsWith('crashed').length + this.aloneCount()
  }

  /** Number of crashes at which no other work ran on the worker. */
  aloneCount (): number {
    return this.runsWith('crashed-alone').length
  }

  /** Whether the task may have crashed a worker. */
  isSuspect (): boolean {
    return this.count() > 0
  }

  /** Whether a worker has crashed under the task, for any cause, so that its starts are recorded. */
  hasRecord (): boolean {
    return this.fates.size > 0
  }

  /** Whether a crash under the run counts against the task. */
  isCharged (run: number): boolean {
    const fate = this.fates.get(run)
    return fate === 'crashed' || fate === 'crashed-alone'
  }

  /** Whether outages have ended as many runs as may count for nothing: a task that crashes its workers may do so at the moments of others. */
  hasSpentExcuses (): boolean {
    return this.runsWith('outage').length >= LIMITED_FROM
  }

  mustRunAlone (): boolean {
    return this.count() >= ISOLATED_FROM
  }

  isGivenUp (): boolean {
    return this.count() >= GIVEN_UP_AT_LATEST || (this.count() >= GIVEN_UP_AFTER && this.aloneCount() >= ALONE_AT_LEAST)
  }

  /**
   * Whether the task may not be started again. A run of which no end is known counts as a crash here: its worker may not
   * be back yet, or have crashed while nobody led. So does one that an outage has ended, once the task has crashes of its own.
   */
  isExhausted (): boolean {
    if (this.isGivenUp()) return true
    if (this.count() < MIN_SEEN_CRASHES) return false
    const crashes = [...this.fates].filter(([, fate]) => fate !== 'ended').map(([run]) => run).sort((a, b) => a - b)
    const limitedAfter = crashes[LIMITED_FROM - 1]
    return limitedAfter !== undefined && [...this.fates.keys()].filter(run => run > limitedAfter).length >= MAX_FURTHER_STARTS
  }

  runs (): CrashedRuns {
    const alone = this.runsWith('crashed-alone')
    return { all: [...this.runsWith('crashed'), ...alone].sort((a, b) => a - b), alone, outage: this.runsWith('outage'), ended: this.runsWith('ended'), open: this.runsWith('open') }
  }

  // Commands

  /** Charges a run with a crash. `charge`: name of the crash for this run, by which it can be withdrawn. */
  add (run: number, isAlone: boolean, charge = ''): void {
    this.charges.set(run, (this.charges.get(run) ?? new Set()).add(charge))
    this.fates.set(run, isAlone || this.fates.get(run) === 'crashed-alone' ? 'crashed-alone' : 'crashed')
  }

  /** Records that the crash was of an outage. */
  excuse (run: number, charge: string): void {
    if (!this.isCharged(run) || !this.dropCharge(run, charge)) return
    this.fates.set(run, 'outage')
    const outage = [...this.runsWith('outage')].sort((a, b) => a - b)
    for (const later of outage.slice(LIMITED_FROM)) this.fates.set(later, 'ended')
    this.prune()
  }

  /** Records that the run was not on the worker at the crash, so that no end of it is known. Without another crash, its starts are of no interest. */
  withdraw (run: number, charge: string): void {
    if (!this.isCharged(run) || !this.dropCharge(run, charge)) return
    this.fates.set(run, 'open')
    if (this.count() + this.runsWith('outage').length === 0) this.clear()
  }

  /** Records a start of the task. Before its first crash, starts are of no interest. */
  addStart (run: number): void {
    if (!this.hasRecord() || this.fates.has(run)) return
    this.fates.set(run, 'open')
    this.prune()
  }

  /** Records that a run has ended, or was lost, without a crash of its worker. */
  addEnd (run: number): void {
    if (this.fates.get(run) !== 'open') return
    this.fates.set(run, 'ended')
    this.prune()
  }

  /** Forgets a run that was never started, or that ended by itself. */
  withdrawStart (run: number): void {
    if (this.fates.get(run) === 'open') this.fates.delete(run)
  }

  restore ({ all, alone, outage, ended, open }: CrashedRuns): void {
    for (const run of all) this.add(run, alone.includes(run))
    for (const run of outage) this.fates.set(run, 'outage')
    for (const run of ended) this.fates.set(run, 'ended')
    for (const run of open) this.fates.set(run, 'open')
  }

  /** Forgets all crashes, because a run has worked for long without one. */
  clear (): void {
    this.fates.clear()
    this.charges.clear()
  }

  /** Drops the runs that have ended before any that may still be the crash from which on starts are limited, and the oldest beyond the maximum. */
  private prune () {
    const { all, outage, ended, open } = this.runs()
    const firstOpen = Math.min(Infinity, ...open)
    if (all.length + outage.length < LIMITED_FROM) for (const run of ended) if (run < firstOpen) this.fates.delete(run)
    const others = [...this.runsWith('ended'), ...open].sort((a, b) => a - b)
    for (const run of others.slice(0, Math.max(0, others.length + outage.length - MAX_OTHER_RUNS))) this.fates.delete(run)
  }

  /** Returns whether the run is charged with no other crash. */
  private dropCharge (run: number, charge: string): boolean {
    const charges = this.charges.get(run)
    charges?.delete(charge)
    if (charges !== undefined && charges.size > 0) return false
    this.charges.delete(run)
    return true
  }

  private runsWith (fate: RunFate): readonly number[] {
    return [...this.fates].filter(([, other]) => other === fate).map(([run]) => run)
  }
}
