import type { MemoryWorkerOptions } from '@citronnotch/cell/testing'
import type { JobSpec, ResourceVector, TaskId } from '@citronnotch/cell'
import { FAULTS, MORE_FAULTS, REFUSAL_FAULTS } from './faults.js'
import type { Fault } from './faults.js'
import { LATE_ANSWER_FAULTS, LATE_MESSAGE_FAULTS, LEADER_FAULTS, SHORT_RESTART_FAULTS } from './leaderFaults.js'
import type { Random } from './random.js'

/** What kind of cell a soak plays: its jobs, workers, bounds and faults. */
export interface Shape {
  readonly submitIntervalMs: number
  /** Steps of the next job, as callers send them. */
  readonly randomSteps: (random: Random) => readonly object[]
  readonly durationMsOf: (task: Pick<TaskId, 'jobId' | 'step'>, spec: JobSpec | undefined) => number
  readonly workerCapacity: ResourceVector
  readonly workerOptions: (random: Random) => Partial<MemoryWorkerOptions>
  readonly maxTaskLeaseMs: number
  /** Faults that `--all-faults` draws from. */
  readonly faults: Readonly<Record<string, Fault>>
  /** Longest pause between two faults, in milliseconds. */
  readonly maxPauseMs: number
  /** Time after the last fault has begun within which all accepted jobs must end, beside the time that their work needs, in milliseconds. */
  readonly recoveryMs: number
  /** Whether `--all-faults` changes the configuration again and again, beside the faults. */
  readonly hasChangeSeries: boolean
  /** Whether proxies stand in front of the daemons' listeners for peers. */
  readonly hasPeerProxies: boolean
  /** Whether it is a violation to count a lease as lapsed that its worker still holds, also if no task is started twice by that. */
  readonly checksLeases: boolean
}

export const DEFAULT_SHAPE: Shape = {
  submitIntervalMs: 60,
  randomSteps: random => {
    const count = random.between(1, 4)
    const first = { count, cpu: random.between(200, 1_500), mem_mb: 100, estimated_ms: 500, ...(random.chance(0.3) ? { gang: true } : {}) }
    return random.chance(0.4) ? [first, { count: 1, cpu: 500, mem_mb: 100, after: [0] }] : [first]
  },
  durationMsOf: ({ jobId }) => 100 + Number.parseInt(jobId.slice(-3), 16) % 1_500,
  workerCapacity: { milliCores: 4_000, memoryMb: 16_000, accelerators: 0 },
  workerOptions: () => ({}),
  maxTaskLeaseMs: 6_000,
  faults: { ...FAULTS, ...MORE_FAULTS },
  maxPauseMs: 3_000,
  recoveryMs: 25_000,
  hasChangeSeries: true,
  hasPeerProxies: false,
  checksLeases: false
}

/** Tasks of the users' stave cluster: count, thousandths of a core, and run time in milliseconds. */
const STAVE_JOBS = {
  assess: { count: 8, cpu: 4_500, estimated_ms: 4_000, checkpoints: true },
  match: { count: 10, cpu: 980, estimated_ms: 2_700 },
  quote: { count: 2, cpu: 1_400, estimated_ms: 800 }
} as const
const STAVE_CAPACITY: ResourceVector = { milliCores: 16_000, memoryMb: 64_000, accelerators: 0 }

/** The users' deployment tanglaw-sked: bounds and jobs of its site, with the disturbances of its days. */
const TANGLAW_SKED: Shape = {
  submitIntervalMs: 200,
  randomSteps: random => {
    const kind = random.chance(0.82) ? 'quote' : random.chance(0.15) ? 'assess' : 'match'
    const work = { ...STAVE_JOBS[kind], mem_mb: 500, ...(random.chance(0.25) ? { gang: true } : random.chance(0.2) ? { speculative: true } : {}) }
    return random.chance(0.2) ? [work, { ...STAVE_JOBS.quote, mem_mb: 500, after: [0] }] : [work]
  },
  durationMsOf: ({ jobId, step }, spec) => (spec?.steps[step]?.estimateMs ?? 0) * (0.7 + 0.1 * (Number.parseInt(jobId.slice(-2), 16) % 7)),
  workerCapacity: STAVE_CAPACITY,
  workerOptions: random => ({ maxLeaseMs: 10_000, clockRate: 0.98 + random.between(0, 20) / 1_000, stopMs: 200, checkpointIntervalMs: 2_000, restoreMs: 100 }),
  maxTaskLeaseMs: 10_000,
  faults: LEADER_FAULTS,
  maxPauseMs: 5_000,
  // The last order is carried out 20 s after its fault has begun.
  recoveryMs: 45_000,
  hasChangeSeries: false,
  hasPeerProxies: true,
  checksLeases: false
}

/** A task that outlasts every lease; it runs for 14 to 26 s. */
const LONG_JOB = { count: 2, cpu: 1_000, mem_mb: 500, estimated_ms: 20_000 }

/** Workers that restart under their ids within the time of a call, beside tasks that outlast every lease. */
const SHORT_RESTARTS: Shape = {
  ...TANGLAW_SKED,
  randomSteps: random => random.chance(0.35) ? [LONG_JOB] : TANGLAW_SKED.randomSteps(random),
  faults: SHORT_RESTART_FAULTS,
  // Some of the leaders must live until they count leases as expired.
  maxPauseMs: 12_000,
  checksLeases: true
}

/** A task that may end while its worker is cut off and its lease lasts; it runs for 5.6 to 10.4 s. */
const MEDIUM_JOB = { ...LONG_JOB, estimated_ms: 8_000 }

/** Workers that restart while an answer of theirs is on its way, beside tasks that end under the lease of a worker that is cut off. */
const LATE_ANSWERS: Shape = {
  ...SHORT_RESTARTS,
  randomSteps: random => random.chance(0.35) ? [MEDIUM_JOB] : TANGLAW_SKED.randomSteps(random),
  faults: LATE_ANSWER_FAULTS
}

/** Daemons that the store refuses, for long and many at a time, beside changes of the configuration. */
const REFUSED_DAEMONS: Shape = { ...DEFAULT_SHAPE, faults: REFUSAL_FAULTS, maxPauseMs: 5_000, hasChangeSeries: false }

/** Messages that arrive after two takeovers and leaders that live on, beside jobs of many tasks. */
const LATE_MESSAGES: Shape = {
  ...DEFAULT_SHAPE,
  // Enough for ended jobs to be moved within seconds.
  submitIntervalMs: 8,
  randomSteps: random => random.chance(0.002) ? [{ count: 400, cpu: 100, mem_mb: 10, estimated_ms: 100 }] : [{ count: 1, cpu: 500, mem_mb: 100, estimated_ms: 100 }],
  durationMsOf: () => 50,
  faults: LATE_MESSAGE_FAULTS,
  maxPauseMs: 6_000,
  hasChangeSeries: false,
  hasPeerProxies: true
}

export const SHAPES: Readonly<Record<string, Shape>> = { default: DEFAULT_SHAPE, 'tanglaw-sked': TANGLAW_SKED, 'refused-daemons': REFUSED_DAEMONS, 'late-messages': LATE_MESSAGES, 'short-restarts': SHORT_RESTARTS, 'late-answers': LATE_ANSWERS }
