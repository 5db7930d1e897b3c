import type { EventSubject, EventType, TimelineEvent, TimelinePage } from '@citronnotch/protocol'
import { TIMELINE_CAPACITY } from '../constants.js'
import type { HybridClock } from './hybridClock.js'

export interface TimelineOptions {
  readonly daemonId: string
  readonly hlc: HybridClock
  /**
   * Events kept before the oldest is overwritten.
   * @default 20000
   */
  readonly capacity?: number
}

/** Bounded ring of a daemon's events. */
export class Timeline {
  private readonly ring: TimelineEvent[] = []
  private nextSeq = 1

  private constructor (
    private readonly daemonId: string,
    private readonly hlc: HybridClock,
    private readonly capacity: number
  ) {}

  static create (options: TimelineOptions): Timeline {
    return new Timeline(options.daemonId, options.hlc, options.capacity ?? TIMELINE_CAPACITY)
  }

  /** Records an event. `message` is one short sentence that includes the cause. */
  record (type: EventType, message: string, subject: EventSubject = {}): void {
    const seq = this.nextSeq++
    this.ring[seq % this.capacity] = { hlc: this.hlc.tick(), daemonId: this.daemonId, seq, type, message, ...subject }
  }

  /** Returns events after position `after`, oldest first, at most `limit`. */
  page (after: number, limit: number): TimelinePage {
    const oldest = Math.max(1, this.nextSeq - this.capacity)
    const from = Math.max(after + 1, oldest)
    const to = Math.min(this.nextSeq, from + limit)
    const events: TimelineEvent[] = []
    for (let seq = from; seq < to; seq++) {
      const event = this.ring[seq % this.capacity]
      if (event !== undefined) events.push(event)
    }
    return {
      daemonId: this.daemonId,
      events,
      lastSeq: to - 1,
      dropped: Math.max(0, oldest - 1 - after)
    }
  }
}
