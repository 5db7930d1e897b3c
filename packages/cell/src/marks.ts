const BITS = 8

/** Set of the numbers below a limit, one bit each. */
export class Marks {
  private bytes: Uint8Array | undefined

  private constructor (private readonly limit: number) {}

  static create (limit: number): Marks {
    return new Marks(limit)
  }

  has (number: number): boolean {
    return ((this.bytes?.[Math.floor(number / BITS)] ?? 0) & (1 << number % BITS)) !== 0
  }

  * all (): Iterable<number> {
    if (this.bytes === undefined) return
    for (let number = 0; number < this.limit; number++) if (this.has(number)) yield number
  }

  /** One character for each number from `first` up to `end`: `1` if it is marked, otherwise `0`. */
  format (first: number, end: number): string {
    if (this.bytes === undefined) return '0'.repeat(end - first)
    let text = ''
    for (let number = first; number < end; number++) text += this.has(number) ? '1' : '0'
    return text
  }

  add (number: number): void {
    this.bytes ??= new Uint8Array(Math.ceil(this.limit / BITS))
    const index = Math.floor(number / BITS)
    this.bytes[index] = (this.bytes[index] ?? 0) | (1 << number % BITS)
  }
}
