import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { CommandOutcome, HeartbeatCommand, HeartbeatOutcome, RefusalReason, StartCommand, StopCommand, WorkerClient, WorkerClients } from '../ports.js'
import { NO_RESOURCES, add, fits } from '../resources.js'
import { formatTaskId } from '../types.js'
import type { FinishedRun, ResourceVector, FinishStatus, TaskId, WorkerEntry } from '../types.js'
import type { Audit } from './audit.js'

/** Fault injected into a command to a worker. */
export type CommandFault =
  | { readonly kind: 'answer-lost' }
  /** The command is executed at once, and its answer takes this long. */
  | { readonly kind: 'answer-late', readonly afterMs: number }
  /** `isQueued`: the worker holds the command back, which is lost with the incarnation; otherwise the network does. */
  | { readonly kind: 'applied-late', readonly afterMs: number, readonly isQueued?: boolean }
  /** The command is refused without effect. */
  | { readonly kind: 'refused', readonly reason: RefusalReason }

export interface MemoryWorkerOptions {
  readonly entry: WorkerEntry
  readonly clock: Clock
  readonly audit: Audit
  /** Duration of a run in milliseconds, and its finish status. */
  readonly behaviour: (task: TaskId, run: number) => { readonly durationMs: number, readonly end: 'done' | 'failed' }
  /** Resources that a task needs. Workers start every task they are given and report exceeded capacity to the audit. */
  readonly needOf: (task: TaskId) => ResourceVector
  /** Number of members of the gang that a task belongs to; 0 if it is not a gang member. */
  readonly gangSizeOf?: (task: TaskId) => number
  /** Gang runs, shared by all workers; required with `gangSizeOf`. */
  readonly gangs?: GangRegistry
  /**
   * Longest time from now to which a lease is extended, in milliseconds.
   * @default 6000
   */
  readonly maxLeaseMs?: number
  /**
   * Whether a task may start again after a run of it is done, if the lease lapses before that end is taken note of: when
   * it is acknowledged, or 100 ms after it is listed in an answer that is not lost.
   * @default false
   */
  readonly lapseFreesTasks?: boolean
}

interface ActiveRun {
  readonly task: TaskId
  readonly run: number
  readonly startedAt: number
  readonly durationMs: number
  readonly end: 'done' | 'failed'
  checkpoint: string
}

/** Gang runs on all workers: members start to work when all have joined, and end as `broken` when one of them ends without success. */
export class GangRegistry {
  private readonly gangRuns = new Map<string, { readonly members: Set<string>, completeAt: number | undefined, isBroken: boolean }>()

  static create (): GangRegistry {
    return new GangRegistry()
  }

  join (task: TaskId, run: number, size: number, now: number): void {
    const gang = this.gangOf(task, run)
    gang.members.add(formatTaskId(task))
    if (gang.members.size >= size) gang.completeAt ??= now
  }

  /** Time at which the last member joined; undefined until then. */
  completeAt (task: TaskId, run: number): number | undefined {
    return this.gangOf(task, run).completeAt
  }

  isBroken (task: TaskId, run: number): boolean {
    return this.gangOf(task, run).isBroken
  }

  markBroken (task: TaskId, run: number): void {
    this.gangOf(task, run).isBroken = true
  }

  private gangOf ({ jobId, occurrence, step }: TaskId, run: number) {
    const key = `${jobId}.${occurrence}.${step}#${run}`
    const gang = this.gangRuns.get(key) ?? { members: new Set<string>(), completeAt: undefined, isBroken: false }
    this.gangRuns.set(key, gang)
    return gang
  }
}

/** Time that a gang member waits for the other members before it ends as `alone`. */
const GANG_TIMEOUT_MS = 3_000
const COMMAND_LATENCY_MS = 1
const HEARTBEAT_POLL_MS = 10
/** Time after which an end that was listed counts as taken note of. */
const NOTED_AFTER_MS = 100

