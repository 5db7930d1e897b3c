import type { Clock } from '../clock.js'
import { MAX_TRANSACTION_ROWS } from '../constants.js'
import type { Log } from '../logger.js'
import type { Row, RowWrite, TableService } from '../platform/index.js'
import type { Timeline } from '../timeline/index.js'
import { holdEndMs, resolveMembershipOptions } from './options.js'
import type { MembershipOptions, ResolvedMembershipOptions } from './options.js'
import { SessionTracker, sessionKey } from './sessionTracker.js'
import { rendezvousOrder } from './shardId.js'
import { Stopwatch } from './stopwatch.js'
import type {
  Authority, LossReason, Member, Ownership, OwnershipListener, Predecessor, SessionRow, ShardRow
} from './types.js'

/** A renewal checks the row of every owned shard in the same transaction as the session row. */
const MAX_OWNED_SHARDS = MAX_TRANSACTION_ROWS - 1
/** Attempts to write the rows of a planned stop before other daemons are left to wait for the session to lapse. */
const RELEASE_ATTEMPTS = 5
const RENEW_ATTEMPTS = 3

/** A shard and where its workers are. */
export interface ShardPlace {
  readonly shardId: string
  readonly failureDomain: string
  readonly region: string
}

export interface MembershipDependencies {
  readonly self: Member
  readonly tables: TableService
  readonly clock: Clock
  readonly log: Log
  readonly timeline: Timeline
  /** All shards of the cell, as far as they are known. */
  readonly shards: () => readonly ShardPlace[]
  readonly options?: MembershipOptions
}

interface WaitingFor {
  readonly predecessor: Predecessor
  /** Monotonic time from which its remaining authority is counted. */
  readonly since: number
}

interface Owned {
  readonly place: ShardPlace
  readonly row: ShardRow
  readonly version: number
  readonly predecessors: readonly WaitingFor[]
  /** Started when the last write was sent that confirmed both the session and this shard. */
  validity: Stopwatch
  mode: Authority['mode']
}

interface SeenShard {
  readonly row: ShardRow | undefined
  readonly version: number
  /** Monotonic time of the first read that showed this version. */
  readonly firstSeenAt: number
  lastReadAt: number
}

/** Sessions of all daemons and ownership of shards, kept in the table service. */
export class Membership implements Ownership {
  private readonly sessions: SessionTracker
  private readonly shardRows = new Map<string, SeenShard>()
  private readonly owned = new Map<string, Owned>()
  private readonly listeners = new Set<OwnershipListener>()
  private readonly peerOwners = new Map<string, { readonly epoch: number, readonly owner: Member }>()
  private readonly highestEpochs = new Map<string, number>()
  private readonly gaveUp = new Set<string>()
  /** Version of the row that declares a failure domain lost. */
  private readonly lostDomains = new Map<string, number>()
  private readonly ended = new AbortController()
  private knownPeers = new Map<string, Member>()
  private sessionVersion = 0
  private sessionCounter = 0
  /** True once the table service held a session row of this incarnation. */
  private isRegistered = false
  private isStopping = false
  /** Started when the last successful renewal was sent. */
  private renewal: Stopwatch | undefined

  private constructor (
    readonly self: Member,
    private readonly tables: TableService,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly timeline: Timeline,
    private readonly shards: () => readonly ShardPlace[],
    private readonly options: ResolvedMembershipOptions
  ) {
    this.sessions = SessionTracker.create(options.takeoverAfterMs)
  }

  static create (deps: MembershipDependencies): Membership {
    const { self, tables, clock, log, timeline, shards } = deps
    return new Membership(self, tables, clock, log, timeline, shards, resolveMembershipOptions(deps.options))
  }

  /**
   * Keeps the session and takes over shards until `signal` aborts or the session has been released.
   * Returns early when another incarnation of this daemon has replaced it.
   */
  async run (signal: AbortSignal): Promise<void> {
    const either = AbortSignal.any([signal, this.ended.signal])
    await Promise.all([
      this.keepSession(either),
      this.watchOwnDomain(either),
      this.watchOtherDomains(either),
      this.watchHolds(either)
    ])
  }

  addListener (listener: OwnershipListener): void {
    this.listeners.add(listener)
  }

