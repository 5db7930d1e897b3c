import { performance } from 'node:perf_hooks'
import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import type { AdviceLoad } from './advice.js'
import type { WaitingSummary } from './dispatcher.js'

/** Interval between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000

export interface LoadReportOptions {
  readonly waitingSummary: () => WaitingSummary
  /** Number of live jobs that rounds pass over: their runs or the configuration that admitted them are not known yet. */
  readonly heldBackJobs: () => number
  readonly adviceLoad: () => AdviceLoad
  readonly commitsWaiting: () => number
  /** Mean lag of the event loop now, in milliseconds. */
  readonly loopLagMs: () => number
  readonly clock: Clock
  readonly log: Log
}

/**
 * Reports once a second what the leader's processor does and what waits: tells a leader without processor time from a
 * cell without capacity, from slow placement advice, and from jobs that others overtake.
 */
export class LoadReport {
  private rounds = 0
  private roundsMs = 0
  private longestRoundMs = 0
  private starts = 0
  private reportedAt: number
  private utilization = performance.eventLoopUtilization()

  private constructor (private readonly options: LoadReportOptions) {
    this.reportedAt = options.clock.now()
  }

  static create (options: LoadReportOptions): LoadReport {
    return new LoadReport(options)
  }

  recordRound (durationMs: number): void {
    this.rounds++
    this.roundsMs += durationMs
    this.longestRoundMs = Math.max(this.longestRoundMs, durationMs)
  }

  recordStarts (count: number): void {
    this.starts += count
  }

  /** Logs what happened since the last report, if that is at least an interval ago. */
  tick (): void {
    const { clock, log, waitingSummary, heldBackJobs, adviceLoad, commitsWaiting, loopLagMs } = this.options
    const elapsedMs = clock.now() - this.reportedAt
    if (elapsedMs < REPORT_INTERVAL_MS) return
    const utilization = performance.eventLoopUtilization()
    const { byQueue, byCause, excess, oldest, lasting } = waitingSummary()
    log.info('Leader load.', {
      elapsedMs: Math.round(elapsedMs),
      busyPercent: Math.round(100 * performance.eventLoopUtilization(utilization, this.utilization).utilization),
      loopLagMs: Math.round(loopLagMs()),
      rounds: this.rounds,
      roundsMs: Math.round(this.roundsMs),
      longestRoundMs: Math.round(this.longestRoundMs),
      starts: this.starts,
      waiting: byQueue,
      waitingFor: byCause,
      waitingExcess: excess,
      ...(oldest === undefined ? {} : { oldestWaiting: oldest }),
      ...(lasting === undefined ? {} : { longestWaitingLasting: lasting }),
      heldBackJobs: heldBackJobs(),
      advice: adviceLoad(),
      commitsWaiting: commitsWaiting()
    })
    this.utilization = utilization
    this.reportedAt = clock.now()
    this.rounds = 0
    this.roundsMs = 0
    this.longestRoundMs = 0
    this.starts = 0
  }
}
