/** Delay before a scheduling round, so that events in quick succession share one, in milliseconds. */
const ROUND_DELAY_MS = 5
/** Largest share of the processor that rounds may take; heartbeats, starts and commits need the rest. */
const MAX_ROUND_SHARE = 0.2
/** The same while messages wait for the processor. */
const MAX_ROUND_SHARE_WHILE_BUSY = 0.1
/** Maximum delay before a round, however long the last one took, in milliseconds. */
const MAX_ROUND_DELAY_MS = 100

/**
 * Spaces scheduling rounds by what they cost. Each finished run asks for a round, so that without a limit expensive
 * rounds follow one another, and the messages that would end the backlog wait for the processor.
 */
export class RoundPacer {
  private lastDurationMs = 0
  private lastEndedAt = -Infinity

  private constructor () {}

  static create (): RoundPacer {
    return new RoundPacer()
  }

  /** Delay from now until the next round, in milliseconds; `now` is a monotonic time, `isBusy` whether messages wait. */
  delayMs (now: number, isBusy = false): number {
    const share = isBusy ? MAX_ROUND_SHARE_WHILE_BUSY : MAX_ROUND_SHARE
    const pauseMs = Math.min(MAX_ROUND_DELAY_MS, this.lastDurationMs * (1 / share - 1))
    return Math.max(ROUND_DELAY_MS, this.lastEndedAt + pauseMs - now)
  }

  recordRound (startedAt: number, endedAt: number): void {
    this.lastDurationMs = endedAt - startedAt
    this.lastEndedAt = endedAt
  }
}
