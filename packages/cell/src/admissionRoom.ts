import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import { QUEUE_SHARE, roomAfterMs } from './jobMemory.js'
import type { RoomReport } from './jobMemory.js'
import type { CellMetrics } from './metrics.js'
import type { AdmissionGate } from './room/index.js'
import type { JobQueue, JobSpec } from './types.js'

export const CELL_FULL = 'cell-full'
export const QUEUE_FULL = 'queue-full'

/** Age from which a report that leaves too little room is asked for again, in milliseconds. */
const REFRESH_MS = 500
const BYTES_PER_MB = 1024 * 1024

export interface AdmissionRoomOptions {
  /** Memory of a leader for the state of jobs, in MiB; assumed to be free until the leader has reported. */
  readonly budgetMb: number
  /** Number of daemons that admit jobs. */
  readonly daemons: () => number
  /** Asks the leader what it can still take; resolves with undefined if it doesn't answer. */
  readonly askLeader: (queue: string) => Promise<RoomReport | undefined>
  /** Missing in cells that don't shed load. */
  readonly gate?: AdmissionGate
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

/** Why a job would be refused now, and the part of such jobs that would be admitted all the same. */
export interface LikelyRefusal {
  readonly failure: Failure
  readonly admittedShare: number
}

/** Bytes that are free, and those that this daemon has admitted since it knows that. */
interface Room {
  readonly freeBytes: number
  admittedBytes: number
}

interface QueueRoom extends Room {
  /** Monotonic time of the report in milliseconds; -Infinity before the first. */
  readonly receivedAt: number
}

/**
 * Decides whether the cell can take another job. Each daemon admits by itself, and only the leader knows the total: it
 * reports with each notice what it can still take, and until the next report a daemon admits no more than its share of
 * that, also while it can't ask.
 */
export class AdmissionRoom {
  private cell: Room
  private readonly queues = new Map<string, QueueRoom>()
  private freedPerSecond = 0
  private readonly asked = new Set<string>()

  private constructor (private readonly options: AdmissionRoomOptions) {
    this.cell = { freeBytes: options.budgetMb * BYTES_PER_MB, admittedBytes: 0 }
  }

  static create (options: AdmissionRoomOptions): AdmissionRoom {
    return new AdmissionRoom(options)
  }

  /** Takes room for a job of a queue that can end while it is useful. Returns why the job must be refused otherwise. */
  admit (queue: JobQueue, { steps, schedule }: Pick<JobSpec, 'steps' | 'schedule'>, bytes: number): Failure | undefined {
    // A scheduled job has no time by which it must end.
    const refusal = schedule === undefined ? this.options.gate?.refusalOf(queue, steps) : undefined
    if (refusal === undefined) return this.take(queue.name, bytes)
    this.refresh(queue.name, this.queueRoom(queue.name))
    return refusal
  }

  /** Takes room for a job of a queue. Returns why the job must be refused if there is none. */
  take (queue: string, bytes: number): Failure | undefined {
    const { metrics, log } = this.options
    const ofQueue = this.queueRoom(queue)
    const failure = this.lackOf(ofQueue, bytes)
    if (failure === undefined) {
      this.cell.admittedBytes += bytes
      ofQueue.admittedBytes += bytes
      return undefined
    }
    this.refresh(queue, ofQueue)
    const { code } = failure
    metrics.count(`refused_${code}`)
    log.info('Job refused for want of room.', { queue, code, bytes, cellBytes: this.cell.freeBytes, queueBytes: ofQueue.freeBytes, admittedBytes: ofQueue.admittedBytes, freedPerSecond: this.freedPerSecond, daemons: this.daemons() })
    return failure
  }

  /** Why a job would be refused; undefined if it would be admitted. Takes no room and asks the leader for nothing. */
  refusalOf (queue: JobQueue, { steps, schedule }: Pick<JobSpec, 'steps' | 'schedule'>, bytes: number): LikelyRefusal | undefined {
    const outlook = schedule === undefined ? this.options.gate?.outlookOf(queue, steps) : undefined
    const lack = this.lackOf(this.queues.get(queue.name) ?? this.assumedRoom(), bytes)
    if (outlook !== undefined && (outlook.admittedShare <= 0 || (outlook.admittedShare < 1 && lack === undefined))) return outlook
    return lack === undefined ? undefined : { failure: lack, admittedShare: 0 }
  }

  /** Age of the leader's forecast for a queue, in milliseconds; undefined if there is none. */
  forecastAgeMs (queue: string): number | undefined {
    return this.options.gate?.forecastAgeMs(queue)
  }

  private daemons (): number {
    return Math.max(1, this.options.daemons())
  }

  /** Why there is no room for a job; undefined if there is. */
  private lackOf (ofQueue: Room, bytes: number): Failure | undefined {
    const daemons = this.daemons()
    const missingIn = ({ freeBytes, admittedBytes }: Room) => admittedBytes + bytes - freeBytes / daemons
    const [missingInCell, missingInQueue] = [missingIn(this.cell), missingIn(ofQueue)]
    if (missingInCell <= 0 && missingInQueue <= 0) return undefined
    const code = missingInCell > 0 ? CELL_FULL : QUEUE_FULL
    const reason = missingInCell > 0 ? 'The cell holds as many jobs as it can.' : 'The queue holds as many jobs as one queue may.'
    const retryAfterMs = roomAfterMs(Math.max(missingInCell, missingInQueue), this.freedPerSecond / daemons)
    return Failure.create({ code, verdict: 'not-run', reason, hint: 'Send the same request again later.', retryAfterMs })
  }

  /** Gives back the room of a job that was not admitted. */
  giveBack (queue: string, bytes: number): void {
    // A report of the leader may have come meanwhile.
    for (const room of [this.cell, this.queueRoom(queue)]) room.admittedBytes = Math.max(0, room.admittedBytes - bytes)
  }

  /** Records a report of the leader. */
  update (queue: string, { cellBytes, queueBytes, freedPerSecond, forecast }: RoomReport): void {
    if (forecast !== undefined) this.options.gate?.update(queue, forecast)
    this.cell = { freeBytes: cellBytes, admittedBytes: 0 }
    this.queues.set(queue, { freeBytes: queueBytes, admittedBytes: 0, receivedAt: this.options.clock.now() })
    this.freedPerSecond = freedPerSecond
  }

  private queueRoom (queue: string): QueueRoom {
    const known = this.queues.get(queue)
    if (known !== undefined) return known
    const assumed = this.assumedRoom()
    this.queues.set(queue, assumed)
    return assumed
  }

  private assumedRoom (): QueueRoom {
    return { freeBytes: QUEUE_SHARE * this.options.budgetMb * BYTES_PER_MB, admittedBytes: 0, receivedAt: -Infinity }
  }

  private refresh (queue: string, { receivedAt }: QueueRoom) {
    const { clock, askLeader, log } = this.options
    if (this.asked.has(queue) || clock.now() - receivedAt < REFRESH_MS) return
    this.asked.add(queue)
    askLeader(queue)
      .then(report => { if (report !== undefined) this.update(queue, report) })
      .catch((err: unknown) => log.error('The leader could not be asked for room.', { queue, err }))
      .finally(() => this.asked.delete(queue))
  }
}
