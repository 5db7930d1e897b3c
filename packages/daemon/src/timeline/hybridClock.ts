import type { HlcStamp } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'

/** Hybrid logical clock: stamps grow with every event, and exceed every stamp seen from a peer. */
export class HybridClock {
  private last: HlcStamp = { wallMs: 0, logical: 0 }

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): HybridClock {
    return new HybridClock(clock)
  }

  /** Returns the stamp of a new local event or outgoing message. */
  tick (): HlcStamp {
    const wallMs = this.clock.date().getTime()
    this.last = wallMs > this.last.wallMs
      ? { wallMs, logical: 0 }
      : { wallMs: this.last.wallMs, logical: this.last.logical + 1 }
    return this.last
  }

  /** Takes in the stamp of a received message. */
  observe (stamp: HlcStamp): void {
    const isLater = stamp.wallMs > this.last.wallMs ||
      (stamp.wallMs === this.last.wallMs && stamp.logical > this.last.logical)
    if (isLater) this.last = { wallMs: stamp.wallMs, logical: stamp.logical }
  }
}
