import { finiteOr, isCount, isListOf, isString, recordOf } from '@citronnotch/base/untrusted'
import { parseRanges } from './progressRows.js'
import type { JobOutcome } from './types.js'

/** Stored progress of one step. The keys of the records are task indexes. */
export interface StepProgress {
  /** One character per task: `1` if it is done, otherwise `0`. */
  readonly done: string
  /** Numbers of the failed runs of each task; of a lasting task, the number of its latest run only. */
  readonly failed?: Readonly<Record<string, readonly number[]>>
  /** Numbers of the runs of each task under which a worker has crashed, and of those that were alone on it. */
  readonly crashed?: Readonly<Record<string, readonly number[]>>
  readonly crashedAlone?: Readonly<Record<string, readonly number[]>>
  /** Numbers of the runs of each task that an outage has ended; missing in rows of earlier versions. */
  readonly crashedInOutage?: Readonly<Record<string, readonly number[]>>
  /** Numbers of the later runs of such a task under which no crash was seen: those that have ended, and those of which no end is known. */
  readonly endedAfterCrash?: Readonly<Record<string, readonly number[]>>
  readonly openAfterCrash?: Readonly<Record<string, readonly number[]>>
  /** Runs of each task that were started and of which no end is known; a successor counts the crashes of their workers that nobody has seen. */
  readonly open?: Readonly<Record<string, readonly StoredOpenRun[]>>
  /** Latest checkpoint of each unfinished task, from runs whose finish has been acknowledged. */
  readonly checkpoints?: Readonly<Record<string, string>>
}

/** Number of the run, id of its worker, incarnation of the worker, and Unix time of the start in milliseconds. */
export type StoredOpenRun = readonly [number, string, number, number]

/** Stored progress of a job by occurrence number: `done`, or the progress of each step. */
export type JobProgress = Readonly<Record<string, 'done' | readonly StepProgress[]>>

/**
 * Final outcome of a job. It is stored first in the job's progress row in place of the progress, and later in a row of
 * the table of ended jobs, which replaces the row that admitted the job.
 */
export interface EndedRecord {
  readonly outcome: JobOutcome
  /** Unix time in milliseconds. */
  readonly endedAtMs: number
  /** Client account that submitted the job; missing in progress rows, in rows of earlier versions, and if the cell had no accounts then. */
  readonly account?: string
}

/**
 * Value of the first row of a job in the progress table. A job whose progress would not fit into one row has a further
 * one for each range of its tasks, and its first row names the occurrences that are done, as ranges.
 */
export type StoredProgress = { readonly occurrences: JobProgress } | { readonly doneOccurrences: string } | EndedRecord

const OUTCOMES: ReadonlySet<unknown> = new Set<JobOutcome>(['completed', 'failed', 'cancelled'])
const OCCURRENCE_PATTERN = /^\d{1,15}$/

/** Returns undefined if the value isn't that of a row with an outcome. */
export function decodeEnded (value: unknown): EndedRecord | undefined {
  const { outcome, endedAtMs, account } = recordOf(value)
  return OUTCOMES.has(outcome) ? { outcome: outcome as JobOutcome, endedAtMs: finiteOr(endedAtMs, 0), ...(isString(account) ? { account } : {}) } : undefined
}

/** Returns undefined if the value isn't that of a row in the progress table. */
export function decodeProgress (value: unknown): StoredProgress | undefined {
  const { occurrences, doneOccurrences } = recordOf(value)
  if (isString(doneOccurrences)) return parseRanges(doneOccurrences) === undefined ? undefined : { doneOccurrences }
  return decodeEnded(value) ?? (isJobProgress(occurrences) ? { occurrences } : undefined)
}

/** Returns undefined if the value isn't that of a row with the progress of a range of tasks. */
export function decodeRange (value: unknown): StepProgress | undefined {
  return isStepProgress(value) ? value : undefined
}

/** Range of the tasks of one step that share a row of their own. */
export interface RangeKey {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  /** Number of the range within the step. */
  readonly range: number
}

const RANGE_KEY_PATTERN = /^([^.]+)\.(\d{1,15})\.(\d{1,9})\.(\d{1,9})$/

export function formatRangeKey ({ jobId, occurrence, step, range }: RangeKey): string {
  return `${jobId}.${occurrence}.${step}.${range}`
}

/** Returns undefined if the key isn't that of a row with the progress of a range of tasks. */
export function parseRangeKey (key: string): RangeKey | undefined {
  const match = RANGE_KEY_PATTERN.exec(key)
  return match === null ? undefined : { jobId: match[1] ?? '', occurrence: Number(match[2]), step: Number(match[3]), range: Number(match[4]) }
}

function isJobProgress (value: unknown): value is JobProgress {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return false
  return Object.entries(value).every(([occurrence, steps]) => OCCURRENCE_PATTERN.test(occurrence) && (steps === 'done' || isListOf(steps, isStepProgress)))
}

function isStepProgress (value: unknown): value is StepProgress {
  const { done, failed, crashed, crashedAlone, crashedInOutage, endedAfterCrash, openAfterCrash, open, checkpoints } = recordOf(value)
  return isString(done) && [failed, crashed, crashedAlone, crashedInOutage, endedAfterCrash, openAfterCrash].every(runs => isRecordOf(runs, numbers => isListOf(numbers, isCount))) &&
    isRecordOf(open, runs => isListOf(runs, isOpenRun)) && isRecordOf(checkpoints, isString)
}

function isOpenRun (value: unknown): value is StoredOpenRun {
  if (!Array.isArray(value)) return false
  const [number, workerId, born, startedAtMs] = value as readonly unknown[]
  return isString(workerId) && [number, born, startedAtMs].every(isCount)
}

function isRecordOf (value: unknown, isElement: (element: unknown) => boolean): boolean {
  return value === undefined || (typeof value === 'object' && value !== null && Object.values(value).every(isElement))
}
