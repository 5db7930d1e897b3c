import type { CancelTimer } from '@citronnotch/base/clock'
import type { TestClock } from './testCell.js'

/** Rounds of pending callbacks after the timers of a moment. */
const CALLBACK_ROUNDS = 10

/**
 * Manual clock for large cells: timers fire on whole milliseconds, and all that are due in the same millisecond fire
 * together, so that the cost of a play grows with its length and not with the number of its workers.
 */
export class GridClock implements TestClock {
  private nowMs = 0
  private readonly startMs: number
  /** Callbacks by the millisecond at which they are due. */
  private readonly timers = new Map<number, Set<() => void>>()

  private constructor (start: Date) {
    this.startMs = start.getTime()
  }

  static create (start: Date = new Date('2026-01-01T00:00:00Z')): GridClock {
    return new GridClock(start)
  }

  now (): number {
    return this.nowMs
  }

  date (): Date {
    return new Date(this.startMs + this.nowMs)
  }

  sleep (ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const cancel = this.after(ms, finish)
      signal?.addEventListener('abort', finish, { once: true })
      function finish () {
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
    })
  }

  after (ms: number, callback: () => void): CancelTimer {
    const dueAtMs = Math.max(this.nowMs, Math.ceil(this.nowMs + ms))
    const due = this.timers.get(dueAtMs) ?? new Set()
    const fire = () => callback()
    due.add(fire)
    this.timers.set(dueAtMs, due)
    return () => { due.delete(fire) }
  }

  async advance (ms: number): Promise<void> {
    const endMs = Math.ceil(this.nowMs + ms)
    await flushCallbacks()
    for (;;) {
      // What these timers set for the same moment fires in the next pass.
      const due = this.timers.get(this.nowMs)
      this.timers.delete(this.nowMs)
      for (const fire of due ?? []) {
        due?.delete(fire)
        fire()
      }
      if (due !== undefined) await flushCallbacks()
      if (this.timers.has(this.nowMs)) continue
      if (this.nowMs >= endMs) return
      this.nowMs++
    }
  }
}

async function flushCallbacks () {
  for (let i = 0; i < CALLBACK_ROUNDS; i++) await new Promise(resolve => setImmediate(resolve))
}
