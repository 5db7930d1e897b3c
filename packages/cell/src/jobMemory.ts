import type { Clock } from '@citronnotch/base/clock'
import { MAX_LIVE_OCCURRENCES } from './constants.js'
import type { JobRecord } from './jobRecord.js'
import type { QueueForecast } from './room/index.js'

/** Heap that a leader uses for a job, for each of its steps and for each of its known occurrences, in bytes (docs/CAPACITY.md). */
const JOB_BYTES = 2_000
const STEP_BYTES = 1_800
/** The same for a task that has not started, which is a mark only. */
const TASK_BYTES = 1 / 8
/** The same for an entry of a step's list of earlier steps, which may name one many times. */
const PREDECESSOR_BYTES = 8
/** Largest share of the memory for jobs that one queue may take, so that its flood leaves the others their room. */
export const QUEUE_SHARE = 0.5
/** Time over which the rate at which memory becomes free is measured, in milliseconds. */
const RATE_WINDOW_MS = 5_000
/** Bounds of the time after which a refused caller is told to return, in milliseconds. */
const MIN_RETRY_MS = 1_000
const MAX_RETRY_MS = 30_000
/** The same while nothing has become free lately, so that no rate is known. */
const UNKNOWN_RETRY_MS = 10_000
/** Largest memory of one job, in bytes: many steps, or many occurrences of them that overlap, exceed it. */
export const MAX_JOB_BYTES = 512 * 1024
/** Share of the budget by which the memory of live jobs may exceed it. */
const OVERSHOOT = 0.25
const BYTES_PER_MB = 1024 * 1024

/** What a leader can still take, as it tells other daemons. */
export interface RoomReport {
  /** Bytes of job state that the leader can still take, from all queues and from one. */
  readonly cellBytes: number
  readonly queueBytes: number
  /** Bytes of job state that became free in a second lately. */
  readonly freedPerSecond: number
  /** When a job of the queue would start; missing if that isn't known, or the cell doesn't shed load. */
  readonly forecast?: QueueForecast
}

/** Memory that a leader uses for a job while it is live, in bytes. */
export function jobBytes ({ spec: { steps, schedule } }: JobRecord, payloadLength: number): number {
  const tasks = steps.reduce((total, { count }) => total + count, 0)
  const predecessors = steps.reduce((total, { after }) => total + after.length, 0)
  const occurrences = Math.min(schedule?.repetitions ?? 1, MAX_LIVE_OCCURRENCES)
  return Math.ceil(JOB_BYTES + payloadLength + predecessors * PREDECESSOR_BYTES + occurrences * (steps.length * STEP_BYTES + tasks * TASK_BYTES))
}

/** Time after which there will be room for a job, in milliseconds; whole seconds, as callers are told these. */
export function roomAfterMs (missingBytes: number, freedPerSecond: number): number {
  if (freedPerSecond <= 0) return UNKNOWN_RETRY_MS
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, 1_000 * Math.ceil(missingBytes / freedPerSecond)))
}

/** Accounts for the memory that the live jobs take on a leader. */
export class JobMemory {
  private usedBytes = 0
  private readonly usedByQueue = new Map<string, number>()
  private windowStartedAt: number
  private freedInWindow = 0
  private freedPerSecond = 0

  private constructor (private readonly budgetBytes: number, private readonly clock: Clock) {
    this.windowStartedAt = clock.now()
  }

  /** `budgetMb`: memory for the state of jobs, in MiB. */
  static create (budgetMb: number, clock: Clock): JobMemory {
    return new JobMemory(budgetMb * BYTES_PER_MB, clock)
  }

  // Queries

  used (): number {
    return this.usedBytes
  }

  /** Whether a job that is live already may be held: daemons that admit at the same time exceed the budget by a little. */
  mayHold (bytes: number): boolean {
    return this.usedBytes + bytes <= (1 + OVERSHOOT) * this.budgetBytes
  }

  /** Whether jobs that wait in the store may be loaded. */
  hasRoom (): boolean {
    return this.usedBytes < this.budgetBytes
  }

  report (queue: string): RoomReport {
    return {
      cellBytes: this.budgetBytes - this.usedBytes,
      queueBytes: QUEUE_SHARE * this.budgetBytes - (this.usedByQueue.get(queue) ?? 0),
      freedPerSecond: Math.round(this.freedPerSecond)
    }
  }

  // Commands

  add (queue: string, bytes: number): void {
    this.usedBytes += bytes
    this.usedByQueue.set(queue, (this.usedByQueue.get(queue) ?? 0) + bytes)
  }

  remove (queue: string, bytes: number): void {
    this.add(queue, -bytes)
    if (this.usedByQueue.get(queue) === 0) this.usedByQueue.delete(queue)
    this.freedInWindow += bytes
  }

  tick (): void {
    const elapsedMs = this.clock.now() - this.windowStartedAt
    if (elapsedMs < RATE_WINDOW_MS) return
    this.freedPerSecond = 1_000 * this.freedInWindow / elapsedMs
    this.freedInWindow = 0
    this.windowStartedAt = this.clock.now()
  }
}
