import { DEFAULT_START_WINDOWS } from './startWindow.js'
import type { StartWindowLimits } from './startWindow.js'

/** Share of the window that only narrow steps may use. */
const NARROW_SHARE = 0.25
/** Confirmations by which the window is judged; single slow workers must not shrink it. */
const SAMPLE = 32
/** Factor by which the window shrinks when more than half of a sample is late. */
const DECREASE = 0.7
/** Starts by which the window grows while as many are confirmed as it holds, once it has shrunk; before, it doubles. */
const GROWTH = 8
/** Share of the window that must be in use for confirmations to show that a larger one would be borne. */
const USED_SHARE = 0.5
/** Share of the window below which a round begins after starts were put off. A round for each confirmation would cost more than it starts. */
const RESUME_SHARE = 0.5

/**
 * Number of starts that a leader may have under way to all of its workers. What exceeds it stays planned, in the order of
 * priority, without tickets. A step is narrow if its waiting tasks fit into the share that only narrow steps may use:
 * with that share a small job doesn't wait until the starts of a wide one are confirmed.
 */
export class LeaderStartWindow {
  private size: number
  private wideUnderWay = 0
  private narrowUnderWay = 0
  private confirmations = 0
  private lateConfirmations = 0
  /** Confirmations of starts that were under way when the window shrank; they don't count again. */
  private toIgnore = 0
  private hasShrunk = false
  private hasPutOff = false

  private constructor (private readonly limits: StartWindowLimits) {
    this.size = limits.initialStarts
  }

  static create (limits: StartWindowLimits = DEFAULT_START_WINDOWS.leader): LeaderStartWindow {
    return new LeaderStartWindow(limits)
  }

  // Queries

  underWay (): number {
    return this.wideUnderWay + this.narrowUnderWay
  }

  isNarrow (waitingTasks: number): boolean {
    return waitingTasks <= this.narrowStarts()
  }

  /** Number of starts that a step with this many waiting tasks may begin now. */
  roomFor (waitingTasks: number): number {
    const size = Math.floor(this.size)
    const free = size - this.underWay()
    if (!this.isNarrow(waitingTasks)) return Math.max(0, free - Math.max(0, this.narrowStarts() - this.narrowUnderWay))
    // A gang begins as a whole and can exceed the window, which must not hold up narrow steps.
    return Math.max(0, free, this.narrowStarts() - this.narrowUnderWay)
  }

  // Commands

  /** Records that starts have been put off because the window is full. */
  putOff (): void {
    this.hasPutOff = true
  }

  begin (isNarrow: boolean): void {
    if (isNarrow) this.narrowUnderWay++
    else this.wideUnderWay++
  }

  /**
   * `tookMs`: time from the sending of the start until its confirmation; undefined if there was none. Returns whether
   * starts that were put off can go on.
   */
  end (isNarrow: boolean, tookMs: number | undefined): boolean {
    if (isNarrow) this.narrowUnderWay--
    else this.wideUnderWay--
    if (tookMs !== undefined) this.recordConfirmation(tookMs)
    if (!this.hasPutOff || this.underWay() > RESUME_SHARE * this.size) return false
    this.hasPutOff = false
    return true
  }

  private narrowStarts (): number {
    return Math.floor(NARROW_SHARE * this.size)
  }

  private recordConfirmation (tookMs: number) {
    const { minStarts, maxStarts, lateMs } = this.limits
    if (this.toIgnore > 0) {
      this.toIgnore--
      return
    }
    this.confirmations++
    if (tookMs > lateMs) this.lateConfirmations++
    else if (this.underWay() >= USED_SHARE * this.size) this.size = Math.min(maxStarts, this.size + (this.hasShrunk ? GROWTH / this.size : 1))
    if (this.confirmations < SAMPLE) return
    if (2 * this.lateConfirmations > this.confirmations) {
      this.size = Math.max(minStarts, this.size * DECREASE)
      this.hasShrunk = true
      this.toIgnore = this.underWay()
    }
    this.confirmations = 0
    this.lateConfirmations = 0
  }
}
