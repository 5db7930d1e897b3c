import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { silentLog } from '@citronnotch/base/logger'
import type { Log, LogFields } from '@citronnotch/base/logger'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { CommandOutcome, HeartbeatCommand, HeartbeatOutcome, RefusalReason, StartCommand, StopCommand, WorkerClient, WorkerClients } from '../ports.js'
import { NO_RESOURCES, add, fits } from '../resources.js'
import { formatTaskId } from '../types.js'
import type { FinishedRun, ResourceVector, FinishStatus, TaskId, WorkerEntry, WorkerReport } from '../types.js'
import type { Audit } from './audit.js'
import type { GangRegistry } from './gangRegistry.js'

export { GangRegistry } from './gangRegistry.js'

/** Fault injected into a command to a worker. */
export type CommandFault =
  | { readonly kind: 'answer-lost' }
  /** The command is executed at once, and its answer takes this long. `outlivesCrash`: the answer arrives although its incarnation ends meanwhile. `onLeft` is called when the answer leaves. */
  | { readonly kind: 'answer-late', readonly afterMs: number, readonly outlivesCrash?: boolean, readonly onLeft?: () => void }
  /** `isQueued`: the worker holds the command back, which is lost with the incarnation; otherwise the network does. */
  | {
    readonly kind: 'applied-late'
    readonly afterMs: number
    readonly isQueued?: boolean
    /** The time of the lease counts from the moment at which the command is carried out. */
    readonly isGrant?: boolean
  }
  /** The command is refused without effect. */
  | { readonly kind: 'refused', readonly reason: RefusalReason }

export interface MemoryWorkerOptions {
  readonly entry: WorkerEntry
  readonly clock: Clock
  readonly audit: Audit
  /** Duration of a run on this worker in milliseconds, and its finish status. */
  readonly behaviour: (task: TaskId, run: number, worker: WorkerEntry) => { readonly durationMs: number, readonly end: 'done' | 'failed' }
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
   * Rate of the worker's clock relative to `clock`.
   * @default 1
   */
  readonly clockRate?: number
  /**
   * Reading of the worker's clock at the start of each incarnation, in milliseconds.
   * @default 0
   */
  readonly clockStartMs?: (born: number) => number
  /**
   * Time that a stop takes, in milliseconds.
   * @default 0
   */
  readonly stopMs?: number
  /**
   * Work between two checkpoints, in milliseconds; without it, a run keeps the checkpoint that it started with.
   */
  readonly checkpointIntervalMs?: number
  /**
   * Time until a run that starts from a checkpoint goes on with its work, in milliseconds.
   * @default 0
   */
  readonly restoreMs?: number
  /** Receives each deadline that the worker takes, and each start, end and lapse. */
  readonly log?: Log
}

interface Lateness {
  readonly isLate: boolean
  /** Time by which the end of the lease in the command is put off. */
  readonly leaseShiftMs: number
}

interface ActiveRun {
  readonly task: TaskId
  readonly run: number
  readonly startedAt: number
  readonly durationMs: number
  readonly end: 'done' | 'failed'
  /** Work that is saved in the checkpoint that the run started with, in milliseconds. */
  readonly savedMs: number
  checkpoint: string
  /** Time on the worker's clock at which a stop is complete; undefined until it is requested. */
  stopsAt: number | undefined
}

