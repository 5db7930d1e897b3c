import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { finiteOr, isFiniteNumber, isListOf, isString, recordOf } from '@citronnotch/base/untrusted'
import { isSocketAddress } from '@citronnotch/base/utils'
import { DAEMONS_PARTITION, PEER_TIMEOUT_MS, STORE_TIMEOUT_MS, SUCCESSOR_CALL_TIMEOUT_MS, SUCCESSOR_LOAD_TIMEOUT_MS, TABLES } from './constants.js'
import type { Successor } from './leaderLease.js'
import type { PeerClients } from './peers.js'
import type { RowStore, StoredRow } from './ports.js'

const REGISTER_RETRY_MS = 500
/** A peer is a better candidate if its leadership weight exceeds this daemon's by this factor. */
const BETTER_CANDIDATE_RATIO = 1.5
const MAX_SUCCESSOR_CANDIDATES = 8
/** A candidate is about as near to the store as the nearest if its read time is within this factor and margin of the nearest's. */
const NEAR_FACTOR = 2
const NEAR_MARGIN_MS = 10
/** Timeout of the takeover request: two calls to the store and a round trip between regions. */
const TAKEOVER_TIMEOUT_MS = 600
/** Minimum interval between calls for the list of daemons to initial peers, of which each is asked by many daemons. */
const INITIAL_PEER_INTERVAL_MS = 1_000
/** Allowance for the network round trip of a call to another daemon. */
const PEER_ROUND_TRIP_MS = 100

export interface Peer {
  readonly name: string
  readonly peerAddress: string
  /** Capacity to lead, relative to other daemons. */
  readonly leadershipWeight: number
  /** Start time, in Unix milliseconds. */
  readonly startedMs: number
}

export interface MembershipOptions {
  /** This daemon, as the others find it. */
  readonly self: Peer
  /** Peer addresses of daemons that may know the others; some may be gone. */
  readonly initialPeers: readonly string[]
  readonly store: RowStore
  readonly peerClients: PeerClients
  /** Random number of at least 0 and less than 1. */
  readonly random: () => number
  readonly clock: Clock
  readonly log: Log
}

/** The registered daemons, and which of them could lead. */
export class Membership {
  /** The other registered daemons. */
  private peers: readonly Peer[] = []
  private nextInitialPeer = 0
  private initialPeerAskedAt = -Infinity

  private constructor (private readonly options: MembershipOptions) {
    this.nextInitialPeer = Math.floor(options.random() * options.initialPeers.length)
  }

  static create (options: MembershipOptions): Membership {
    return new Membership(options)
  }

  // Queries

  others (): readonly Peer[] {
    return this.peers
  }

  /** All known daemons, this one included. */
  all (): readonly Peer[] {
    return [this.options.self, ...this.peers]
  }

  /** Up to `count` of the other daemons, chosen at random. */
  sample (count: number): readonly Peer[] {
    const rest = [...this.peers]
    return Array.from({ length: Math.min(count, rest.length) }, () => rest.splice(Math.floor(this.options.random() * rest.length), 1)).flat()
  }

  /** Whether another daemon has a much higher leadership weight. */
  hasBetterCandidate (): boolean {
    return this.peers.some(({ leadershipWeight }) => leadershipWeight > this.minBetterWeight())
  }

  /** Finds a peer that could lead now and has a much higher leadership weight. */
  findBetterSuccessor (): Promise<Successor | undefined> {
    return this.findSuccessorAmong(this.peers.filter(({ leadershipWeight }) => leadershipWeight > this.minBetterWeight()))
  }

  /** Finds a peer that could lead now. */
  findSuccessor (): Promise<Successor | undefined> {
    return this.findSuccessorAmong(this.peers)
  }

  // Commands

  /** Stores the address of this daemon, so that the others find it; resolves once it is stored. */
  async register (signal: AbortSignal): Promise<void> {
    const { clock, log } = this.options
    while (!signal.aborted) {
      const res = await this.storeSelf(STORE_TIMEOUT_MS)
      if (res.ok) return
      log.warn('Registration of the daemon failed; retrying.', { verdict: res.val.verdict, reason: res.val.reason })
      await clock.sleep(REGISTER_RETRY_MS, signal)
    }
  }

