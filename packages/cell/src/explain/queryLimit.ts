import type { Clock } from '@citronnotch/base/clock'

const WINDOW_MS = 1_000
/** Queries admitted in a second: each takes a look at all workers and all live jobs. */
const MAX_IN_WINDOW = 4

/** Bounds what queries cost. */
export class QueryLimit {
  private admittedAt: readonly number[] = []

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): QueryLimit {
    return new QueryLimit(clock)
  }

  /** Admits a query and returns 0, or returns the time after which one is admitted, in milliseconds. */
  take (): number {
    const now = this.clock.now()
    this.admittedAt = this.admittedAt.filter(at => now - at < WINDOW_MS)
    const [oldest = now] = this.admittedAt
    if (this.admittedAt.length >= MAX_IN_WINDOW) return WINDOW_MS - (now - oldest)
    this.admittedAt = [...this.admittedAt, now]
    return 0
  }
}
