import type { CancelTimer, Clock } from '@citronnotch/base/clock'

/** Interval between two samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 25
/** Number of samples that count, of about half a second. */
const SAMPLES = 20
/**
 * Mean lag from which on work that can wait is put off, in milliseconds. A short job passes the loop about six times
 * on its way, so that it loses a fifth of the half second that it has beyond its work.
 */
const MAX_LAG_MS = 15

/** Mean lag from which on urgent jobs are late by it alone, in milliseconds: most of the half second is lost. */
const OVERLOADED_LAG_MS = 60

/** How late the event loop of this process is: the time for which a message that has arrived waits for it. */
export class LoopLag {
  private readonly lags: number[] = []
  private cancel: CancelTimer = () => {}

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): LoopLag {
    return new LoopLag(clock)
  }

  // Queries

  /** Mean of the latest samples, in milliseconds. */
  meanMs (): number {
    return this.lags.length === 0 ? 0 : this.lags.reduce((sum, lag) => sum + lag, 0) / this.lags.length
  }

  isHigh (): boolean {
    return this.meanMs() >= MAX_LAG_MS
  }

  isVeryHigh (): boolean {
    return this.meanMs() >= OVERLOADED_LAG_MS
  }

  // Commands

  /** Samples until `stop` is called. */
  start (): void {
    const dueAt = this.clock.now() + SAMPLE_INTERVAL_MS
    this.cancel = this.clock.after(SAMPLE_INTERVAL_MS, () => {
      this.lags.push(Math.max(0, this.clock.now() - dueAt))
      if (this.lags.length > SAMPLES) this.lags.shift()
      this.start()
    })
  }

  stop (): void {
    this.cancel()
  }
}
