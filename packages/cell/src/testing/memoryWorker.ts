import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { CommandOutcome, HoldCommand, HoldOutcome, RefusalReason, StartCommand, StopCommand, WorkerClient, WorkerClients } from '../ports.js'
import { NOTHING, add, fits } from '../resources.js'
import { formatTaskId } from '../types.js'
import type { EndedRun, ResourceVector, RunEnd, TaskId, WorkerEntry } from '../types.js'
import type { Audit } from './audit.js'

/** What happens to a command on its way to a worker. */
export type CommandFault =
  | { readonly kind: 'answer-lost' }
  | { readonly kind: 'applied-late', readonly afterMs: number }
  /** It does nothing and says so. */
  | { readonly kind: 'refused', readonly reason: RefusalReason }

export interface MemoryWorkerOptions {
  readonly entry: WorkerEntry
  readonly clock: Clock
  readonly audit: Audit
  /** Run time of a task in milliseconds, and how it ends. */
  readonly behaviour: (task: TaskId, run: number) => { readonly durationMs: number, readonly end: 'done' | 'failed' }
  /** What a task needs; workers start what they are given, whether it fits or not. */
  readonly needOf: (task: TaskId) => ResourceVector
  /** Number of members of the gang that a task belongs to; 0 for other tasks. */
  readonly gangSizeOf?: (task: TaskId) => number
  /** Members of gangs on all workers; needed with `gangSizeOf`. */
  readonly gangs?: GangRoom
  /** @default 6000 */
  readonly maxLeaseMs?: number
}

interface PresentRun {
  readonly task: TaskId
  readonly run: number
  readonly startedAt: number
  readonly durationMs: number
  readonly end: 'done' | 'failed'
  checkpoint: string
}

/** Runs of gangs on all workers: members work from the moment when all are present, and end together. */
export class GangRoom {
  private readonly gangs = new Map<string, { readonly members: Set<string>, fullAt: number | undefined, isBroken: boolean }>()

  static create (): GangRoom {
    return new GangRoom()
  }

  join (task: TaskId, run: number, size: number, now: number): void {
    const gang = this.gang(task, run)
    gang.members.add(formatTaskId(task))
    if (gang.members.size >= size) gang.fullAt ??= now
  }

  /** Time at which all members were present. */
  fullAt (task: TaskId, run: number): number | undefined {
    return this.gang(task, run).fullAt
  }

  isBroken (task: TaskId, run: number): boolean {
    return this.gang(task, run).isBroken
  }

  break (task: TaskId, run: number): void {
    this.gang(task, run).isBroken = true
  }

  private gang ({ jobId, occurrence, step }: TaskId, run: number) {
    const key = `${jobId}.${occurrence}.${step}#${run}`
    const gang = this.gangs.get(key) ?? { members: new Set<string>(), fullAt: undefined, isBroken: false }
    this.gangs.set(key, gang)
    return gang
  }
}

/** Time for which a member of a gang waits for the others. */
const GANG_TIMEOUT_MS = 3_000
const ANSWER_MS = 1
const POLL_MS = 10

/** One worker in memory: fencing tokens, leases on its own clock, listed ends, and faults set by tests. */
export class MemoryWorker {
  /** Decides the fate of each command. */
  fault: (command: 'start' | 'stop' | 'hold', task?: TaskId) => CommandFault | undefined = () => undefined
  /** While set, commands get no answer and have no effect; what runs goes on. */
  isCutOff = false
  /** While set, whatever starts here fails. */
  failsEverything = false
  /** While set, what runs makes no progress. */
  isStalled = false

  private readonly runs = new Map<string, PresentRun>()
  private readonly highestEnded = new Map<string, number>()
  private ends: EndedRun[] = []
  private sequence = 0
  private token = 0
  private leaseUntilMs = 0
  private startedAt: number