  /**
   * Planned stop: releases every owned shard, waits for `drained`, then releases the session. Call it
   * while `run` is active, so that the session stays valid meanwhile. No shard is taken over afterwards.
   */
  async handOver (drained: () => Promise<void> = async () => {}): Promise<void> {
    this.isStopping = true
    await Promise.all([...this.owned.values()].map(async owned => {
      this.drop(owned, 'released')
      await this.releaseShard(owned.row, owned.version)
    }))
    await drained()
    this.ended.abort()
    await this.releaseSession()
  }

  authority (shardId: string): Authority | undefined {
    const owned = this.owned.get(shardId)
    return owned === undefined ? undefined : this.authorityOver(owned)
  }

  ownedShards (): readonly Authority[] {
    return [...this.owned.values()].flatMap(owned => this.authorityOver(owned) ?? [])
  }

  predecessorsEnded (shardId: string): boolean {
    const owned = this.owned.get(shardId)
    return owned !== undefined &&
      owned.predecessors.every(waiting => waiting.predecessor.released || this.hasEnded(owned, waiting))
  }

  predecessor (shardId: string): Predecessor | undefined {
    const owned = this.owned.get(shardId)
    return owned?.predecessors.find(waiting => !this.hasEnded(owned, waiting))?.predecessor
  }

  predecessorGaveUp (shardId: string, epoch: number): void {
    const owned = this.owned.get(shardId)
    if (owned !== undefined && epoch < owned.row.epoch) this.gaveUp.add(epochKey(shardId, epoch))
  }

  observeEpoch (shardId: string, epoch: number, owner?: Member): void {
    if (owner !== undefined && epoch >= (this.peerOwners.get(shardId)?.epoch ?? 0)) {
      this.peerOwners.set(shardId, { epoch, owner })
    }
    if (epoch > (this.highestEpochs.get(shardId) ?? 0)) this.highestEpochs.set(shardId, epoch)
    const owned = this.owned.get(shardId)
    if (owned !== undefined && epoch > owned.row.epoch) this.drop(owned, 'superseded')
  }

  owners (): ReadonlyMap<string, { readonly epoch: number, readonly owner: Member }> {
    const owners = new Map(this.peerOwners)
    for (const [shardId, { row }] of this.shardRows) {
      if (row === undefined || row.epoch < (owners.get(shardId)?.epoch ?? 0)) continue
      if (row.released) owners.delete(shardId)
      else owners.set(shardId, { epoch: row.epoch, owner: row.owner })
    }
    for (const [shardId, { row }] of this.owned) owners.set(shardId, { epoch: row.epoch, owner: this.self })
    return owners
  }

  peers (): readonly Member[] {
    return this.sessions.live().filter(member => member.daemonId !== this.self.daemonId)
  }

  private async keepSession (signal: AbortSignal): Promise<void> {
    const { sessionRenewMs } = this.options
    while (!signal.aborted) {
      const startedAt = this.clock.now()
      await this.renewSession(signal)
      // Counted from the start, so that a slow table service doesn't use up the TTL.
      const restMs = sessionRenewMs - (this.clock.now() - startedAt)
      await this.clock.sleep(Math.max(restMs, sessionRenewMs / 20), signal)
    }
  }

  private async watchOwnDomain (signal: AbortSignal): Promise<void> {
    const { failureDomain } = this.self
    let shardsReadAt = -Infinity
    while (!signal.aborted) {
      const places = this.shards().filter(place => place.failureDomain === failureDomain)
      const sessions = await this.scanAll('sessions', `${failureDomain}/`)
      if (sessions !== undefined) {
        this.sessions.observeDomain(failureDomain, sessions, this.clock.now())
        const isDue = this.clock.now() - shardsReadAt >= this.options.shardPollMs
        if (isDue && await this.readShards(places)) shardsReadAt = this.clock.now()
        await this.readRemoteSessions(places)
        await this.readLostDomains()
        await this.claimShards(places, signal)
        this.recordPeers()
      }
      await this.clock.sleep(this.options.pollMs, signal)
    }
  }

