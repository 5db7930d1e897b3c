import type { Clock } from './clock.js'
import type { Stopwatch } from './stopwatch.js'

/** Bounds of the current time of a remote monotonic clock, in its milliseconds. */
export interface ClockBounds {
  readonly earliest: number
  readonly latest: number
}

/** Estimates the monotonic clock of a server from the readings in its responses. */
export class RemoteClock {
  private reading: { readonly valueMs: number, readonly sinceRequest: Stopwatch, readonly receivedAtMs: number } | undefined

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): RemoteClock {
    return new RemoteClock(clock)
  }

  /**
   * Records a reading from a response that has just arrived. `sinceRequest` was started when the request
   * was sent. A reading is ignored if its request was sent before the request of the current reading.
   */
  observe (valueMs: number, sinceRequest: Stopwatch): void {
    if (this.reading === undefined || sinceRequest.elapsedMs() <= this.reading.sinceRequest.elapsedMs()) this.reading = { valueMs, sinceRequest, receivedAtMs: this.clock.now() }
  }

  /** Bounds of the server's clock now, valid even after a suspension of this VM; undefined before the first reading. */
  now (): ClockBounds | undefined {
    if (this.reading === undefined) return undefined
    const { valueMs, sinceRequest, receivedAtMs } = this.reading
    return { earliest: valueMs + this.clock.now() - receivedAtMs, latest: valueMs + sinceRequest.elapsedMs() }
  }
}
