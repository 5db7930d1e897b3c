import { performance } from 'node:perf_hooks'
import type { Clock } from '@citronnotch/base/clock'
import type { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import type { Result } from '@citronnotch/base/result'
import { Stopwatch } from '@citronnotch/base/stopwatch'
import type { ConfigInForce, ConfigSource } from './configInForce.js'
import type { PeerConfig } from './configPeers.js'
import { CONFIG_WATCH_MS, TOO_OLD_FRACTION } from './constants.js'
import type { CellMetrics } from './metrics.js'
import type { ConfigReading, Directory } from './ports.js'

/** Initial and maximum retry delay; both are a fraction of the time within which a new version must be in force. */
const MIN_RETRY_MS = 150
const MAX_RETRY_MS = 600
/** Interval between checks of the age of the configuration. */
const AGE_CHECK_MS = 200
/** Interval between reports of a configuration that stays old. */
const OLD_REPORT_MS = 1_000
/** Fraction of the time within which a confirmed version must be in force, after which it is looked for elsewhere than in the watch. */
const OLD_FRACTION = 0.5
/** Minimum interval between two refreshes that look for a version that another daemon has. */
const MISSING_REFRESH_INTERVAL_MS = 100
/** Minimum interval between two refreshes while the configuration stays old. */
const REFRESH_INTERVAL_MS = 500
/** Time for which a refresh is waited for; a transfer that takes longer goes on. */
const REFRESH_WAIT_MS = 1_000

export interface ConfigWatchOptions {
  readonly inForce: ConfigInForce
  readonly directory: Directory
  /** Asks some other daemons which configuration they have; each answer is undefined if the daemon didn't give one. */
  readonly askPeers: (version: number) => ReadonlyArray<Promise<PeerConfig | undefined>>
  /** Time for which the store has been unavailable to this daemon, in milliseconds; 0 while it is available. */
  readonly storeUnavailableMs: () => number
  /** Time within which a confirmed version must be in force, in milliseconds. */
  readonly applyWithinMs: number
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

/** What an answer or a start relies on, as fields of a log line; the sources and the refresh only of a configuration that is old. */
export interface ConfigBasis {
  readonly config: number
  /** Time for which the version was not known to be the latest, in milliseconds; missing before the first read. */
  readonly configAgeMs?: number
  readonly configSource?: ConfigSource
  readonly configConfirmedBy?: ConfigSource
  /** Outcome of the last refresh; missing if the configuration has been confirmed by it or since. */
  readonly configRefresh?: RefreshFailure
}

/**
 * Why a refresh confirmed nothing. `unconfirmed`: other daemons answered, and none has a configuration that is confirmed in
 * time, which doesn't show that there is no later version. `unanswered`: none of them answered either.
 */
type RefreshFailure = 'unconfirmed' | 'unanswered'

/**
 * Keeps the configuration in force up to date: watches it in the store and, when the watch doesn't confirm it in time,
 * reads it and asks other daemons. A daemon that the store refuses learns of a new version from those that it answers.
 */
export class ConfigWatch {
  private refreshing: Promise<void> | undefined
  private confirming: Promise<void> | undefined
  private refreshedAt = -Infinity
  /** Read of the store that was sent last, while it is under way. */
  private reading: Promise<Result<ConfigReading, Failure>> | undefined
  /** Read or watch of the store whose answer arrives now. */
  private arriving: Promise<unknown> | undefined
  /** Transfer of the configuration from another daemon that is under way. */
  private fetching: Promise<void> | undefined
  /** Latest version that another daemon is known to have had in force, if it is not in force here. */
  private missing: { readonly version: number, readonly sinceHeard: Stopwatch } | undefined
  /** Outcome of the last refresh, unless the configuration has been confirmed by it or since. */
  private refreshFailure: RefreshFailure | undefined

  private constructor (private readonly options: ConfigWatchOptions) {}

  static create (options: ConfigWatchOptions): ConfigWatch {
    return new ConfigWatch(options)
  }

  /** Whether the configuration in force may be acted on: it was the latest within the time in which a change must be in force. */
  isConfirmed (): boolean {
    return !this.isOlderThan(TOO_OLD_FRACTION)
  }

  /**
   * Whether requests may be answered by the configuration in force. Waits for the first refresh of one that is too old,
   * and not for those that follow.
   */
  async mayAnswer (): Promise<boolean> {
    if (!this.isConfirmed() && this.refreshFailure === undefined) await this.refresh()
    return this.isConfirmed()
  }

  /**
   * Whether a request that has waited for the store may be carried out by the configuration in force. Reads it again if it
   * is too old; a refresh that began during the outage may still wait for its timeout.
   */
  async confirm (): Promise<boolean> {
    if (!this.isConfirmed()) await (this.confirming ??= this.readAndRefresh().finally(() => { this.confirming = undefined }))
    return this.isConfirmed()
  }

  /**
   * Whether a version that another daemon had in force is in force here, or there is a later one. Looks for it if not, and
   * returns true once a read that was sent after that has found no such version.
   */
  hasVersion (version: number): boolean {
    const { inForce, clock } = this.options
    if (version <= inForce.version()) return true
    if (this.missing === undefined || version > this.missing.version) {
      this.missing = { version, sinceHeard: Stopwatch.start(clock) }
      this.options.log.info('Another daemon has a later configuration.', { version, inForce: inForce.version() })
    }
    if (inForce.ageMs() < this.missing.sinceHeard.elapsedMs()) return true
    if (clock.now() - this.refreshedAt >= MISSING_REFRESH_INTERVAL_MS) this.refreshInBackground()
    return false
  }

  basis (): ConfigBasis {
    const { inForce } = this.options
    const ageMs = inForce.ageMs()
    if (ageMs === Infinity) return { config: inForce.version() }
    const { refreshFailure } = this
    const fields = { config: inForce.version(), configAgeMs: Math.round(ageMs) }
    return this.isOld() ? { ...fields, ...inForce.sources(), ...(refreshFailure === undefined ? {} : { configRefresh: refreshFailure }) } : fields
  }

  /** Watches the configuration in the store. */
  async run (signal: AbortSignal): Promise<void> {
    const { inForce, clock, log } = this.options
    let version: number | undefined
    let retryMs = MIN_RETRY_MS
    while (!signal.aborted) {
      if (version === undefined) {
        const read = await this.readStore()
        if (read.err) {
          log.warn('Configuration could not be read.', { verdict: read.val.verdict, reason: read.val.reason, inForce: inForce.version() })
          await clock.sleep(retryMs, signal)
          retryMs = Math.min(2 * retryMs, MAX_RETRY_MS)
          continue
        }
        retryMs = MIN_RETRY_MS
        version = read.val.version
        continue
      }
      const change = await this.watchStore(version)
      // After a failed watch the row itself is read, over another connection.
      if (change.err || change.val === 'history-lost') {
        log.info('Configuration watch interrupted; reading the configuration again.', { reason: change.err ? change.val.reason : 'history lost', inForce: inForce.version() })
        version = undefined
        await clock.sleep(change.err ? MIN_RETRY_MS : 0, signal)
        continue
      }
      version = change.val.version
    }
  }

  /** Refreshes a configuration that the watch doesn't confirm, and reports its age. */
  async monitor (signal: AbortSignal): Promise<void> {
    const { inForce, clock, metrics, storeUnavailableMs } = this.options
    const report = AgeReport.create(this.options)
    let wasStoreUnavailable = false
    while (!signal.aborted) {
      await clock.sleep(AGE_CHECK_MS, signal)
      const ageMs = inForce.ageMs()
      if (ageMs < Infinity) metrics.gauge('config_age_ms', Math.round(ageMs))
      const isStoreUnavailable = storeUnavailableMs() > 0
      const isStoreBack = wasStoreUnavailable && !isStoreUnavailable
      wasStoreUnavailable = isStoreUnavailable
      if (!this.isOld()) {
        this.refreshFailure = undefined
        report.confirmed()
        continue
      }
      if (inForce.current() !== undefined) report.old(ageMs)
      // A refresh that began during an outage may still wait for its timeout.
      if (isStoreBack) await this.waitFor([this.readStoreAgain()], () => this.isConfirmed())
      else if (clock.now() - this.refreshedAt >= REFRESH_INTERVAL_MS) this.refreshInBackground()
    }
  }

  private isOlderThan (fraction: number): boolean {
    return this.options.inForce.ageMs() > fraction * this.options.applyWithinMs
  }

  /** Whether the configuration should be refreshed beside the watch. */
  private isOld (): boolean {
    return this.isOlderThan(OLD_FRACTION)
  }

  private refreshInBackground () {
    this.refresh().catch((err: unknown) => this.options.log.error('Configuration could not be refreshed.', { err }))
  }

  /** Resolves when the configuration is confirmed, all that were asked have answered or failed to, or `REFRESH_WAIT_MS` have passed. */
  private refresh (): Promise<void> {
    this.refreshing ??= this.askAll().finally(() => {
      this.refreshing = undefined
      this.refreshedAt = this.options.clock.now()
    })
    return this.refreshing
  }

  /** Resolves when the configuration may be acted on, or nothing that was asked confirms it in time. */
  private readAndRefresh (): Promise<void> {
    return this.waitFor([this.readStoreAgain(), this.refresh()], () => this.isConfirmed())
  }

  private async askAll (): Promise<void> {
    const { inForce, askPeers, clock, metrics } = this.options
    const sinceRequest = Stopwatch.start(clock)
    const known: PeerConfig[] = []
    const peers = askPeers(inForce.version()).map(async answer => {
      const peer = await answer
      if (peer === undefined) return
      known.push(peer)
      inForce.observePeer(peer, sinceRequest)
    })
    await this.waitFor([...peers, Promise.all(peers).then(() => this.fetchLatest(known)), this.refreshFromStore()], () => !this.isOld())
    this.refreshFailure = !this.isOld() ? undefined : known.length > 0 ? 'unconfirmed' : 'unanswered'
    metrics.count(`config_refreshes_${this.refreshFailure ?? 'confirmed'}`)
  }

  /** Resolves when `isDone` holds after one of the parts, when all of them have ended, or when `REFRESH_WAIT_MS` have passed. */
  private waitFor (parts: ReadonlyArray<Promise<unknown>>, isDone: () => boolean): Promise<void> {
    return new Promise((resolve, reject) => {
      const cancelTimer = this.options.clock.after(REFRESH_WAIT_MS, resolve)
      const settleIfDone = () => { if (isDone()) resolve() }
      Promise.all(parts.map(part => part.then(settleIfDone))).finally(cancelTimer).then(() => resolve(), reject)
    })
  }

  // Transfers. Each takes a narrow link for seconds, so that they share one of each kind.

  /** Whether the configuration is on its way, and a second transfer would only delay it. */
  private isOnItsWay (transfer: Promise<unknown> | undefined): boolean {
    return transfer !== undefined && this.isConfirmed()
  }

  /** Fetches the latest of the configurations that others have, from one after the other until one gives it. */
  private fetchLatest (known: readonly PeerConfig[]): Promise<void> {
    this.fetching ??= this.fetchOneOf(known).finally(() => { this.fetching = undefined })
    return this.fetching
  }

  private async fetchOneOf (known: readonly PeerConfig[]): Promise<void> {
    const { inForce, clock } = this.options
    for (const { version, fetch } of [...known].sort((a, b) => b.version - a.version)) {
      if (version <= inForce.version() || this.isOnItsWay(this.arriving)) return
      const sinceRequest = Stopwatch.start(clock)
      const fetched = await fetch?.()
      if (fetched !== undefined) inForce.observePeer(fetched, sinceRequest)
    }
  }

  /** Resolves when the store has answered, or failed to answer, by what is under way already or by a read that is sent now. */
  private async refreshFromStore (): Promise<void> {
    if (this.isOnItsWay(this.fetching)) await this.fetching
    else await (this.arriving ?? this.readStore())
  }

  /** The same, but not by a read that has no answer yet, as it may have been sent during an outage. */
  private async readStoreAgain (): Promise<void> {
    await (this.arriving ?? this.sendRead())
  }

  private readStore (): ReturnType<Directory['readConfig']> {
    return this.reading ?? this.sendRead()
  }

  private sendRead (): ReturnType<Directory['readConfig']> {
    const { directory, inForce, clock } = this.options
    const sinceRequest = Stopwatch.start(clock)
    const read: ReturnType<Directory['readConfig']> = directory.readConfig(() => { this.arriving = read }).then(res => {
      if (res.ok) inForce.observeReading(res.val, sinceRequest, 'read')
      return res
    }).finally(() => {
      if (this.reading === read) this.reading = undefined
      if (this.arriving === read) this.arriving = undefined
    })
    this.reading = read
    return read
  }

  private watchStore (version: number): ReturnType<Directory['watchConfig']> {
    const { directory, inForce, clock } = this.options
    const sinceRequest = Stopwatch.start(clock)
    const watch: ReturnType<Directory['watchConfig']> = directory.watchConfig(version, CONFIG_WATCH_MS, () => { this.arriving = watch }).then(res => {
      if (res.ok && res.val !== 'history-lost') inForce.observeReading(res.val, sinceRequest, 'watch')
      return res
    }).finally(() => { if (this.arriving === watch) this.arriving = undefined })
    return watch
  }
}

/** Logs when the configuration is old, what the daemon was doing meanwhile, and when it is confirmed again. */
class AgeReport {
  /** Undefined while the configuration is confirmed in time. */
  private oldSince: number | undefined
  private reportedAt = -Infinity
  private utilization = performance.eventLoopUtilization()

  private constructor (private readonly options: ConfigWatchOptions) {}

  static create (options: ConfigWatchOptions): AgeReport {
    return new AgeReport(options)
  }

  old (ageMs: number): void {
    const { inForce, clock, log, storeUnavailableMs } = this.options
    const now = clock.now()
    this.oldSince ??= now
    if (now - this.reportedAt < OLD_REPORT_MS) return
    this.reportedAt = now
    const current = performance.eventLoopUtilization()
    log.warn('Configuration is old.', {
      version: inForce.version(),
      ageMs: Math.round(ageMs),
      busyPercent: Math.round(100 * performance.eventLoopUtilization(current, this.utilization).utilization),
      storeUnavailableMs: Math.round(storeUnavailableMs())
    })
    this.utilization = current
  }

  confirmed (): void {
    this.utilization = performance.eventLoopUtilization()
    if (this.oldSince === undefined) return
    const { inForce, clock, log } = this.options
    log.info('Configuration is confirmed again.', { version: inForce.version(), oldForMs: Math.round(clock.now() - this.oldSince) })
    this.oldSince = undefined
    this.reportedAt = -Infinity
  }
}