  storeSelf (timeoutMs: number): ReturnType<RowStore['transact']> {
    const { store, self: { name, peerAddress, leadershipWeight, startedMs } } = this.options
    return store.transact({
      partition: DAEMONS_PARTITION,
      expect: [],
      puts: [{ table: TABLES.daemons, key: name, value: { peerAddress, strength: leadershipWeight, startedMs } }],
      removes: []
    }, timeoutMs)
  }

  /** Reads the list of daemons; when the read fails it stays as it is, or is taken from another daemon while it is empty. */
  async refresh (): Promise<void> {
    const { store, self } = this.options
    const page = await store.range({ table: TABLES.daemons, partition: DAEMONS_PARTITION }, STORE_TIMEOUT_MS)
    if (page.ok) this.peers = page.val.rows.filter(({ key }) => key !== self.name).flatMap(row => decodeRow(row) ?? [])
    else if (this.peers.length === 0) await this.askInitialPeer()
  }

  /** Takes the list of daemons from one of the initial peers, a different one each time. */
  private async askInitialPeer () {
    const { initialPeers, peerClients, self, clock, log } = this.options
    if (initialPeers.length === 0 || clock.now() - this.initialPeerAskedAt < INITIAL_PEER_INTERVAL_MS) return
    this.initialPeerAskedAt = clock.now()
    const address = initialPeers[this.nextInitialPeer++ % initialPeers.length] ?? ''
    const res = await peerClients.call(address, 'daemons', {}, PEER_TIMEOUT_MS)
    const listed = res.ok ? recordOf(res.val).daemons : []
    this.peers = isListOf(listed, isPeer) ? listed.filter(({ name }) => name !== self.name) : []
    if (this.peers.length > 0) log.info('List of daemons taken from another daemon, as the store does not answer.', { from: address, daemons: this.peers.length })
  }

  private minBetterWeight (): number {
    return BETTER_CANDIDATE_RATIO * this.options.self.leadershipWeight
  }

  /**
   * Asks the peers with the highest leadership weight. Peers that are much farther from the store than the nearest come
   * last. Among equals the most recently started comes first: in a rolling restart it has already been restarted.
   */
  private async findSuccessorAmong (peers: readonly Peer[]): Promise<Successor | undefined> {
    const { peerClients } = this.options
    const candidates = [...peers].sort((a, b) => b.leadershipWeight - a.leadershipWeight || b.startedMs - a.startedMs).slice(0, MAX_SUCCESSOR_CANDIDATES)
    const answers = await Promise.all(candidates.map(async ({ peerAddress }) => {
      const res = await peerClients.call(peerAddress, 'canTakeOver', {}, SUCCESSOR_CALL_TIMEOUT_MS + SUCCESSOR_LOAD_TIMEOUT_MS + PEER_ROUND_TRIP_MS)
      return { peerAddress, readTimeMs: res.ok ? res.val.readTimeMs ?? Infinity : Infinity }
    }))
    const able = answers.filter(({ readTimeMs }) => readTimeMs < Infinity)
    const nearestMs = Math.min(...able.map(({ readTimeMs }) => readTimeMs))
    const successor = able.find(({ readTimeMs }) => readTimeMs <= NEAR_FACTOR * nearestMs + NEAR_MARGIN_MS)
    if (successor === undefined) return undefined
    const { peerAddress } = successor
    return {
      peerAddress,
      takeOver: async req => {
        const res = await peerClients.call(peerAddress, 'takeOver', req, TAKEOVER_TIMEOUT_MS)
        return res.ok && res.val.isTaken
      }
    }
  }
}

/** Returns undefined if the row isn't that of a daemon that can be called. */
function decodeRow ({ key, value }: StoredRow): Peer | undefined {
  const { peerAddress, strength, startedMs } = recordOf(value)
  if (!isString(peerAddress) || !isSocketAddress(peerAddress)) return undefined
  return { name: key, peerAddress, leadershipWeight: finiteOr(strength, 0), startedMs: finiteOr(startedMs, 0) }
}

function isPeer (value: unknown): value is Peer {
  const { name, peerAddress, leadershipWeight, startedMs } = recordOf(value)
  return isString(name) && isString(peerAddress) && isSocketAddress(peerAddress) && isFiniteNumber(leadershipWeight) && isFiniteNumber(startedMs)
}
