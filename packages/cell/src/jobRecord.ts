import { isCount, isFiniteNumber, isListOf, isString, recordOf, stringOr } from '@citronnotch/base/untrusted'
import { MAX_TASKS_PER_STEP } from './types.js'
import type { JobSpec, Queue, QueueTerms, Schedule, StepSpec } from './types.js'

/** An admitted job without its payload, which scheduling decisions don't need. */
export interface JobRecord {
  readonly queue: string
  readonly service: string
  /** Client account that submitted the job; missing if the cell had no accounts then. */
  readonly account?: string
  /** Terms of the queue at the admission, for when the configuration no longer has the queue; missing in rows of earlier versions. */
  readonly terms?: QueueTerms
  readonly spec: Omit<JobSpec, 'payload'>
  /** Unix time of the admission, in milliseconds. */
  readonly admittedAtMs: number
  /** Version of the configuration by which the job was admitted; missing in rows of earlier versions. */
  readonly configVersion?: number
}

/** Value of the row of a live job. Step fields with their default value are omitted to keep rows small: a new leader reads all of them. */
export interface StoredJob {
  readonly queue: string
  readonly service: string
  readonly account?: string
  readonly terms?: StoredTerms
  readonly steps: ReadonlyArray<Partial<StepSpec>>
  readonly schedule?: Schedule
  readonly admittedAtMs: number
  readonly configVersion?: number
}

/** Priority, maximum attempts, slack factor, target latency in milliseconds and, if the queue has an advice policy, its three times. */
type StoredTerms = readonly number[]

/** Value of a row that a leader has read, but has no memory to keep. */
export class OmittedJob {
  private constructor (readonly queue: string, readonly account: string | undefined) {}

  static create ({ queue, account }: JobRecord): OmittedJob {
    return new OmittedJob(queue, account)
  }
}

/** Default values of the step fields that may be omitted. */
export const STEP_DEFAULTS: Omit<StepSpec, 'count' | 'need'> = {
  estimateMs: 0,
  after: [],
  gang: false,
  rackLocal: false,
  requiredLabel: '',
  affinityRack: '',
  maxPerWorker: 0,
  speculative: false,
  longRunning: false,
  checkpoints: false,
  usesIdleCapacity: false,
  latencyTargetMs: 0,
  maxUnavailable: 0
}

export function encodeJob ({ queue, service, account, terms, spec, admittedAtMs, configVersion }: JobRecord): StoredJob {
  const { steps, schedule } = spec
  return { queue, service, ...(account === undefined ? {} : { account }), ...(terms === undefined ? {} : { terms: encodeTerms(terms) }), steps: steps.map(withoutDefaults), ...(schedule === undefined ? {} : { schedule }), admittedAtMs, ...(configVersion === undefined ? {} : { configVersion }) }
}

/** Returns undefined if the value isn't that of a live job. */
export function decodeJob (value: unknown): JobRecord | undefined {
  const { queue, service, account, terms: storedTerms, steps, schedule, admittedAtMs, configVersion } = recordOf(value)
  if (!isString(queue) || !isString(service) || !(account === undefined || isString(account)) || !isFiniteNumber(admittedAtMs) || !Array.isArray(steps) || !(configVersion === undefined || isFiniteNumber(configVersion))) return undefined
  const completeSteps = steps.map(step => ({ ...STEP_DEFAULTS, ...recordOf(step) }))
  if (!isListOf(completeSteps, isStep) || !(schedule === undefined || isSchedule(schedule))) return undefined
  const terms = decodeTerms(storedTerms)
  return { queue, service, ...(account === undefined ? {} : { account }), ...(terms === undefined ? {} : { terms }), spec: { steps: completeSteps, ...(schedule === undefined ? {} : { schedule }) }, admittedAtMs, ...(configVersion === undefined ? {} : { configVersion }) }
}

/** Account that the row of a live or an ended job names, if any. */
export function accountOfRow (value: unknown): string | undefined {
  return stringOr(recordOf(value).account, undefined)
}

export function termsOf ({ priority, maxAttempts, slackFactor, targetLatencyMs, advice }: Queue): QueueTerms {
  return { priority, maxAttempts, slackFactor, targetLatencyMs, ...(advice === undefined ? {} : { advice }) }
}

function encodeTerms ({ priority, maxAttempts, slackFactor, targetLatencyMs, advice }: QueueTerms): StoredTerms {
  return [priority, maxAttempts, slackFactor, targetLatencyMs, ...(advice === undefined ? [] : [advice.decisionMs, advice.perWorkerMs, advice.validityMs])]
}

function decodeTerms (value: unknown): QueueTerms | undefined {
  if (!isListOf(value, isFiniteNumber)) return undefined
  const [priority, maxAttempts, slackFactor, targetLatencyMs, decisionMs, perWorkerMs, validityMs] = value
  if (priority === undefined || maxAttempts === undefined || slackFactor === undefined || targetLatencyMs === undefined) return undefined
  const advice = decisionMs === undefined || perWorkerMs === undefined || validityMs === undefined ? undefined : { decisionMs, perWorkerMs, validityMs }
  return { priority, maxAttempts, slackFactor, targetLatencyMs, ...(advice === undefined ? {} : { advice }) }
}

function isStep (value: unknown): value is StepSpec {
  const step = recordOf(value)
  const { count, need } = step
  const { milliCores, memoryMb, accelerators } = recordOf(need)
  return isCount(count) && count <= MAX_TASKS_PER_STEP && [milliCores, memoryMb, accelerators].every(isCount) &&
    Object.entries(STEP_DEFAULTS).every(([name, defaultValue]) => hasTypeOf(step[name], defaultValue))
}

function hasTypeOf (value: unknown, example: unknown): boolean {
  if (Array.isArray(example)) return isListOf(value, isCount)
  return typeof example === 'number' ? isFiniteNumber(value) : typeof value === typeof example
}

function isSchedule (value: unknown): value is Schedule {
  const { firstRunMs, intervalMs, repetitions } = recordOf(value)
  return isCount(repetitions) && [firstRunMs, intervalMs].every(isFiniteNumber)
}

function withoutDefaults (step: StepSpec): Partial<StepSpec> {
  const defaults: Readonly<Record<string, unknown>> = STEP_DEFAULTS as never
  return Object.fromEntries(Object.entries(step).filter(([name, value]) => {
    const defaultValue = defaults[name]
    return Array.isArray(defaultValue) ? (value as readonly unknown[]).length > 0 : value !== defaultValue
  }))
}
