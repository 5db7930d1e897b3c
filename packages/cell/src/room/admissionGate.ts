import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import type { CellMetrics } from '../metrics.js'
import type { JobQueue, StepSpec } from '../types.js'
import { MAX_FORECAST_AGE_MS, SIZE_CLASSES, startForecastOf } from './forecast.js'
import type { QueueForecast } from './forecast.js'
import { expectedObjectiveMs, pathMsOf, usefulMsOf } from './jobCost.js'

/**
 * Part of the time left to be useful that the wait must not exceed for all jobs to be admitted again. In between, the
 * shorter the wait the more are admitted, so that those who were refused don't all come back into the cell at once.
 */
const READMISSION_SHARE = 0.8
/** Bounds of the time after which a refused caller is told to return, in whole seconds. */
const MIN_RETRY_S = 1
const MAX_RETRY_S = 30
/** Time since the latest wait beyond the limit after which all jobs are admitted below it, in milliseconds: all refused callers may have returned. */
const REOPENED_AFTER_MS = 40_000
/** Largest part by which that time is lengthened, so that refused callers don't return together. */
const JITTER = 0.25

export interface AdmissionGateOptions {
  /** Code of a refusal. */
  readonly code: string
  readonly clock: Clock
  /** Numbers from 0 to 1. */
  readonly random: () => number
  readonly log: Log
  readonly metrics: CellMetrics
}

interface KnownForecast {
  readonly forecast: QueueForecast
  /** Monotonic time at which the leader made it, in milliseconds. */
  readonly madeAt: number
}

interface Wait {
  /** Queue and size. */
  readonly key: string
  readonly sizeClass: number
  /** Time until the job could start at best, and until it would have to start to be useful, in milliseconds. */
  readonly waitMs: number
  readonly usefulMs: number
  /** The former against the latter. */
  readonly waitShare: number
  /** Age of the forecast, in milliseconds. */
  readonly ageMs: number
  /** As in `QueueForecast`. */
  readonly decline: number
}

/** Refuses jobs that can't end while they are useful, by the leader's forecast; admits everything without a recent one. */
export class AdmissionGate {
  private readonly forecasts = new Map<string, KnownForecast>()
  /** Monotonic time of the latest wait beyond the limit in milliseconds, by queue and size, while jobs are refused because of it. */
  private readonly closed = new Map<string, number>()

  private constructor (private readonly options: AdmissionGateOptions) {}

  static create (options: AdmissionGateOptions): AdmissionGate {
    return new AdmissionGate(options)
  }

  /** Records a forecast of the leader; one without all of its numbers, as of a leader of another version, counts as none. */
  update (queue: string, forecast: QueueForecast): void {
    const now = this.options.clock.now()
    for (const [name, { madeAt }] of this.forecasts) if (now - madeAt > MAX_FORECAST_AGE_MS) this.forecasts.delete(name)
    for (const [key, closedAt] of this.closed) if (now - closedAt > REOPENED_AFTER_MS) this.closed.delete(key)
    if (isComplete(forecast)) this.forecasts.set(queue, { forecast, madeAt: now - (forecast.ageMs ?? 0) })
    else this.forecasts.delete(queue)
  }

  /** Why a job must be refused; undefined if it may be admitted. */
  refusalOf (queue: JobQueue, steps: readonly StepSpec[]): Failure | undefined {
    const { random, metrics, log, code } = this.options
    const wait = this.waitOf(queue, steps)
    if (wait === undefined || this.admits(wait)) return undefined
    const { sizeClass, waitMs, usefulMs, ageMs } = wait
    const failure = this.refusal(wait, random())
    const { retryAfterMs } = failure
    metrics.count(`refused_${code}`)
    log.info('Job refused, as it could not end in time.', { queue: queue.name, code, sizeClass, waitMs, usefulMs: Math.round(usefulMs), ageMs: Math.round(ageMs), retryAfterMs })
    return failure
  }

