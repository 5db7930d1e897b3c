/** Deadline of calls that read or change little state at the peer. */
export const PEER_CALL_TIMEOUT_MS = 2_000
/** Time to establish a connection to a peer; covers several round trips between regions. */
export const PEER_CONNECT_TIMEOUT_MS = 1_000
/** Largest message accepted. A state of 8 shards with 100 services each takes about 30 KB. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024
/** Largest request body that an owner takes over `Route`. */
export const MAX_ROUTE_BODY_BYTES = 8 * 1024 * 1024
/** Body bytes in one frame; small frames keep a large body from delaying other streams of the connection. */
export const FRAME_BYTES = 64 * 1024
/** Time for which the entry waits past the deadline for the owner's own verdict. */
export const VERDICT_GRACE_MS = 100
/** Time within which the whole request must follow the start of a `Route` stream. */
export const ROUTE_REQUEST_TIMEOUT_MS = 10_000
/** Streams that one peer may have open at the same time. */
export const MAX_STREAMS_PER_PEER = 4_096
/** Age at which the last state of a peer is dropped. */
export const PEER_STATE_TTL_MS = 10_000
/** A stamp further ahead of the wall clock than this is not observed, since it would corrupt the clock of the whole cell. */
export const MAX_HLC_AHEAD_MS = 24 * 60 * 60_000
/** Time after which an unused connection to a peer is closed. */
export const PEER_IDLE_MS = 120_000
