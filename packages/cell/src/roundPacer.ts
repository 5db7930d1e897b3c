/** Delay before a scheduling round, so that events in quick succession share one, in milliseconds. */
const ROUND_DELAY_MS = 5
/** Largest share of the processor that rounds may take; heartbeats, starts and commits need the rest. */
const MAX_ROUND_SHARE = 0.2
/** The same while the processor is overloaded. */
const MAX_ROUND_SHARE_WHILE_OVERLOADED = 0.1
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

  /** Delay from now until the next round, in milliseconds; `now` is a monotonic time, `isOverloaded` whether messages wait for long. */
  delayMs (now: number, isOverloaded = false): number {
    const share = isOverloaded ? MAX_ROUND_SHARE_WHILE_OVERLOADED : MAX_ROUND_SHARE
    const pauseMs = Math.min(MAX_ROUND_DELAY_MS, this.lastDurationMs * (1 / share - 1))
    return Math.max(ROUND_DELAY_MS, this.lastEndedAt + pauseMs - now)
  }

  recordRound (startedAt: number, endedAt: number): void {
    this.lastDurationMs = endedAt - startedAt
    this.lastEndedAt = endedAt
  }
}
