import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Clock, Resources, StartTask, TaskReport, WorkerReport, WorkerTaskState } from '@citronnotch/daemon'
import { BackendServerStandIn } from './backendServerStandIn.js'
import { badRequest, JsonListener } from './jsonHttp.js'
import type { Answer } from './jsonHttp.js'
import { PauseGate } from './pauseGate.js'
import { TaskRun, usageFactor } from './taskRun.js'
import type { TaskEndCause, TruthLog } from './truthLog.js'

export interface WorkerStandInOptions {
  readonly clock: Clock
  readonly log: TruthLog
  readonly workerId: string
  /** @default { cores: 16, memoryMb: 65536, accelerators: 0 } */
  readonly capacity?: Resources
  /**
   * Declared seconds of a task that pass in one second.
   * @default 1
   */
  readonly speed?: number
  /**
   * Age at which a task's use is first reported.
   * @default 10000
   */
  readonly usageLagMs?: number
  /**
   * Largest factor between declared and real use, in both directions.
   * @default 4
   */
  readonly usageSpread?: number
  /** Options of the backend servers that tasks of services open. */
  readonly backend?: { readonly slots?: number, readonly connections?: number, readonly workMs?: number }
  /** Where checkpoints are kept; the platform's object store in a cell. */
  readonly checkpoints?: Map<string, Buffer>
}

type ResolvedWorkerStandInOptions = Readonly<Required<WorkerStandInOptions>>

/** Faults of a worker; see `setFaults`. */
export interface WorkerFaults {
  /** Every task that is started fails at once. */
  readonly failStarts: boolean
  /** Delay before each command takes effect. */
  readonly slowMs: number
  /** Number of calls, or all, whose connection is cut after they took effect. */
  readonly loseAnswers: number | 'all'
}

export const NO_WORKER_FAULTS: WorkerFaults = { failStarts: false, slowMs: 0, loseAnswers: 0 }

interface Command {
  readonly fencingToken: number
  readonly incarnation: string
  readonly tasks: readonly StartTask[]
  readonly taskIds: readonly string[]
  readonly taskId: string
  readonly leaseUntil: number
  readonly graceMs: number
  readonly cores: number
}

/** A task that the worker reports; a run is missing when its start failed. */
interface TaskEntry {
  readonly task: StartTask
  readonly run?: TaskRun
  readonly checkpoint?: string
}

const STATE_BY_CAUSE: Readonly<Record<TaskEndCause, WorkerTaskState>> = {
  finished: 'finished',
  failed: 'failed',
  stopped: 'stopped',
  'lease-expired': 'stopped',
  'worker-lost': 'stopped'
}

/** Simulated worker: starts what it is given, whether it fits or not. */
export class WorkerStandIn {
  private readonly gate = PauseGate.create()
  private readonly entries = new Map<string, TaskEntry>()
  private currentFaults = NO_WORKER_FAULTS
  private incarnation = randomUUID()
  private highestToken = 0
  private listener!: JsonListener

  private constructor (private readonly options: ResolvedWorkerStandInOptions) {}

  static async create (options: WorkerStandInOptions): Promise<WorkerStandIn> {
    const worker = new WorkerStandIn(resolveWorkerStandInOptions(options))
    worker.listener = await JsonListener.create((req, url, body) => worker.handle(req, url, body))
    worker.recordStart()
    return worker
  }

  get workerId (): string {
    return this.options.workerId
  }

  address (): string {
    return this.listener.address()
  }

  capacity (): Resources {
    return this.options.capacity
  }

  faults (): WorkerFaults {
    return this.currentFaults
  }

  setFaults (faults: Partial<WorkerFaults>): void {
    this.currentFaults = { ...this.currentFaults, ...faults }
  }

  /** Stops answering; leases go on running out, and commands take effect on `resume`. */
  pause (): void {
    this.gate.pause()
  }

  resume (): void {
    this.expireRuns()
    this.gate.resume()
  }

  /** Ends all tasks and refuses connections, as when the VM fails. */
  async die (): Promise<void> {
    this.loseTasks()
    await this.listener.close()
  }

  /** Comes up without tasks, with a new incarnation, under the same address; also after `die`. */
  async restartEmpty (): Promise<void> {
    this.loseTasks()
    this.listener.cutConnections()
    this.recordStart()
    await this.listener.open()
  }

