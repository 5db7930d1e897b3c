/** Bounds of the retry delay before jitter. */
const MIN_RETRY_AFTER_MS = 1_000
const MAX_RETRY_AFTER_MS = 2_000
/** Maximum fraction added to the delay, so that refused callers don't all retry at the same moment. */
const JITTER = 0.25

/**
 * Time after which a caller that was refused during an outage should retry, in milliseconds. It grows with the
 * duration of the outage: an outage is likely to last as long again as it has lasted, and a caller makes only a few
 * attempts.
 */
export function retryAfterMs (unavailableMs: number, random: () => number): number {
  const baseDelayMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, unavailableMs))
  return Math.round(baseDelayMs * (1 + JITTER * random()))
}
