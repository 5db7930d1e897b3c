import type { Clock } from './clock.js'

/** Lets one waiting async function be woken early. A wake-up without a waiter ends the next wait at once. */
export class Waker {
  private isPending = false
  private current: AbortController | undefined

  static create (): Waker {
    return new Waker()
  }

  wake (): void {
    this.isPending = true
    this.current?.abort()
  }

  /** Resolves after `ms` milliseconds, on `wake`, or when `signal` aborts. */
  async wait (clock: Clock, ms: number, signal: AbortSignal): Promise<void> {
    if (!this.isPending && !signal.aborted) {
      const controller = new AbortController()
      const abort = () => controller.abort()
      this.current = controller
      signal.addEventListener('abort', abort, { once: true })
      await clock.sleep(ms, controller.signal)
      signal.removeEventListener('abort', abort)
      this.current = undefined
    }
    this.isPending = false
  }
}
