import type { Clock } from '@citronnotch/base/clock'
import type { CrashEvidence, Step } from './jobs.js'
import type { EndedIncarnation, UnsettledRun, WorkerLink } from './workerLink.js'

/** Time between the losses of workers that may have one cause, in milliseconds. */
const SAME_MOMENT_MS = 150
/** Time for which the crash of a worker is kept, in milliseconds: others that were lost at the same moment may be back much later. */
const RECENT_MS = 15_000
/** Share of the workers whose loss at the same moment is an outage, and bounds of their number. */
const OUTAGE_SHARE = 0.25
const MIN_OUTAGE_WORKERS = 1
const MAX_OUTAGE_WORKERS = 3

export interface CrashEvidenceFinderOptions {
  readonly workers: () => Iterable<WorkerLink>
  readonly clock: Clock
}

/** A worker that was lost, and the steps with runs there. */
interface Loss {
  readonly workerId: string
  readonly lostAt: number
  readonly steps: ReadonlySet<Step | undefined>
}

/**
 * Tells crashes that a task may have caused from outages, in which unrelated workers are lost at the same moment. Workers
 * with tasks of the same step are not unrelated, as such tasks crash their workers side by side.
 */
export class CrashEvidenceFinder {
  /** Crashes of the last moments, whose workers may be reachable again. */
  private recentCrashes: readonly Loss[] = []

  private constructor (private readonly options: CrashEvidenceFinderOptions) {}

  static create (options: CrashEvidenceFinderOptions): CrashEvidenceFinder {
    return new CrashEvidenceFinder(options)
  }

  /** Evidence of a crash under these runs, which also counts for those of the same moment. */
  evidenceOf ({ id, lostAt }: EndedIncarnation, runs: readonly UnsettledRun[]): CrashEvidence {
    const steps = new Set(runs.map(run => run.task?.step))
    const loss = { workerId: id, lostAt, steps }
    const isUnrelated = (other: Loss) => other.workerId !== id && Math.abs(other.lostAt - lostAt) <= SAME_MOMENT_MS && ![...other.steps].some(step => steps.has(step))
    const unrelated = new Set([...this.lostWorkers(), ...this.recentCrashes].filter(isUnrelated).map(({ workerId }) => workerId))
    const isOutage = unrelated.size >= this.outageWorkers()
    this.record(loss)
    return { isAlone: steps.size === 1 && !isOutage, isOutage }
  }

  /** Workers that are lost now: they may have crashed, which is known once they are back. */
  private * lostWorkers (): Iterable<Loss> {
    for (const worker of this.options.workers()) {
      const lostAt = worker.lostAt()
      if (lostAt !== undefined) yield { workerId: worker.id, lostAt, steps: new Set([...worker.runs.values()].map(run => run.task?.step)) }
    }
  }

  private outageWorkers (): number {
    const share = Math.ceil(OUTAGE_SHARE * [...this.options.workers()].length)
    return Math.min(MAX_OUTAGE_WORKERS, Math.max(MIN_OUTAGE_WORKERS, share))
  }

  private record (loss: Loss) {
    const oldest = this.options.clock.now() - RECENT_MS
    this.recentCrashes = [...this.recentCrashes.filter(({ lostAt }) => lostAt >= oldest), loss]
  }
}
