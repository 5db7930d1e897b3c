import { performance } from 'node:perf_hooks'
import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import type { ClockBounds } from '@citronnotch/base/remoteClock'
import { CONFIG_WATCH_MS } from './constants.js'
import type { CellMetrics } from './metrics.js'
import type { ConfigReading, Directory } from './ports.js'
import type { CellConfig, Queue } from './types.js'

/** Initial and maximum retry delay; both are a fraction of the time within which a new version must be in force. */
const MIN_RETRY_MS = 150
const MAX_RETRY_MS = 600
/** Interval between checks of the age of the configuration. */
const AGE_CHECK_MS = 200
/** Interval between reports of a configuration that stays old. */
const OLD_REPORT_MS = 1_000
/** Fraction of the time within which a version must be in force after which the configuration counts as old. */
const OLD_FRACTION = 0.5

export interface ConfigWatchOptions {
  readonly directory: Directory
  /** Bounds of the store's clock at this moment; undefined before the store's first answer. */
  readonly storeClock: () => ClockBounds | undefined
  /** Time for which the store has been unavailable to this daemon, in milliseconds; 0 while it is available. */
  readonly storeUnavailableMs: () => number
  /** Time within which a confirmed version must be in force, in milliseconds. */
  readonly applyWithinMs: number
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

/** Watches the configuration and applies new versions; an older version is never applied. */
export class ConfigWatch {
  private config: CellConfig | undefined
  /** Time on the store's clock at which no newer configuration existed. */
  private asOfMs: number | undefined
  private queuesByName: ReadonlyMap<string, Queue> = new Map()
  private queuesByHost: ReadonlyMap<string, readonly Queue[]> = new Map()

  private constructor (private readonly options: ConfigWatchOptions) {}

  static create (options: ConfigWatchOptions): ConfigWatch {
    return new ConfigWatch(options)
  }

  current (): CellConfig | undefined {
    return this.config
  }

  /** Time for which the configuration in force is not known to be the latest, in milliseconds; infinite before the first read. */
  ageMs (): number {
    const now = this.options.storeClock()
    return this.asOfMs === undefined || now === undefined ? Infinity : Math.max(0, now.latest - this.asOfMs)
  }

  queue (name: string): Queue | undefined {
    return this.queuesByName.get(name)
  }

  /** Returns the queue of the host with the longest matching path prefix. */
  match (host: string, path: string): Queue | undefined {
    return this.queuesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
  }

  async run (signal: AbortSignal): Promise<void> {
    const { directory, clock, log } = this.options
    let version: number | undefined
    let retryMs = MIN_RETRY_MS
    while (!signal.aborted) {
      if (version === undefined) {
        const read = await directory.readConfig()
        if (read.err) {
          log.warn('Configuration could not be read.', { verdict: read.val.verdict, reason: read.val.reason, inForce: this.config?.version })
          await clock.sleep(retryMs, signal)
          retryMs = Math.min(2 * retryMs, MAX_RETRY_MS)
          continue
        }
        retryMs = MIN_RETRY_MS
        this.observe(read.val, 'read')
        version = read.val.version
      }
      const change = await directory.watchConfig(version, CONFIG_WATCH_MS)
      // After a failed watch the row itself is read, over another connection.
      if (change.err || change.val === 'history-lost') {
        log.info('Configuration watch interrupted; reading the configuration again.', { reason: change.err ? change.val.reason : 'history lost', inForce: this.config?.version })
        version = undefined
        await clock.sleep(change.err ? MIN_RETRY_MS : 0, signal)
        continue
      }
      this.observe(change.val, 'watch')
      version = change.val.version
    }
  }

  /** Reports the age of the configuration, and what the daemon was doing while it grew old. */
  async monitor (signal: AbortSignal): Promise<void> {
    const { clock, log, metrics, applyWithinMs, storeUnavailableMs } = this.options
    let oldSince: number | undefined
    let reportedAt = -Infinity
    let utilization = performance.eventLoopUtilization()
    while (!signal.aborted) {
      await clock.sleep(AGE_CHECK_MS, signal)
      const ageMs = this.ageMs()
      if (ageMs < Infinity) metrics.gauge('config_age_ms', Math.round(ageMs))
      if (ageMs <= OLD_FRACTION * applyWithinMs) {
        if (oldSince !== undefined) log.info('Configuration is confirmed again.', { version: this.config?.version, oldForMs: Math.round(clock.now() - oldSince) })
        oldSince = undefined
        reportedAt = -Infinity
        utilization = performance.eventLoopUtilization()
        continue
      }
      if (this.config === undefined || clock.now() - reportedAt < OLD_REPORT_MS) continue
      oldSince ??= clock.now()
      reportedAt = clock.now()
      const current = performance.eventLoopUtilization()
      log.warn('Configuration is old.', {
        version: this.config.version,
        ageMs: Math.round(ageMs),
        busyPercent: Math.round(100 * performance.eventLoopUtilization(current, utilization).utilization),
        storeUnavailableMs: Math.round(storeUnavailableMs())
      })
      utilization = current
    }
  }

  private observe ({ config, asOfMs }: ConfigReading, source: 'read' | 'watch') {
    this.apply(config, source)
    if (asOfMs !== undefined) this.asOfMs = Math.max(asOfMs, this.asOfMs ?? -Infinity)
  }

  private apply (config: CellConfig | undefined, source: string) {
    if (config === undefined || config.version <= (this.config?.version ?? -1)) return
    const ageMs = this.ageMs()
    this.config = config
    // Jobs of a removed queue continue under its last settings.
    this.queuesByName = new Map([...this.queuesByName, ...config.queues.map(queue => [queue.name, queue] as const)])
    const byHost = new Map<string, Queue[]>()
    for (const queue of config.queues) byHost.set(queue.host, [...(byHost.get(queue.host) ?? []), queue])
    for (const queues of byHost.values()) queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    this.queuesByHost = byHost
    this.options.log.info('Configuration in force.', { version: config.version, queues: config.queues.length, source, ...(ageMs < Infinity ? { previousAgeMs: Math.round(ageMs) } : {}) })
  }
}
