/** Interval between writes of a daemon's session row. */
export const SESSION_RENEW_MS = 2_000
/** Validity of a session after the last successful renewal was sent. */
export const SESSION_TTL_MS = 6_000
/** Time for which a candidate must see a session row unchanged; the TTL plus 15% for clock drift. */
export const TAKEOVER_AFTER_MS = 7_000
/** Additional wait of each lower-ranked candidate, so that the first usually wins. */
export const TAKEOVER_RANK_STEP_MS = 1_000
/** Lease of a running task. Covers a takeover, so that an owner's crash stops no task. */
export const TASK_LEASE_MS = 20_000
/** Interval between renewals of all leases of one worker. */
export const WORKER_RENEW_MS = 5_000
/** Time for which an owner without the store keeps its workers. */
export const HOLD_MS = 65 * 60_000
/** Clock drift allowed for on leases and sessions, as a fraction. */
export const LEASE_DRIFT = 0.15
/** Clock drift allowed for on the hold time, as a fraction. */
export const HOLD_DRIFT = 0.02
/** Interval between reads of the configuration in force, the VM list and the sessions of the own failure domain. */
export const POLL_MS = 1_000
/** Interval between gossip rounds. */
export const GOSSIP_MS = 1_000
/** Interval between scans for parts of jobs that no notification announced. */
export const PART_SCAN_MS = 10_000
/** Shortest interval between two group commits of completions of one shard. */
export const COMPLETION_COMMIT_MS = 250
/** Rows in one table transaction. */
export const MAX_TRANSACTION_ROWS = 100
/** Time without an answer after which a call to the platform or a worker counts as lost. */
export const CALL_TIMEOUT_MS = 3_000
/** Events kept by each daemon. */
export const TIMELINE_CAPACITY = 20_000
