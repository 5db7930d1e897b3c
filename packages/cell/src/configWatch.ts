import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { CONFIG_WATCH_MS } from './constants.js'
import type { Directory } from './ports.js'
import type { CellConfig, Queue } from './types.js'

/** Initial and maximum retry delay; both are a fraction of the time within which a new version must be in force. */
const MIN_RETRY_MS = 150
const MAX_RETRY_MS = 600

export interface ConfigWatchOptions {
  readonly directory: Directory
  readonly clock: Clock
  readonly log: Log
}

/** Watches the configuration and applies new versions; an older version is never applied. */
export class ConfigWatch {
  private config: CellConfig | undefined
  private queuesByName: ReadonlyMap<string, Queue> = new Map()
  private queuesByHost: ReadonlyMap<string, readonly Queue[]> = new Map()

  private constructor (private readonly options: ConfigWatchOptions) {}

  static create (options: ConfigWatchOptions): ConfigWatch {
    return new ConfigWatch(options)
  }

  current (): CellConfig | undefined {
    return this.config
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
        this.apply(read.val.config)
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
      this.apply(change.val.config)
      version = change.val.version
    }
  }

  private apply (config: CellConfig | undefined) {
    if (config === undefined || config.version <= (this.config?.version ?? -1)) return
    this.config = config
    // Jobs of a removed queue continue under its last settings.
    this.queuesByName = new Map([...this.queuesByName, ...config.queues.map(queue => [queue.name, queue] as const)])
    const byHost = new Map<string, Queue[]>()
    for (const queue of config.queues) byHost.set(queue.host, [...(byHost.get(queue.host) ?? []), queue])
    for (const queues of byHost.values()) queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    this.queuesByHost = byHost
    this.options.log.info('Configuration in force.', { version: config.version, queues: config.queues.length })
  }
}