  /** What the worker would report now. */
  report (): WorkerReport {
    this.expireRuns()
    return {
      incarnation: this.incarnation,
      time: this.options.clock.now(),
      capacity: this.options.capacity,
      tasks: [...this.entries.values()].map(entry => this.reportOf(entry))
    }
  }

  /** Backend servers of the running tasks of services. */
  backendServers (): readonly BackendServerStandIn[] {
    return [...this.entries.values()].flatMap(({ run }) => run?.running() === true && run.backend !== undefined ? [run.backend] : [])
  }

  async close (): Promise<void> {
    await this.die()
  }

  private async handle (req: IncomingMessage, url: URL, body: Buffer): Promise<Answer | undefined> {
    const { incarnation } = this
    if (this.currentFaults.slowMs > 0) await this.options.clock.sleep(this.currentFaults.slowMs)
    await this.gate.passed()
    // A command that was received before a restart is lost with the VM.
    if (incarnation !== this.incarnation) return undefined
    this.expireRuns()
    const name = /^\/v1\/([a-z]+)$/.exec(url.pathname)?.[1] ?? ''
    const run = this.commands[name]
    if (req.method !== 'POST' || run === undefined) return { status: 404, body: { error: 'unknown path' } }
    const command = JSON.parse(body.toString('utf8')) as Command
    const problem = problemOf(name, command)
    if (problem !== undefined) return badRequest(problem)
    if (command.fencingToken < this.highestToken || (name !== 'adopt' && command.incarnation !== this.incarnation)) {
      return { status: 409, body: { fencingToken: this.highestToken, incarnation: this.incarnation } }
    }
    this.highestToken = command.fencingToken
    await run(command)
    const { loseAnswers } = this.currentFaults
    if (loseAnswers === 'all' || loseAnswers > 0) {
      if (loseAnswers !== 'all') this.setFaults({ loseAnswers: loseAnswers - 1 })
      return undefined
    }
    return { status: 200, body: this.report() }
  }

  private readonly commands: Readonly<Record<string, (command: Command) => Promise<void>>> = {
    adopt: async () => {},
    start: async ({ tasks, leaseUntil }) => {
      await Promise.all(tasks.map(task => this.start(task, leaseUntil)))
    },
    renew: async ({ taskIds, leaseUntil }) => {
      for (const { run } of this.entriesOf(taskIds)) if (run?.running() === true) run.renew(leaseUntil)
    },
    stop: async ({ taskIds, graceMs }) => {
      for (const { run } of this.entriesOf(taskIds)) if (run !== undefined) stopRun(run, graceMs)
    },
    checkpoint: async ({ taskIds }) => {
      for (const entry of this.entriesOf(taskIds)) this.saveCheckpoint(entry)
    },
    throttle: async ({ taskId, cores }) => {
      for (const { run } of this.entriesOf([taskId])) if (run?.running() === true) run.throttle(cores)
    },
    forget: async ({ taskIds }) => {
      for (const entry of this.entriesOf(taskIds)) if (entry.run?.running() !== true) this.entries.delete(entryId(entry.task))
    }
  }

  /** A repeated start of the same attempt changes nothing, also after the attempt ended, nor does one that arrives after its lease. */
  private async start (task: StartTask, leaseUntil: number) {
    const id = entryId(task)
    const { clock, log, workerId, speed, backend } = this.options
    if (this.entries.has(id) || leaseUntil <= clock.now()) return
    if (this.currentFaults.failStarts) {
      this.entries.set(id, { task })
      log.record({ type: 'task-start-failed', workerId, taskId: task.taskId, attempt: task.attempt })
      return
    }
    const doneMs = this.progressAt(task.checkpoint)
    const run = TaskRun.create(task, { clock, log, workerId, leaseUntil, speed, doneMs })
    this.entries.set(id, { task, run })
    if (task.service === undefined) return
    const server = await BackendServerStandIn.create({ clock, log, service: task.service, gate: this.gate, ...backend })
    // The run may have ended while the listener was opened.
    if (run.running()) run.backend = server
    else server.close()
  }

