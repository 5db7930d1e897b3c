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
  const { queue, service, steps, schedule, admittedAtMs } = (value ?? {}) as Partial<StoredJob>
  if (queue === undefined || service === undefined || admittedAtMs === undefined || !Array.isArray(steps)) return undefined
  const completeSteps = steps.map(step => ({ ...STEP_DEFAULTS, ...step } as StepSpec))
  return { queue, service, spec: { steps: completeSteps, ...(schedule === undefined ? {} : { schedule }) }, admittedAtMs }
}

function withoutDefaults (step: StepSpec): Partial<StepSpec> {
  const defaults: Readonly<Record<string, unknown>> = STEP_DEFAULTS as never
  return Object.fromEntries(Object.entries(step).filter(([name, value]) => {
    const defaultValue = defaults[name]
    return Array.isArray(defaultValue) ? (value as readonly unknown[]).length > 0 : value !== defaultValue
  }))
}
