/** Bounds of the number of starts that are under way, from their planning until their confirmation. */
export interface StartWindowLimits {
  readonly initialStarts: number
  readonly minStarts: number
  readonly maxStarts: number
  /** Time from the sending of a start to its confirmation from which on the start is late, in milliseconds. */
  readonly lateMs: number
}

export interface StartWindowSettings {
  /** For each worker. */
  readonly worker: StartWindowLimits
  /** For all workers of a leader together. */
  readonly leader: StartWindowLimits
}

export const DEFAULT_START_WINDOWS: StartWindowSettings = {
  // A third of the timeout of a start.
  worker: { initialStarts: 16, minStarts: 4, maxStarts: 64, lateMs: 300 },
  // A start that is not confirmed after 150 ms is sent again. 64 starts with confirmations after 150 ms are 420 starts a second.
  leader: { initialStarts: 128, minStarts: 64, maxStarts: 1_024, lateMs: 150 }
}

/** Factor by which the window shrinks with a late confirmation. */
const DECREASE = 0.5

/**
 * Number of starts that may be under way to a worker. It grows with each confirmation and shrinks with each late one, so
 * that starts are given out as fast as the worker confirms them, and don't time out in the queue of this process.
 */
export class StartWindow {
  private size: number
  private underWay = 0

  private constructor (private readonly limits: StartWindowLimits) {
    this.size = limits.initialStarts
  }

  static create (limits: StartWindowLimits = DEFAULT_START_WINDOWS.worker): StartWindow {
    return new StartWindow(limits)
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
    const { minStarts, maxStarts, lateMs } = this.limits
    this.size = tookMs > lateMs ? Math.max(minStarts, this.size * DECREASE) : Math.min(maxStarts, this.size + 1)
  }
}
