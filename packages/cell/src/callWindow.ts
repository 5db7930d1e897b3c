export interface CallWindowOptions {
  /** Number of concurrent calls at first, and at most. */
  readonly initial: number
  readonly max: number
  /** Time to an answer from which on calls queue behind each other, on a narrow link or in a slow store, in milliseconds. */
  readonly congestedMs: number
}

/** Minimum number of concurrent calls, so that the window can grow again. */
const MIN_CALLS = 2

/** For the reads of a new leader: most partitions at once, unless they delay the renewal of the lease. */
export const LOAD_WINDOW: CallWindowOptions = { initial: 32, max: 64, congestedMs: 500 }

/**
 * Congestion window for calls to the store: grows by one with every fast answer and halves when an answer is lost or
 * slow, so that a rush of calls leaves bandwidth for the renewal of the lease.
 */
export class CallWindow {
  private limit: number
  private inFlight = 0
  /** Outstanding answers to calls that were sent before the window was halved; they don't change it again. */
  private answersToIgnore = 0

  private constructor (private readonly options: CallWindowOptions) {
    this.limit = options.initial
  }

  static create (options: CallWindowOptions): CallWindow {
    return new CallWindow(options)
  }

  size (): number {
    return Math.floor(this.limit)
  }

  hasCapacity (): boolean {
    return this.inFlight < this.size()
  }

  recordSent (): void {
    this.inFlight++
  }

  /** Ends a call whose outcome says nothing about congestion. */
  recordSkipped (): void {
    this.inFlight--
  }

  recordAnswer (isSuccess: boolean, tookMs: number): void {
    this.inFlight--
    if (this.answersToIgnore > 0) {
      this.answersToIgnore--
      return
    }
    if (isSuccess && tookMs < this.options.congestedMs) {
      this.limit = Math.min(this.options.max, this.limit + 1)
      return
    }
    this.limit = Math.max(MIN_CALLS, this.limit / 2)
    this.answersToIgnore = this.inFlight
  }
}
