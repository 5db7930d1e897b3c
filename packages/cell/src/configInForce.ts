import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import type { ClockBounds } from '@citronnotch/base/remoteClock'
import type { Stopwatch } from '@citronnotch/base/stopwatch'
import { AccountIndex, AccountTerms, requesterOf } from './accounts/index.js'
import type { Requester } from './accounts/index.js'
import type { ConfigReading } from './ports.js'
import type { CellConfig, Queue } from './types.js'

/** What a daemon tells another one of the configuration that it has in force. */
export interface KnownConfig {
  readonly version: number
  /** Time for which the version is not known to be the latest, in milliseconds, when the other daemon answered. */
  readonly ageMs: number
  /** Missing when the other daemon has this version, or a later one, already. */
  readonly config?: CellConfig
}

/** Where a version came from, or what has confirmed that it was the latest: a read of the store, a watch there, or another daemon. */
export type ConfigSource = 'read' | 'watch' | 'peer'

export interface ConfigInForceOptions {
  /** Bounds of the store's clock at this moment; undefined before the store's first answer. */
  readonly storeClock: () => ClockBounds | undefined
  readonly clock: Clock
  readonly log: Log
}

/** The configuration that this daemon answers by, and for how long it has not been known to be the latest. */
export class ConfigInForce {
  /** The client accounts of the versions that have been in force. */
  readonly accountTerms = AccountTerms.create(() => this.config?.accounts)
  private config: CellConfig | undefined
  /** Time on the store's clock at which no newer configuration existed. */
  private asOfMs: number | undefined
  /** Started when the last read that confirmed the configuration was sent. */
  private sinceRead: Stopwatch | undefined
  /** What another daemon knew last, with a stopwatch that was started when it was asked. */
  private peerAge: { readonly ageMs: number, readonly sinceRequest: Stopwatch } | undefined
  private source: ConfigSource | undefined
  private confirmedBy: ConfigSource | undefined
  private queuesByName: ReadonlyMap<string, Queue> = new Map()
  private queuesByHost: ReadonlyMap<string, readonly Queue[]> = new Map()
  /** Undefined while the cell has no client accounts. */
  private accounts: AccountIndex | undefined

  private constructor (private readonly options: ConfigInForceOptions) {}

  static create (options: ConfigInForceOptions): ConfigInForce {
    return new ConfigInForce(options)
  }

  // Queries

  current (): CellConfig | undefined {
    return this.config
  }

  /** Version in force; -1 while there is none. */
  version (): number {
    return this.config?.version ?? -1
  }

  /** Time for which the configuration in force is not known to be the latest, in milliseconds; infinite before the first read. */
  ageMs (): number {
    return Math.min(this.ageByStoreMs(), this.ageByPeerMs())
  }

  /** Source of the version in force, and of its last confirmation. */
  sources (): { readonly configSource?: ConfigSource, readonly configConfirmedBy?: ConfigSource } {
    const { source, confirmedBy } = this
    return { ...(source === undefined ? {} : { configSource: source }), ...(confirmedBy === undefined ? {} : { configConfirmedBy: confirmedBy }) }
  }

  queue (name: string): Queue | undefined {
    return this.queuesByName.get(name)
  }

  /** Returns the queue of the host with the longest matching path prefix. */
  match (host: string, path: string): Queue | undefined {
    return this.queuesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
  }

  /** Whether the answer to a request that sends a key, if any, to a queue depends on the keys of the latest configuration. */
  dependsOnKeys ({ isPublic }: Queue, key: string | undefined): boolean {
    return this.accounts !== undefined && (!isPublic || key !== undefined)
  }

  /** The requester that sends a key, if any, with a request to a queue; undefined if the queue requires one that is in force. */
  requesterOf (queue: Queue, key: string | undefined): Requester | undefined {
    return requesterOf(this.accounts, queue, key)
  }

  /** What to tell a daemon that has `theirVersion` in force; undefined when this daemon knows nothing. */
  known (theirVersion: number): KnownConfig | undefined {
    const ageMs = this.ageMs()
    if (this.config === undefined || ageMs === Infinity) return undefined
    const { version } = this.config
    return { version, ageMs, ...(version > theirVersion ? { config: this.config } : {}) }
  }

  // Commands

  /** Records an answer of the store. `sinceRequest` was started when the request was sent. */
  observeReading ({ config, asOfMs }: ConfigReading, sinceRequest: Stopwatch, source: Exclude<ConfigSource, 'peer'>): void {
    if (config !== undefined) this.apply(config, source)
    // A read that returns an older version, or none, shows nothing about the one in force; a watch returns none without a change.
    if (config === undefined ? source === 'read' : config.version < this.version()) return
    this.sinceRead = sinceRequest
    this.confirmedBy = source
    if (asOfMs !== undefined) this.asOfMs = Math.max(asOfMs, this.asOfMs ?? -Infinity)
  }

  /** Records what another daemon has in force. `sinceRequest` was started when it was asked. */
  observePeer ({ version, ageMs, config }: KnownConfig, sinceRequest: Stopwatch): void {
    if (config !== undefined) this.apply(config, 'peer')
    if (version !== this.version() || ageMs + sinceRequest.elapsedMs() >= this.ageMs()) return
    this.peerAge = { ageMs, sinceRequest }
    this.confirmedBy = 'peer'
  }

  private ageByStoreMs (): number {
    const now = this.options.storeClock()
    const byStoreClock = this.asOfMs === undefined || now === undefined ? Infinity : Math.max(0, now.latest - this.asOfMs)
    return Math.min(byStoreClock, this.sinceRead?.elapsedMs() ?? Infinity)
  }

  private ageByPeerMs (): number {
    return this.peerAge === undefined ? Infinity : this.peerAge.ageMs + this.peerAge.sinceRequest.elapsedMs()
  }

  private apply (config: CellConfig, source: ConfigSource) {
    if (config.version <= this.version()) return
    const previousAgeMs = this.ageMs()
    this.config = config
    this.source = source
    // Jobs of a removed queue continue under its last settings.
    this.queuesByName = new Map([...this.queuesByName, ...config.queues.map(queue => [queue.name, queue] as const)])
    const byHost = new Map<string, Queue[]>()
    for (const queue of config.queues) byHost.set(queue.host, [...(byHost.get(queue.host) ?? []), queue])
    for (const queues of byHost.values()) queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    this.queuesByHost = byHost
    this.accounts = config.accounts === undefined ? undefined : AccountIndex.create(config.accounts)
    this.accountTerms.refresh()
    this.options.log.info('Configuration in force.', {
      version: config.version, queues: config.queues.length, ...(config.accounts === undefined ? {} : { accounts: config.accounts.length }), source, ...(previousAgeMs < Infinity ? { previousAgeMs: Math.round(previousAgeMs) } : {})
    })
  }
}
