import type { Run, Step } from './jobs.js'
import { runKeyOf } from './trackedRuns.js'
import type { WorkerLink } from './workerLink.js'

/** Minimum interval between two measurements, which is that of the checks for stalled runs: each run that starts on a slow worker meanwhile is late. */
const MEASURE_INTERVAL_MS = 150
/** Minimum time over which the progress of a run is measured, in milliseconds: it may not begin at once. */
const MIN_MEASURED_MS = 300
/** Progress in percent from which on a run is measured, to within a fifth: workers tell it in whole percent. One with less counts as having made it just now. */
const MIN_PROGRESS = 5
/** Time after which the measurement of a run begins anew, so that a worker that recovers is known. */
const MAX_MEASURED_MS = 1_500
/** Workers of a step that must have been measured to compare a run with them. */
const MIN_COMPARED = 2
/** Workers of a step that are remembered. */
const MAX_COMPARED = 64
/** Weight of the latest measurement of a worker: about three of them decide. */
const LATEST_WEIGHT = 0.4
/** Time after which a measurement says nothing any more. */
const VALID_MS = 5_000
/** Multiple of the time that others take from which on a worker is slow: durations of one step's tasks differ less. */
const SLOW_FACTOR = 3
/** Multiple of the time of a whole new run elsewhere that a run on a slow worker must still need to be given up. */
const RESTART_FACTOR = 2

/** What the progress of a run is measured from. */
interface Measurement {
  readonly percent: number
  /** Monotonic time of the report, in milliseconds. */
  readonly at: number
  /** Whether enough progress has been made since then. */
  readonly hasProgressed: boolean
  /** Progress in percent at the latest look. */
  readonly latestPercent: number
}

interface Pace {
  /** Logarithm of the multiple of the time that others take. */
  readonly log: number
  /**
   * Monotonic times in milliseconds at which runs were slow lately, by run: a single one doesn't make a worker slow, as its
   * task may be larger than the others of its step. Keys instead of runs, which would keep their ended jobs in memory.
   */
  readonly slowRuns: ReadonlyMap<string, number>
  /** Whether several runs were slow, or one after the worker had been slow. */
  readonly isConfirmed: boolean
  /** Monotonic time of the measurement, in milliseconds. */
  readonly at: number
}

/** How fast a run was on a worker of a step. */
interface StepPace {
  /** Milliseconds for one percent of progress. */
  readonly msPerPercent: number
  /** Time until enough progress was reported to measure it, in milliseconds: runs may tell their progress in large steps. */
  readonly firstProgressMs: number
}

interface MeasuredRun extends StepPace {
  readonly run: Run
  readonly step: Step
  /** Whether enough progress was made; otherwise the times are lower bounds. */
  readonly hasProgressed: boolean
}

/** A run and the multiple of the time that others of its step take. */
interface ComparedRun {
  readonly run: Run
  readonly step: Step
  readonly factor: number
}

/**
 * Measures how long workers take, as a multiple of what the same steps take on other workers, from the progress that their
 * runs report. Runs of gangs are not compared, as all members are as slow as the slowest.
 */
export class WorkerPace {
  private measuredAt = -Infinity
  private readonly paces = new Map<string, Pace>()
  private readonly starts = new WeakMap<Run, Measurement>()
  private readonly latest = new WeakMap<WorkerLink, { readonly at: number, readonly runs: readonly MeasuredRun[] }>()
  /** Pace on each worker of a step, also of runs that have ended. */
  private readonly byStep = new WeakMap<Step, Map<string, StepPace>>()
  /** Steps whose tasks have been seen to differ much in size on one and the same worker: they say nothing about workers. */
  private readonly unevenSteps = new WeakSet<Step>()

  private constructor () {}

  static create (): WorkerPace {
    return new WorkerPace()
  }

  // Queries

  /** Multiple of the time that others take; 1 if it isn't known. `now` is a monotonic time in milliseconds. */
  of (workerId: string, now: number): number {
    const pace = this.paces.get(workerId)
    return pace === undefined || now - pace.at > VALID_MS ? 1 : Math.exp(pace.log)
  }

  isSlow (workerId: string, now: number): boolean {
    return this.of(workerId, now) >= SLOW_FACTOR && this.paces.get(workerId)?.isConfirmed === true
  }

  /**
   * Whether a new run on another worker would end long before this one. A single task that has been given up once may be
   * slow everywhere; a gang says nothing about its workers itself.
   */
  isHopeless ({ task, percent, state, worker }: Run, now: number): boolean {
    if (state !== 'running' || task === undefined || !isMeasurable(task.step) || !this.isSlow(worker.id, now)) return false
    const mayGiveUp = task.step.spec.gang ? !task.step.avoidedWorkers.has(worker.id) : task.avoidedWorkers.isEmpty()
    return mayGiveUp && (1 - percent / 100) * this.of(worker.id, now) > RESTART_FACTOR
  }

  // Commands

  /** Measures all runs once in a while; returns the workers that were found to be slow now, none if it is not time yet. */
  measure (links: Iterable<WorkerLink>, now: number): readonly WorkerLink[] {
    if (now - this.measuredAt < MEASURE_INTERVAL_MS) return []
    this.measuredAt = now
    const byWorker = new Map<WorkerLink, readonly MeasuredRun[]>()
    for (const link of links) if (link.isAdopted) byWorker.set(link, this.measureWorker(link))
    const references = new Map<Step, StepPace | undefined>()
    const referenceOf = (step: Step) => {
      if (!references.has(step)) references.set(step, usualOf(this.byStep.get(step)))
      return references.get(step)
    }
    const compared = [...byWorker].map(([link, measured]) => ({ link, runs: measured.flatMap(run => compare(run, referenceOf(run.step))) }))
    for (const { runs } of compared) this.noteUnevenSteps(runs)
    const slow: WorkerLink[] = []
    for (const { link, runs } of compared) {
      const comparable = runs.filter(({ step }) => !this.unevenSteps.has(step))
      if (comparable.length === 0) continue
      this.update(link.id, comparable, now)
      if (this.isSlow(link.id, now)) slow.push(link)
    }
    return slow
  }

