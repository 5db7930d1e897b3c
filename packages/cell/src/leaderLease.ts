import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { Stopwatch } from '@citronnotch/base/stopwatch'
import {
  LEASE_CALL_TIMEOUT_MS, LEASE_OBSERVE_MS, LEASE_OBSERVE_OVERDUE_MS, LEASE_OVERDUE_MS, LEASE_RENEW_MS, LEASE_TTL_MS, LEASE_PARTITION, TABLES, TAKEOVER_AFTER_MS
} from './constants.js'
import type { RowStore, StoredRow } from './ports.js'

/** Shortest time between two calls of the loop, in milliseconds. */
const SHORTEST_PAUSE_MS = 50
/** Time that a daemon leaves to those better suited to lead. */
const WEAK_DELAY_MS = 1_200
/** Calls that try to release the lease; it runs out if none succeeds. */
const RELEASE_ATTEMPTS = 3

/** Value of the lease row. */
interface LeaseValue {
  /** Unique for each life of a daemon. */
  readonly holder: string
  readonly peerAddress: string
  readonly epoch: number
  readonly released: boolean
}

export interface LeaderLeaseOptions {
  /** Unique for this life of the daemon. */
  readonly holder: string
  readonly peerAddress: string
  readonly store: RowStore
  readonly clock: Clock
  readonly log: Log
  /** `version` is that of the row with which the epoch began; no earlier leader has ordered anything since. */
  readonly onGained: (epoch: number, version: number) => void
  readonly onLost: (reason: string) => void
  /** Whether others are better suited to lead; such a daemon waits longer before it takes over. */
  readonly isWeak?: () => boolean
  /** Asks other daemons to take over from this one. Returns whether one has done so. */
  readonly findSuccessor?: (holder: string) => Promise<boolean>
}

/**
 * Lease on the leadership of the cell, kept as a row of the store. It is valid for `LEASE_TTL_MS` from the
 * moment the last acknowledged renewal was sent. While the store is away the lease runs out and the leader
 * pauses; if nobody else has taken the row in the meantime, the next renewal resumes the same epoch.
 */
export class LeaderLease {
  private row: { readonly value: LeaseValue, readonly version: number } | undefined
  private validity: Stopwatch | undefined
  /** When the first renewal of the row as it is was sent; it may have taken effect without an answer. */
  private renewingSince: Stopwatch | undefined
  /** Monotonic time of the first read that found the row as it is. A step of the wall clock must not count. */
  private unchangedSince: number | undefined
  private endPause: (() => void) | undefined
  private isLeaving = false
  private isAcquiring = false
  /** True while this daemon has stopped ordering and asks others to take over. */
  private isYielding = false

  private constructor (private readonly options: LeaderLeaseOptions) {}

  static create (options: LeaderLeaseOptions): LeaderLease {
    return new LeaderLease(options)
  }

  /** True while this daemon may give orders. */
  isValid (): boolean {
    return !this.isYielding && this.validity !== undefined && this.validity.elapsedMs() < LEASE_TTL_MS
  }

