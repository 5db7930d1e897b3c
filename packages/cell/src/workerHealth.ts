import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import type { Run } from './jobs.js'
import type { WorkerLink } from './workerLink.js'
import { WorkerPace } from './workerPace.js'

/** Number of different jobs that must fail on a worker, with no run done in between, to suspend it. */
const SUSPEND_AFTER_JOBS = 2
const INITIAL_SUSPENSION_MS = 2_000
/** Time for which a worker is suspect after a failure, so that others are preferred; a run that is done ends it early. */
const SUSPECT_MS = 3_000
const MAX_SUSPENSION_MS = 10_000
/** Time for which an interruption counts: workers that flap were seen to be up for 1.4 s at a time. */
const INTERRUPTION_WINDOW_MS = 10_000
/** Time without contact from which on it counts as an interruption; a worker that is adopted again after a lost answer is back sooner. */
const LOST_MS = 500
/** Maximum time of a trial, in milliseconds: the first run may last for good, or there may be none. */
const MAX_TRIAL_MS = 3_000
/** Fraction of the workers from which on interruptions have a common cause, such as a lost network, and say nothing about a single worker. */
const COMMON_CAUSE_SHARE = 0.25

interface WorkerHistory {
  readonly failedJobs: Set<string>
  /** Monotonic times at which the worker came back after a crash or a time without contact. */
  interruptedAt: readonly number[]
  /** Monotonic time of the last failed run; -Infinity when none has failed. */
  failedAt: number
  /** Duration of the next suspension, in milliseconds. */
  suspensionMs: number
  /** Monotonic time at which the suspension ends. */
  suspendedUntil: number
  /** Whether a run that is done ends the suspension. */
  endsWithSuccess: boolean
  /** Monotonic time at which the worker gets its full load again, unless a run is done there before. */
  onTrialUntil: number
}

/**
 * Suspends workers on which runs of several jobs fail, a run stalls, or which are slow or interrupted again and again, each
 * time for longer. A slow or interrupted worker is on trial afterwards, until a run is done there.
 */
export class WorkerHealth {
  private readonly histories = new Map<string, WorkerHistory>()
  /** Workers that are not reachable. */
  private readonly lost = new Set<string>()
  private readonly pace = WorkerPace.create()

  private constructor (private readonly clock: Clock, private readonly log: Log, private readonly workerCount: () => number) {}

  /** `workerCount`: number of workers of the cell. */
  static create (clock: Clock, log: Log, workerCount = () => Infinity): WorkerHealth {
    return new WorkerHealth(clock, log, workerCount)
  }

  isSuspended (workerId: string, now = this.clock.now()): boolean {
    return (this.histories.get(workerId)?.suspendedUntil ?? 0) > now
  }

  /** Whether a run failed on the worker recently and none has been done since. */
  isSuspect (workerId: string, now = this.clock.now()): boolean {
    const failedAt = this.histories.get(workerId)?.failedAt
    return failedAt !== undefined && now - failedAt < SUSPECT_MS
  }

  /** Whether the worker has been slow or interrupted and no run has been done there since. */
  isOnTrial (workerId: string): boolean {
    const history = this.histories.get(workerId)
    return history !== undefined && history.onTrialUntil > this.clock.now()
  }

  /** Whether the run is on a slow worker and a new one elsewhere would end long before it. */
  isHopeless (run: Run): boolean {
    return this.pace.isHopeless(run, this.clock.now())
  }

  /** Looks at all workers: at their contact, and now and then at the progress of their runs. */
  observe (links: readonly WorkerLink[]): void {
    for (const link of links) if (link.reportedAt() > 0) this.observeContact(link.id, link.unreachableMs())
    for (const link of this.pace.measure(links, this.clock.now())) this.recordSlowness(link.id)
  }

  recordSuccess (workerId: string): void {
    const history = this.histories.get(workerId)
    if (history === undefined) return
    history.failedJobs.clear()
    history.failedAt = -Infinity
    if (history.endsWithSuccess) history.suspendedUntil = 0
    if (this.isSuspended(workerId)) return
    history.onTrialUntil = 0
    if (this.interruptionsOf(history).length === 0) this.histories.delete(workerId)
  }

  /** Each job counts once, so that a job that always fails doesn't suspend a worker. */
  recordFailure (workerId: string, jobId: string): void {
    const history = this.historyOf(workerId)
    history.failedJobs.add(jobId)
    history.failedAt = this.clock.now()
    if (history.failedJobs.size >= SUSPEND_AFTER_JOBS) this.suspend(workerId, 'fails what it starts', { endsWithSuccess: true })
  }

