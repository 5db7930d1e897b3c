import type { HlcStamp, Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { GOSSIP_MS } from '../constants.js'
import type { Failure } from '../errors.js'
import type { Member } from '../membership/types.js'
import { MAX_HLC_AHEAD_MS, PEER_STATE_TTL_MS } from './constants.js'
import type { PeerState, PeerStateProps } from './types.js'

export interface GossipOptions {
  readonly self: Member
  /** State sent to peers; its stamp is added here. */
  readonly localState: () => PeerStateProps
  /** Daemons known from the table service, without this one. */
  readonly peers: () => readonly Member[]
  /** Peer addresses to ask when the table service can't be read. */
  readonly seeds: readonly string[]
  readonly clients: { exchange (address: string, state: PeerStateProps): Promise<Result<PeerState, Failure>> }
  readonly clock: Clock
  readonly hlc: { tick (): HlcStamp, observe (stamp: HlcStamp): void }
  /** Called with every state received. */
  readonly onState: (state: PeerState) => void
}

interface Received { readonly state: PeerState, readonly receivedAt: number }

/** Exchanges states with the other daemons and keeps the last one of each. */
export class Gossip {
  private readonly received = new Map<string, Received>()
  private readonly talking = new Set<string>()
  private turn = 0

  private constructor (private readonly options: GossipOptions) {}

  static create (options: GossipOptions): Gossip {
    return new Gossip(options)
  }

  /** Talks to the peers until `signal` aborts: every second to each of the failure domain, and to one other in turn. */
  async run (signal: AbortSignal): Promise<void> {
    const running = new Set<Promise<void>>()
    while (!signal.aborted) {
      const { near, far } = this.targets()
      for (const address of near) if (!this.talking.has(address)) this.start(running, this.talk(address, signal))
      const next = far[this.turn++ % Math.max(1, far.length)]
      if (next !== undefined && !this.talking.has(next)) this.start(running, this.talkOnce(next))
      await this.options.clock.sleep(GOSSIP_MS, signal)
    }
    await Promise.all(running)
  }

  /** Answers an `Exchange` call of a peer. */
  answer (state: PeerState): PeerStateProps {
    this.receive(state)
    return this.outgoing()
  }

  /** States received within the last 10 s, the last one of each peer. */
  states (): readonly PeerState[] {
    this.dropOld()
    return [...this.received.values()].map(({ state }) => state)
  }

  private start (running: Set<Promise<void>>, work: Promise<void>) {
    running.add(work)
    work.finally(() => running.delete(work))
  }

  private async talk (address: string, signal: AbortSignal) {
    this.talking.add(address)
    while (!signal.aborted && this.targets().near.includes(address)) {
      await this.exchange(address)
      await this.options.clock.sleep(GOSSIP_MS, signal)
    }
    this.talking.delete(address)
  }

  private async talkOnce (address: string) {
    this.talking.add(address)
    await this.exchange(address)
    this.talking.delete(address)
  }

  private async exchange (address: string) {
    const result = await this.options.clients.exchange(address, this.outgoing())
    if (result.ok) this.receive(result.val)
  }

  private outgoing (): PeerStateProps {
    return { ...this.options.localState(), hlc: this.options.hlc.tick() }
  }

  private receive (state: PeerState) {
    const { self, hlc, clock, onState } = this.options
    if (state.daemonId === '' || state.daemonId === self.daemonId) return
    const stamp = stampOf(state)
    if (stamp.wallMs > clock.date().getTime() + MAX_HLC_AHEAD_MS) return
    hlc.observe(stamp)
    const known = this.received.get(state.daemonId)
    // Answers of concurrent exchanges may arrive out of order.
    if (known !== undefined && known.state.incarnation === state.incarnation && isEarlier(stamp, stampOf(known.state))) return
    for (const [daemonId, { state: other }] of this.received) {
      // A replaced VM keeps its address and gets a new daemon id.
      if (daemonId !== state.daemonId && other.peerAddress === state.peerAddress) this.received.delete(daemonId)
    }
    this.received.set(state.daemonId, { state, receivedAt: clock.now() })
    onState(state)
  }

  private dropOld () {
    const oldest = this.options.clock.now() - PEER_STATE_TTL_MS
    for (const [daemonId, { receivedAt }] of this.received) if (receivedAt < oldest) this.received.delete(daemonId)
  }

  private targets (): { readonly near: readonly string[], readonly far: readonly string[] } {
    const { self, peers, seeds } = this.options
    const near = new Set<string>()
    const far = new Set<string>()
    for (const { peerAddress, failureDomain } of [...peers(), ...this.states()]) {
      (failureDomain === self.failureDomain ? near : far).add(peerAddress)
    }
    for (const address of seeds) if (!near.has(address)) far.add(address)
    for (const set of [near, far]) set.delete(self.peerAddress)
    return { near: [...near], far: [...far].filter(address => !near.has(address)) }
  }
}

function stampOf ({ hlc }: PeerState): HlcStamp {
  return { wallMs: hlc?.wallMs ?? 0, logical: hlc?.logical ?? 0 }
}

function isEarlier (a: HlcStamp, b: HlcStamp): boolean {
  return a.wallMs < b.wallMs || (a.wallMs === b.wallMs && a.logical < b.logical)
}
