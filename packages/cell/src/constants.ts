/**
 * Number of partitions for admissions. The store runs the transactions of one partition one after another, about two a
 * second while it is slow, so admissions are spread over many. The leader's writes are few and large and need few.
 */
export const ADMISSION_PARTITIONS = 64
/** Number of partitions that only the leader writes, each fenced by its own epoch row. */
export const LEADER_PARTITIONS = 4
/** Separate partition for the lease, so that its renewal doesn't wait for other transactions. */
export const LEASE_PARTITION = 'lease'
/** Partition of the daemons' peer addresses. */
export const DAEMONS_PARTITION = 'daemons'

export const TABLES = {
  /** Live jobs by `ID` and cancellations by `ID.cancel`, in the partition of the job. */
  jobs: 'jobs',
  /** Payloads of live jobs by job id, in the partition of the job. */
  payloads: 'payloads',
  /** Outcomes of ended jobs by job id, in the partition of the job. */
  ended: 'ended',
  /** Progress of live jobs, and outcomes of recently ended jobs, by job id. */
  progress: 'progress',
  /** Rows `lease`, `epoch` and `roster`; the roster lists the workers that may have runs. */
  leader: 'leader',
  /** Peer addresses of the daemons. */
  daemons: 'daemons'
} as const

/** Duration of the leader's lease, in milliseconds, counted from the time at which the renewal was sent. */
export const LEASE_TTL_MS = 2_000
/** Time for which a candidate must see the lease unchanged before it takes over: the TTL plus 10% for clock drift. */
export const TAKEOVER_AFTER_MS = 2_200
export const LEASE_RENEW_MS = 500
export const LEASE_OBSERVE_MS = 600
/** Time without a renewal after which the lease is read more often, so that a takeover isn't delayed by a whole interval. */
export const LEASE_OVERDUE_MS = 1_100
export const LEASE_OBSERVE_OVERDUE_MS = 150
/** Interval between renewals while the lease has expired, so that the leader resumes soon after the store answers again. */
export const LEASE_RENEW_LAPSED_MS = 200
/** Time since the sending of the last acknowledged renewal after which the leader looks for a daemon that the store answers sooner. */
export const LEASE_SUSPECT_MS = 1_000
/** Timeout of a call that reads or releases the lease. A slow store takes about 900 ms. */
export const LEASE_READ_TIMEOUT_MS = 1_500
/** Time within which the store must answer a read and a write of a daemon for it to be asked to take over. */
export const SUCCESSOR_CALL_TIMEOUT_MS = 300
/** Time within which each partition of the state must then be read. */
export const SUCCESSOR_LOAD_TIMEOUT_MS = 800

/** Timeout of one call to the store. A slow store takes about 900 ms for a transaction. */
export const STORE_TIMEOUT_MS = 1_400
/** Timeout of one read by a new leader. On a narrow link the pages of many partitions arrive one after another. */
export const LOAD_TIMEOUT_MS = 4_000
/** Interval between reads of changes, which find those whose notification was lost. */
export const CHANGES_POLL_INTERVAL_MS = 1_000
/** Delay before the leader commits a change that something waits for, so that further changes join the same transaction. */
export const COMMIT_AWAITED_DELAY_MS = 12
/** The same for the row of a start: until it is stored, a successor doesn't know of the run. */
export const COMMIT_START_DELAY_MS = 40
/** The same for other progress. */
export const COMMIT_PROGRESS_DELAY_MS = 100
export const COMMIT_RETRY_MS = 150
/** Code of the failure of a transaction that the store can't take, whenever it is sent. */
export const TRANSACTION_REJECTED = 'store-rejected'
/** Maximum number of entries that the store allows in one transaction, less one for the epoch row. */
export const MAX_TRANSACTION_ENTRIES = 99

/** Interval between reads of the worker registry; half of the time within which starts on a draining worker must cease. */
export const REGISTRY_POLL_MS = 700
/** Interval between reads of the worker registry while it is too old to start tasks by, so that starts resume soon after the store answers again. */
export const REGISTRY_RETRY_OLD_MS = 200
export const CONFIG_WATCH_MS = 1_000

/** Duration of the lease on all runs of a worker, unless the worker allows less. */
export const TASK_LEASE_MS = 5_000
/** Slowest rate of a worker's clock relative to the clock of this daemon. */
export const MIN_WORKER_CLOCK_RATE = 0.98
/** Margin after the computed expiry of a lease before its runs count as lost. */
export const LEASE_EXPIRY_MARGIN_MS = 250
/** Longest time after which a worker is assumed to carry out a call that it has not answered, in milliseconds (docs/questions.md, 3). */
export const MAX_CALL_DELAY_MS = 12_000
/** Time for which a worker may wait for a finished run before it answers a heartbeat. */
export const HEARTBEAT_WAIT_MS = 800
/** Time beyond the wait after which the answer to a heartbeat is overdue: three round trips between regions, rounded up. */
export const HEARTBEAT_OVERDUE_MS = 150
/** Minimum interval between heartbeats, so that runs that finish close together share one answer. */
export const MIN_HEARTBEAT_INTERVAL_MS = 100
/** Timeout of a call to a worker, in addition to the time that the worker may wait. */
export const WORKER_TIMEOUT_MS = 900
export const WORKER_RETRY_MS = 300
/** Delay before the stop of a run that is still listed is sent again. */
export const STOP_RETRY_MS = 600
/** Maximum number of finished runs that a worker lists in one answer; a full list may be incomplete. */
export const MAX_FINISHED_RUNS_LISTED = 500

/** Run numbers reserved for each leader epoch, so that no two leaders use the same number. */
export const RUNS_PER_EPOCH = 1_000
/** Fencing tokens reserved for each leader epoch. */
export const TOKENS_PER_EPOCH = 2 ** 20

/** Timeout of a call to another daemon. The round trip between regions takes 40 ms. */
export const PEER_TIMEOUT_MS = 400
/** Timeout of a call by which another daemon sends its configuration: 3.7 MB at 10 Mbit/s. */
export const CONFIG_TRANSFER_TIMEOUT_MS = 3_000
/** Subtracted from the validity of a ticket to cover the transfer to the leader and then to the worker. */
export const TICKET_EXPIRY_MARGIN_MS = 150
/** Maximum number of workers that the placement policy service takes in one call. */
export const MAX_ADVICE_WORKERS = 100
/** Timeout of an advice call, in addition to its expected duration. */
export const ADVICE_TIMEOUT_MS = 1_500
/** Pause before a daemon whose advice call failed is asked again. */
export const AGENT_BACKOFF_MS = 1_500

/** Maximum number of occurrences of a scheduled job that are under way at a time; later ones wait for one of them to end. */
export const MAX_LIVE_OCCURRENCES = 100

/** Progress at which a long-running task is ready; a run that has reached it can't stall. */
export const READY_PERCENT = 100

/** Interval between scheduling rounds without an event; bounds the delay of decisions that depend on time. */
export const SCHEDULING_INTERVAL_MS = 200
/** Time for which the outcome of an ended job is kept beyond the retention promised to callers. */
export const ENDED_RETENTION_MARGIN_MS = 60_000

/**
 * Fraction of the time within which a change must take effect: what has not been read again for that long is too old to
 * act on. The rest is left for a change that is being read.
 */
export const TOO_OLD_FRACTION = 0.8
