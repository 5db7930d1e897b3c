import type { Place } from '../candidates.js'
import type { JobRecord } from '../jobRecord.js'
import type { StepObstacle } from '../jobs.js'
import type { ClassForecast } from '../room/index.js'
import type { JobSpec, JobState, Queue, ResourceVector } from '../types.js'
import type { WaitCause } from '../waitTimes.js'
import type { WorkerObstacle } from '../workerObstacles.js'

/** Why something isn't known. */
export interface Unknown {
  readonly unknown: string
}

export type Known<T> = T | Unknown

export function isUnknown (value: object): value is Unknown {
  return 'unknown' in value
}

/** What an operator asks about: a job that waits, or one as it would be submitted to the queue of a host and path. */
export type ExplainQuestion = { readonly jobId: string } | { readonly host: string, readonly path: string, readonly account?: string, readonly spec: JobSpec }

/** What the leader is asked about: a live job, or one that would be admitted now. */
export type ExplainSubject = { readonly jobId: string } | { readonly record: JobRecord }

/** Why nothing of a job is started now, whatever the room. */
export type JobObstacle = 'lease-not-valid' | 'registry-old' | 'configuration-old' | 'later-configuration' | 'runs-unknown' | 'payload-not-read' | 'ended' | 'queue-unknown'

/** Resources by account; in a limit, 0 means that there is none. */
export interface AccountState {
  readonly name: string
  readonly limit: ResourceVector
  readonly inUse: Known<ResourceVector>
  /** What may still be started; `null` for a resource without a limit. */
  readonly left: Known<Readonly<Record<keyof ResourceVector, number | null>>>
}

/** Workers that are alike for a step. */
export interface WorkerGroup {
  /** Missing if a task can start on each of them now. */
  readonly obstacle?: WorkerObstacle
  readonly workers: number
  /** Number of waiting tasks of the step that they have room for. */
  readonly tasks: number
  /** Ids of some of them. */
  readonly examples: readonly string[]
}

export interface StepExplanation {
  readonly occurrence: number
  readonly step: number
  readonly gang: boolean
  /** Numbers of tasks: all, and those without a run. */
  readonly count: number
  readonly waiting: number
  readonly need: ResourceVector
  readonly obstacle?: StepObstacle
  /** Number of waiting tasks that the limit of the account allows. */
  readonly allowed: number
  /** Number of tasks that could start now if nothing else went first. */
  readonly startable: number
  readonly groups: readonly WorkerGroup[]
  /** What rounds have found that the step waits for since its last start; missing if none has. */
  readonly waitsFor?: WaitCause
  /** Of the first step that could start tasks, as the steps of a job rank alike. */
  readonly place?: Known<Place>
}

export interface LeaderExplanation {
  readonly queue: string
  /** Missing for a job that isn't submitted. */
  readonly state?: JobState
  readonly ageMs?: number
  readonly account?: AccountState
  /** When a job like this would start if it were submitted now, in milliseconds. */
  readonly forecast: Known<ClassForecast & { readonly sizeClass: number }>
  readonly obstacles: readonly JobObstacle[]
  readonly steps: readonly StepExplanation[]
  /** Number of steps with tasks that aren't done which are not shown. */
  readonly leftOutSteps: number
}

/** `retryAfterMs`: the leader has been asked too often. */
export type LeaderAnswer = Known<LeaderExplanation> | { readonly retryAfterMs: number }

/** What a daemon would answer to a submission. */
export type Submission =
  | { readonly answer: 'admitted' | 'held' }
  | { readonly answer: 'refused', readonly code: string, readonly reason: string, readonly retryAfterMs?: number, /** Part of such jobs that is admitted all the same, from 0 to 1. */ readonly admittedShare: number }

export interface Explanation {
  readonly queue: Known<Pick<Queue, 'name' | 'service' | 'host' | 'pathPrefix' | 'isPublic' | 'priority'> & { readonly needsTickets: boolean }>
  /** Missing if the job has none. */
  readonly account?: Known<AccountState>
  /** Missing for a job that is submitted. */
  readonly submission?: Known<Submission>
  /** Age of the forecast by which the daemon refuses jobs, in milliseconds; missing if it has none, and then it refuses none. */
  readonly forecastAgeMs?: number
  readonly leader: Known<LeaderExplanation>
}