  private constructor (private readonly options: MemoryWorkerOptions, public entry: WorkerEntry) {
    this.startedAt = options.clock.now()
    options.audit.refresh.push(() => this.settle())
  }

  static create (options: MemoryWorkerOptions): MemoryWorker {
    return new MemoryWorker(options, options.entry)
  }

  clockMs (): number {
    return Math.floor(this.options.clock.now() - this.startedAt)
  }

  runningTasks (): readonly string[] {
    this.settle()
    return [...this.runs.values()].map(({ task }) => formatTaskId(task))
  }

  /** Starts a new life under the same id: nothing runs and no token is known. */
  restart (born: number): void {
    for (const present of this.runs.values()) this.options.audit.ended(this.entry.id, present.task, present.run, 'lapsed')
    this.runs.clear()
    this.highestEnded.clear()
    this.ends = []
    this.sequence = 0
    this.token = 0
    this.startedAt = this.options.clock.now()
    this.entry = { ...this.entry, born }
  }

  /** A client that keeps the id it was created for. */
  client (): WorkerClient {
    return {
      hold: (cmd, timeoutMs) => this.deliver('hold', undefined, timeoutMs, () => this.hold(cmd)),
      start: (cmd, timeoutMs) => this.deliver('start', cmd.task, timeoutMs, async () => this.start(cmd)),
      stop: (cmd, timeoutMs) => this.deliver('stop', cmd.task, timeoutMs, async () => this.stop(cmd)),
      close: async () => {}
    }
  }

  private async deliver<T> (command: 'start' | 'stop' | 'hold', task: TaskId | undefined, timeoutMs: number, execute: () => Promise<T>): Promise<Result<T, Failure>> {
    const { clock } = this.options
    await clock.sleep(ANSWER_MS)
    const fault = this.isCutOff ? { kind: 'cut-off' } as const : this.fault(command, task)
    if (fault === undefined) return Ok(await execute())
    if (fault.kind === 'refused') return Ok(refuse(fault.reason) as T)
    if (fault.kind === 'answer-lost') await execute()
    if (fault.kind === 'applied-late') clock.sleep(fault.afterMs).then(execute).catch(() => {})
    await clock.sleep(timeoutMs)
    return Err(Failure.mayHaveRun('worker-answer-lost', 'The answer of the worker was lost.'))
  }

  private async hold ({ fencingToken, acknowledged, leaseUntilMs, waitMs }: HoldCommand): Promise<HoldOutcome> {
    const { clock } = this.options
    this.settle()
    if (fencingToken < this.token) return { accepted: false, reason: 'fenced' }
    this.token = fencingToken
    this.ends = this.ends.filter(({ sequence }) => sequence > acknowledged)
    if (leaseUntilMs !== undefined) this.extend(leaseUntilMs)
    const until = clock.now() + waitMs
    while (this.ends.length === 0 && clock.now() < until) {
      await clock.sleep(POLL_MS)
      this.settle()
    }
    const now = this.clockMs()
    return {
      accepted: true,
      report: {
        born: this.entry.born,
        clockMs: now,
        running: [...this.runs.values()].map(present => ({
          task: present.task,
          run: present.run,
          checkpoint: present.checkpoint,
          percent: this.isStalled ? 0 : Math.min(99, Math.floor(100 * Math.max(0, now - this.worksSince(present)) / present.durationMs))
        })),
        ended: [...this.ends]
      }
    }
  }

