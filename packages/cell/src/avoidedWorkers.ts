/** Time for which a worker is avoided after the first failure there, in milliseconds; it doubles with each further one. */
const INITIAL_AVOIDANCE_MS = 2_500
/** Maximum of that time. A lasting task must run again within 6 s of its last run if a sound worker has room. */
const MAX_AVOIDANCE_MS = 5_000

interface Avoidance {
  /** Duration of the latest avoidance, in milliseconds. */
  readonly durationMs: number
  /** Monotonic time in milliseconds at which it ends. */
  readonly until: number
}

/**
 * Workers on which runs of a task or a gang have failed or stalled. Each failed run uses up one of few attempts, so the
 * next one waits for another worker, but only for a while: the others may be full for good, and the worker sound again.
 */
export class AvoidedWorkers {
  private readonly byId = new Map<string, Avoidance>()

  private constructor () {}

  static create (): AvoidedWorkers {
    return new AvoidedWorkers()
  }

  /** Whether no run has failed on any worker. */
  isEmpty (): boolean {
    return this.byId.size === 0
  }

  /** Whether a run has ever failed on the worker. */
  has (workerId: string): boolean {
    return this.byId.has(workerId)
  }

  isAvoided (workerId: string, now: number): boolean {
    return (this.byId.get(workerId)?.until ?? -Infinity) > now
  }

  add (workerId: string, now: number): void {
    const previous = this.byId.get(workerId)
    const durationMs = previous === undefined ? INITIAL_AVOIDANCE_MS : Math.min(2 * previous.durationMs, MAX_AVOIDANCE_MS)
    this.byId.set(workerId, { durationMs, until: now + durationMs })
  }
}
