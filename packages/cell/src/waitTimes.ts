/**
 * What a step with tasks to start waits for:
 * - `payload`: the payload of its job has not been read yet
 * - `room`: the workers that the placement policy may allow have too little free capacity
 * - `tickets`: a call to the placement policy service is pending, or the tickets are for too few workers
 * - `agents`: no agent is free for a call
 * - `backoff`: a worker refused a start or could not be reached
 * - `account`: the limit of the client account leaves no room for its tasks
 * - `starts`: as many starts are under way to the workers as the leader confirms in time
 * - `processor`: the job can wait, and the leader has no processor time left
 */
export type WaitCause = 'payload' | 'account' | 'starts' | 'processor' | 'room' | 'tickets' | 'agents' | 'backoff'

/** Attributes the time that a step waits to its causes: the time from one note to the next counts for the cause of the first. */
export class WaitTimes {
  private readonly totalsMs = new Map<WaitCause, number>()
  private cause: WaitCause | undefined
  private since = 0
  /** Monotonic time of the first note since the last start, in milliseconds. */
  private firstNotedAt: number | undefined

  private constructor () {}

  static create (): WaitTimes {
    return new WaitTimes()
  }

  /** Records what the step waits for from now on; `now` is a monotonic time in milliseconds. */
  note (cause: WaitCause, now: number): void {
    this.close(now)
    this.cause = cause
    this.since = now
    this.firstNotedAt ??= now
  }

  /** What the step waits for since the latest note; undefined if nothing has been noted since its last start. */
  current (): WaitCause | undefined {
    return this.cause
  }

  /** Time since the first note after the last start, in milliseconds; 0 if nothing has been noted since. */
  waitedMs (now: number): number {
    return this.firstNotedAt === undefined ? 0 : now - this.firstNotedAt
  }

  /** Returns the time spent on each cause since the last call, in whole milliseconds, and starts anew. */
  take (now: number): Readonly<Partial<Record<WaitCause, number>>> {
    this.close(now)
    this.cause = undefined
    this.firstNotedAt = undefined
    const taken = Object.fromEntries([...this.totalsMs].map(([cause, ms]) => [cause, Math.round(ms)]))
    this.totalsMs.clear()
    return taken
  }

  private close (now: number) {
    if (this.cause === undefined) return
    this.totalsMs.set(this.cause, (this.totalsMs.get(this.cause) ?? 0) + now - this.since)
  }
}
