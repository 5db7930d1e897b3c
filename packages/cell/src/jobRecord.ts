import { finiteOr, isCount, isListOf, isString, recordOf } from '@citronnotch/base/untrusted'
import { MAX_TASKS_PER_STEP } from './types.js'
import type { JobSpec, Schedule, StepSpec } from './types.js'

/** An admitted job without its payload, which scheduling decisions don't need. */
export interface JobRecord {
  readonly queue: string
  readonly service: string
  readonly spec: Omit<JobSpec, 'payload'>
  /** Unix time of the admission, in milliseconds. */
  readonly admittedAtMs: number
}

/** Value of the row of a live job. Step fields with their default value are omitted to keep rows small: a new leader reads all of them. */
export interface StoredJob {
  readonly queue: string
  readonly service: string
  readonly steps: ReadonlyArray<Partial<StepSpec>>
  readonly schedule?: Schedule
  readonly admittedAtMs: number
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

export function encodeJob ({ queue, service, spec, admittedAtMs }: JobRecord): StoredJob {
  const { steps, schedule } = spec
  return { queue, service, steps: steps.map(withoutDefaults), ...(schedule === undefined ? {} : { schedule }), admittedAtMs }
}

/** Returns undefined if the value isn't that of a live job. */
export function decodeJob (value: unknown): JobRecord | undefined {
  const { queue, service, steps, schedule, admittedAtMs } = recordOf(value)
  if (!isString(queue) || !isString(service) || finiteOr(admittedAtMs, undefined) === undefined || !Array.isArray(steps)) return undefined
  const completeSteps = steps.map(step => ({ ...STEP_DEFAULTS, ...recordOf(step) }))
  if (!isListOf(completeSteps, isStep) || !(schedule === undefined || isSchedule(schedule))) return undefined
  return { queue, service, spec: { steps: completeSteps, ...(schedule === undefined ? {} : { schedule }) }, admittedAtMs: admittedAtMs as number }
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
  return typeof example === 'number' ? finiteOr(value, undefined) !== undefined : typeof value === typeof example
}

function isSchedule (value: unknown): value is Schedule {
  const { firstRunMs, intervalMs, repetitions } = recordOf(value)
  return isCount(repetitions) && [firstRunMs, intervalMs].every(ms => finiteOr(ms, undefined) !== undefined)
}

function withoutDefaults (step: StepSpec): Partial<StepSpec> {
  const defaults: Readonly<Record<string, unknown>> = STEP_DEFAULTS as never
  return Object.fromEntries(Object.entries(step).filter(([name, value]) => {
    const defaultValue = defaults[name]
    return Array.isArray(defaultValue) ? (value as readonly unknown[]).length > 0 : value !== defaultValue
  }))
}
