import type { CancelTimer, Clock, ManualClock } from '../../clock.js'

/** A simulated VM: its clocks may drift, freeze and step, and its process may be paused or killed. */
export class Host implements Clock {
  /** Runs of its process are delayed until this resolves. */
  private resumed: Promise<void> = Promise.resolve()
  private resume: (() => void) | undefined
  private pausedAt: number | undefined
  private frozenMs = 0
  private isFrozen = false
  wallStepMs = 0
  isAlive = true

  constructor (readonly wire: ManualClock, private readonly rate = 1) {}

  get isPaused (): boolean {
    return this.resume !== undefined
  }

  now (): number {
    const at = this.isFrozen ? this.pausedAt ?? 0 : this.wire.now()
    return (at - this.frozenMs) * this.rate
  }

  date (): Date {
    return new Date(this.wire.date().getTime() + this.wallStepMs)
  }

  async sleep (ms: number, signal?: AbortSignal): Promise<void> {
    await this.wire.sleep(ms / this.rate, signal)
    await this.scheduled()
  }

  after (ms: number, callback: () => void): CancelTimer {
    return this.wire.after(ms / this.rate, () => { this.scheduled().then(callback) })
  }

  /** Resolves once the process may run; never when it was killed. */
  async scheduled (): Promise<void> {
    while (this.isPaused) await this.resumed
    if (!this.isAlive) await new Promise(() => {})
  }

  /** Stops the process; `freeze` stops the monotonic clock too. */
  pause (freeze: boolean): void {
    if (this.isPaused) return
    this.pausedAt = this.wire.now()
    this.isFrozen = freeze
    this.resumed = new Promise(resolve => { this.resume = resolve })
  }

  wake (): void {
    if (this.isFrozen) this.frozenMs += this.wire.now() - (this.pausedAt ?? 0)
    this.isFrozen = false
    this.resume?.()
    this.resume = undefined
  }

  kill (): void {
    this.isAlive = false
    this.wake()
  }
}
