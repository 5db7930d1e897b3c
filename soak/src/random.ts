import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

/** Pseudo-random generator; the same seed gives the same sequence. */
export class Random {
  private readonly generator

  private constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  static create (seed: number): Random {
    return new Random(seed)
  }

  /** Returns an integer between `low` and `high`, both inclusive. */
  between (low: number, high: number): number {
    return uniformInt(this.generator, Math.floor(low), Math.floor(high))
  }

  /** Returns true with the given probability, from 0 to 1. */
  chance (probability: number): boolean {
    return this.between(0, 999_999) < probability * 1_000_000
  }

  pick<T> (items: readonly T[]): T {
    const item = items[this.between(0, items.length - 1)]
    if (item === undefined) throw new Error('cannot pick an item of an empty list')
    return item
  }
}
