/** Source of time. It is injected everywhere, so that tests can control it. */
export interface Clock {
  /** Monotonic time in milliseconds; only differences are meaningful. */
  now (): number
  /** Wall-clock time. It may step and drift, so it must never extend a lease or leadership. */
  date (): Date
  /** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
  sleep (ms: number, signal?: AbortSignal): Promise<void>
  /** Calls `callback` after `ms` milliseconds unless cancelled, once input that has arrived by then was processed. Much cheaper than a sleep that is aborted. */
  after (ms: number, callback: () => void): CancelTimer
}

export type CancelTimer = () => void

/** Clock of the running process. */
export class SystemClock implements Clock {
  static create (): SystemClock {
    return new SystemClock()
  }

  now (): number {
    return performance.now()
  }

  date (): Date {
    return new Date()
  }

  sleep (ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const timer = setTimeout(finish, ms)
      signal?.addEventListener('abort', finish, { once: true })
      function finish () {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
    })
  }

  after (ms: number, callback: () => void): CancelTimer {
    let immediate: NodeJS.Immediate | undefined
    // A busy process runs due timers before it reads what has arrived meanwhile, and would take it for missing.
    const timer = setTimeout(() => { immediate = setImmediate(callback) }, ms)
    return () => {
      clearTimeout(timer)
      clearImmediate(immediate)
    }
  }
}

interface PendingTimer { readonly dueAtMs: number, readonly fire: () => void }

/** Clock for tests. Time moves only with `advance`, which fires due timers in order of their time. */
export class ManualClock implements Clock {
  private monotonicMs = 0
  private wallMs: number
  private readonly timers = new Set<PendingTimer>()

  private constructor (start: Date) {
    this.wallMs = start.getTime()
  }

  static create (start: Date = new Date('2026-01-01T00:00:00Z')): ManualClock {
    return new ManualClock(start)
  }

  now (): number {
    return this.monotonicMs
  }

  date (): Date {
    return new Date(this.wallMs)
  }

  sleep (ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const timer: PendingTimer = { dueAtMs: this.monotonicMs + ms, fire: finish }
      const timers = this.timers
      timers.add(timer)
      signal?.addEventListener('abort', finish, { once: true })
      function finish () {
        timers.delete(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
    })
  }

  after (ms: number, callback: () => void): CancelTimer {
    const timer: PendingTimer = {
      dueAtMs: this.monotonicMs + ms,
      fire: () => {
        this.timers.delete(timer)
        callback()
      }
    }
    this.timers.add(timer)
    return () => { this.timers.delete(timer) }
  }

  /** Moves both clocks forward and fires every due timer; pending callbacks run before the next one fires. */
  async advance (ms: number): Promise<void> {
    const endMs = this.monotonicMs + ms
    await flushCallbacks()
    for (;;) {
      const next = [...this.timers].sort((a, b) => a.dueAtMs - b.dueAtMs)[0]
      if (next === undefined || next.dueAtMs > endMs) break
      this.moveTo(Math.max(next.dueAtMs, this.monotonicMs))
      next.fire()
      await flushCallbacks()
    }
    this.moveTo(endMs)
    await flushCallbacks()
  }

  /** Steps the wall clock only. */
  stepWallClock (ms: number): void {
    this.wallMs += ms
  }

  private moveTo (monotonicMs: number) {
    this.wallMs += monotonicMs - this.monotonicMs
    this.monotonicMs = monotonicMs
  }
}

/** Lets pending promise callbacks and immediate I/O run. */
async function flushCallbacks () {
  for (let i = 0; i < 10; i++) await new Promise(resolve => setImmediate(resolve))
}
