import type { Clock } from '@citronnotch/daemon'

/** Limit of a rate; holds the tokens of one second at most. */
export class TokenBucket {
  private tokens: number
  private filledAt: number

  private constructor (private readonly clock: Clock, private readonly perSecond: number) {
    this.tokens = perSecond
    this.filledAt = clock.now()
  }

  static create (clock: Clock, perSecond: number): TokenBucket {
    return new TokenBucket(clock, perSecond)
  }

  /** Takes a token; false when there is none. */
  take (): boolean {
    const now = this.clock.now()
    this.tokens = Math.min(this.perSecond, this.tokens + (now - this.filledAt) * this.perSecond / 1_000)
    this.filledAt = now
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
