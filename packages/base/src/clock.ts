/** Source of time. Passed in everywhere, so that tests control it. */
export interface Clock {
  /** Monotonic time in milliseconds; only differences are meaningful. */
  now (): number
  /** Wall clock time; may step and drift, so it never decides about authority. */
  date (): Date
  /** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
  sleep (ms: number, signal?: AbortSignal): Promise<void>
  /** Calls back after `ms` milliseconds, unless cancelled. Costs much less than a sleep that is aborted. */
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
    const timer = setTimeout(callback, ms)
    return () => clearTimeout(timer)
  }
}

interface Sleeper { readonly at: number, readonly wake: () => void }

/** Clock for tests: time moves only by `advance`, and sleepers wake in order. */
export class ManualClock implements Clock {
  private monotonicMs = 0
  private wallMs: number
  private readonly sleepers = new Set<Sleeper>()

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
      const sleeper: Sleeper = { at: this.monotonicMs + ms, wake: finish }
      const sleepers = this.sleepers
      sleepers.add(sleeper)
      signal?.addEventListener('abort', finish, { once: true })
      function finish () {
        sleepers.delete(sleeper)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
    })
  }

  after (ms: number, callback: () => void): CancelTimer {
    const sleeper: Sleeper = {
      at: this.monotonicMs + ms,
      wake: () => {
        this.sleepers.delete(sleeper)
        callback()
      }
    }
    this.sleepers.add(sleeper)
    return () => { this.sleepers.delete(sleeper) }
  }

  /** Moves both clocks forward and wakes every sleeper that is due, letting each run before the next. */
  async advance (ms: number): Promise<void> {
    const end = this.monotonicMs + ms
    await settle()
    for (;;) {
      const next = [...this.sleepers].sort((a, b) => a.at - b.at)[0]
      if (next === undefined || next.at > end) break
      this.moveTo(Math.max(next.at, this.monotonicMs))
      next.wake()
      await settle()
    }
    this.moveTo(end)
    await settle()
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
async function settle () {
  for (let i = 0; i < 10; i++) await new Promise(resolve => setImmediate(resolve))
}
