import type { JobSpec, Schedule, StepSpec } from './types.js'

/** An admitted job without its payload: all that deciding about it needs. */
export interface JobRecord {
  readonly queue: string
  readonly service: string
  readonly spec: Omit<JobSpec, 'payload'>
  /** Unix time of the admission, in milliseconds. */
  readonly admittedAtMs: number
}

/** Value of the row of a live job. Fields of a step that have their default are left out, as a new leader reads every row. */
export interface StoredJob {
  readonly queue: string
  readonly service: string
  readonly steps: ReadonlyArray<Partial<StepSpec>>
  readonly schedule?: Schedule
  readonly admittedAtMs: number
}

/** Fields of a step that may be left out. */
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

/** Undefined for a value that is no live job. */
export function decodeJob (value: unknown): JobRecord | undefined {
  const { queue, service, steps, schedule, admittedAtMs } = (value ?? {}) as Partial<StoredJob>
  if (queue === undefined || service === undefined || admittedAtMs === undefined || !Array.isArray(steps)) return undefined
  const whole = steps.map(step => ({ ...STEP_DEFAULTS, ...step } as StepSpec))
  return { queue, service, spec: { steps: whole, ...(schedule === undefined ? {} : { schedule }) }, admittedAtMs }
}

function withoutDefaults (step: StepSpec): Partial<StepSpec> {
  const defaults: Readonly<Record<string, unknown>> = STEP_DEFAULTS as never
  return Object.fromEntries(Object.entries(step).filter(([name, value]) => {
    const standard = defaults[name]
    return Array.isArray(standard) ? (value as readonly unknown[]).length > 0 : value !== standard
  }))
}