/** Time that a gang member waits for the other members before it ends as `alone`. */
const GANG_TIMEOUT_MS = 3_000
const COMMAND_LATENCY_MS = 1
const IN_TIME: Lateness = { isLate: false, leaseShiftMs: 0 }
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
  /** Whether a crash closes the connections and later calls are refused, as when a process ends; otherwise they get no answer. */
  closesConnections = false

  private readonly activeRuns = new Map<string, ActiveRun>()
  private readonly highestFinishedRun = new Map<string, number>()
  private finishedRuns: FinishedRun[] = []
  private lastSequence = 0
  private highestToken = 0
  private leaseUntilMs = 0
  /** Whether the time of the lease has passed and nothing has extended it since. */
  private hasLapsed = true
  private bootedAt: number
  /** True from a crash to the restart: nothing is carried out. */
  private hasNoPower = false
  /** Number of crashes so far: a call that was waiting during one gets no answer. */
  private crashes = 0

  private readonly log: Log

  private constructor (private readonly options: MemoryWorkerOptions, public entry: WorkerEntry) {
    this.log = options.log ?? silentLog
    this.bootedAt = options.clock.now()
    options.audit.beforeStartHooks.push(() => this.finishDueRuns())
  }

  static create (options: MemoryWorkerOptions): MemoryWorker {
    return new MemoryWorker(options, options.entry)
  }

  clockMs (): number {
    return this.clockStartMs() + Math.floor((this.options.clock.now() - this.bootedAt) * this.rate())
  }

  private clockStartMs (): number {
    return this.options.clockStartMs?.(this.entry.born) ?? 0
  }

  private rate (): number {
    return this.options.clockRate ?? 1
  }

  /** Names of the tasks whose ends aren't acknowledged, in order. */
  endedTasks (): readonly string[] {
    return this.finishedRuns.map(({ task }) => formatTaskId(task))
  }

  runningTasks (): readonly string[] {
    this.finishDueRuns()
    return [...this.activeRuns.values()].map(({ task }) => formatTaskId(task))
  }

  /** Loses power: nothing runs any more, and commands have no effect and get no answer until `restart`. */
  crash (): void {
    this.log.info('Crashed.', { worker: this.entry.id, runs: this.activeRuns.size })
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
    this.hasLapsed = true
    this.bootedAt = this.options.clock.now()
    this.entry = { ...this.entry, born }
  }

  /** Returns a client that also reaches later incarnations of this worker. */
  client (): WorkerClient {
    return {
      heartbeat: (cmd, timeoutMs) => this.deliver('hold', undefined, cmd.fencingToken, timeoutMs, lateness => this.heartbeat(delayLease(cmd, lateness))),
      start: (cmd, timeoutMs) => this.deliver('start', cmd.task, cmd.fencingToken, timeoutMs, async lateness => this.start(delayLease(cmd, lateness), lateness.isLate)),
      stop: (cmd, timeoutMs) => this.deliver('stop', cmd.task, cmd.fencingToken, timeoutMs, async () => this.stop(cmd)),
      close: async () => {}
    }
  }

  private async deliver<T> (command: 'start' | 'stop' | 'hold', task: TaskId | undefined, fencingToken: number, timeoutMs: number, execute: (lateness: Lateness) => Promise<T>): Promise<Result<T, Failure>> {
    const { clock } = this.options
    await clock.sleep(COMMAND_LATENCY_MS)
    const fault = this.isCutOff && !this.closesConnections ? { kind: 'cut-off' } as const : this.fault(command, task, fencingToken)
    const { crashes } = this
    if (this.closesConnections && this.hasNoPower) return Err(Failure.notRun('worker-unreachable', 'The worker refused the connection.'))
    if (fault === undefined) {
      const outcome = await execute(IN_TIME)
      this.noteListedEnds(outcome)
      if (this.crashes === crashes) return Ok(outcome)
      if (this.closesConnections) return Err(Failure.mayHaveRun('worker-answer-lost', 'The connection was closed.'))
    }
    if (fault?.kind === 'answer-late') {
      const outcome = await execute(IN_TIME)
      this.noteListedEnds(outcome)
      const hasLeft = fault.outlivesCrash === true && this.crashes === crashes
      fault.onLeft?.()
      await clock.sleep(Math.min(fault.afterMs, timeoutMs))
      if ((hasLeft || this.crashes === crashes) && fault.afterMs < timeoutMs) return Ok(outcome)
      return Err(Failure.mayHaveRun('worker-answer-lost', 'The answer of the worker was lost.'))
    }
    if (fault?.kind === 'refused') return Ok(refuse(fault.reason) as T)
    if (fault?.kind === 'answer-lost') await execute(IN_TIME)
    if (fault?.kind === 'applied-late') {
      const isLost = () => fault.isQueued === true ? this.crashes !== crashes : this.hasNoPower
      clock.sleep(fault.afterMs).then(() => isLost() ? undefined : execute({ isLate: true, leaseShiftMs: fault.isGrant === true ? fault.afterMs * this.rate() : 0 })).catch(() => {})
    }
    await clock.sleep(timeoutMs)
    return Err(Failure.mayHaveRun('worker-answer-lost', 'The answer of the worker was lost.'))
  }

  private async heartbeat ({ fencingToken, acknowledged, leaseUntilMs, waitMs }: HeartbeatCommand): Promise<HeartbeatOutcome> {
    const { clock } = this.options
    this.finishDueRuns()
    if (fencingToken < this.highestToken) return { accepted: false, reason: 'fenced' }
    this.highestToken = fencingToken
    this.acknowledge(acknowledged)
    if (leaseUntilMs !== undefined) this.extendLease(leaseUntilMs, { token: fencingToken })
    const deadline = clock.now() + waitMs
    const { crashes } = this
    while (this.finishedRuns.length === 0 && clock.now() < deadline && this.crashes === crashes) {
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
          percent: this.isStalled ? 0 : Math.min(99, Math.floor(100 * (activeRun.savedMs + Math.max(0, now - this.workStartMs(activeRun))) / this.durationMs(activeRun)))
        })),
        ended: [...this.finishedRuns]
      }
    }
  }

  private start ({ task, run, payload, fencingToken, leaseUntilMs, checkpoint }: StartCommand, isLate: boolean): CommandOutcome {
    const { audit, behaviour, needOf } = this.options
    this.finishDueRuns()
    if (fencingToken < this.highestToken) return refuse('fenced')
    this.highestToken = fencingToken
    const taskName = formatTaskId(task)
    // A start that is refused as old extends the lease too.
    if (leaseUntilMs > this.clockMs()) this.extendLease(leaseUntilMs, { token: fencingToken, task: taskName, run })
    if (this.activeRuns.get(taskName)?.run === run) return { accepted: true, clockMs: this.clockMs() }
    if (this.activeRuns.has(taskName) || run <= (this.highestFinishedRun.get(taskName) ?? 0)) return refuse('stale-run')
    if (leaseUntilMs <= this.clockMs()) return refuse('lease-passed')
    this.log.info('Run started.', { worker: this.entry.id, task: taskName, run, token: fencingToken, isLate })
    if (!this.isCheckpointOf(task, checkpoint)) audit.violations.push(`${taskName} run ${run} started with the checkpoint of another task`)
    // Recorded first: a member of a broken gang ends as soon as it is among the active runs.
    audit.recordStart(this.entry.id, task, run, payload, this.options.clock.now(), isLate)
    this.activeRuns.set(taskName, { task, run, startedAt: this.clockMs(), checkpoint, savedMs: savedMsIn(checkpoint), stopsAt: undefined, ...behaviour(task, run, this.entry), ...(this.failsEverything ? { end: 'failed' as const } : {}) })
    const { durationMs } = this.activeRuns.get(taskName) as ActiveRun
    if (this.isGangMember(task)) this.options.gangs?.join({ task, run, durationMs }, this.options.gangSizeOf?.(task) ?? 0, this.options.clock.now())
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
    if (activeRun?.run === run) {
      activeRun.stopsAt ??= this.clockMs() + (this.options.stopMs ?? 0)
      this.finishDueRuns()
    }
    this.highestFinishedRun.set(taskName, Math.max(run, this.highestFinishedRun.get(taskName) ?? 0))
    return { accepted: true, clockMs: this.clockMs() }
  }

  private noteListedEnds (outcome: unknown) {
    const { audit, clock } = this.options
    if (typeof outcome !== 'object' || outcome === null || !('report' in outcome)) return
    const { ended } = outcome.report as WorkerReport
    if (ended.length === 0) return
    clock.after(NOTED_AFTER_MS, () => { for (const { task, run } of ended) audit.recordNoted(this.entry.id, task, run) })
  }

  private acknowledge (sequence: number) {
    const { audit, clock } = this.options
    for (const finishedRun of this.finishedRuns.filter(({ sequence: other }) => other <= sequence)) {
      audit.recordAcknowledged(this.entry.id, finishedRun.task, finishedRun.run, clock.now())
      this.log.info('End acknowledged.', { worker: this.entry.id, task: formatTaskId(finishedRun.task), run: finishedRun.run, status: finishedRun.status })
    }
    this.finishedRuns = this.finishedRuns.filter(({ sequence: other }) => other > sequence)
  }

  /** Never shortens the lease. */
  private extendLease (leaseUntilMs: number, command: LogFields) {
    const now = this.clockMs()
    const untilMs = Math.min(leaseUntilMs, now + (this.options.maxLeaseMs ?? 6_000))
    if (untilMs <= this.leaseUntilMs) return
    this.leaseUntilMs = untilMs
    this.hasLapsed = false
    this.log.info('Lease extended.', { worker: this.entry.id, endsInMs: untilMs - now, ...command })
  }

  /** Notes once that the lease has lapsed, also if nothing was running. */
  private noteLapse (now: number, killedRuns: number) {
    if (this.hasLapsed || this.leaseUntilMs >= now) return
    this.hasLapsed = true
    this.options.audit.recordLapse(this.entry.id, killedRuns)
    this.log.info('Lease has lapsed.', { worker: this.entry.id, forMs: now - this.leaseUntilMs, killedRuns })
  }

  /**
   * Finishes the runs that are complete, have lost their lease or belong to a gang that is broken or not
   * complete in time. The worker has no timers, so this method is called before the state is used.
   */
  private finishDueRuns () {
    const now = this.clockMs()
    let killedRuns = 0
    for (const activeRun of [...this.activeRuns.values()]) {
      const endsAt = this.isStalled ? Infinity : this.workStartMs(activeRun) + this.durationMs(activeRun) - activeRun.savedMs
      this.saveCheckpoint(activeRun, Math.min(now, this.leaseUntilMs, activeRun.stopsAt ?? Infinity))
      if (this.isGangMember(activeRun.task) && this.options.gangs?.isBroken(activeRun.task, activeRun.run) === true) this.finish(activeRun, 'broken')
      else if (endsAt === Infinity && !this.isStalled && now - activeRun.startedAt > GANG_TIMEOUT_MS) this.finish(activeRun, 'alone')
      else if (endsAt <= Math.min(now, this.leaseUntilMs, activeRun.stopsAt ?? Infinity)) this.finish(activeRun, activeRun.end)
      else if ((activeRun.stopsAt ?? Infinity) <= Math.min(now, this.leaseUntilMs)) this.finish(activeRun, 'stopped')
      else if (this.leaseUntilMs < now) {
        this.finish(activeRun, 'lapsed')
        killedRuns++
      }
    }
    this.noteLapse(now, killedRuns)
  }

  /** Saves the work up to a time on this worker's clock: whole intervals, and all of it at a stop. */
  private saveCheckpoint (activeRun: ActiveRun, until: number) {
    const { checkpointIntervalMs, audit } = this.options
    const { task, savedMs, stopsAt } = activeRun
    if (checkpointIntervalMs === undefined || this.isStalled || audit.specOf(task.jobId)?.steps[task.step]?.checkpoints !== true) return
    const workMs = Math.max(0, until - this.workStartMs(activeRun))
    const newMs = stopsAt === until ? workMs : Math.floor(workMs / checkpointIntervalMs) * checkpointIntervalMs
    if (newMs > 0) activeRun.checkpoint = `${this.checkpointOwner(task)}@${Math.floor(savedMs + newMs)}`
  }

  /** A checkpoint of any member of a gang is one of the gang. */
  private checkpointOwner (task: TaskId): string {
    return this.isGangMember(task) ? formatTaskId({ ...task, index: 0 }) : formatTaskId(task)
  }

  private isCheckpointOf (task: TaskId, checkpoint: string): boolean {
    return this.options.checkpointIntervalMs === undefined || checkpoint === '' || checkpoint.split('@')[0] === this.checkpointOwner(task)
  }

  private isGangMember (task: TaskId): boolean {
    return (this.options.gangSizeOf?.(task) ?? 0) > 0
  }

  /** Time on this worker's clock at which a run starts to work; Infinity until its gang is complete. */
  private workStartMs ({ task, run, startedAt, savedMs }: ActiveRun): number {
    const restoreMs = savedMs > 0 ? this.options.restoreMs ?? 0 : 0
    if (!this.isGangMember(task)) return startedAt + restoreMs
    const completeAt = this.options.gangs?.completeAt(task, run)
    return completeAt === undefined ? Infinity : this.clockStartMs() + (completeAt - this.bootedAt) * this.rate() + restoreMs
  }

  /** The members of a gang end together, so the slowest one determines the duration of all. */
  private durationMs ({ task, run, durationMs }: ActiveRun): number {
    return Math.max(durationMs, this.isGangMember(task) ? this.options.gangs?.durationMs(task, run) ?? 0 : 0)
  }

  private finish (activeRun: ActiveRun, status: FinishStatus) {
    if (status !== 'done' && this.isGangMember(activeRun.task)) this.options.gangs?.markBroken(activeRun.task, activeRun.run)
    const taskName = formatTaskId(activeRun.task)
    this.activeRuns.delete(taskName)
    this.highestFinishedRun.set(taskName, Math.max(activeRun.run, this.highestFinishedRun.get(taskName) ?? 0))
    this.finishedRuns.push({ sequence: ++this.lastSequence, task: activeRun.task, run: activeRun.run, status, checkpoint: activeRun.checkpoint })
    this.options.audit.recordFinish(this.entry.id, activeRun.task, activeRun.run, status)
    this.log.info('Run ended.', { worker: this.entry.id, task: taskName, run: activeRun.run, status, sequence: this.lastSequence })
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

/** Work that a checkpoint saves, in milliseconds. */
function savedMsIn (checkpoint: string): number {
  return Number(checkpoint.split('@')[1] ?? 0)
}

function delayLease<T extends { readonly leaseUntilMs?: number }> (cmd: T, { leaseShiftMs }: Lateness): T {
  return cmd.leaseUntilMs === undefined ? cmd : { ...cmd, leaseUntilMs: Math.floor(cmd.leaseUntilMs + leaseShiftMs) }
}

function refuse (reason: RefusalReason): CommandOutcome {
  return { accepted: false, reason }
}
