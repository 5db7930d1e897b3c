import type { Step } from './jobs.js'
import { add, fits } from './resources.js'
import type { ResourceVector } from './types.js'
import type { WorkerLink } from './workerLink.js'

/** Time for which a lasting step waits before a worker is kept free for it, in milliseconds. */
const LASTING_PATIENCE_MS = 2_000
/** Time after which not even work of higher priority may use that worker, in milliseconds: within 6 s a lasting task must run again (RULES, LOST). */
const URGENT_AFTER_MS = 6_000
/** Fraction of the workers, and minimum number, that are kept free for lasting steps at the same time. */
const KEPT_FRACTION = 0.1
const MIN_KEPT_WORKERS = 1
/** Time for which a worker is kept free before another lasting step that waits has its turn, in milliseconds. */
const MAX_KEPT_MS = 15_000
/** Time for which a run is expected to take its room if nothing is known of its duration, in milliseconds. */
const UNKNOWN_DURATION_MS = 10_000
/** Number of workers that searches may examine per millisecond of elapsed time, and at most at once: each search examines all workers, for some microseconds each. */
const EXAMINED_PER_MS = 20
const MAX_EXAMINED = 800

/** A lasting step that waits, and the workers that it may use once they have room. */
export interface WaitingLastingStep {
  readonly step: Step
  /** These workers, the preferred ones first in one group; asked for only if a worker is to be chosen. */
  readonly workers: () => ReadonlyArray<readonly WorkerLink[]>
  /** Whether a worker is still one of them. */
  readonly mayUse: (worker: WorkerLink) => boolean
}

export interface KeptWorker {
  readonly step: Step
  readonly worker: WorkerLink
  /** Whether work of any priority leaves the worker free, or only that of lower priority. */
  readonly isUrgent: boolean
}

interface Keeping {
  readonly worker: WorkerLink
  /** Monotonic time in milliseconds since which it is kept. */
  readonly since: number
}

/**
 * Keeps workers free for lasting steps that wait: small tasks would fill each gap before there is room for a large one, and
 * a lasting step has no objective that could make it late. A worker stays kept for its step from round to round.
 */
export class KeptWorkers {
  /** Monotonic times in milliseconds since which steps have had tasks that wait. */
  private waitingSince: ReadonlyMap<Step, number> = new Map()
  private readonly kept = new Map<Step, Keeping>()
  /** Monotonic times in milliseconds at which the latest turns of steps ended. */
  private readonly turnEndedAt = new WeakMap<Step, number>()
  /** Monotonic times in milliseconds at which no worker was found for steps. */
  private readonly searchedAt = new WeakMap<Step, number>()
  /** Number of workers that searches may examine, as of the monotonic time `budgetAt`; negative after a search of more than that. */
  private searchBudget = MAX_EXAMINED
  private budgetAt = -Infinity

  private constructor () {}

  static create (): KeptWorkers {
    return new KeptWorkers()
  }

  /** Chooses the workers that are kept free in a round, of a cell with `total` workers; `now` is a monotonic time in milliseconds. */
  choose (waiting: readonly WaitingLastingStep[], total: number, now: number): readonly KeptWorker[] {
    this.waitingSince = new Map(waiting.map(({ step }) => [step, this.waitingSince.get(step) ?? now]))
    const patient = waiting.filter(({ step }) => this.waitedMs(step, now) >= LASTING_PATIENCE_MS)
    this.endTurns(patient, now)
    const limit = Math.max(MIN_KEPT_WORKERS, Math.floor(KEPT_FRACTION * total))
    this.searchBudget = Math.min(MAX_EXAMINED, this.searchBudget + EXAMINED_PER_MS * (now - this.budgetAt))
    this.budgetAt = now
    if (this.kept.size < limit && this.searchBudget > 0) this.search(this.inOrder(patient, now), total, limit, now)
    return [...this.kept].map(([step, { worker }]) => ({ step, worker, isUrgent: this.waitedMs(step, now) >= URGENT_AFTER_MS }))
  }

  /** Chooses workers for some of these steps; rounds are so frequent that each can't search for all of them. */
  private search (steps: readonly WaitingLastingStep[], total: number, limit: number, now: number) {
    for (const { step, workers } of steps) {
      if (this.kept.size >= limit || this.searchBudget <= 0) return
      this.searchBudget -= total
      const worker = this.firstFree(step, workers(), now)
      if (worker === undefined) this.searchedAt.set(step, now)
      else this.kept.set(step, { worker, since: now })
    }
  }

  private waitedMs (step: Step, now: number): number {
    return now - (this.waitingSince.get(step) ?? now)
  }

  private endTurns (patient: readonly WaitingLastingStep[], now: number) {
    const byStep = new Map(patient.map(waiting => [waiting.step, waiting]))
    const areOthersWaiting = patient.some(({ step }) => !this.kept.has(step))
    for (const [step, { worker, since }] of [...this.kept]) {
      const isOver = areOthersWaiting && now - since >= MAX_KEPT_MS
      if (!isOver && byStep.get(step)?.mayUse(worker) === true && roomIn(step.need, worker, now) < Infinity) continue
      this.kept.delete(step)
      if (isOver) this.turnEndedAt.set(step, now)
    }
  }

  /** Those without a worker: first those that have had neither a turn nor a search in vain, the longest waiting of them first; then the others in the order of the latest of these. */
  private inOrder (patient: readonly WaitingLastingStep[], now: number): readonly WaitingLastingStep[] {
    return patient.filter(({ step }) => !this.kept.has(step))
      .map(waiting => ({ waiting, triedAt: Math.max(this.turnEndedAt.get(waiting.step) ?? 0, this.searchedAt.get(waiting.step) ?? 0), waitedMs: this.waitedMs(waiting.step, now) }))
      .sort((a, b) => a.triedAt - b.triedAt || b.waitedMs - a.waitedMs)
      .map(({ waiting }) => waiting)
  }

  /** The worker of the first group with any that will have room for a task, by when it has room; undefined if none will. */
  private firstFree (step: Step, groups: ReadonlyArray<readonly WorkerLink[]>, now: number): WorkerLink | undefined {
    const taken = new Set([...this.kept.values()].map(({ worker }) => worker))
    for (const group of groups) {
      const [first] = group.filter(worker => !taken.has(worker)).map(worker => ({ worker, inMs: roomIn(step.need, worker, now) })).filter(({ inMs }) => inMs < Infinity).sort((a, b) => a.inMs - b.inMs)
      if (first !== undefined) return first.worker
    }
    return undefined
  }
}

/** Time until enough runs are expected to have ended, in milliseconds; Infinity if lasting runs take too much. */
function roomIn (need: ResourceVector, worker: WorkerLink, now: number): number {
  const ends = [...worker.runs.values()].flatMap(({ task, percent, startedAt }) => {
    if (task === undefined || task.step.spec.longRunning) return []
    const elapsedMs = now - startedAt
    const { estimateMs } = task.step.spec
    const expectedMs = percent > 0 ? elapsedMs * 100 / percent : estimateMs > 0 ? estimateMs : UNKNOWN_DURATION_MS
    return { need: task.step.need, inMs: Math.max(0, expectedMs - elapsedMs) }
  }).sort((a, b) => a.inMs - b.inMs)
  let free = worker.freeCapacity()
  let inMs = 0
  for (const end of ends) {
    if (fits(need, free)) return inMs
    free = add(free, end.need)
    inMs = end.inMs
  }
  return fits(need, free) ? inMs : Infinity
}
