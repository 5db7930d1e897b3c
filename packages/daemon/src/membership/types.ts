/** Identity and addresses of a daemon. */
export interface Member {
  readonly daemonId: string
  /** Generated at each start of the process. */
  readonly incarnation: string
  readonly region: string
  readonly failureDomain: string
  /** `ip:port` of the gRPC listener for peers. */
  readonly peerAddress: string
  readonly callerAddress: string
  readonly operatorAddress: string
}

/** Value of a row of table `sessions`, key `<failureDomain>/<daemonId>`. */
export interface SessionRow extends Member {
  /** Grows with each renewal. */
  readonly counter: number
  /** Set by a planned stop: the session has ended. */
  readonly released: boolean
}

/** Value of a row of table `shards`, key `<shardId>`. */
export interface ShardRow {
  readonly shardId: string
  readonly epoch: number
  readonly owner: Member
  /** Set by a planned stop: the owner has given up all authority over the shard. */
  readonly released: boolean
  readonly holdMs: number
  readonly taskLeaseMs: number
  /** Former owners whose authority was not known to have ended at the takeover, latest first. */
  readonly predecessors: readonly Predecessor[]
}

/** A former owner that may still hold detached authority, or finish requests in flight. */
export interface Predecessor {
  readonly member: Member
  readonly epoch: number
  readonly holdMs: number
  readonly taskLeaseMs: number
  /** Set when it gave up its authority in a planned stop, and may only finish requests in flight. */
  readonly released: boolean
}

/** Authority over a shard at the moment when it was asked for. */
export interface Authority {
  readonly shardId: string
  readonly epoch: number
  /** `detached` when the session has lapsed because the table service can't be reached. */
  readonly mode: 'attached' | 'detached'
}

/** Why an owner lost its authority. */
export type LossReason = 'superseded' | 'hold-expired' | 'released'

/** Told when authority over shards changes. */
export interface OwnershipListener {
  acquired (authority: Authority): void
  /** The shard is no longer this daemon's; nothing may be sent for it any more. */
  lost (shardId: string, reason: LossReason): void
}

/** Sessions of all daemons and ownership of shards. */
export interface Ownership {
  /**
   * Returns the authority over a shard, or undefined when this daemon has none. Checked against the
   * clock on each call: ask again right before each send.
   */
  authority (shardId: string): Authority | undefined
  /** Shards over which this daemon has authority now. */
  ownedShards (): readonly Authority[]
  /**
   * True when no former owner of the shard can have any authority left over workers that can't be
   * reached. Leases that it granted last may still run for `taskLeaseMs`.
   */
  predecessorsEnded (shardId: string): boolean
  /** Former owner that must be asked for its requests in flight, if one may still have authority. */
  predecessor (shardId: string): Predecessor | undefined
  /** Takes note that a former owner has confirmed that it has given up. */
  predecessorGaveUp (shardId: string, epoch: number): void
  /** Takes note of an epoch, and its owner if known, learned from a peer; gives up a shard that has a higher one. */
  observeEpoch (shardId: string, epoch: number, owner?: Member): void
  /** Last known owner of each shard, from the table service or peers. */
  owners (): ReadonlyMap<string, { readonly epoch: number, readonly owner: Member }>
  /** Daemons whose sessions look live, without this one. */
  peers (): readonly Member[]
  readonly self: Member
}
