import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Counters, gauges and latency histograms of one process. */
export interface CellMetrics {
  count (name: string, value?: number): void
  gauge (name: string, value: number): void
  /** Sets a gauge for each value of a label; those that were set before and are missing now are removed. */
  gaugeByLabel (name: string, label: string, values: ReadonlyMap<string, number>): void
  /** Records a duration in milliseconds. */
  observe (name: string, ms: number): void
}

const PREFIX = 'citronnotch_'
const PERCENTILES = [50, 90, 99, 100] as const

/** Metrics kept in memory and rendered as text with one `name value` pair per line. */
export class MemoryMetrics implements CellMetrics {
  private readonly counters = new Map<string, number>()
  private readonly gauges = new Map<string, number>()
  private readonly labelledGauges = new Map<string, { readonly label: string, readonly values: ReadonlyMap<string, number> }>()
  private readonly histograms = new Map<string, Histogram>()

  private constructor () {}

  static create (): MemoryMetrics {
    return new MemoryMetrics()
  }

  count (name: string, value = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + value)
  }

  gauge (name: string, value: number): void {
    this.gauges.set(name, value)
  }

  gaugeByLabel (name: string, label: string, values: ReadonlyMap<string, number>): void {
    this.labelledGauges.set(name, { label, values })
  }

  observe (name: string, ms: number): void {
    let histogram = this.histograms.get(name)
    if (histogram === undefined) {
      histogram = build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2, highestTrackableValue: 600_000 })
      this.histograms.set(name, histogram)
    }
    histogram.recordValue(Math.min(600_000, Math.max(0, Math.round(ms))))
  }

  render (): string {
    const lines: string[] = []
    for (const [name, value] of [...this.counters, ...this.gauges]) lines.push(`${PREFIX}${sanitizeName(name)} ${value}`)
    for (const [name, { label, values }] of this.labelledGauges) {
      for (const [text, value] of values) lines.push(`${PREFIX}${sanitizeName(name)}{${label}="${escapeLabel(text)}"} ${value}`)
    }
    for (const [name, histogram] of this.histograms) {
      lines.push(`${PREFIX}${sanitizeName(name)}_count ${histogram.totalCount}`)
      for (const percentile of PERCENTILES) lines.push(`${PREFIX}${sanitizeName(name)}{quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile)}`)
    }
    return `${lines.join('\n')}\n`
  }
}

/** Escapes the value of a label; the text format of Prometheus knows no other escapes. */
function escapeLabel (text: string): string {
  return text.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')
}

function sanitizeName (name: string): string {
  return name.replace(/[^a-zA-Z0-9_]/g, '_')
}
