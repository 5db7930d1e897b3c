/** Answers in time after which a reinstated server has all its slots again; the usual number of slots. */
export const BACKEND_SLOTS = 8
/** Time to establish a connection to a backend server; owner and server are usually in one failure domain, 0.5 ms apart. */
export const CONNECT_TIMEOUT_MS = 1_000
/** Idle connections are closed before common servers close theirs (5 s), so that no request is written to a closing connection. */
export const KEEP_ALIVE_MS = 4_000
/** Failures in a row after which a backend server is ejected. */
export const EJECT_AFTER_FAILURES = 3
/** A backend server this many times slower than the median of its service is ejected. */
export const SLOW_FACTOR = 4
/** Samples that a backend server must have before it is judged as slow. */
export const SLOW_MIN_SAMPLES = 5
/** First ejection time; doubles with each ejection in a row. */
export const EJECT_BASE_MS = 5_000
export const EJECT_MAX_MS = 60_000
/** When more than this share of a service's backend servers look bad, the cause is likely common to all, and all are used. */
export const MAX_EJECTED_SHARE = 0.5
/** Weight of the newest sample in the moving average of service times. */
export const SERVICE_TIME_WEIGHT = 0.2
/** Age at which the observed service time no longer leads to early refusals. */
export const SERVICE_TIME_MAX_AGE_MS = 1_000
/** Retries per first attempt. */
export const RETRY_SHARE = 0.1
/** Retries per second that are allowed at any load, so that low traffic can retry. */
export const RETRY_MIN_PER_SECOND = 1
/** Retries that can be saved up. */
export const RETRY_BURST = 20
/** Attempts of one request, the first included. */
export const MAX_ATTEMPTS = 3
/** Time for which a shard that refused a service's request for lack of room counts as full. */
export const FULL_BACKOFF_MS = 500
/** Requests in flight at one entry, its teams and its callers. */
export const ENTRY_CONCURRENCY = 4_096
export const TEAM_CONCURRENCY = 1_024
export const CALLER_CONCURRENCY = 256
/** Largest response kept for repeats of a request with an idempotency key. */
export const MAX_STORED_RESPONSE_BYTES = 64 * 1024
/** Interval between reads of the row of a request that is still running elsewhere. */
export const REPEAT_POLL_MS = 250
export const REPEAT_POLL_MAX_MS = 2_000
/** Pause before a write of an outcome is repeated; doubles up to the maximum. */
export const STORE_RETRY_MS = 500
export const STORE_RETRY_MAX_MS = 10_000
/** Time after which an outcome that can't be written is given up; the row stays `started`. */
export const STORE_RETRY_FOR_MS = 10 * 60_000
/** Time for which a final refusal waits for its row to be released, so that an immediate repeat can run. */
export const RELEASE_WAIT_MS = 1_000
