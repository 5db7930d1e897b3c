import { retryAfterMs } from './retryAfter.js'

/**
 * Decides whether a request that finds the store unavailable is held until the store answers again, or refused at once.
 *
 * Pattern: a circuit breaker (`StoreHealth`, with a probe in its half-open state) in front of a bounded waiting room with
 * deadline propagation. Failing fast alone loses the callers whose time ends before they return; waiting alone keeps those
 * whose time ends before the store returns from looking elsewhere.
 */

/** Time for the answer to reach the caller, in milliseconds: a few round trips between regions. */
export const RESPONSE_MARGIN_MS = 150
/** Time in which a transaction is typically answered after an outage, in milliseconds; a request with less time left can't be served. */
export const SERVE_MS = 150
/** Time by which each held request delays the others when the store returns, in milliseconds: a few are in flight at a time, each for a round trip of up to 50 ms. */
const SERVE_EACH_MS = 2
/** Maximum number of held requests: all daemons of a cell together were sent 286 in an outage of 4.2 s, and each needs a connection, of about 4,000 that a process may have. */
export const MAX_HELD_REQUESTS = 500
/** Maximum memory of the held requests, in bytes: a thirtieth of the smallest VM's 250 MB. */
export const MAX_HELD_BYTES = 8 * 1024 * 1024

export interface OutageState {
  /** Time since the first call to the store was sent that it has not answered, in milliseconds. */
  readonly outageMs: number
  /** Whether another daemon may reach the store: this one can't reach the leader either, so that the fault may be its own. */
  readonly isIsolated: boolean
  /** Number of requests held already, and their bytes. */
  readonly held: number
  readonly heldBytes: number
}

export interface WaitingRequest {
  /** Time until the caller gives up, in milliseconds. */
  readonly timeLeftMs: number
  readonly bytes: number
}

export type OutageDecision =
  /** Hold the request for `forMs` at most; after that it could no longer be served in time. */
  | { readonly kind: 'hold', readonly forMs: number }
  | { readonly kind: 'refuse', readonly retryAfterMs: number, readonly reason: 'outage-too-long' | 'too-many-held' | 'no-time-left' | 'isolated' }

/**
 * An outage that has lasted t is expected to last about as long again. A request is held if its caller has more time
 * than that left, hence if it is likelier to be served than not.
 */
export function decideOnOutage ({ outageMs, isIsolated, held, heldBytes }: OutageState, { timeLeftMs, bytes }: WaitingRequest, random: () => number): OutageDecision {
  const usableMs = timeLeftMs - RESPONSE_MARGIN_MS - SERVE_MS
  const refuse = (reason: Extract<OutageDecision, { kind: 'refuse' }>['reason']): OutageDecision => (
    { kind: 'refuse', reason, retryAfterMs: retryAfterMs(isIsolated ? 0 : outageMs, random, usableMs) })
  if (usableMs <= 0) return refuse('no-time-left')
  if (held >= MAX_HELD_REQUESTS || heldBytes + bytes > MAX_HELD_BYTES) return refuse('too-many-held')
  if (isIsolated) return refuse('isolated')
  if (usableMs - SERVE_EACH_MS * held <= outageMs) return refuse('outage-too-long')
  return { kind: 'hold', forMs: usableMs }
}
