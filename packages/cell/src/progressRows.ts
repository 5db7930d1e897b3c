import type { Task } from './jobs.js'
import type { StepProgress, StoredOpenRun } from './storedProgress.js'
import type { StepSpec } from './types.js'

/** Largest value of a progress row, in bytes of JSON: 65,536 bytes (`row_bytes` of the platform's store) in base64. */
export const MAX_ROW_BYTES = 49_152
/** Maximum number of failed runs that are stored of one task; a queue with more attempts may allow a task further ones after a takeover. */
export const MAX_STORED_FAILURES = 64
/** Maximum number of open runs that are stored in one row. */
const MAX_STORED_OPEN_RUNS = 256

/** Bytes of one run number with its separator: epochs up to ten millions. */
const NUMBER_BYTES = 12
/** Bytes of what must be stored of one task, without its failed runs: its mark and the lists of a full `CrashRecord`. */
const TASK_BYTES = 384
/** Bytes of the key and the brackets of one task in a list. */
const ENTRY_BYTES = 12
/** Bytes of one open run, with the longest id of a worker. */
const OPEN_RUN_BYTES = 300
/** Bytes of the names of all fields of a step. */
const STEP_BYTES = 128
/** Bytes around the steps. */
const ROW_BYTES = 64

/** How the progress of a job is divided into rows, each of which fits into the store whatever happens to its tasks. */
export interface RowLayout {
  /** Whether one row holds the whole job. */
  readonly isCompact: boolean
  /** Number of tasks of one step in a row, if there are several. A gang has one row, as its members share their state. */
  readonly tasksPerRow: number
}

/** The layout depends on nothing that changes after the admission. `repetitions`: 1 if the job isn't scheduled. */
export function layoutOf (steps: readonly StepSpec[], repetitions: number, maxAttempts: number): RowLayout {
  const taskBytes = TASK_BYTES + ENTRY_BYTES + NUMBER_BYTES * Math.min(maxAttempts, MAX_STORED_FAILURES)
  const stepBytes = (step: StepSpec) => STEP_BYTES + (step.gang ? step.count + taskBytes : step.count * taskBytes)
  const occurrenceBytes = steps.reduce((total, step) => total + stepBytes(step), ENTRY_BYTES)
  return {
    isCompact: ROW_BYTES + repetitions * occurrenceBytes <= MAX_ROW_BYTES,
    tasksPerRow: Math.floor((MAX_ROW_BYTES - ROW_BYTES - STEP_BYTES) / taskBytes)
  }
}

/** What is stored of the tasks of one step in one row. */
export interface RowTasks {
  /** One character per task: `1` if it is done, otherwise `0`. */
  readonly done: string
  /** Tasks that aren't done and of which something is known. */
  readonly tasks: readonly Task[]
}

/**
 * Progress of the steps in one row. Open runs, and then checkpoints, are left out as far as they don't fit: a successor
 * resumes such a task from its beginning.
 */
export function encodeRow (steps: readonly RowTasks[]): readonly StepProgress[] {
  const mandatory = steps.map(mandatoryProgress)
  let remainingBytes = MAX_ROW_BYTES - ROW_BYTES - steps.reduce((total, step) => total + mandatoryBytes(step), 0)
  const hasRoomFor = (bytes: number) => {
    if (bytes > remainingBytes) return false
    remainingBytes -= bytes
    return true
  }
  let openRuns = 0
  const open = steps.map(({ tasks }) => entriesOf(tasks, task => {
    const runs = task.openRuns().map(({ number, workerId, born, startedAtMs }): StoredOpenRun => [number, workerId, born, startedAtMs])
    return runs.filter(run => openRuns < MAX_STORED_OPEN_RUNS && hasRoomFor(OPEN_RUN_BYTES) && ++openRuns > 0)
  }, runs => runs.length > 0))
  const checkpoints = steps.map(({ tasks }) => {
    // The members of a gang share one checkpoint.
    const owners = tasks[0]?.step.spec.gang === true ? tasks.slice(0, 1) : tasks
    return entriesOf(owners, task => task.checkpoint, checkpoint => checkpoint !== '' && hasRoomFor(ENTRY_BYTES + jsonBytes(checkpoint)))
  })
  return mandatory.map((progress, index) => ({
    ...progress,
    ...(open[index] === undefined ? {} : { open: open[index] }),
    ...(checkpoints[index] === undefined ? {} : { checkpoints: checkpoints[index] })
  }))
}

function mandatoryProgress ({ done, tasks }: RowTasks): StepProgress {
  const suspects = tasks.filter(task => task.ownCrashes.hasRecord())
  const failed = entriesOf(tasks, task => [...task.failedRuns].slice(-MAX_STORED_FAILURES), runs => runs.length > 0)
  if (suspects.length === 0) return { done, ...(failed === undefined ? {} : { failed }) }
  const runsOf = (list: 'all' | 'alone' | 'ended' | 'open') => Object.fromEntries(suspects.map(task => [task.index, task.ownCrashes.runs()[list]]))
  const inOutage = entriesOf(suspects, task => task.ownCrashes.runs().outage, runs => runs.length > 0)
  return { done, ...(failed === undefined ? {} : { failed }), crashed: runsOf('all'), crashedAlone: runsOf('alone'), ...(inOutage === undefined ? {} : { crashedInOutage: inOutage }), endedAfterCrash: runsOf('ended'), openAfterCrash: runsOf('open') }
}

function mandatoryBytes ({ done, tasks }: RowTasks): number {
  return tasks.reduce((total, { failedRuns, ownCrashes }) => total + (ownCrashes.hasRecord() ? TASK_BYTES : 0) + (failedRuns.size === 0 ? 0 : ENTRY_BYTES + NUMBER_BYTES * Math.min(failedRuns.size, MAX_STORED_FAILURES)), STEP_BYTES + done.length)
}

/** Returns undefined if no entry is to be kept. */
function entriesOf<T> (tasks: readonly Task[], valueOf: (task: Task) => T, isKept: (value: T) => boolean): Readonly<Record<string, T>> | undefined {
  const entries = tasks.map(task => [task.index, valueOf(task)] as const).filter(([, value]) => isKept(value))
  return entries.length === 0 ? undefined : Object.fromEntries(entries)
}

function jsonBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}

/** Formats ascending numbers as ranges, such as `0-57,60`. */
export function formatRanges (numbers: readonly number[]): string {
  const ranges: Array<[number, number]> = []
  for (const number of numbers) {
    const last = ranges[ranges.length - 1]
    if (last !== undefined && last[1] === number - 1) last[1] = number
    else ranges.push([number, number])
  }
  return ranges.map(([first, last]) => first === last ? `${first}` : `${first}-${last}`).join(',')
}

/** Ranges of numbers; undefined if the text has another form. */
export function parseRanges (text: string): ReadonlyArray<readonly [number, number]> | undefined {
  if (text === '') return []
  const matches = text.split(',').map(range => /^(\d{1,15})(?:-(\d{1,15}))?$/.exec(range))
  return matches.includes(null) ? undefined : matches.map(match => [Number(match?.[1]), Number(match?.[2] ?? match?.[1])] as const)
}
