/** Starts that may be under way to a worker at first, at least and at most. */
const INITIAL_STARTS = 16
const MIN_STARTS = 4
const MAX_STARTS = 64
/** Time to the confirmation of a start from which on the worker, or the way to it, is behind: a third of the timeout, in milliseconds. */
const SLOW_MS = 300
/** Factor by which the window shrinks with a late confirmation. */
const DECREASE = 0.5

/**
 * Number of starts that may be under way to a worker. It grows with each confirmation and shrinks with each late one, so
 * that starts are given out as fast as the worker confirms them, and don't time out in the queue of this process.
 */
export class StartWindow {
  private size = INITIAL_STARTS
  private underWay = 0

  private constructor () {}

  static create (): StartWindow {
    return new StartWindow()
  }

  isFull (): boolean {
    return this.underWay >= Math.floor(this.size)
  }

  begin (): void {
    this.underWay++
  }

  /** `tookMs`: time from the start until its confirmation; undefined if there was none. */
  end (tookMs: number | undefined): void {
    this.underWay--
    if (tookMs === undefined) return
    this.size = tookMs > SLOW_MS ? Math.max(MIN_STARTS, this.size * DECREASE) : Math.min(MAX_STARTS, this.size + 1)
  }
}