  /**
   * The refusal of a job that might be refused now, with the shortest Retry-After, and the part of such jobs that is
   * admitted; undefined if all are. Changes nothing.
   */
  outlookOf (queue: JobQueue, steps: readonly StepSpec[]): { readonly failure: Failure, readonly admittedShare: number } | undefined {
    const wait = this.waitOf(queue, steps)
    const admittedShare = wait === undefined ? 1 : this.admittedShare(wait)
    return wait === undefined || admittedShare >= 1 ? undefined : { failure: this.refusal(wait, 0), admittedShare: Math.max(0, admittedShare) }
  }

  /** Undefined if there is no forecast for the queue. */
  forecastAgeMs (queue: string): number | undefined {
    const known = this.forecasts.get(queue)
    return known === undefined ? undefined : this.options.clock.now() - known.madeAt
  }

  /** The wait of a job that may be refused for it; undefined without a recent forecast, or if no wait is the reason. */
  private waitOf (queue: JobQueue, steps: readonly StepSpec[]): Wait | undefined {
    const known = this.forecasts.get(queue.name)
    const ageMs = this.forecastAgeMs(queue.name) ?? Infinity
    if (known === undefined || ageMs > MAX_FORECAST_AGE_MS || steps.some(({ longRunning }) => longRunning)) return undefined
    const { durations, decline } = known.forecast
    const { sizeClass, earliestStartInMs: waitMs } = startForecastOf(known.forecast, steps)
    const usefulMs = usefulMsOf(expectedObjectiveMs(steps, durations, queue)) - pathMsOf(steps, durations)
    // It would be too late in an empty cell as well, so that what waits is no reason to refuse it.
    if (usefulMs <= 0) return undefined
    return { key: `${queue.name}/${sizeClass}`, sizeClass, waitMs, usefulMs, ageMs, decline, waitShare: waitMs / usefulMs }
  }

  /** `random`: from 0 to 1. */
  private refusal ({ waitMs, usefulMs, decline }: Wait, random: number): Failure {
    const { code } = this.options
    const seconds = Math.min(MAX_RETRY_S, Math.max(MIN_RETRY_S, Math.ceil((waitMs - READMISSION_SHARE * usefulMs) / decline / 1_000)))
    const retryAfterMs = Math.round(1_000 * seconds * (1 + JITTER * random))
    return Failure.create({ code, verdict: 'not-run', reason: 'The cell has so much to do that the job could not end in time.', hint: 'Send the same request again later.', retryAfterMs })
  }

  private admits ({ key, waitShare }: Wait): boolean {
    const { clock, random } = this.options
    if (waitShare > 1) this.closed.set(key, clock.now())
    else if (waitShare <= READMISSION_SHARE || !this.isClosed(key)) this.closed.delete(key)
    const share = this.admittedShare({ key, waitShare })
    return share >= 1 || random() < share
  }

  /** Part of the jobs with a wait that is admitted; not above 0 if none is. */
  private admittedShare ({ key, waitShare }: Pick<Wait, 'key' | 'waitShare'>): number {
    const isClosed = waitShare > 1 || (waitShare > READMISSION_SHARE && this.isClosed(key))
    return isClosed ? (1 - waitShare) / (1 - READMISSION_SHARE) : 1
  }

  private isClosed (key: string): boolean {
    return this.options.clock.now() - (this.closed.get(key) ?? -Infinity) <= REOPENED_AFTER_MS
  }
}

/** Whether a forecast, which may come from a leader of another version, has all numbers that a refusal is computed from. */
function isComplete ({ cell, durations, meanWorkMs, classes, decline, ageMs = 0 }: Partial<QueueForecast>): boolean {
  const numbers = [cell?.milliCores, cell?.memoryMb, cell?.accelerators, meanWorkMs, decline, ageMs, ...(durations === undefined ? [] : [durations.meanMs, durations.estimateWeight])]
  return numbers.every(Number.isFinite) && (decline ?? 0) > 0 && (meanWorkMs ?? 0) > 0 &&
    Array.isArray(classes) && classes.length === SIZE_CLASSES && classes.every(ofSize => Number.isFinite(ofSize?.earliestStartInMs))
}