  /** Suspends the worker because one of its runs makes no progress. */
  recordStall (workerId: string): void {
    if (!this.isSuspended(workerId)) this.suspend(workerId, 'makes no progress', { endsWithSuccess: true })
  }

  /** Suspends the worker because its runs take far longer than others of the same steps. */
  recordSlowness (workerId: string): void {
    if (!this.isSuspended(workerId)) this.suspend(workerId, 'is slow')
  }

  /**
   * The worker has restarted. After a crash it is on trial, and suspended if that happens again and again; after a leave
   * that it had announced it counts as new.
   */
  recordRestart (workerId: string, hasAnnouncedLeave: boolean): void {
    this.pace.forget(workerId)
    if (hasAnnouncedLeave) return this.forget(workerId)
    this.recordInterruption(workerId)
    if (!this.isCauseCommon()) this.putOnTrial(this.historyOf(workerId))
  }

  /** Takes note of the time for which a worker that has reported before has not been reachable, in milliseconds. */
  observeContact (workerId: string, unreachableMs: number): void {
    if (unreachableMs > LOST_MS) this.lost.add(workerId)
    else if (unreachableMs === 0 && this.lost.delete(workerId)) this.recordInterruption(workerId)
  }

  /** One interruption may be chance; with each further one the worker is suspended for longer. */
  private recordInterruption (workerId: string) {
    const history = this.historyOf(workerId)
    this.lost.delete(workerId)
    history.interruptedAt = [...this.interruptionsOf(history), this.clock.now()]
    const earlier = history.interruptedAt.length - 1
    if (earlier > 0 && !this.isCauseCommon()) this.suspend(workerId, 'is interrupted again and again', { forMs: Math.min(INITIAL_SUSPENSION_MS * 2 ** (earlier - 1), MAX_SUSPENSION_MS) })
  }

  forget (workerId: string): void {
    this.lost.delete(workerId)
    this.pace.forget(workerId)
    this.histories.delete(workerId)
  }

  private suspend (workerId: string, reason: string, { forMs, endsWithSuccess = false }: { readonly forMs?: number, readonly endsWithSuccess?: boolean } = {}) {
    const history = this.historyOf(workerId)
    const suspensionMs = forMs ?? history.suspensionMs
    history.endsWithSuccess = endsWithSuccess && (history.endsWithSuccess || !this.isSuspended(workerId))
    history.suspendedUntil = Math.max(history.suspendedUntil, this.clock.now() + suspensionMs)
    if (!history.endsWithSuccess) this.putOnTrial(history)
    this.log.warn('Worker suspended.', { worker: workerId, reason, failedJobs: history.failedJobs.size, interruptions: history.interruptedAt.length, forMs: suspensionMs })
    history.suspensionMs = Math.min(2 * suspensionMs, MAX_SUSPENSION_MS)
    // Placeholders stand for all but one of the jobs that must fail, so that the next failed run suspends the worker again.
    const [lastJobId] = [...history.failedJobs].slice(-1)
    history.failedJobs.clear()
    for (let i = 1; i < SUSPEND_AFTER_JOBS; i++) history.failedJobs.add(`${lastJobId ?? ''}/${i}`)
  }

  private putOnTrial (history: WorkerHistory) {
    history.onTrialUntil = Math.max(this.clock.now(), history.suspendedUntil) + MAX_TRIAL_MS
  }

  private isCauseCommon (): boolean {
    const interrupted = [...this.histories.values()].filter(history => this.interruptionsOf(history).length > 0).length
    return interrupted > Math.max(1, COMMON_CAUSE_SHARE * this.workerCount())
  }

  private interruptionsOf ({ interruptedAt }: WorkerHistory): readonly number[] {
    return interruptedAt.filter(at => this.clock.now() - at < INTERRUPTION_WINDOW_MS)
  }

  private historyOf (workerId: string): WorkerHistory {
    const history = this.histories.get(workerId) ?? { failedJobs: new Set<string>(), interruptedAt: [], failedAt: -Infinity, suspensionMs: INITIAL_SUSPENSION_MS, suspendedUntil: 0, endsWithSuccess: false, onTrialUntil: 0 }
    this.histories.set(workerId, history)
    return history
  }
}
