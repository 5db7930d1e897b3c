import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

/** Repeatable choices from one seed. */
export class Random {
  private readonly generator

  private constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  static create (seed: number): Random {
    return new Random(seed)
  }

  between (low: number, high: number): number {
    return uniformInt(this.generator, Math.floor(low), Math.floor(high))
  }

  chance (probability: number): boolean {
    return this.between(0, 999_999) < probability * 1_000_000
  }

  pick<T> (items: readonly T[]): T {
    const item = items[this.between(0, items.length - 1)]
    if (item === undefined) throw new Error('there is nothing to pick from')
    return item
  }
}
