import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { Stopwatch } from '@citronnotch/base/stopwatch'
import {
  LEASE_OBSERVE_MS, LEASE_OBSERVE_OVERDUE_MS, LEASE_OVERDUE_MS, LEASE_READ_TIMEOUT_MS, LEASE_RENEW_LAPSED_MS, LEASE_RENEW_MS,
  LEASE_SUSPECT_MS, LEASE_TTL_MS, LEASE_PARTITION, TAKEOVER_AFTER_MS
} from './constants.js'
import { LEASE_RANGE, LEASE_ROW, RENEWAL_ROW, isCurrent, isRenewed, parseState } from './leaseRows.js'
import type { LeaseState, LeaseValue, RenewalValue } from './leaseRows.js'
import type { RowStore } from './ports.js'

/** Minimum delay between two calls of the loop to the store. */
const MIN_PAUSE_MS = 50
/** Extra delay before a less capable daemon takes over, so that a better candidate can take over first. */
const LESS_CAPABLE_DELAY_MS = 1_200
/** Attempts to release the lease; it expires on its own if all of them fail. */
const RELEASE_ATTEMPTS = 3
/** Pause before a stopping holder looks for a successor again. */
const SUCCESSOR_RETRY_MS = 200

/** Delay of an early takeover as a multiple of the time to read the lease, so that a daemon near the store comes first. */
const DISTANCE_DELAY_FACTOR = 5
const MAX_DISTANCE_DELAY_MS = 300
/** Weight of the latest read in the mean time to read the lease. */
const READ_TIME_WEIGHT = 0.3

/** The lease of this daemon while it is the holder. */
interface HeldLease {
  readonly value: LeaseValue
  readonly version: number
}

/** What a request to take over says of the holder that issues no more commands. */
export interface TakeoverRequest {
  readonly holder: string
  readonly epoch: number
  /** Number of renewals that the holder has sent in this epoch. Any later one withdraws the request. */
  readonly renewals: number
}

/** A daemon that can take the lease over from this one. */
export interface Successor {
  readonly peerAddress: string
  /** Resolves with whether the daemon has taken the lease over; after `false` it may still do so. */
  takeOver (req: TakeoverRequest): Promise<boolean>
}

/** A lease that this daemon has gained. */
export interface GainedLease {
  readonly epoch: number
  /** Version of the lease row that began the epoch. */
  readonly version: number
  /** Whether the lease of an earlier holder may not have ended: unless it is dead, it may issue commands for another `LEASE_TTL_MS`. */
  readonly isEarly: boolean
}

export interface LeaderLeaseOptions {
  /** Unique per daemon incarnation. */
  readonly holder: string
  readonly peerAddress: string
  readonly store: RowStore
  /** Store for renewals. They overlap instead of being hedged: repeated renewals would hold up later ones while the store is slow. */
  readonly unhedgedStore: RowStore
  readonly clock: Clock
  readonly log: Log
  readonly onGained: (gained: GainedLease) => void
  readonly onLost: (reason: string) => void
  /** Whether a more capable daemon exists; if so, this one waits longer before it takes over. */
  readonly hasBetterCandidate?: () => boolean
  /** Whether connections to this peer address are refused, which they are when its daemon is dead and its VM is not. */
  readonly refusesConnections?: (peerAddress: string) => Promise<boolean>
  /** Finds another daemon that the store answers quickly; resolves with undefined if there is none. */
  readonly findSuccessor?: () => Promise<Successor | undefined>
}

/**
 * Lease on the leadership of the cell, kept in two rows of the store: one names the holder, the other counts its
 * renewals. A renewal expects the first row unchanged and writes the second, so that renewals may overlap when the store
 * is slow. A takeover expects both rows as they were read.
 *
 * The lease is valid for `LEASE_TTL_MS` from the moment the last acknowledged renewal was sent. If the store is
 * unavailable for longer, the leader pauses; the next acknowledged renewal resumes the same epoch unless another daemon
 * has taken over.
 */
export class LeaderLease {
  private observed: LeaseState | undefined
  private held: HeldLease | undefined
  /** Started when the last acknowledged takeover or renewal was sent; undefined while nothing proves that the lease is valid. */
  private sinceRenewal: Stopwatch | undefined
  /** Monotonic time of the first read that returned the latest renewal; wall clock steps have no effect on it. */
  private unchangedSince: number | undefined
  /** Monotonic time at which the last renewal was sent. */
  private renewedAt = -Infinity
  private renewalCount = 0
  /** Renewals sent before this monotonic time don't prove that the lease is still held. */
  private proofNotBefore = -Infinity
  private isStopping = false
  private isAcquiring = false
  /** True while this daemon issues no commands because it has asked another one to take over. */
  private isTransferring = false
  private isSeekingSuccessor = false
  private isCheckingHolder = false
  private meanReadTimeMs = 0
  /** Peer address of the daemon that this one has asked last to take the lease over, until the lease is read again. */
  private successorAddress: string | undefined

