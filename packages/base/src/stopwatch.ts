import type { Clock } from './clock.js'

/**
 * Time since an event, as the larger of the monotonic and the wall clock's. The monotonic clock may
 * stop while a VM is frozen and the wall clock may step back, so neither is enough alone. The result
 * never decreases: a wall clock step can end a validity early but not revive it.
 */
export class Stopwatch {
  private largestMs = 0

  private constructor (
    private readonly clock: Clock,
    /** Monotonic time of the event. */
    readonly startedAt: number,
    private readonly wallStartMs: number
  ) {}

  static start (clock: Clock): Stopwatch {
    return new Stopwatch(clock, clock.now(), clock.date().getTime())
  }

  elapsedMs (): number {
    const monotonicMs = this.clock.now() - this.startedAt
    const wallMs = this.clock.date().getTime() - this.wallStartMs
    this.largestMs = Math.max(this.largestMs, monotonicMs, wallMs)
    return this.largestMs
  }
}
