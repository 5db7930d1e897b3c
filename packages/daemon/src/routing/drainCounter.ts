/** Counts work in flight, and tells when none is left. */
export class DrainCounter {
  private count = 0
  private readonly waiting: Array<() => void> = []

  static create (): DrainCounter {
    return new DrainCounter()
  }

  get value (): number {
    return this.count
  }

  enter (): void {
    this.count++
  }

  leave (): void {
    this.count--
    if (this.count === 0) for (const resolve of this.waiting.splice(0)) resolve()
  }

  drained (): Promise<void> {
    return this.count === 0 ? Promise.resolve() : new Promise(resolve => { this.waiting.push(resolve) })
  }
}