  private constructor (private readonly options: LeaderLeaseOptions) {}

  static create (options: LeaderLeaseOptions): LeaderLease {
    return new LeaderLease(options)
  }

  // Queries

  /** True while this daemon may issue commands as the leader. */
  isValid (): boolean {
    return this.held !== undefined && !this.isTransferring && this.sinceRenewal !== undefined && this.sinceRenewal.elapsedMs() < LEASE_TTL_MS
  }

  /** Peer address of the last observed leader; undefined if none was observed or it released the lease. */
  leaderAddress (): string | undefined {
    // The store that this daemon has lost does not tell it who leads now; a takeover without an answer may have succeeded.
    if (!this.isValid() && this.successorAddress !== undefined) return this.successorAddress
    const value = this.held?.value ?? this.observed?.value
    return value === undefined || value.released ? undefined : value.peerAddress
  }

  /** Time in which this daemon reads the lease; undefined if that takes longer than `timeoutMs` or it would not take the lease over. */
  async readTimeMs (timeoutMs: number): Promise<number | undefined> {
    if (this.isStopping || this.held !== undefined) return undefined
    const startedAt = this.options.clock.now()
    return await this.readState(timeoutMs) === undefined ? undefined : this.options.clock.now() - startedAt
  }

  // Commands

  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    while (!signal.aborted) {
      const startedAt = clock.now()
      if (this.held === undefined) await this.observe()
      else this.renewIfDue()
      await clock.sleep(Math.max(MIN_PAUSE_MS, this.intervalMs() - (clock.now() - startedAt)), signal)
    }
  }

  /**
   * Renews without waiting for the interval. Called when the store has refused a call: if the renewal is refused too,
   * another daemon that the store still answers is asked to take over.
   */
  renewNow (): void {
    if (this.held !== undefined && !this.isTransferring && this.options.clock.now() - this.renewedAt > MIN_PAUSE_MS) this.renew()
  }

  /**
   * Releases the lease to a successor, so that it doesn't have to wait until the lease expires. While no other daemon
   * can use the store, nobody would be able to lead: this daemon keeps the lease for up to `patienceMs`.
   */
  async release (patienceMs: number): Promise<void> {
    const { store, log, clock, findSuccessor } = this.options
    this.isStopping = true
    const keepUntil = clock.now() + (findSuccessor === undefined ? 0 : patienceMs)
    let successor = await findSuccessor?.()
    while (successor === undefined && this.held !== undefined && clock.now() < keepUntil) {
      await clock.sleep(SUCCESSOR_RETRY_MS)
      successor = await findSuccessor?.()
    }
    const { held } = this
    if (held === undefined) return
    this.lose('the daemon stops')
    for (let attempt = 1; attempt <= RELEASE_ATTEMPTS; attempt++) {
      const res = await store.transact({
        partition: LEASE_PARTITION,
        expect: [{ ...LEASE_ROW, version: held.version }],
        puts: [{ ...LEASE_ROW, value: { ...held.value, released: true } }],
        removes: []
      }, LEASE_READ_TIMEOUT_MS)
      if (res.ok) {
        // After a conflict, either an earlier attempt was applied or another daemon has taken over.
        if (await successor?.takeOver(this.takeoverRequest(held)) === true) log.info('Leadership handed over.', { successor: successor?.peerAddress })
        await this.observe()
        return
      }
      log.warn('Lease release attempt failed.', { attempt, verdict: res.val.verdict, reason: res.val.reason })
    }
  }

  /** Takes over from a holder that issues no more commands. Resolves with whether this daemon now leads. */
  async takeOverFrom (req: TakeoverRequest): Promise<boolean> {
    if (this.isStopping || this.held !== undefined) return false
    const state = await this.readState(LEASE_READ_TIMEOUT_MS)
    if (state !== undefined) {
      if (isCurrent(req, state)) await this.acquire(state)
      else this.options.log.info('Late request to take over ignored.', { ...req, currentHolder: state.value?.holder, currentEpoch: state.value?.epoch, currentRenewals: state.renewal.count })
    }
    return this.held !== undefined
  }

  /**
   * Takes the lease over before it has ended if the holder's daemon is dead. Called when the leader could not be reached
   * at this address.
   */
  async checkHolder (peerAddress: string): Promise<void> {
    const { refusesConnections, hasBetterCandidate, clock, log } = this.options
    if (refusesConnections === undefined || this.isCheckingHolder || this.isStopping || this.held !== undefined || hasBetterCandidate?.() === true) return
    this.isCheckingHolder = true
    try {
      await clock.sleep(Math.min(MAX_DISTANCE_DELAY_MS, DISTANCE_DELAY_FACTOR * this.meanReadTimeMs))
      // The row is read before the connection attempt: an attempt that is refused says nothing about a holder that starts later.
      const state = await this.readState(LEASE_READ_TIMEOUT_MS)
      const isHolder = state?.value?.peerAddress === peerAddress && !state.value.released
      if (state !== undefined && isHolder && await refusesConnections(peerAddress)) {
        log.info('The leader refuses connections; taking over before its lease ends.', { holder: state.value?.holder, address: peerAddress })
        await this.acquire(state, true)
      }
    } finally {
      this.isCheckingHolder = false
    }
  }

  /** Asks another daemon to take over: the one that `findSuccessor` finds. */
  async transferLeadership (findSuccessor = this.options.findSuccessor): Promise<void> {
    const { log, clock } = this.options
    const { held } = this
    if (findSuccessor === undefined || held === undefined || this.isSeekingSuccessor || this.isStopping) return
    this.isSeekingSuccessor = true
    const successor = await findSuccessor()
    this.isSeekingSuccessor = false
    if (successor === undefined || this.held !== held || this.isTransferring || this.isStopping) return
    this.isTransferring = true
    this.successorAddress = successor.peerAddress
    const isTaken = await successor.takeOver(this.takeoverRequest(held))
    this.isTransferring = false
    if (this.held !== held) return
    if (isTaken) {
      log.info('Leadership handed over.', { successor: successor.peerAddress })
      this.lose('another daemon has taken over')
      await this.observe()
      return
    }
    log.info('No other daemon took over the leadership.', { asked: successor.peerAddress })
    // The takeover may still be applied. It fails once a later renewal has been applied.
    this.sinceRenewal = undefined
    this.proofNotBefore = clock.now()
    this.renew()
  }

  // Holder

  private takeoverRequest ({ value: { holder, epoch } }: HeldLease): TakeoverRequest {
    return { holder, epoch, renewals: this.renewalCount }
  }

  private renewIfDue () {
    // A renewal would withdraw the request to take over.
    if (this.isTransferring) return
    if (this.options.clock.now() - this.renewedAt >= this.intervalMs() - MIN_PAUSE_MS) this.renew()
    if ((this.sinceRenewal?.elapsedMs() ?? Infinity) > LEASE_SUSPECT_MS) this.transferLeadership()
  }

  private async renew () {
    const { unhedgedStore, clock, log } = this.options
    const { held } = this
    if (held === undefined) return
    const sinceSent = Stopwatch.start(clock)
    this.renewedAt = clock.now()
    const value: RenewalValue = { epoch: held.value.epoch, count: ++this.renewalCount }
    // An answer that comes after the validity it would grant is of no use.
    const res = await unhedgedStore.transact({
      partition: LEASE_PARTITION,
      expect: [{ ...LEASE_ROW, version: held.version }],
      puts: [{ ...RENEWAL_ROW, value }],
      removes: []
    }, LEASE_TTL_MS)
    if (this.held !== held) return
    if (res.err) {
      log.warn('Lease renewal failed.', { verdict: res.val.verdict, reason: res.val.reason, renewedMsAgo: Math.round(this.sinceRenewal?.elapsedMs() ?? -1) })
      // A single renewal without an answer doesn't matter, as others were sent meanwhile.
      if (res.val.verdict === 'not-run') this.transferLeadership()
      return
    }
    if (res.val.committed) return this.confirmRenewal(sinceSent)
    const current = parseState(res.val.current)
    this.observed = current
    this.lose(`epoch ${current.value?.epoch ?? 0} belongs to ${current.value?.holder ?? 'nobody'}`)
  }

  private confirmRenewal (sinceSent: Stopwatch) {
    if (sinceSent.startedAt < Math.max(this.proofNotBefore, this.sinceRenewal?.startedAt ?? -Infinity)) return
    const wasValid = this.isValid()
    this.sinceRenewal = sinceSent
    if (!wasValid && this.isValid()) this.options.log.info('Lease is valid again.', { epoch: this.held?.value.epoch })
  }

  // Candidate

  private async observe () {
    const { clock, log } = this.options
    const state = await this.readState(LEASE_READ_TIMEOUT_MS)
    // A takeover that another daemon asked for may have succeeded during the read.
    if (this.held !== undefined) return
    if (state === undefined) {
      // While the rows can't be read, the holder may have renewed the lease.
      this.unchangedSince = undefined
      return
    }
    this.successorAddress = undefined
    if (this.unchangedSince === undefined || isRenewed(this.observed, state)) {
      const { value, version } = state
      if (value !== undefined && value.epoch !== this.observed?.value?.epoch) {
        log.info('New leader observed.', { epoch: value.epoch, holder: value.holder, address: value.peerAddress, version })
      }
      this.unchangedSince = clock.now()
    }
    this.observed = state
    if (this.isStopping) return
    if (clock.now() - this.unchangedSince > this.takeoverAfterMs(state.value)) await this.acquire(state)
  }

  /**
   * Time for which the lease must not have been renewed before a takeover; -1 means no wait. A holder at this daemon's
   * own address is either an earlier incarnation, which has stopped, or this one after a takeover whose answer was lost.
   * In the second case the time at which the lease began is unknown, so the row has to be written again.
   */
  private takeoverAfterMs (value: LeaseValue | undefined): number {
    const isFree = value === undefined || value.released || value.peerAddress === this.options.peerAddress
    return (isFree ? -1 : TAKEOVER_AFTER_MS) + (this.options.hasBetterCandidate?.() === true ? LESS_CAPABLE_DELAY_MS : 0)
  }

  private async acquire (state: LeaseState, isEarly = false) {
    if (this.isAcquiring || this.held !== undefined) return
    this.isAcquiring = true
    try {
      await this.writeLease(state, isEarly)
    } finally {
      this.isAcquiring = false
    }
  }

  private async writeLease (state: LeaseState, isEarly: boolean) {
    const { store, clock, holder, peerAddress, log } = this.options
    const epoch = (state.value?.epoch ?? 0) + 1
    const earlierActiveUntilMs = this.earlierActiveUntilMs(state.value, isEarly)
    const value: LeaseValue = { holder, peerAddress, epoch, released: false, ...(earlierActiveUntilMs === undefined ? {} : { earlierActiveUntilMs }) }
    const sinceSent = Stopwatch.start(clock)
    const res = await store.transact({
      partition: LEASE_PARTITION,
      // A renewal that is applied after `state` was read makes the takeover fail.
      expect: [{ ...LEASE_ROW, version: state.version }, { ...RENEWAL_ROW, version: state.renewalVersion }],
      puts: [{ ...LEASE_ROW, value }],
      removes: []
    }, LEASE_TTL_MS)
    if (res.err) log.warn('Lease takeover was not acknowledged.', { epoch, verdict: res.val.verdict, reason: res.val.reason })
    else if (res.val.committed) this.gain({ value, version: res.val.version }, sinceSent, state.value, isEarly || earlierActiveUntilMs !== undefined)
    else this.unchangedSince = undefined
  }

  /**
   * Time on the store's clock until which a holder before this one may issue commands. The takeover fails if a renewal is
   * applied after `previous` was read, so an early one leaves the previous holder `LEASE_TTL_MS` from now at most. A
   * holder that soon stops again passes the time on.
   */
  private earlierActiveUntilMs (previous: LeaseValue | undefined, isEarly: boolean): number | undefined {
    const storeMs = this.options.store.clockMs()
    if (isEarly) return Math.ceil((storeMs?.latest ?? Infinity) + LEASE_TTL_MS)
    const untilMs = previous?.earlierActiveUntilMs
    return untilMs !== undefined && (storeMs === undefined || storeMs.earliest <= untilMs) ? untilMs : undefined
  }

  private gain (held: HeldLease, sinceSent: Stopwatch, previous: LeaseValue | undefined, isEarly: boolean) {
    this.held = held
    this.sinceRenewal = sinceSent
    this.proofNotBefore = -Infinity
    this.renewalCount = 0
    this.options.log.info('Leadership gained.', { epoch: held.value.epoch, previous: previous?.holder, previousReleased: previous?.released, isEarly })
    this.renew()
    this.options.onGained({ epoch: held.value.epoch, version: held.version, isEarly })
  }

  private lose (reason: string) {
    this.held = undefined
    this.sinceRenewal = undefined
    this.unchangedSince = undefined
    this.options.log.info('Leadership lost.', { reason })
    this.options.onLost(reason)
  }

  /** Reads both rows; undefined if the store doesn't answer in time. */
  private async readState (timeoutMs: number): Promise<LeaseState | undefined> {
    const { store, clock } = this.options
    const startedAt = clock.now()
    const res = await store.range(LEASE_RANGE, timeoutMs)
    this.meanReadTimeMs += READ_TIME_WEIGHT * (clock.now() - startedAt - this.meanReadTimeMs)
    return res.ok ? parseState(res.val.rows) : undefined
  }

  private intervalMs (): number {
    if (this.held !== undefined) return this.isValid() ? LEASE_RENEW_MS : LEASE_RENEW_LAPSED_MS
    const isOverdue = this.unchangedSince !== undefined && this.options.clock.now() - this.unchangedSince > LEASE_OVERDUE_MS
    return isOverdue ? LEASE_OBSERVE_OVERDUE_MS : LEASE_OBSERVE_MS
  }
}