  /** Peer address of the leader that was last seen. */
  leaderAddress (): string | undefined {
    return this.row === undefined || this.row.value.released ? undefined : this.row.value.peerAddress
  }

  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    while (!signal.aborted) {
      const started = clock.now()
      if (this.validity === undefined) await this.observe()
      else await this.renew()
      const interval = this.validity !== undefined ? LEASE_RENEW_MS : this.isOverdue() ? LEASE_OBSERVE_OVERDUE_MS : LEASE_OBSERVE_MS
      await this.pause(Math.max(SHORTEST_PAUSE_MS, interval - (clock.now() - started)), signal)
    }
  }

  /** Whether the holder has not renewed the lease for longer than it takes in calm times. */
  private isOverdue (): boolean {
    return this.unchangedSince !== undefined && this.options.clock.now() - this.unchangedSince > LEASE_OVERDUE_MS
  }

  /** Renews without waiting for the interval: the store has refused a call, and another daemon may still reach it. */
  renewSoon (): void {
    if (this.validity !== undefined && this.validity.elapsedMs() > SHORTEST_PAUSE_MS) this.endPause?.()
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

  /** Gives the lease up, so that a successor need not wait for its end. */
  async release (): Promise<void> {
    this.isLeaving = true
    if (this.validity === undefined || this.row === undefined) return
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
      // A renewal that was under way has taken effect.
      if (current !== undefined) version = current.version
      else log.warn('Lease is not released yet.', { attempt, reason: res.err ? res.val.reason : 'conflict' })
    }
  }

  private async renew () {
    const { store, clock, log, holder } = this.options
    const row = this.row
    if (row === undefined) return
    const sent = Stopwatch.start(clock)
    this.renewingSince ??= sent
    const res = await store.transact({
      partition: LEASE_PARTITION,
      expect: [{ table: TABLES.leader, key: 'lease', version: row.version }],
      puts: [{ table: TABLES.leader, key: 'lease', value: row.value }],
      removes: []
    }, LEASE_CALL_TIMEOUT_MS)
    if (this.validity === undefined) return
    if (res.err) {
      log.warn('Lease renewal failed.', { verdict: res.val.verdict, reason: res.val.reason, validForMs: Math.round(LEASE_TTL_MS - this.validity.elapsedMs()) })
      await this.yieldLeadership()
      return
    }
    if (res.val.committed) {
      this.renewed({ value: row.value, version: res.val.version }, sent)
      return
    }
    const current = parseLease(res.val.current.find(({ key }) => key === 'lease'))
    if (current?.value.holder === holder && !current.value.released) {
      // An earlier renewal whose answer was lost has taken effect.
      this.renewed(current, this.renewingSince)
      return
    }
    this.row = current
    this.lose(`epoch ${current?.value.epoch ?? 0} belongs to ${current?.value.holder ?? 'nobody'}`)
  }

  /** While the store refuses this daemon, another one may still reach it. */
  private async yieldLeadership () {
    const { findSuccessor, holder, log } = this.options
    if (findSuccessor === undefined || this.isYielding) return
    this.isYielding = true
    const isTaken = await findSuccessor(holder)
    this.isYielding = false
    if (isTaken && this.validity !== undefined) this.lose('another daemon has taken over')
    else log.info('No daemon has taken over.', { holder })
  }

  /** Takes over from a holder that has stopped ordering. Returns whether this daemon leads now. */
  async takeOverFrom (holder: string): Promise<boolean> {
    if (this.isLeaving || this.validity !== undefined) return false
    await this.observe()
    if (this.validity === undefined && this.row?.value.holder === holder) await this.acquire()
    return this.validity !== undefined
  }

  /** Has another daemon take over, if this one is not the best suited. */
  async moveAway (): Promise<void> {
    if (this.isValid()) await this.yieldLeadership()
  }

  private renewed (row: { readonly value: LeaseValue, readonly version: number }, sent: Stopwatch) {
    const wasValid = this.isValid()
    this.row = row
    this.validity = sent
    this.renewingSince = undefined
    if (!wasValid && this.isValid()) this.options.log.info('Lease is valid again.', { epoch: row.value.epoch, version: row.version })
  }

  private async observe () {
    const { store, clock, log } = this.options
    const res = await store.range({ table: TABLES.leader, partition: LEASE_PARTITION }, LEASE_CALL_TIMEOUT_MS)
    if (res.err) {
      // Time in which the row could not be read says nothing about its holder.
      this.unchangedSince = undefined
      return
    }
    const row = parseLease(res.val.rows.find(({ key }) => key === 'lease'))
    if (row?.version !== this.row?.version || this.unchangedSince === undefined) {
      if (row !== undefined && row.value.epoch !== this.row?.value.epoch) {
        log.info('Leader seen.', { epoch: row.value.epoch, holder: row.value.holder, address: row.value.peerAddress, version: row.version })
      }
      this.row = row
      this.unchangedSince = clock.now()
    }
    if (this.isLeaving) return
    if (clock.now() - this.unchangedSince > this.takeoverAfterMs(row?.value)) await this.acquire()
  }

  /**
   * Time for which the row must be unchanged. A holder at this daemon's own address is an earlier life of it, which
   * has ended, or this one, whose takeover had no answer: only another write tells from when on it is valid.
   */
  private takeoverAfterMs (value: LeaseValue | undefined): number {
    const isFree = value === undefined || value.released || value.peerAddress === this.options.peerAddress
    return (isFree ? -1 : TAKEOVER_AFTER_MS) + (this.options.isWeak?.() === true ? WEAK_DELAY_MS : 0)
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
    const sent = Stopwatch.start(clock)
    const res = await store.transact({
      partition: LEASE_PARTITION,
      expect: [{ table: TABLES.leader, key: 'lease', version: this.row?.version ?? 0 }],
      puts: [{ table: TABLES.leader, key: 'lease', value }],
      removes: []
    }, LEASE_CALL_TIMEOUT_MS)
    if (res.err) log.warn('Takeover has no answer.', { epoch, verdict: res.val.verdict, reason: res.val.reason })
    else if (res.val.committed) this.gain({ value, version: res.val.version }, sent)
    else this.unchangedSince = undefined
  }

  private gain (row: { readonly value: LeaseValue, readonly version: number }, sent: Stopwatch) {
    const previous = this.row?.value
    this.row = row
    this.validity = sent
    this.renewingSince = undefined
    this.options.log.info('Leadership gained.', { epoch: row.value.epoch, previous: previous?.holder, previousReleased: previous?.released })
    this.options.onGained(row.value.epoch, row.version)
  }

  private lose (reason: string) {
    this.validity = undefined
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
