import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'

/** Failed calls in a row after which the store may count as away. */
const FAILURES_TO_AWAY = 2
/** Time without an answer after which it does; a slow store answers some call sooner than that. */
const SILENCE_TO_AWAY_MS = 1_000

/** Whether the store answers this daemon, from the outcome of every call. */
export class StoreHealth {
  private failures = 0
  private answeredAt = -Infinity
  private awaySince: number | undefined

  private constructor (private readonly clock: Clock, private readonly log: Log) {}

  static create (clock: Clock, log: Log): StoreHealth {
    return new StoreHealth(clock, log)
  }

  isAway (): boolean {
    return this.awaySince !== undefined
  }

  /** Time since the store's last answer while it is away, in milliseconds; 0 otherwise. */
  awayMs (): number {
    return this.awaySince === undefined ? 0 : this.clock.now() - Math.max(this.answeredAt, this.awaySince - SILENCE_TO_AWAY_MS)
  }

  succeeded (): void {
    this.failures = 0
    this.answeredAt = this.clock.now()
    if (this.awaySince === undefined) return
    this.log.info('Store regained.', { awayMs: Math.round(this.clock.now() - this.awaySince) })
    this.awaySince = undefined
  }

  failed (reason: string): void {
    this.failures++
    const now = this.clock.now()
    if (this.failures < FAILURES_TO_AWAY || now - this.answeredAt < SILENCE_TO_AWAY_MS || this.awaySince !== undefined) return
    this.awaySince = now
    this.log.warn('Store lost.', { reason, failures: this.failures })
  }
}
