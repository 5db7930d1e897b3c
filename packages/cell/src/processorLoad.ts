import { performance } from 'node:perf_hooks'
import type { Clock } from '@citronnotch/base/clock'

/** Time over which the load is measured, in milliseconds; several times the longest pause between two scheduling rounds. */
const WINDOW_MS = 400
/** Fraction of the time above which work that can wait is put off; the rest absorbs the variation within a window. */
const FULL_SHARE = 0.85

/** Fraction of the time for which the event loop of this process was busy, in the last complete window. */
export class ProcessorLoad {
  private utilization = performance.eventLoopUtilization()
  private busyShare = 0
  private measuredAt: number

  private constructor (private readonly clock: Clock) {
    this.measuredAt = clock.now()
  }

  static create (clock: Clock): ProcessorLoad {
    return new ProcessorLoad(clock)
  }

  isFull (): boolean {
    const now = this.clock.now()
    if (now - this.measuredAt >= WINDOW_MS) {
      const utilization = performance.eventLoopUtilization()
      this.busyShare = performance.eventLoopUtilization(utilization, this.utilization).utilization
      this.utilization = utilization
      this.measuredAt = now
    }
    return this.busyShare >= FULL_SHARE
  }
}
