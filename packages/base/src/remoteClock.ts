import type { Clock } from './clock.js'

/** Bounds of a reading of another steady clock, in its milliseconds. */
export interface ClockBounds {
  readonly earliest: number
  readonly latest: number
}

/** Follows the steady clock of a server by the readings in its answers. */
export class RemoteClock {
  private reading: { readonly valueMs: number, readonly sentAt: number, readonly receivedAt: number } | undefined

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): RemoteClock {
    return new RemoteClock(clock)
  }

  /** Takes a reading from the answer to a request that was sent at a monotonic time of this process. */
  observe (valueMs: number, sentAt: number): void {
    if (this.reading === undefined || sentAt >= this.reading.sentAt) this.reading = { valueMs, sentAt, receivedAt: this.clock.now() }
  }

  /** Bounds of the server's clock now; undefined before the first reading. A suspension of this process makes them early. */
  now (): ClockBounds | undefined {
    if (this.reading === undefined) return undefined
    const { valueMs, sentAt, receivedAt } = this.reading
    const now = this.clock.now()
    return { earliest: valueMs + now - receivedAt, latest: valueMs + now - sentAt }
  }
}