  forget (workerId: string): void {
    this.paces.delete(workerId)
  }

  private update (workerId: string, runs: readonly ComparedRun[], now: number) {
    const known = this.paces.get(workerId)
    const previous = known === undefined || now - known.at > VALID_MS ? undefined : known
    const factor = lowerMedian(runs.map(run => run.factor))
    const log = previous === undefined ? Math.log(factor) : previous.log + LATEST_WEIGHT * (Math.log(factor) - previous.log)
    const slowRuns = new Map([...previous?.slowRuns ?? []].filter(([, at]) => now - at <= VALID_MS))
    for (const run of runs) if (run.factor >= SLOW_FACTOR) slowRuns.set(runKeyOf(run.run.id, run.run.number), now)
    // A worker that was slow is found to be slow again by the one run of its trial.
    const wasSlow = known?.isConfirmed === true && known.log >= Math.log(SLOW_FACTOR)
    this.paces.set(workerId, { log, slowRuns, isConfirmed: slowRuns.size > (wasSlow ? 0 : 1), at: now })
  }

  /** Runs that are on one worker at the same time take different times because of their tasks. */
  private noteUnevenSteps (runs: readonly ComparedRun[]) {
    const fastest = new Map<Step, number>()
    for (const { step, factor } of runs) fastest.set(step, Math.min(factor, fastest.get(step) ?? Infinity))
    for (const { step, factor } of runs) if (factor >= SLOW_FACTOR * (fastest.get(step) ?? Infinity)) this.unevenSteps.add(step)
  }

  private measureWorker (link: WorkerLink): readonly MeasuredRun[] {
    const known = this.latest.get(link)
    const at = link.reportedAt()
    // The progress is known from reports, which come less often than measurements.
    if (known?.at === at) return known.runs
    const runs = [...link.runs.values()].flatMap(run => this.measureRun(run, link))
    this.latest.set(link, { at, runs })
    return runs
  }

  private measureRun (run: Run, link: WorkerLink): readonly MeasuredRun[] {
    const { task, state, percent } = run
    if (state !== 'running' || task === undefined || task.step.spec.gang || !isMeasurable(task.step) || isRemote(task.step, link)) return []
    const { step } = task
    const start = this.starts.get(run) ?? { percent: run.startPercent, at: run.startedAt, hasProgressed: false, latestPercent: run.startPercent }
    const latest = { percent, at: link.reportedAt(), hasProgressed: false, latestPercent: percent }
    if (percent < start.latestPercent) {
      // The run has begun anew, and it isn't known when.
      this.starts.set(run, latest)
      return []
    }
    const elapsedMs = latest.at - start.at
    if (elapsedMs < MIN_MEASURED_MS) return []
    const progress = percent - start.percent
    const hasProgressed = progress >= MIN_PROGRESS
    const msPerPercent = elapsedMs / Math.max(MIN_PROGRESS, progress)
    const firstProgressMs = start.hasProgressed ? this.byStep.get(step)?.get(link.id)?.firstProgressMs ?? elapsedMs : elapsedMs
    this.starts.set(run, hasProgressed && elapsedMs > MAX_MEASURED_MS ? latest : { ...start, hasProgressed, latestPercent: percent })
    if (hasProgressed) this.remember(step, link.id, { msPerPercent, firstProgressMs })
    return [{ run, step, msPerPercent, firstProgressMs, hasProgressed }]
  }

  private remember (step: Step, workerId: string, pace: StepPace) {
    const workers = this.byStep.get(step) ?? new Map<string, StepPace>()
    this.byStep.set(step, workers)
    if (workers.size < MAX_COMPARED || workers.has(workerId)) workers.set(workerId, pace)
  }
}

/** None if it isn't known how long others of the step take. */
function compare ({ run, step, msPerPercent, firstProgressMs, hasProgressed }: MeasuredRun, usual: StepPace | undefined): readonly ComparedRun[] {
  if (usual === undefined) return []
  return [{ run, step, factor: hasProgressed ? msPerPercent / usual.msPerPercent : firstProgressMs / usual.firstProgressMs }]
}

function isMeasurable ({ spec: { longRunning, usesIdleCapacity } }: Step): boolean {
  return !longRunning && !usesIdleCapacity
}

/** Whether the worker is far from the step's data, which is why its runs take longer. */
function isRemote ({ spec: { affinityRack } }: Step, { entry }: WorkerLink): boolean {
  return affinityRack !== '' && !entry.labels.includes(affinityRack)
}

/** Pace on a usual worker; undefined if too few are known. */
function usualOf (workers: ReadonlyMap<string, StepPace> | undefined): StepPace | undefined {
  if (workers === undefined || workers.size < MIN_COMPARED) return undefined
  const paces = [...workers.values()]
  return { msPerPercent: lowerMedian(paces.map(({ msPerPercent }) => msPerPercent)), firstProgressMs: lowerMedian(paces.map(({ firstProgressMs }) => firstProgressMs)) }
}

function lowerMedian (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[(values.length - 1) >> 1] ?? 0
}
