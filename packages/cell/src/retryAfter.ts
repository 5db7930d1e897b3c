/** Bounds of the retry delay before jitter, in milliseconds: callers are told whole seconds, and have a few of them. */
const MIN_RETRY_AFTER_MS = 1_000
const MAX_RETRY_AFTER_MS = 2_000
/** Maximum fraction added to the delay, so that refused callers don't all retry at the same moment; below a half, as the delay is rounded to seconds. */
const JITTER = 0.25

/**
 * Time after which a caller that was refused during an outage should retry, in milliseconds. It grows with the
 * duration of the outage: an outage is likely to last as long again as it has lasted, and a caller makes only a few
 * attempts. `timeLeftMs` is the time that the caller has left then at most; a later retry would find it gone.
 */
export function retryAfterMs (unavailableMs: number, random: () => number, timeLeftMs = Infinity): number {
  const latestMs = 1_000 * Math.floor(timeLeftMs / 1_000)
  const baseDelayMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, unavailableMs, latestMs))
  // A caller that goes by the milliseconds must not come too late for the sake of the jitter.
  return Math.floor(Math.min(baseDelayMs * (1 + JITTER * random()), Math.max(MIN_RETRY_AFTER_MS, timeLeftMs)))
}