  private async watchOtherDomains (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isRead = await this.readOtherDomains()
      if (isRead) await this.claimShards(this.otherPlaces(), signal)
      await this.clock.sleep(isRead ? this.options.othersPollMs : this.options.pollMs, signal)
    }
  }

  private async watchHolds (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const owned of [...this.owned.values()]) this.noteMode(owned)
      await this.clock.sleep(this.options.pollMs, signal)
    }
  }

  /** Extends the session, if all owned shards are still owned; shards that aren't are given up. */
  private async renewSession (signal: AbortSignal): Promise<void> {
    for (let attempt = 0; attempt < RENEW_ATTEMPTS && !signal.aborted; attempt++) {
      const confirmed = [...this.owned.values()].filter(owned => this.authorityOver(owned) !== undefined)
      const sent = Stopwatch.start(this.clock)
      const result = await this.tables.transact([
        this.sessionWrite(false),
        ...confirmed.map(({ place, version }) => checkWrite('shards', place.shardId, version))
      ])
      if (result.err) {
        // The session isn't extended, even when the write took effect.
        if (result.val.verdict !== 'not-run') await this.readBackSession()
        return
      }
      if (result.val.committed) {
        this.sessionVersion = result.val.versions[0] ?? 0
        this.isRegistered = true
        this.renewal = sent
        for (const owned of confirmed) owned.validity = sent
        return
      }
      for (const conflict of result.val.conflicts) {
        const owned = confirmed.find(({ place }) => place.shardId === conflict.key)
        if (conflict.table === 'shards' && owned !== undefined) this.drop(owned, 'superseded')
      }
      const isOwnRow = await this.readBackSession()
      if (!isOwnRow) return
    }
  }

  /** Learns the version of the own session row. Returns false when it can't be renewed now. */
  private async readBackSession (): Promise<boolean> {
    const key = sessionKey(this.self)
    const result = await this.tables.read([{ table: 'sessions', key }])
    if (result.err) return false
    const row = result.val[0]
    this.sessions.observe(key, row, this.clock.now())
    const session = row?.value as SessionRow | undefined
    const isOwn = session?.incarnation === this.self.incarnation
    if (this.isRegistered && session !== undefined && !isOwn) {
      this.log.error('session was replaced by another incarnation, giving up all shards', { incarnation: session.incarnation })
      this.isStopping = true
      for (const owned of [...this.owned.values()]) this.drop(owned, 'superseded')
      this.ended.abort()
      return false
    }
    if (isOwn) this.isRegistered = true
    this.sessionVersion = row?.version ?? 0
    return true
  }

  private sessionWrite (released: boolean): RowWrite {
    const value: SessionRow = { ...this.self, counter: ++this.sessionCounter, released }
    return { table: 'sessions', key: sessionKey(this.self), ifVersion: this.sessionVersion, value }
  }

  private async readOtherDomains (): Promise<boolean> {
    const places = this.otherPlaces()
    const rows = await this.scanAll('sessions', '')
    if (rows === undefined) return false
    const now = this.clock.now()
    const domains = new Set([...places.map(place => place.failureDomain), ...rows.map(row => domainOf(row.key))])
    for (const domain of domains) {
      this.sessions.observeDomain(domain, rows.filter(row => domainOf(row.key) === domain), now)
    }
    return this.readShards(places)
  }

  private otherPlaces (): readonly ShardPlace[] {
    return this.shards().filter(place => place.failureDomain !== this.self.failureDomain)
  }

  /** Reads sessions of other failure domains on which shards of this one, or owned ones, depend. */
  private async readRemoteSessions (places: readonly ShardPlace[]): Promise<void> {
    const owners = places.flatMap(place => this.shardRows.get(place.shardId)?.row?.owner ?? [])
    const former = [...this.owned.values()].flatMap(owned => this.waitingFor(owned)).map(waiting => waiting.predecessor.member)
    await this.readSessions([...owners, ...former].filter(member => member.failureDomain !== this.self.failureDomain))
  }

  private async readSessions (members: readonly Member[]): Promise<boolean> {
    const keys = new Set(members.map(sessionKey))
    if (keys.size === 0) return true
    const result = await this.tables.read([...keys].map(key => ({ table: 'sessions', key })))
    if (result.err) return false
    for (const key of keys) this.sessions.observe(key, result.val.find(row => row.key === key), this.clock.now())
    return true
  }

  /** Reads operators' declarations that end the authority for which an owned shard waits. */
  private async readLostDomains (): Promise<void> {
    const domains = new Set([...this.owned.values()].flatMap(owned => this.waitingFor(owned)
      .flatMap(({ predecessor }) => [owned.place.failureDomain, predecessor.member.failureDomain])))
    if (domains.size === 0) return
    const result = await this.tables.read([...domains].map(key => ({ table: 'lost', key })))
    if (result.err) return
    for (const domain of domains) this.lostDomains.delete(domain)
    for (const row of result.val) this.lostDomains.set(row.key, row.version)
  }

  private async readShards (places: readonly ShardPlace[]): Promise<boolean> {
    if (places.length === 0) return true
    const result = await this.tables.read(places.map(({ shardId }) => ({ table: 'shards', key: shardId })))
    if (result.err) return false
    for (const { shardId } of places) this.observeShard(shardId, result.val.find(row => row.key === shardId))
    // Scans don't show owners whose session rows are absent.
    const owners = places.flatMap(place => this.shardRows.get(place.shardId)?.row?.owner ?? [])
    return this.readSessions(owners.filter(owner => !this.sessions.has(sessionKey(owner))))
  }

  private observeShard (shardId: string, found: Row | undefined) {
    const now = this.clock.now()
    const version = found?.version ?? 0
    const row = found?.value as ShardRow | undefined
    const seen = this.shardRows.get(shardId)
    if (seen !== undefined && version < seen.version) return
    if (seen?.version === version) seen.lastReadAt = now
    else this.shardRows.set(shardId, { row, version, firstSeenAt: now, lastReadAt: now })
    const owned = this.owned.get(shardId)
    if (owned !== undefined && version > owned.version) this.drop(owned, 'superseded')
    if (row !== undefined) this.observeEpoch(shardId, row.epoch)
  }

  private async claimShards (places: readonly ShardPlace[], signal: AbortSignal): Promise<void> {
    const claimable = places.filter(place => this.mayClaim(place))
    if (claimable.length === 0 || !await this.readShards(claimable)) return
    for (const place of claimable) {
      if (!signal.aborted && this.mayClaim(place)) await this.claim(place)
    }
  }

  private mayClaim (place: ShardPlace): boolean {
    const seen = this.shardRows.get(place.shardId)
    const rank = this.rank(place)
    if (this.isStopping || !this.isSessionValid() || seen === undefined || rank === undefined) return false
    if (this.owned.has(place.shardId) || this.owned.size >= MAX_OWNED_SHARDS) return false
    const { pollMs, takeoverAfterMs, takeoverRankStepMs } = this.options
    const rankMs = rank * takeoverRankStepMs
    const seenMs = seen.lastReadAt - seen.firstSeenAt
    // The first wait lets daemons that start together see one another.
    if (seen.row === undefined) return seenMs >= 2 * pollMs + rankMs
    if (seen.row.released) return seenMs >= rankMs
    if (seen.row.owner.incarnation === this.self.incarnation) return true
    return this.sessions.unchangedForMs(seen.row.owner) >= takeoverAfterMs + rankMs
  }

  /** Place of this daemon among the candidates for a shard; undefined when it is none. */
  private rank ({ shardId, failureDomain, region }: ShardPlace): number | undefined {
    const others = this.peers()
    const inDomain = others.filter(member => member.failureDomain === failureDomain)
    if (this.self.failureDomain === failureDomain) return rankOf(shardId, this.self, inDomain)
    if (inDomain.length > 0) return undefined
    // Sessions of other failure domains are read rarely: a single read that shows none may just be early.
    const emptySince = this.sessions.emptyDomainSince(failureDomain) ?? Infinity
    if (this.clock.now() - emptySince < this.options.othersPollMs) return undefined
    const inRegion = others.filter(member => member.region === region)
    if (this.self.region === region) return rankOf(shardId, this.self, inRegion)
    return inRegion.length > 0 ? undefined : rankOf(shardId, this.self, others)
  }

  /** Writes the shard row, on condition that neither it nor the owner's session row has changed. */
  private async claim (place: ShardPlace): Promise<void> {
    const { shardId } = place
    const seen = this.shardRows.get(shardId)
    const validity = this.renewal
    if (seen === undefined || validity === undefined) return
    const predecessors = this.remainingPredecessors(seen, place)
    const value: ShardRow = {
      shardId,
      epoch: Math.max(seen.row?.epoch ?? 0, this.highestEpochs.get(shardId) ?? 0) + 1,
      owner: this.self,
      released: false,
      holdMs: this.options.holdMs,
      taskLeaseMs: this.options.taskLeaseMs,
      predecessors: predecessors.map(waiting => waiting.predecessor)
    }
    const writes: RowWrite[] = [{ table: 'shards', key: shardId, ifVersion: seen.version, value }]
    if (seen.row !== undefined && !seen.row.released) {
      const key = sessionKey(seen.row.owner)
      const isOwnKey = key === sessionKey(this.self)
      writes.push(checkWrite('sessions', key, isOwnKey ? this.sessionVersion : this.sessions.version(key)))
    }
    const result = await this.tables.transact(writes)
    const version = result.ok
      ? result.val.committed ? result.val.versions[0] : undefined
      : result.val.verdict === 'not-run' ? undefined : await this.readBackClaim(value)
    if (version === undefined) return
    this.observeShard(shardId, { table: 'shards', key: shardId, version, value })
    if (this.shardRows.get(shardId)?.version !== version) return
    if (this.isStopping) await this.releaseShard(value, version)
    else this.acquire({ place, row: value, version, predecessors, validity, mode: 'attached' })
  }

  /** Returns the version of the shard row if it is the one that this daemon wrote. */
  private async readBackClaim (written: ShardRow): Promise<number | undefined> {
    const result = await this.tables.read([{ table: 'shards', key: written.shardId }])
    const row = result.ok ? result.val[0] : undefined
    const value = row?.value as ShardRow | undefined
    const isOurs = value?.owner.incarnation === this.self.incarnation && value.epoch === written.epoch && !value.released
    return isOurs ? row?.version : undefined
  }

  /** Former owners of a shard that may still have authority, with the start of this daemon's own wait for each. */
  private remainingPredecessors ({ row, firstSeenAt }: SeenShard, place: ShardPlace): readonly WaitingFor[] {
    if (row === undefined) return []
    const { owner, epoch, holdMs, taskLeaseMs, released } = row
    const ownerSince = released ? firstSeenAt : this.sessions.unchangedSince(owner) ?? this.clock.now()
    const latest: WaitingFor = { predecessor: { member: owner, epoch, holdMs, taskLeaseMs, released }, since: ownerSince }
    // The row shows that earlier owners had been superseded when it was first seen, not for how long.
    const earlier = row.predecessors.map(predecessor => ({ predecessor, since: firstSeenAt }))
    return [latest, ...earlier].filter(waiting =>
      waiting.predecessor.member.incarnation !== this.self.incarnation && !this.hasEnded({ place }, waiting))
  }

  private acquire (owned: Owned) {
    const { shardId, epoch } = owned.row
    // A peer may have told of a higher epoch, or the process may have been paused, since the write was sent.
    const authority = this.authorityOver(owned)
    if (authority === undefined || epoch < (this.highestEpochs.get(shardId) ?? 0)) return
    owned.mode = authority.mode
    this.owned.set(shardId, owned)
    this.highestEpochs.set(shardId, epoch)
    this.record('shard-acquired', `took over with epoch ${epoch}`, shardId)
    this.log.info('took over a shard', { shardId, epoch, predecessors: owned.row.predecessors.length })
    for (const listener of this.listeners) listener.acquired(authority)
  }

  private drop (owned: Owned, reason: LossReason) {
    const { shardId, epoch } = owned.row
    if (this.owned.get(shardId) !== owned) return
    this.owned.delete(shardId)
    this.record(reason === 'released' ? 'shard-released' : 'shard-lost', `gave up epoch ${epoch}: ${reason}`, shardId)
    this.log.info('gave up a shard', { shardId, epoch, reason })
    for (const listener of this.listeners) listener.lost(shardId, reason)
  }

  private noteMode (owned: Owned) {
    const authority = this.authorityOver(owned)
    if (authority === undefined) return this.drop(owned, 'hold-expired')
    if (authority.mode === owned.mode) return
    owned.mode = authority.mode
    const { shardId } = owned.row
    if (authority.mode === 'detached') this.record('shard-detached', 'the session lapsed without a successful renewal', shardId)
    else this.record('shard-acquired', `the session is valid again, still epoch ${authority.epoch}`, shardId)
    this.log.warn('authority changed its mode', { shardId, mode: authority.mode })
  }

  private authorityOver ({ row, validity }: Owned): Authority | undefined {
    const { shardId, epoch, holdMs } = row
    const elapsedMs = validity.elapsedMs()
    if (elapsedMs >= holdMs) return undefined
    return { shardId, epoch, mode: elapsedMs < this.options.sessionTtlMs ? 'attached' : 'detached' }
  }

  private isSessionValid (): boolean {
    return this.renewal !== undefined && this.renewal.elapsedMs() < this.options.sessionTtlMs
  }

  private waitingFor (owned: Owned): readonly WaitingFor[] {
    return owned.predecessors.filter(waiting => !this.hasEnded(owned, waiting))
  }

  private hasEnded ({ place }: Pick<Owned, 'place'>, { predecessor, since }: WaitingFor): boolean {
    const { member, epoch, holdMs } = predecessor
    return this.gaveUp.has(epochKey(place.shardId, epoch)) ||
      this.sessions.unchangedSince(member) === -Infinity ||
      this.isDeclaredLost(place.failureDomain, member) ||
      this.isDeclaredLost(member.failureDomain, member) ||
      this.clock.now() - since >= holdEndMs(holdMs)
  }

  /** A declaration doesn't apply to a daemon that has renewed its session since. */
  private isDeclaredLost (failureDomain: string, member: Member): boolean {
    const version = this.lostDomains.get(failureDomain)
    return version !== undefined && version > this.sessions.version(sessionKey(member))
  }

  private async releaseShard (row: ShardRow, version: number): Promise<void> {
    const { shardId, epoch } = row
    const isReleased = await this.writeRelease(
      () => ({ table: 'shards', key: shardId, ifVersion: version, value: { ...row, released: true } }),
      found => {
        const value = found?.value as ShardRow | undefined
        return value === undefined || value.epoch !== epoch || value.released
      }
    )
    if (!isReleased) this.log.warn('could not release a shard, others take it over when the session lapses', { shardId, epoch })
  }

  private async releaseSession (): Promise<void> {
    const isReleased = await this.writeRelease(
      () => this.sessionWrite(true),
      found => {
        const value = found?.value as SessionRow | undefined
        const isOwn = value?.incarnation === this.self.incarnation
        if (isOwn) this.sessionVersion = found?.version ?? 0
        return !isOwn || value.released
      }
    )
    if (!isReleased) this.log.warn('could not release the session, it lapses')
  }

  /** Writes until the table service has answered, or a row read back shows that nothing is left to release. */
  private async writeRelease (write: () => RowWrite, isDone: (found: Row | undefined) => boolean): Promise<boolean> {
    for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt++) {
      if (attempt > 0) await this.clock.sleep(this.options.pollMs / 2)
      const { table, key, ...rest } = write()
      const result = await this.tables.transact([{ table, key, ...rest }])
      if (result.ok && result.val.committed) return true
      const found = await this.tables.read([{ table, key }])
      if (found.ok && isDone(found.val[0])) return true
    }
    return false
  }

  private async scanAll (table: string, prefix: string): Promise<readonly Row[] | undefined> {
    const rows: Row[] = []
    for (;;) {
      const after = rows.at(-1)?.key
      const result = await this.tables.scan(table, { prefix, limit: 1000, ...(after === undefined ? {} : { after }) })
      if (result.err) return undefined
      rows.push(...result.val)
      if (result.val.length < 1000) return rows
    }
  }

  private recordPeers () {
    const peers = new Map(this.peers().map(member => [member.daemonId, member]))
    for (const id of peers.keys()) {
      if (!this.knownPeers.has(id)) this.timeline.record('peer-joined', `the session of ${id} is live`)
    }
    for (const id of this.knownPeers.keys()) {
      if (!peers.has(id)) this.timeline.record('peer-lost', `the session of ${id} has ended`)
    }
    this.knownPeers = peers
  }

  private record (type: Parameters<Timeline['record']>[0], message: string, shardId: string) {
    this.timeline.record(type, message, { shardId })
  }
}

function rankOf (shardId: string, self: Member, others: readonly Member[]): number {
  return rendezvousOrder(shardId, [self.daemonId, ...others.map(member => member.daemonId)]).indexOf(self.daemonId)
}

function checkWrite (table: string, key: string, version: number): RowWrite {
  return { table, key, ifVersion: version, value: null, check: true }
}

function epochKey (shardId: string, epoch: number): string {
  return `${shardId} ${epoch}`
}

function domainOf (sessionKey: string): string {
  return sessionKey.slice(0, sessionKey.lastIndexOf('/'))
}
