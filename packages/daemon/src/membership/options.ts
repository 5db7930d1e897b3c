import {
  HOLD_DRIFT, HOLD_MS, LEASE_DRIFT, POLL_MS, SESSION_RENEW_MS, SESSION_TTL_MS, TAKEOVER_AFTER_MS,
  TAKEOVER_RANK_STEP_MS, TASK_LEASE_MS
} from '../constants.js'

/** Interval between reads of the sessions and shards of other failure domains; keeps the traffic independent of the size of the cell. */
const OTHERS_POLL_MS = 30_000
/** Interval between reads of the shard rows of the own failure domain; bounds the delay of a planned handover. */
const SHARD_POLL_MS = 2_000

/** Times of sessions and shard ownership. All daemons of a cell must use the same session times. */
export interface MembershipOptions {
  /**
   * Interval between renewals of the own session, in milliseconds.
   * @default 2000
   */
  readonly sessionRenewMs?: number
  /**
   * Validity of a session after its last successful renewal was sent, in milliseconds.
   * @default 6000
   */
  readonly sessionTtlMs?: number
  /**
   * Time for which a session row must be seen unchanged before a takeover, in milliseconds. At least the TTL plus 15%.
   * @default 7000
   */
  readonly takeoverAfterMs?: number
  /**
   * Additional wait of each lower-ranked candidate, in milliseconds.
   * @default 1000
   */
  readonly takeoverRankStepMs?: number
  /**
   * Time for which an owner without the table service keeps its shards, in milliseconds.
   * @default 3900000
   */
  readonly holdMs?: number
  /**
   * Lease of a running task, in milliseconds.
   * @default 20000
   */
  readonly taskLeaseMs?: number
  /**
   * Interval between reads of the sessions of the own failure domain, in milliseconds.
   * @default 1000
   */
  readonly pollMs?: number
  /**
   * Interval between reads of the shard rows of the own failure domain, in milliseconds.
   * @default 2000
   */
  readonly shardPollMs?: number
  /**
   * Interval between reads of the sessions and shards of other failure domains, in milliseconds.
   * @default 30000
   */
  readonly othersPollMs?: number
}

export type ResolvedMembershipOptions = Readonly<Required<MembershipOptions>>

/** Fills in defaults. Throws a `RangeError` for times with which two daemons could own one shard. */
export function resolveMembershipOptions (options: MembershipOptions = {}): ResolvedMembershipOptions {
  const sessionTtlMs = options.sessionTtlMs ?? SESSION_TTL_MS
  const shortestTakeoverMs = Math.ceil(sessionTtlMs * (1 + LEASE_DRIFT))
  const resolved: ResolvedMembershipOptions = {
    sessionRenewMs: options.sessionRenewMs ?? SESSION_RENEW_MS,
    sessionTtlMs,
    takeoverAfterMs: options.takeoverAfterMs ?? Math.max(TAKEOVER_AFTER_MS, shortestTakeoverMs),
    takeoverRankStepMs: options.takeoverRankStepMs ?? TAKEOVER_RANK_STEP_MS,
    holdMs: options.holdMs ?? HOLD_MS,
    taskLeaseMs: options.taskLeaseMs ?? TASK_LEASE_MS,
    pollMs: options.pollMs ?? POLL_MS,
    shardPollMs: options.shardPollMs ?? SHARD_POLL_MS,
    othersPollMs: options.othersPollMs ?? OTHERS_POLL_MS
  }
  for (const [name, value] of Object.entries(resolved)) {
    if (!Number.isFinite(value) || value <= 0) throw new RangeError(`${name} is ${value}, must be a positive number of milliseconds`)
  }
  if (resolved.takeoverAfterMs < shortestTakeoverMs) {
    throw new RangeError(`takeoverAfterMs is ${resolved.takeoverAfterMs}, must be at least sessionTtlMs plus 15% (${shortestTakeoverMs})`)
  }
  if (resolved.sessionRenewMs >= sessionTtlMs) {
    throw new RangeError(`sessionRenewMs is ${resolved.sessionRenewMs}, must be less than sessionTtlMs (${sessionTtlMs})`)
  }
  if (resolved.holdMs < sessionTtlMs) {
    throw new RangeError(`holdMs is ${resolved.holdMs}, must be at least sessionTtlMs (${sessionTtlMs})`)
  }
  return resolved
}

/** Time after which a former owner's hold has certainly ended, on the clock of its successor. */
export function holdEndMs (holdMs: number): number {
  return holdMs * (1 + HOLD_DRIFT)
}
