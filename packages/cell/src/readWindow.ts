/** Reads under way at first, and the bounds of the window. */
const INITIAL_READS = 32
const MIN_READS = 2
const MAX_READS = 64
/** An answer that takes longer shows that reads wait for each other, on a narrow link or in a slow store. */
const CROWDED_MS = 500

/**
 * Number of reads that a new leader keeps under way: grows with every quick answer and halves when answers are lost
 * or slow, so that reading the state leaves room for the renewal of the lease.
 */
export class ReadWindow {
  private limit = INITIAL_READS
  private reading = 0
  /** Answers to come from reads that were sent before the window was halved. */
  private unjudged = 0

  private constructor () {}

  static create (): ReadWindow {
    return new ReadWindow()
  }

  size (): number {
    return Math.floor(this.limit)
  }

  hasRoom (): boolean {
    return this.reading < this.size()
  }

  sent (): void {
    this.reading++
  }

  answered (isComplete: boolean, tookMs: number): void {
    this.reading--
    if (this.unjudged > 0) {
      this.unjudged--
      return
    }
    if (isComplete && tookMs < CROWDED_MS) {
      this.limit = Math.min(MAX_READS, this.limit + 1)
      return
    }
    this.limit = Math.max(MIN_READS, this.limit / 2)
    this.unjudged = this.reading
  }
}