  private start ({ task, run, payload, fencingToken, leaseUntilMs, checkpoint }: StartCommand): CommandOutcome {
    const { audit, behaviour, needOf } = this.options
    this.settle()
    if (fencingToken < this.token) return refuse('fenced')
    this.token = fencingToken
    const name = formatTaskId(task)
    if (this.runs.get(name)?.run === run) return { accepted: true, clockMs: this.clockMs() }
    if (this.runs.has(name) || run <= (this.highestEnded.get(name) ?? 0)) return refuse('stale-run')
    if (leaseUntilMs <= this.clockMs()) return refuse('lease-passed')
    this.extend(leaseUntilMs)
    this.runs.set(name, { task, run, startedAt: this.clockMs(), checkpoint, ...behaviour(task, run), ...(this.failsEverything ? { end: 'failed' as const } : {}) })
    if (this.isGang(task)) this.options.gangs?.join(task, run, this.options.gangSizeOf?.(task) ?? 0, this.options.clock.now())
    audit.started(this.entry.id, task, run, payload)
    const used = [...this.runs.values()].reduce((sum, present) => add(sum, needOf(present.task)), NOTHING)
    if (!fits(used, this.entry.capacity)) audit.overCapacity(this.entry.id, task)
    return { accepted: true, clockMs: this.clockMs() }
  }

  private stop ({ task, run, fencingToken }: StopCommand): CommandOutcome {
    this.settle()
    if (fencingToken < this.token) return refuse('fenced')
    this.token = fencingToken
    const name = formatTaskId(task)
    const present = this.runs.get(name)
    if (present?.run === run) this.finish(present, 'stopped')
    this.highestEnded.set(name, Math.max(run, this.highestEnded.get(name) ?? 0))
    return { accepted: true, clockMs: this.clockMs() }
  }

  private extend (leaseUntilMs: number) {
    const longest = this.clockMs() + (this.options.maxLeaseMs ?? 6_000)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(leaseUntilMs, longest))
  }

  /** Ends what has run its time or lost its lease since the last look. */
  private settle () {
    const now = this.clockMs()
    for (const present of [...this.runs.values()]) {
      const endsAt = this.isStalled ? Infinity : this.worksSince(present) + present.durationMs
      if (this.isGang(present.task) && this.options.gangs?.isBroken(present.task, present.run) === true) this.finish(present, 'broken')
      else if (endsAt === Infinity && !this.isStalled && now - present.startedAt > GANG_TIMEOUT_MS) this.finish(present, 'alone')
      else if (endsAt <= Math.min(now, this.leaseUntilMs)) this.finish(present, present.end)
      else if (this.leaseUntilMs < now) this.finish(present, 'lapsed')
    }
  }

  private isGang (task: TaskId): boolean {
    return (this.options.gangSizeOf?.(task) ?? 0) > 0
  }

  /** Time on this worker's clock from which a run works; Infinity while a gang isn't complete. */
  private worksSince ({ task, run, startedAt }: PresentRun): number {
    if (!this.isGang(task)) return startedAt
    const fullAt = this.options.gangs?.fullAt(task, run)
    return fullAt === undefined ? Infinity : fullAt - this.startedAt
  }

  private finish (present: PresentRun, end: RunEnd) {
    if (end !== 'done' && this.isGang(present.task)) this.options.gangs?.break(present.task, present.run)
    const name = formatTaskId(present.task)
    this.runs.delete(name)
    this.highestEnded.set(name, Math.max(present.run, this.highestEnded.get(name) ?? 0))
    this.ends.push({ sequence: ++this.sequence, task: present.task, run: present.run, end, checkpoint: present.checkpoint })
    this.options.audit.ended(this.entry.id, present.task, present.run, end)
  }
}

/** Connects entries of the registry with workers in memory, by id. */
export class MemoryWorkers implements WorkerClients {
  private readonly workers = new Map<string, MemoryWorker>()

  static create (): MemoryWorkers {
    return new MemoryWorkers()
  }

  add (worker: MemoryWorker): void {
    this.workers.set(worker.entry.id, worker)
  }

  all (): readonly MemoryWorker[] {
    return [...this.workers.values()]
  }

  create (entry: WorkerEntry): WorkerClient {
    const worker = this.workers.get(entry.id)
    if (worker === undefined) throw new Error(`worker ${entry.id} does not exist`)
    return worker.client()
  }
}

function refuse (reason: RefusalReason): CommandOutcome {
  return { accepted: false, reason }
}
