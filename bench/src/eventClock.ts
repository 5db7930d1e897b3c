import type { CancelTimer, Clock } from '@citronnotch/base/clock'

interface Timer {
  readonly dueAtMs: number
  readonly sequence: number
  readonly callback: () => void
  isCancelled: boolean
}

/** Simulated clock for long experiments. It jumps from timer to timer; timers are kept in a binary heap. */
export class EventClock implements Clock {
  private readonly heap: Timer[] = []
  private nowMs = 0
  private nextSequence = 0

  private constructor (private readonly startMs: number) {}

  static create (start: Date = new Date('2026-01-01T00:00:00Z')): EventClock {
    return new EventClock(start.getTime())
  }

  now (): number {
    return this.nowMs
  }

  date (): Date {
    return new Date(this.startMs + this.nowMs)
  }

  sleep (ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return Promise.resolve()
    return new Promise(resolve => {
      const finish = () => {
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = this.after(ms, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  after (ms: number, callback: () => void): CancelTimer {
    const timer: Timer = { dueAtMs: this.nowMs + Math.max(0, ms), sequence: this.nextSequence++, callback, isCancelled: false }
    this.push(timer)
    return () => { timer.isCancelled = true }
  }

  async advance (ms: number): Promise<void> {
    const endMs = this.nowMs + ms
    await flushPromises()
    for (;;) {
      const next = this.heap[0]
      if (next === undefined || next.dueAtMs > endMs) break
      this.pop()
      if (next.isCancelled) continue
      this.nowMs = Math.max(this.nowMs, next.dueAtMs)
      next.callback()
      await flushPromises()
    }
    this.nowMs = endMs
  }

  private push (timer: Timer) {
    const { heap } = this
    let index = heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(timer, heap[parent] as Timer)) break
      heap[index] = heap[parent] as Timer
      index = parent
    }
    heap[index] = timer
  }

  private pop () {
    const { heap } = this
    const last = heap.pop() as Timer
    if (heap.length === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1] as Timer, heap[child] as Timer)) child++
      if (!isBefore(heap[child] as Timer, last)) break
      heap[index] = heap[child] as Timer
      index = child
    }
    heap[index] = last
  }
}

function isBefore (a: Timer, b: Timer): boolean {
  return a.dueAtMs < b.dueAtMs || (a.dueAtMs === b.dueAtMs && a.sequence < b.sequence)
}

/** Runs all pending promise callbacks. */
function flushPromises (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}
