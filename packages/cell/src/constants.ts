/**
 * The store handles the transactions of one partition one after another, about two a second while it is slow.
 * Admissions are spread over several partitions; the leader's writes are few and large and share a few.
 */
export const ADMISSION_PARTITIONS = 128
/** Partitions of what only the leader writes, each fenced by an epoch row of its own. */
export const LEADER_PARTITIONS = 4
/** Partition of the lease, so that its renewal doesn't wait for other transactions. */
export const LEASE_PARTITION = 'lease'
/** Partition of the addresses of the daemons. */
export const DAEMONS_PARTITION = 'daemons'

export const TABLES = {
  /** Live jobs by `ID` and cancellations by `ID.cancel`, in the partition of the job. */
  jobs: 'jobs',
  /** What the tasks of a live job are told to do, by job id, in the partition of the job. */
  payloads: 'payloads',
  /** Outcomes of ended jobs by job id, in the partition of the job. */
  ended: 'ended',
  /** Progress of live jobs, and the outcome of jobs that ended a short time ago, by job id. */
  progress: 'progress',
  /** `lease`, `epoch`, and `roster`, the workers that may run something. */
  leader: 'leader',
  /** Peer addresses of the daemons. */
  daemons: 'daemons'
} as const

/** Validity of the leader's lease from the moment its renewal was sent, in milliseconds. */
export const LEASE_TTL_MS = 2_000
/** Time for which a candidate must see the lease unchanged before it takes over: the TTL and 10% for clock drift. */
export const TAKEOVER_AFTER_MS = 2_200
export const LEASE_RENEW_MS = 500
export const LEASE_OBSERVE_MS = 600
/** Time without a renewal after which the lease is looked at more often, so that a takeover is not late by a whole interval. */
export const LEASE_OVERDUE_MS = 1_100
export const LEASE_OBSERVE_OVERDUE_MS = 150
/** Bound on one call that renews or reads the lease; two calls fit into the TTL, also while the store is slow. */
export const LEASE_CALL_TIMEOUT_MS = 950

/** Bound on one call to the store, in milliseconds. A slow store takes about 900 ms for a transaction. */
export const STORE_TIMEOUT_MS = 1_400
/** Bound on one read of a new leader: on a narrow link the pages of many partitions arrive one after another. */
export const LOAD_TIMEOUT_MS = 4_000
/** Pause between two reads of the changes that notifications may have missed. */
export const CHANGES_POLL_MS = 1_000
/** Pause that lets further changes join a transaction of the leader. */
export const COMMIT_GAP_MS = 12
export const COMMIT_RETRY_MS = 150
/** Entries of one transaction that the store allows, less one for the epoch. */
export const MAX_TRANSACTION_ENTRIES = 99

/** Interval between reads of the worker registry; half of the time in which a draining worker must be left alone. */
export const REGISTRY_POLL_MS = 700
export const CONFIG_WATCH_MS = 1_000

/** Length of the lease on everything that runs on a worker, in milliseconds, unless the worker allows less. */
export const TASK_LEASE_MS = 5_000
/** Rate of a worker's clock against ours at its slowest. */
export const WORKER_CLOCK_RATE = 0.98
/** Added to the computed end of a lease before its runs count as dead. */
export const LAPSE_MARGIN_MS = 250
/** Time that a worker may wait for the end of a run before it answers a hold. */
export const HOLD_WAIT_MS = 800
/** Time beyond the wait after which the answer of a hold is overdue: three times the way between regions and back, rounded up. */
export const HOLD_OVERDUE_MS = 150
/** Shortest time between two holds, so that ends that come close together share one call. */
export const HOLD_GAP_MS = 25
/** Time for the answer of a worker beyond what it was told to wait. */
export const WORKER_TIMEOUT_MS = 900
export const WORKER_RETRY_MS = 300
/** Pause between repetitions of a stop whose run is still listed. */
export const STOP_RETRY_MS = 600
/** Ends that a worker lists in one answer; a full list may leave out ends. */
export const MAX_ENDS_LISTED = 500

/** Run numbers reserved for one leader epoch, so that two leaders never use the same one. */
export const RUNS_PER_EPOCH = 1_000
/** Fencing tokens reserved for one leader epoch. */
export const TOKENS_PER_EPOCH = 2 ** 20

/** Bound on a call to another daemon, in milliseconds; regions are 40 ms apart and back. */
export const PEER_TIMEOUT_MS = 400
/** Time taken off the validity of a ticket for the ways to the leader and to the worker. */
export const TICKET_SLACK_MS = 150
/** Workers named in one call for advice. */
export const MAX_ADVICE_WORKERS = 40
/** Bound on a call for advice beyond its computed time. */
export const ADVICE_TIMEOUT_MS = 1_500
export const AGENT_BACKOFF_MS = 1_500

/** Progress at which a task that lasts is at work; a run that has reached it can't stall. */
export const AT_WORK_PERCENT = 100

/** Interval of the pass that no event triggered; bounds the delay of anything that depends on time. */
export const IDLE_PASS_MS = 200
/** Time for which the outcome of an ended job is kept beyond what callers are promised. */
export const ENDED_RETENTION_SLACK_MS = 60_000
