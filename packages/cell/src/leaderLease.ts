import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { Stopwatch } from '@citronnotch/base/stopwatch'
import {
  LEASE_CALL_TIMEOUT_MS, LEASE_OBSERVE_MS, LEASE_OBSERVE_OVERDUE_MS, LEASE_OVERDUE_MS, LEASE_RENEW_MS, LEASE_TTL_MS, LEASE_PARTITION, TABLES, TAKEOVER_AFTER_MS
} from './constants.js'
import type { RowStore, StoredRow } from './ports.js'

/** Minimum delay between two calls of the loop to the store. */
const MIN_PAUSE_MS = 50
/** Extra delay before a less capable daemon takes over, so that a better candidate can take over first. */
const LESS_CAPABLE_DELAY_MS = 1_200
/** Attempts to release the lease; it expires on its own if all of them fail. */
const RELEASE_ATTEMPTS = 3

/** Stored value of the lease row. */
interface LeaseValue {
  /** Unique per daemon incarnation. */
  readonly holder: string
  readonly peerAddress: string
  readonly epoch: number
  readonly released: boolean
}

export interface LeaderLeaseOptions {
  /** Unique per daemon incarnation. */
  readonly holder: string
  readonly peerAddress: string
  readonly store: RowStore
  readonly clock: Clock
  readonly log: Log
  /** `version` is the version of the lease row that began the epoch; earlier leaders issue no commands after it. */
  readonly onGained: (epoch: number, version: number) => void
  readonly onLost: (reason: string) => void
  /** Whether a more capable daemon exists; if so, this one waits longer before it takes over. */
  readonly hasBetterCandidate?: () => boolean
  /** Asks other daemons to take over from this one. Resolves with whether one of them did. */
  readonly findSuccessor?: (holder: string) => Promise<boolean>
}

/**
 * Lease on the leadership of the cell, kept as a row of the store. It is valid for `LEASE_TTL_MS` from the
 * moment the last acknowledged renewal was sent. If the store is unavailable for longer, the lease expires and
 * the leader pauses; the next successful renewal resumes the same epoch unless another daemon has taken over.
 */
export class LeaderLease {
  private row: { readonly value: LeaseValue, readonly version: number } | undefined
  /** Started when the last acknowledged takeover or renewal was sent; undefined while this daemon is not the leader. */
  private sinceRenewal: Stopwatch | undefined
  /** Started when the first unacknowledged renewal of `row` was sent; that renewal may have been applied. */
  private sincePendingRenewal: Stopwatch | undefined
  /** Time of the first read that returned the current version of `row`; monotonic, so that wall clock steps have no effect. */
  private unchangedSince: number | undefined
  private endPause: (() => void) | undefined
  private isStopping = false
  private isAcquiring = false
  /** True while this daemon issues no commands because it asks others to take over. */
  private isTransferring = false

  private constructor (private readonly options: LeaderLeaseOptions) {}

  static create (options: LeaderLeaseOptions): LeaderLease {
    return new LeaderLease(options)
  }

  /** True while this daemon may issue commands as the leader. */
  isValid (): boolean {
    return !this.isTransferring && this.sinceRenewal !== undefined && this.sinceRenewal.elapsedMs() < LEASE_TTL_MS
  }

