import type { Clock } from './clock.js'
import type { Stopwatch } from './stopwatch.js'

/** Bounds of a reading of another steady clock, in its milliseconds. */
export interface ClockBounds {
  readonly earliest: number
  readonly latest: number
}

/** Follows the steady clock of a server by the readings in its answers. */
export class RemoteClock {
  private reading: { readonly valueMs: number, readonly sent: Stopwatch, readonly receivedAt: number } | undefined

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): RemoteClock {
    return new RemoteClock(clock)
  }

  /** Takes a reading from an answer that has just arrived; `sent` was started when the request was sent. */
  observe (valueMs: number, sent: Stopwatch): void {
    if (this.reading === undefined || sent.elapsedMs() <= this.reading.sent.elapsedMs()) this.reading = { valueMs, sent, receivedAt: this.clock.now() }
  }

  /** Bounds of the server's clock now, also after a suspension of this VM; undefined before the first reading. */
  now (): ClockBounds | undefined {
    if (this.reading === undefined) return undefined
    const { valueMs, sent, receivedAt } = this.reading
    return { earliest: valueMs + this.clock.now() - receivedAt, latest: valueMs + sent.elapsedMs() }
  }
}
