import type { Clock } from '../clock.js'
import { BACKEND_SLOTS, EJECT_AFTER_FAILURES, EJECT_BASE_MS, EJECT_MAX_MS, SERVICE_TIME_WEIGHT, SLOW_FACTOR, SLOW_MIN_SAMPLES } from './constants.js'

/** What a finished request says about its backend server. */
export type RequestEnd = 'answered' | 'failed' | 'aborted'

/**
 * Health of one backend server. After its ejection time a server is reinstated with one slot,
 * and gets one more for every answer in time, until it has all again.
 */
export class BackendHealth {
  private serviceMs: number | undefined
  private samples = 0
  private failuresInRow = 0
  private ejections = 0
  private ejectedUntil = 0
  private trialSlots = Infinity

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): BackendHealth {
    return new BackendHealth(clock)
  }

  /** Moving average of the service time, undefined before the first request has ended. */
  get averageMs (): number | undefined {
    return this.serviceMs
  }

  get isEjected (): boolean {
    return this.clock.now() < this.ejectedUntil
  }

  /** Slots that the server may use while it is being reinstated. */
  get allowedSlots (): number {
    return this.trialSlots
  }

  /** Average weighted by recent failures, lower is better; an unknown average counts as the median. */
  cost (medianMs: number): number {
    return (this.serviceMs ?? medianMs) * (1 + this.failuresInRow)
  }

  /** Records the end of a request after `ms`; `medianMs` is the median of the service's backend servers. */
  record (end: RequestEnd, ms: number, medianMs: number | undefined): void {
    // An aborted request took at least this long; it says nothing when it was shorter than usual.
    const isSlow = medianMs !== undefined && ms > medianMs * SLOW_FACTOR
    if (end === 'aborted' && !isSlow) return
    if (end !== 'failed') this.addSample(ms)
    const isFailure = end === 'failed' || end === 'aborted'
    this.failuresInRow = isFailure ? this.failuresInRow + 1 : 0
    const isSlowOnAverage = this.samples >= SLOW_MIN_SAMPLES && medianMs !== undefined && this.serviceMs! > medianMs * SLOW_FACTOR
    const isOnTrial = this.trialSlots !== Infinity
    if (this.failuresInRow >= EJECT_AFTER_FAILURES || isSlowOnAverage || (isOnTrial && (isFailure || isSlow))) this.eject()
    else if (isOnTrial) this.extendTrial()
  }

  private addSample (ms: number) {
    this.serviceMs = this.serviceMs === undefined ? ms : this.serviceMs + SERVICE_TIME_WEIGHT * (ms - this.serviceMs)
    this.samples++
  }

  private eject () {
    if (this.isEjected) return
    this.ejectedUntil = this.clock.now() + Math.min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** this.ejections)
    this.ejections++
    this.trialSlots = 1
    this.failuresInRow = 0
    // The server is judged anew by what it does after it is reinstated.
    this.serviceMs = undefined
    this.samples = 0
  }

  private extendTrial () {
    this.trialSlots++
    if (this.trialSlots <= BACKEND_SLOTS) return
    this.trialSlots = Infinity
    this.ejections = 0
  }
}