/** In-memory worker with fencing tokens, leases on its own clock and unacknowledged finished runs; tests inject its faults. */
export class MemoryWorker {
  /** Returns the fault to inject into a command, if any; `hold` is the heartbeat. */
  fault: (command: 'start' | 'stop' | 'hold', task: TaskId | undefined, fencingToken: number) => CommandFault | undefined = () => undefined
  /** While true, commands have no effect and get no answer; active runs continue. */
  isCutOff = false
  /** While true, every run that starts here fails. */
  failsEverything = false
  /** While true, active runs make no progress. */
  isStalled = false

  private readonly activeRuns = new Map<string, ActiveRun>()
  private readonly highestFinishedRun = new Map<string, number>()
  private finishedRuns: FinishedRun[] = []
  private lastSequence = 0
  private highestToken = 0
  private leaseUntilMs = 0
  /** End of the latest lease whose lapse was recorded. */
  private lapsedUntilMs = 0
  /** Finished runs that are not acknowledged, by sequence number, with the time on this worker's clock at which each counts as taken note of. */
  private readonly unnotedEnds = new Map<number, { readonly task: TaskId, readonly run: number, notedAtMs: number }>()
  private bootedAt: number
  /** True from a crash to the restart: nothing is carried out. */
  private hasNoPower = false
  /** Number of crashes so far: a call that was waiting during one gets no answer. */
  private crashes = 0

  private constructor (private readonly options: MemoryWorkerOptions, public entry: WorkerEntry) {
    this.bootedAt = options.clock.now()
    options.audit.beforeStartHooks.push(() => this.finishDueRuns())
  }

  static create (options: MemoryWorkerOptions): MemoryWorker {
    return new MemoryWorker(options, options.entry)
  }

  clockMs (): number {
    return Math.floor(this.options.clock.now() - this.bootedAt)
  }

  runningTasks (): readonly string[] {
    this.finishDueRuns()
    return [...this.activeRuns.values()].map(({ task }) => formatTaskId(task))
  }

  /** Loses power: nothing runs any more, and commands have no effect and get no answer until `restart`. */
  crash (): void {
    this.isCutOff = true
    this.hasNoPower = true
    this.crashes++
    for (const activeRun of this.activeRuns.values()) {
      if (this.isGangMember(activeRun.task)) this.options.gangs?.markBroken(activeRun.task, activeRun.run)
      this.options.audit.recordFinish(this.entry.id, activeRun.task, activeRun.run, 'lapsed')
    }
    this.activeRuns.clear()
    for (const { task, run } of this.finishedRuns) this.options.audit.recordEndLost(this.entry.id, task, run)
    this.finishedRuns = []
  }

  /** Starts a new incarnation with the same id, which has no runs and has seen no fencing token. */
  restart (born: number): void {
    this.crash()
    this.isCutOff = false
    this.hasNoPower = false
    this.highestFinishedRun.clear()
    this.lastSequence = 0
    this.highestToken = 0
    this.leaseUntilMs = 0
    this.lapsedUntilMs = 0
    this.unnotedEnds.clear()
    this.bootedAt = this.options.clock.now()
    this.entry = { ...this.entry, born }
  }

  /** Returns a client that also reaches later incarnations of this worker. */
  client (): WorkerClient {
    return {
      heartbeat: (cmd, timeoutMs) => this.deliver('hold', undefined, cmd.fencingToken, timeoutMs, () => this.heartbeat(cmd)),
      start: (cmd, timeoutMs) => this.deliver('start', cmd.task, cmd.fencingToken, timeoutMs, async () => this.start(cmd)),
      stop: (cmd, timeoutMs) => this.deliver('stop', cmd.task, cmd.fencingToken, timeoutMs, async () => this.stop(cmd)),
      close: async () => {}
    }
  }

