import type { Clock } from '@citronnotch/base/clock'
import type { KnownConfig } from './configInForce.js'
import { CONFIG_TRANSFER_TIMEOUT_MS, PEER_TIMEOUT_MS } from './constants.js'
import type { Peer } from './membership.js'
import type { PeerClients } from './peers.js'
import { decodeSentConfig } from './sentConfig.js'

/** Number of other daemons that are asked for their configuration at a time. */
const PEERS_PER_REQUEST = 4
/** Later than any version, so that a daemon tells only which one it has; one of an earlier build does so as well. */
const NO_CONFIG_NEEDED = Number.MAX_SAFE_INTEGER

/** What another daemon tells first, and how its configuration is got. */
export interface PeerConfig extends KnownConfig {
  /** Gets the configuration if it is later than the version that was asked by; undefined if the daemon doesn't give it. */
  readonly fetch?: () => Promise<KnownConfig | undefined>
}

export interface ConfigPeersOptions {
  readonly peerClients: Pick<PeerClients, 'call'>
  /** Peer address of the leader; undefined if it is unknown or this daemon. */
  readonly leaderAddress: () => string | undefined
  /** Up to `count` of the other daemons, chosen at random. */
  readonly sample: (count: number) => readonly Peer[]
  /** Whether this cell has client accounts. */
  readonly hasAccounts: boolean
  readonly clock: Clock
}

/**
 * Asks other daemons for their configuration: the leader, as the store serves it, the daemon whose last answer was the
 * most recent, and some at random. If the store serves only a few daemons, random ones alone would seldom include them.
 */
export class ConfigPeers {
  /** Monotonic time at which the configuration of the daemon was last known to be the latest. */
  private mostRecent: { readonly address: string, readonly confirmedAt: number } | undefined

  private constructor (private readonly options: ConfigPeersOptions) {}

  static create (options: ConfigPeersOptions): ConfigPeers {
    return new ConfigPeers(options)
  }

  /** Addresses to ask now, without duplicates. */
  addresses (): readonly string[] {
    const { leaderAddress, sample } = this.options
    const preferred = [leaderAddress(), this.mostRecent?.address].filter(address => address !== undefined)
    const others = sample(PEERS_PER_REQUEST).map(({ peerAddress }) => peerAddress)
    return [...new Set([...preferred, ...others])].slice(0, PEERS_PER_REQUEST)
  }

  /** Asks which versions others have; an answer is undefined if the daemon doesn't give one. A configuration later than `version` can then be fetched from one of them. */
  ask (version: number): ReadonlyArray<Promise<PeerConfig | undefined>> {
    return this.addresses().map(address => this.askOne(address, version))
  }

  private async askOne (address: string, version: number): Promise<PeerConfig | undefined> {
    const sentAt = this.options.clock.now()
    const known = await this.call(address, NO_CONFIG_NEEDED, PEER_TIMEOUT_MS)
    if (known === undefined) {
      if (this.mostRecent?.address === address) this.mostRecent = undefined
      return undefined
    }
    const confirmedAt = sentAt - known.ageMs
    if (this.mostRecent === undefined || this.mostRecent.address === address || confirmedAt > this.mostRecent.confirmedAt) this.mostRecent = { address, confirmedAt }
    return { ...known, fetch: () => this.call(address, version, CONFIG_TRANSFER_TIMEOUT_MS) }
  }

  private async call (address: string, version: number, timeoutMs: number): Promise<KnownConfig | undefined> {
    const res = await this.options.peerClients.call(address, 'config', { version, acceptsDeflated: true }, timeoutMs)
    return res.ok ? decodeSentConfig(res.val, this.options.hasAccounts) : undefined
  }
}