  private saveCheckpoint (entry: TaskEntry) {
    const { task, run } = entry
    if (run?.running() !== true) return
    const checkpoint = `checkpoints/${task.taskId}/${task.attempt}`
    this.options.checkpoints.set(checkpoint, Buffer.from(JSON.stringify({ doneMs: run.progressMs() })))
    this.entries.set(entryId(task), { task, run, checkpoint })
    run.end('stopped')
  }

  private progressAt (checkpoint: string | undefined): number {
    const data = checkpoint === undefined ? undefined : this.options.checkpoints.get(checkpoint)
    return data === undefined ? 0 : (JSON.parse(data.toString('utf8')) as { readonly doneMs: number }).doneMs
  }

  private entriesOf (taskIds: readonly string[]): readonly TaskEntry[] {
    const wanted = new Set(taskIds)
    return [...this.entries.values()].filter(({ task }) => wanted.has(task.taskId))
  }

  private reportOf ({ task, run, checkpoint }: TaskEntry): TaskReport {
    const { taskId, attempt, resources, service } = task
    const cause = run?.endCause()
    const running = run?.running() === true
    const usage = running ? this.usageOf(run) : undefined
    const serviceAddress = running ? run.backend?.address() : undefined
    const reason = run === undefined ? 'the worker could not start the task' : cause === 'lease-expired' ? 'the lease expired' : undefined
    return {
      taskId,
      attempt,
      state: run === undefined ? 'failed' : cause === undefined ? 'running' : STATE_BY_CAUSE[cause],
      resources,
      ...(usage === undefined ? {} : { usage }),
      ...(service === undefined ? {} : { service }),
      ...(serviceAddress === undefined ? {} : { serviceAddress }),
      ...(checkpoint === undefined ? {} : { checkpoint }),
      ...(reason === undefined ? {} : { reason })
    }
  }

  private usageOf (run: TaskRun) {
    const { clock, usageLagMs, usageSpread } = this.options
    if (clock.now() - run.startedAt < usageLagMs) return undefined
    const { taskId, resources } = run.task
    const factor = usageFactor(taskId, usageSpread)
    return { cores: resources.cores * factor, memoryMb: Math.round(resources.memoryMb * factor) }
  }

  private expireRuns () {
    for (const { run } of this.entries.values()) run?.expire()
  }

  private loseTasks () {
    this.expireRuns()
    for (const { run } of this.entries.values()) run?.end('worker-lost')
    this.entries.clear()
    this.incarnation = randomUUID()
    this.highestToken = 0
    this.gate.resume()
  }

  private recordStart () {
    const { log, workerId, capacity } = this.options
    log.record({ type: 'worker-started', workerId, incarnation: this.incarnation, capacity })
  }
}

export function resolveWorkerStandInOptions (options: WorkerStandInOptions): ResolvedWorkerStandInOptions {
  return {
    capacity: { cores: 16, memoryMb: 65_536, accelerators: 0 },
    speed: 1,
    usageLagMs: 10_000,
    usageSpread: 4,
    backend: {},
    checkpoints: new Map(),
    ...options
  }
}

/** Fields that a command needs beside the fencing token and the incarnation. */
const requiredFields: Readonly<Record<string, Readonly<Partial<Record<keyof Command, (value: unknown) => boolean>>>>> = {
  adopt: {},
  start: { tasks: Array.isArray, leaseUntil: Number.isFinite },
  renew: { taskIds: Array.isArray, leaseUntil: Number.isFinite },
  stop: { taskIds: Array.isArray, graceMs: Number.isFinite },
  checkpoint: { taskIds: Array.isArray },
  throttle: { taskId: value => typeof value === 'string', cores: Number.isFinite },
  forget: { taskIds: Array.isArray }
}

function problemOf (name: string, command: Command): string | undefined {
  if (!Number.isSafeInteger(command.fencingToken)) return 'fencingToken is missing'
  const fields = Object.entries(requiredFields[name] ?? {})
  const wrong = fields.find(([field, check]) => !check(command[field as keyof Command]))
  return wrong === undefined ? undefined : `${wrong[0]} is missing or of the wrong type`
}

/** The task of a service ends when its requests in flight are complete, or after `graceMs`. */
async function stopRun (run: TaskRun, graceMs: number) {
  await run.backend?.shutDown(graceMs)
  run.end('stopped')
}

function entryId ({ taskId, attempt }: StartTask): string {
  return `${taskId}#${attempt}`
}