  private async deliver<T> (command: 'start' | 'stop' | 'hold', task: TaskId | undefined, fencingToken: number, timeoutMs: number, execute: () => Promise<T>): Promise<Result<T, Failure>> {
    const { clock } = this.options
    await clock.sleep(COMMAND_LATENCY_MS)
    const fault = this.isCutOff ? { kind: 'cut-off' } as const : this.fault(command, task, fencingToken)
    const { crashes } = this
    if (fault === undefined) {
      const outcome = await execute()
      this.noteListedEnds(outcome)
      if (this.crashes === crashes) return Ok(outcome)
    }
    if (fault?.kind === 'answer-late') {
      const outcome = await execute()
      this.noteListedEnds(outcome)
      await clock.sleep(Math.min(fault.afterMs, timeoutMs))
      if (this.crashes === crashes && fault.afterMs < timeoutMs) return Ok(outcome)
      return Err(Failure.mayHaveRun('worker-answer-lost', 'The answer of the worker was lost.'))
    }
    if (fault?.kind === 'refused') return Ok(refuse(fault.reason) as T)
    if (fault?.kind === 'answer-lost') await execute()
    if (fault?.kind === 'applied-late') {
      const isLost = () => fault.isQueued === true ? this.crashes !== crashes : this.hasNoPower
      clock.sleep(fault.afterMs).then(() => isLost() ? undefined : execute()).catch(() => {})
    }
    await clock.sleep(timeoutMs)
    return Err(Failure.mayHaveRun('worker-answer-lost', 'The answer of the worker was lost.'))
  }

  private async heartbeat ({ fencingToken, acknowledged, leaseUntilMs, waitMs }: HeartbeatCommand): Promise<HeartbeatOutcome> {
    const { clock } = this.options
    this.finishDueRuns()
    if (fencingToken < this.highestToken) return { accepted: false, reason: 'fenced' }
    this.highestToken = fencingToken
    this.finishedRuns = this.finishedRuns.filter(({ sequence }) => sequence > acknowledged)
    for (const sequence of [...this.unnotedEnds.keys()]) if (sequence <= acknowledged) this.unnotedEnds.delete(sequence)
    if (leaseUntilMs !== undefined) this.extendLease(leaseUntilMs)
    const deadline = clock.now() + waitMs
    while (this.finishedRuns.length === 0 && clock.now() < deadline) {
      await clock.sleep(HEARTBEAT_POLL_MS)
      this.finishDueRuns()
    }
    const now = this.clockMs()
    return {
      accepted: true,
      report: {
        born: this.entry.born,
        clockMs: now,
        running: [...this.activeRuns.values()].map(activeRun => ({
          task: activeRun.task,
          run: activeRun.run,
          checkpoint: activeRun.checkpoint,
          percent: this.isStalled ? 0 : Math.min(99, Math.floor(100 * Math.max(0, now - this.workStartMs(activeRun)) / activeRun.durationMs))
        })),
        ended: [...this.finishedRuns]
      }
    }
  }

  private start ({ task, run, payload, fencingToken, leaseUntilMs, checkpoint }: StartCommand): CommandOutcome {
    const { audit, behaviour, needOf } = this.options
    this.finishDueRuns()
    if (fencingToken < this.highestToken) return refuse('fenced')
    this.highestToken = fencingToken
    const taskName = formatTaskId(task)
    if (this.activeRuns.get(taskName)?.run === run) return { accepted: true, clockMs: this.clockMs() }
    if (this.activeRuns.has(taskName) || run <= (this.highestFinishedRun.get(taskName) ?? 0)) return refuse('stale-run')
    if (leaseUntilMs <= this.clockMs()) return refuse('lease-passed')
    this.extendLease(leaseUntilMs)
    // Recorded first: a member of a broken gang ends as soon as it is among the active runs.
    audit.recordStart(this.entry.id, task, run, payload)
    this.activeRuns.set(taskName, { task, run, startedAt: this.clockMs(), checkpoint, ...behaviour(task, run), ...(this.failsEverything ? { end: 'failed' as const } : {}) })
    if (this.isGangMember(task)) this.options.gangs?.join(task, run, this.options.gangSizeOf?.(task) ?? 0, this.options.clock.now())
    const used = [...this.activeRuns.values()].reduce((sum, activeRun) => add(sum, needOf(activeRun.task)), NO_RESOURCES)
    if (!fits(used, this.entry.capacity)) audit.recordOverCapacity(this.entry.id, task)
    return { accepted: true, clockMs: this.clockMs() }
  }

