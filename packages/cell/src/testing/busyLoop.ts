import type { Clock } from '@citronnotch/base/clock'

export interface BusyLoopOptions {
  readonly clock: Clock
  /** Processor time that handling one message takes, in milliseconds. */
  readonly messageMs: number
}

/**
 * Event loop of a process with little processor time: handles one message after another, each at a cost. Simulated time
 * alone charges nothing for messages, so that a load on a simulated clock never shows a process that is too busy.
 */
export class BusyLoop {
  private freeAt = 0
  private busyMs = 0

  private constructor (private readonly options: BusyLoopOptions) {}

  static create (options: BusyLoopOptions): BusyLoop {
    return new BusyLoop(options)
  }

  // Queries

  /** Processor time used so far, in milliseconds. */
  usedMs (): number {
    return this.busyMs
  }

  // Commands

  /** Resolves once a message that arrives now has been handled. */
  async handle (): Promise<void> {
    const { clock, messageMs } = this.options
    this.freeAt = Math.max(this.freeAt, clock.now()) + messageMs
    this.busyMs += messageMs
    await clock.sleep(this.freeAt - clock.now())
  }

  /** Makes a call to another process, a way of `oneWayMs` from here. */
  async call<T> (oneWayMs: number, call: () => Promise<T>): Promise<T> {
    const { clock } = this.options
    await this.handle()
    await clock.sleep(oneWayMs)
    const answer = await call()
    await clock.sleep(oneWayMs)
    await this.handle()
    return answer
  }
}
