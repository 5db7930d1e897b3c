import type { Clock } from './clock.js'

/**
 * Measures the time since an event, as the larger of the differences of the monotonic and the wall
 * clock. The monotonic clock may stop while a VM is suspended and the wall clock may step back, so
 * neither is enough alone. The result never decreases: a step of the wall clock can end a validity
 * period early, but cannot restore one that has ended.
 */
export class Stopwatch {
  private maxElapsedMs = 0

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
    this.maxElapsedMs = Math.max(this.maxElapsedMs, monotonicMs, wallMs)
    return this.maxElapsedMs
  }
}