  private stop ({ task, run, fencingToken }: StopCommand): CommandOutcome {
    this.finishDueRuns()
    if (fencingToken < this.highestToken) return refuse('fenced')
    this.highestToken = fencingToken
    const taskName = formatTaskId(task)
    const activeRun = this.activeRuns.get(taskName)
    if (activeRun?.run === run) this.finish(activeRun, 'stopped')
    this.highestFinishedRun.set(taskName, Math.max(run, this.highestFinishedRun.get(taskName) ?? 0))
    return { accepted: true, clockMs: this.clockMs() }
  }

  private extendLease (leaseUntilMs: number) {
    const maxLeaseUntilMs = this.clockMs() + (this.options.maxLeaseMs ?? 6_000)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(leaseUntilMs, maxLeaseUntilMs))
  }

  /**
   * Finishes the runs that are complete, have lost their lease or belong to a gang that is broken or not
   * complete in time. The worker has no timers, so this method is called before the state is used.
   */
  private finishDueRuns () {
    const now = this.clockMs()
    for (const activeRun of [...this.activeRuns.values()]) {
      const endsAt = this.isStalled ? Infinity : this.workStartMs(activeRun) + activeRun.durationMs
      if (this.isGangMember(activeRun.task) && this.options.gangs?.isBroken(activeRun.task, activeRun.run) === true) this.finish(activeRun, 'broken')
      else if (endsAt === Infinity && !this.isStalled && now - activeRun.startedAt > GANG_TIMEOUT_MS) this.finish(activeRun, 'alone')
      else if (endsAt <= Math.min(now, this.leaseUntilMs)) this.finish(activeRun, activeRun.end)
      else if (this.leaseUntilMs < now) this.finish(activeRun, 'lapsed')
    }
    if (this.leaseUntilMs < now) this.recordLapse()
  }

  private recordLapse () {
    if (this.options.lapseFreesTasks !== true || this.lapsedUntilMs === this.leaseUntilMs) return
    this.lapsedUntilMs = this.leaseUntilMs
    for (const [sequence, { task, run, notedAtMs }] of [...this.unnotedEnds]) {
      if (notedAtMs <= this.leaseUntilMs) continue
      this.unnotedEnds.delete(sequence)
      this.options.audit.recordEndLost(this.entry.id, task, run)
    }
  }

  private noteListedEnds (outcome: unknown) {
    if (typeof outcome !== 'object' || outcome === null || !('report' in outcome)) return
    for (const end of this.unnotedEnds.values()) end.notedAtMs = Math.min(end.notedAtMs, this.clockMs() + NOTED_AFTER_MS)
  }

  private isGangMember (task: TaskId): boolean {
    return (this.options.gangSizeOf?.(task) ?? 0) > 0
  }

  /** Time on this worker's clock at which a run starts to work; Infinity until its gang is complete. */
  private workStartMs ({ task, run, startedAt }: ActiveRun): number {
    if (!this.isGangMember(task)) return startedAt
    const completeAt = this.options.gangs?.completeAt(task, run)
    return completeAt === undefined ? Infinity : completeAt - this.bootedAt
  }

  private finish (activeRun: ActiveRun, status: FinishStatus) {
    if (status !== 'done' && this.isGangMember(activeRun.task)) this.options.gangs?.markBroken(activeRun.task, activeRun.run)
    const taskName = formatTaskId(activeRun.task)
    this.activeRuns.delete(taskName)
    this.highestFinishedRun.set(taskName, Math.max(activeRun.run, this.highestFinishedRun.get(taskName) ?? 0))
    this.unnotedEnds.set(this.lastSequence + 1, { task: activeRun.task, run: activeRun.run, notedAtMs: Infinity })
    this.finishedRuns.push({ sequence: ++this.lastSequence, task: activeRun.task, run: activeRun.run, status, checkpoint: activeRun.checkpoint })
    this.options.audit.recordFinish(this.entry.id, activeRun.task, activeRun.run, status)
  }
}

/** Creates clients of in-memory workers, found by the id of their registry entry. */
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
    if (worker === undefined) throw new Error(`no in-memory worker has the id ${entry.id}; add it before creating a client`)
    return worker.client()
  }
}

function refuse (reason: RefusalReason): CommandOutcome {
  return { accepted: false, reason }
}