  /** Peer address of the last observed leader; undefined if none was observed or it released the lease. */
  leaderAddress (): string | undefined {
    return this.row === undefined || this.row.value.released ? undefined : this.row.value.peerAddress
  }

  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    while (!signal.aborted) {
      const startedAt = clock.now()
      if (this.sinceRenewal === undefined) await this.observe()
      else await this.renew()
      const interval = this.sinceRenewal !== undefined ? LEASE_RENEW_MS : this.isOverdue() ? LEASE_OBSERVE_OVERDUE_MS : LEASE_OBSERVE_MS
      await this.pause(Math.max(MIN_PAUSE_MS, interval - (clock.now() - startedAt)), signal)
    }
  }

  /** Whether the holder has not renewed the lease for longer than a renewal normally takes. */
  private isOverdue (): boolean {
    return this.unchangedSince !== undefined && this.options.clock.now() - this.unchangedSince > LEASE_OVERDUE_MS
  }

  /**
   * Renews without waiting for the interval. Called when the store has refused a call: if the renewal fails too,
   * another daemon that may still reach the store is asked to take over.
   */
  renewNow (): void {
    if (this.sinceRenewal !== undefined && this.sinceRenewal.elapsedMs() > MIN_PAUSE_MS) this.endPause?.()
  }

  private pause (ms: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        cancel()
        signal.removeEventListener('abort', finish)
        this.endPause = undefined
        resolve()
      }
      const cancel = this.options.clock.after(ms, finish)
      signal.addEventListener('abort', finish, { once: true })
      this.endPause = finish
    })
  }

  /** Releases the lease, so that a successor doesn't have to wait until it expires. */
  async release (): Promise<void> {
    this.isStopping = true
    if (this.sinceRenewal === undefined || this.row === undefined) return
    const { store, log } = this.options
    const value: LeaseValue = { ...this.row.value, released: true }
    let version = this.row.version
    this.lose('the daemon stops')
    for (let attempt = 1; attempt <= RELEASE_ATTEMPTS; attempt++) {
      const res = await store.transact({
        partition: LEASE_PARTITION,
        expect: [{ table: TABLES.leader, key: 'lease', version }],
        puts: [{ table: TABLES.leader, key: 'lease', value }],
        removes: []
      }, LEASE_CALL_TIMEOUT_MS)
      if (res.ok && res.val.committed) {
        await this.options.findSuccessor?.(value.holder)
        return
      }
      const current = res.ok && !res.val.committed ? parseLease(res.val.current.find(({ key }) => key === 'lease')) : undefined
      if (current !== undefined && (current.value.holder !== value.holder || current.value.released)) return
      // A renewal that was in flight has been applied.
      if (current !== undefined) version = current.version
      else log.warn('Lease release attempt failed.', { attempt, reason: res.err ? res.val.reason : 'conflict' })
    }
  }

  private async renew () {
    const { store, clock, log, holder } = this.options
    const row = this.row
    if (row === undefined) return
    const sinceSent = Stopwatch.start(clock)
    this.sincePendingRenewal ??= sinceSent
    const res = await store.transact({
      partition: LEASE_PARTITION,
      expect: [{ table: TABLES.leader, key: 'lease', version: row.version }],
      puts: [{ table: TABLES.leader, key: 'lease', value: row.value }],
      removes: []
    }, LEASE_CALL_TIMEOUT_MS)
    if (this.sinceRenewal === undefined) return
    if (res.err) {
      log.warn('Lease renewal failed.', { verdict: res.val.verdict, reason: res.val.reason, validForMs: Math.round(LEASE_TTL_MS - this.sinceRenewal.elapsedMs()) })
      await this.requestTakeover()
      return
    }
    if (res.val.committed) {
      this.confirmRenewal({ value: row.value, version: res.val.version }, sinceSent)
      return
    }
    const current = parseLease(res.val.current.find(({ key }) => key === 'lease'))
    if (current?.value.holder === holder && !current.value.released) {
      // An earlier renewal was applied, but its answer was lost.
      this.confirmRenewal(current, this.sincePendingRenewal)
      return
    }
    this.row = current
    this.lose(`epoch ${current?.value.epoch ?? 0} belongs to ${current?.value.holder ?? 'nobody'}`)
  }

  /** Stops issuing commands and asks other daemons to take over; after a failed renewal they may still reach the store. */
  private async requestTakeover () {
    const { findSuccessor, holder, log } = this.options
    if (findSuccessor === undefined || this.isTransferring) return
    this.isTransferring = true
    const isTakenOver = await findSuccessor(holder)
    this.isTransferring = false
    if (isTakenOver && this.sinceRenewal !== undefined) this.lose('another daemon has taken over')
    else log.info('No other daemon took over the leadership.', { holder })
  }

  /** Takes over from a holder that issues no more commands. Resolves with whether this daemon now leads. */
  async takeOverFrom (holder: string): Promise<boolean> {
    if (this.isStopping || this.sinceRenewal !== undefined) return false
    await this.observe()
    if (this.sinceRenewal === undefined && this.row?.value.holder === holder) await this.acquire()
    return this.sinceRenewal !== undefined
  }

  /** Asks other daemons to take over. Called when one of them is a better candidate. */
  async transferLeadership (): Promise<void> {
    if (this.isValid()) await this.requestTakeover()
  }

  private confirmRenewal (row: { readonly value: LeaseValue, readonly version: number }, sinceSent: Stopwatch) {
    const wasValid = this.isValid()
    this.row = row
    this.sinceRenewal = sinceSent
    this.sincePendingRenewal = undefined
    if (!wasValid && this.isValid()) this.options.log.info('Lease is valid again.', { epoch: row.value.epoch, version: row.version })
  }

  private async observe () {
    const { store, clock, log } = this.options
    const res = await store.range({ table: TABLES.leader, partition: LEASE_PARTITION }, LEASE_CALL_TIMEOUT_MS)
    if (res.err) {
      // While the row can't be read, the holder may have renewed it.
      this.unchangedSince = undefined
      return
    }
    const row = parseLease(res.val.rows.find(({ key }) => key === 'lease'))
    if (row?.version !== this.row?.version || this.unchangedSince === undefined) {
      if (row !== undefined && row.value.epoch !== this.row?.value.epoch) {
        log.info('New leader observed.', { epoch: row.value.epoch, holder: row.value.holder, address: row.value.peerAddress, version: row.version })
      }
      this.row = row
      this.unchangedSince = clock.now()
    }
    if (this.isStopping) return
    if (clock.now() - this.unchangedSince > this.takeoverAfterMs(row?.value)) await this.acquire()
  }

  /**
   * Time for which the row must be unchanged before a takeover; -1 means no wait. A holder at this daemon's own address
   * is either an earlier incarnation, which has stopped, or this one after a takeover whose answer was lost. In the
   * second case the time at which the lease began is unknown, so the row has to be written again.
   */
  private takeoverAfterMs (value: LeaseValue | undefined): number {
    const isFree = value === undefined || value.released || value.peerAddress === this.options.peerAddress
    return (isFree ? -1 : TAKEOVER_AFTER_MS) + (this.options.hasBetterCandidate?.() === true ? LESS_CAPABLE_DELAY_MS : 0)
  }

  private async acquire () {
    if (this.isAcquiring) return
    this.isAcquiring = true
    try {
      await this.writeLease()
    } finally {
      this.isAcquiring = false
    }
  }

  private async writeLease () {
    const { store, clock, holder, peerAddress, log } = this.options
    const epoch = (this.row?.value.epoch ?? 0) + 1
    const value: LeaseValue = { holder, peerAddress, epoch, released: false }
    const sinceSent = Stopwatch.start(clock)
    const res = await store.transact({
      partition: LEASE_PARTITION,
      expect: [{ table: TABLES.leader, key: 'lease', version: this.row?.version ?? 0 }],
      puts: [{ table: TABLES.leader, key: 'lease', value }],
      removes: []
    }, LEASE_CALL_TIMEOUT_MS)
    if (res.err) log.warn('Lease takeover was not acknowledged.', { epoch, verdict: res.val.verdict, reason: res.val.reason })
    else if (res.val.committed) this.gain({ value, version: res.val.version }, sinceSent)
    else this.unchangedSince = undefined
  }

  private gain (row: { readonly value: LeaseValue, readonly version: number }, sinceSent: Stopwatch) {
    const previous = this.row?.value
    this.row = row
    this.sinceRenewal = sinceSent
    this.sincePendingRenewal = undefined
    this.options.log.info('Leadership gained.', { epoch: row.value.epoch, previous: previous?.holder, previousReleased: previous?.released })
    this.options.onGained(row.value.epoch, row.version)
  }

  private lose (reason: string) {
    this.sinceRenewal = undefined
    this.unchangedSince = undefined
    this.options.log.info('Leadership lost.', { reason })
    this.options.onLost(reason)
  }
}

function parseLease (row: StoredRow | undefined): { readonly value: LeaseValue, readonly version: number } | undefined {
  if (row === undefined || row.deleted) return undefined
  const value = row.value as Partial<LeaseValue> | undefined
  return {
    value: {
      holder: String(value?.holder ?? ''),
      peerAddress: String(value?.peerAddress ?? ''),
      epoch: Number(value?.epoch ?? 0),
      released: value?.released === true
    },
    version: row.version
  }
}
