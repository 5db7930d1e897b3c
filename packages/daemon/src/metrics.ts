import { StatsD } from 'hot-shots'

/** Tags of a metric, such as `{ team: 'dispatch' }`. */
export type MetricTags = Readonly<Record<string, string>>

/** Sink of metrics; docs/metrics.md lists every name with its unit. */
export interface Metrics {
  count (name: string, value?: number, tags?: MetricTags): void
  gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  timing (name: string, ms: number, tags?: MetricTags): void
  close (): Promise<void>
}

export interface MetricsOptions {
  readonly host: string
  readonly port: number
  readonly daemonId: string
}

/** Metrics over the StatsD protocol. */
export class StatsdMetrics implements Metrics {
  private constructor (private readonly client: StatsD) {}

  static create (options: MetricsOptions): StatsdMetrics {
    return new StatsdMetrics(new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'citronnotch.',
      globalTags: { daemon: options.daemonId },
      maxBufferSize: 1_400,
      // An unreachable metrics server must not disturb the daemon.
      errorHandler: () => {}
    }))
  }

  count (name: string, value = 1, tags: MetricTags = {}): void {
    this.client.increment(name, value, { ...tags })
  }

  gauge (name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, { ...tags })
  }

  timing (name: string, ms: number, tags: MetricTags = {}): void {
    this.client.timing(name, ms, { ...tags })
  }

  close (): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()))
  }
}

/** Metrics that are dropped; used when no metrics server is set, and in tests. */
export const noMetrics: Metrics = {
  count () {},
  gauge () {},
  timing () {},
  close: () => Promise.resolve()
}
