import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import {
  HOLD_GAP_MS, HOLD_OVERDUE_MS, HOLD_WAIT_MS, LAPSE_MARGIN_MS, MAX_ENDS_LISTED, STOP_RETRY_MS, WORKER_CLOCK_RATE,
  WORKER_RETRY_MS, WORKER_TIMEOUT_MS
} from './constants.js'
import { Hedge } from './hedge.js'
import type { Run, Task } from './jobs.js'
import { Run as TaskRun } from './jobs.js'
import type { HoldCommand, HoldOutcome, RefusalReason, StartCommand, WorkerClient, WorkerClients } from './ports.js'
import { NOTHING, add, subtract } from './resources.js'
import { formatTaskId } from './types.js'
import type { EndedRun, ResourceVector, RunningTask, TaskId, WorkerEntry, WorkerReport } from './types.js'

/** A longer time between two reports says nothing about the progress of runs. */
const MAX_REPORT_GAP_MS = 1_600

/** Time that the first answer of a worker takes while a new leader adopts many. */
const ADOPTION_MS = 1_000

/** Typical time of a start across regions, and the shortest after which it is repeated, in milliseconds. */
const TYPICAL_START_MS = 50
const OVERDUE_START_MS = 150

/** Prefix of the code of a failure that is a worker's refusal. */
const REFUSED = 'start-refused:'

/** Why a run that has no listed end is known not to be running. */
export type LossReason = 'worker-restarted' | 'lease-lapsed' | 'not-listed' | 'not-started'

/** What a link tells the leader. */
export interface WorkerEvents {
  /** The worker lists an end. Resolves when it is stored and may be acknowledged. */
  ended (link: WorkerLink, end: EndedRun): Promise<void>
  /** A run is known not to be running, without an end listed. */
  lost (link: WorkerLink, run: Run, reason: LossReason): void
  /** The worker refused a start, or the start never left. */
  refused (link: WorkerLink, run: Run, reason: RefusalReason | 'unreachable'): void
  /** The worker lists a run that this leader didn't start. Returns the run if it is wanted. */
  adopt (link: WorkerLink, listed: RunningTask): Run | undefined
  /** Room, reachability or progress has changed. */
  changed (link: WorkerLink): void
}

export interface WorkerLinkOptions {
  readonly entry: WorkerEntry
  readonly clients: WorkerClients
  /** First fencing token; above all that were sent to earlier lives of the worker. */
  readonly firstToken: number
  /** Length of the lease on everything that runs there, in milliseconds. */
  readonly taskLeaseMs: number
  readonly events: WorkerEvents
  /** True while this daemon may give orders. */
  readonly mayOrder: () => boolean
  /** True while a successor would know that this life of the worker may run something. */
  readonly mayExtend: () => boolean
  readonly clock: Clock
  readonly log: Log
}

/** A hold that the worker answered. A promise that is returned bare would be awaited with it. */
interface Held {
  /** Resolves once the ends that the worker listed are stored. */
  readonly stored: Promise<unknown>
}

/**
 * The leader's authority over one life of a worker: adopts it with a fencing token, extends the lease on what
 * runs there, starts and stops runs, and keeps account of the room that they take.
 *
 * A command without an answer can be executed seconds later. After one the link raises its fencing token and
 * holds the worker again: what the worker lists then is final, since the lost command can't take effect any more.
 */
export class WorkerLink {
  readonly id: string
  readonly runs = new Map<string, Run>()
  /** True once the worker has answered a hold under the current token. */
  isAdopted = false
  /** True when this life of the worker is known to be over. */
  isDead = false
  /** True once the link has ended; what runs is left to a successor. */
  private isClosed = false
  /** Monotonic time before which nothing is started here, after refusals. */
  notBefore = 0

  private used: ResourceVector = NOTHING
  private unsizedRuns = 0
  private token: number
  private acknowledged = 0
  /** Ends that are being stored, by sequence number; a worker lists them until they are acknowledged. */
  private readonly storing = new Map<number, Promise<void>>()
  private clockMs = -1
  private clockReadAt = 0
  /** Monotonic time at which every lease sent so far has ended. */
  private lapsesAt: number
  /** Monotonic time since which the worker has not been reachable. */
  private lostAt: number | undefined
  private readonly client: WorkerClient
  /** A start can be repeated: the worker takes each run number once. */
  private readonly starts: Hedge

  private constructor (public entry: WorkerEntry, private readonly options: WorkerLinkOptions) {
    this.id = entry.id
    this.token = options.firstToken
    this.lostAt = options.clock.now() + ADOPTION_MS
    // An earlier leader may have extended the lease until now.
    this.lapsesAt = options.clock.now() + options.taskLeaseMs / WORKER_CLOCK_RATE + LAPSE_MARGIN_MS
    this.client = options.clients.create(entry)
    this.starts = Hedge.create({ clock: options.clock, initialMs: TYPICAL_START_MS, minimumMs: OVERDUE_START_MS })
  }

  static create (options: WorkerLinkOptions): WorkerLink {
    return new WorkerLink(options.entry, options)
  }

  free (): ResourceVector {
    return this.unsizedRuns > 0 ? NOTHING : subtract(this.entry.capacity, this.used)
  }

  /** Whether a run can be started here now. */
  canStart (): boolean {
    return this.isAdopted && !this.isDead && this.entry.state === 'ready' && this.unsizedRuns === 0 &&
      this.options.clock.now() >= this.notBefore
  }

  /** Time for which the worker has not been reachable, in milliseconds; 0 while it is. */
  unreachableMs (): number {
    return this.isAdopted || this.lostAt === undefined ? 0 : Math.max(0, this.options.clock.now() - this.lostAt)
  }

  /** Monotonic time after which nothing that was started so far can run here. */
  leasesEndAt (): number {
    return this.lapsesAt
  }

  /** Whether the worker can't be reached and every lease on what it may have run has ended. */
  hasLapsed (): boolean {
    return !this.isAdopted && this.runs.size === 0 && this.options.clock.now() > this.lapsesAt
  }

  /** Highest fencing token sent so far. */
  lastToken (): number {
    return this.token
  }

  /** Monotonic time of the newest report. */
  reportedAt (): number {
    return this.clockReadAt
  }

  updateEntry (entry: WorkerEntry): void {
    this.entry = entry
  }

  /** Holds the worker until the signal aborts or this life of the worker is over. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, mayOrder } = this.options
    while (!signal.aborted && !this.isDead) {
      if (!mayOrder()) {
        await clock.sleep(HOLD_GAP_MS)
        continue
      }
      const started = clock.now()
      const held = await this.hold(this.isAdopted ? HOLD_WAIT_MS : 0)
      if (held === undefined) await clock.sleep(WORKER_RETRY_MS)
      else await this.storedOrOverdue(held.stored)
      const restMs = HOLD_GAP_MS - (clock.now() - started)
      if (restMs > 0) await clock.sleep(restMs)
    }
    this.isClosed = true
    await this.client.close()
  }

  /** Resolves once the ends of a report are stored, or after the time of a hold: a slow store must not end the leases. */
  private storedOrOverdue (stored: Promise<unknown>): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.options.clock.after(HOLD_WAIT_MS, resolve)
      const finish = () => {
        cancel()
        resolve()
      }
      stored.then(finish, (err: unknown) => {
        this.options.log.error('Ends could not be handled.', { worker: this.id, err })
        finish()
      })
    })
  }

  /** Ends the link because another life of the worker has begun: nothing of this one runs any more. */
  declareDead (): void {
    if (this.isDead) return
    this.isDead = true
    this.isAdopted = false
    this.loseAll('worker-restarted')
  }

  /** Takes room for a run and tells the worker to start it. */
  start (task: Task, number: number, payload: string, ticket: string): Run {
    const { clock } = this.options
    const run = TaskRun.create({ id: task.id(), number, worker: this, task, fencingToken: this.token, startedAt: clock.now() })
    task.runs.push(run)
    task.lastRun = Math.max(task.lastRun, number)
    this.addRun(run)
    this.sendStart(run, payload, ticket)
    return run
  }

  /** Adds a run that the worker lists and that an earlier leader started. */
  takeOver (listed: RunningTask, task: Task | undefined): Run {
    const run = TaskRun.create({
      id: listed.task, number: listed.run, worker: this, task, fencingToken: this.token, startedAt: this.options.clock.now()
    })
    run.state = 'running'
    run.percent = listed.percent
    run.checkpoint = listed.checkpoint
    run.confirmedAtMs = -1
    if (task !== undefined) {
      task.runs.push(run)
      task.lastRun = Math.max(task.lastRun, listed.run)
    }
    this.addRun(run)
    return run
  }

  /** Stops a run and repeats the order until the run is no longer listed. */
  stop (run: Run): void {
    if (run.state === 'stopping') return
    run.state = 'stopping'
    this.sendStop(run)
  }

  private async sendStart (run: Run, payload: string, ticket: string) {
    const { log, events } = this.options
    const leaseUntilMs = this.nextLease()
    const res = await this.starts.call(() => this.startOnce({
      task: run.id, run: run.number, payload, fencingToken: run.fencingToken, leaseUntilMs, checkpoint: run.checkpoint, ticket
    }))
    if (!this.runs.has(keyOf(run.id, run.number))) return
    if (res.ok) {
      run.confirmedAtMs = res.val
      if (run.state === 'starting') run.state = 'running'
      return
    }
    if (res.val.verdict !== 'not-run') {
      log.warn('Start has no answer.', { task: formatTaskId(run.id), run: run.number, worker: this.id, token: run.fencingToken, reason: res.val.reason })
      this.distrust()
      return
    }
    const reason = refusalOf(res.val)
    log.info('Start refused.', { task: formatTaskId(run.id), run: run.number, worker: this.id, token: run.fencingToken, reason })
    this.removeRun(run)
    if (reason === 'unreachable' || reason === 'other-life') this.distrust()
    events.refused(this, run, reason)
  }

  /** Resolves with the worker's clock. A refusal is a failure, so that it doesn't outweigh an earlier send without an answer. */
  private async startOnce (cmd: StartCommand): Promise<Result<number, Failure>> {
    const res = await this.client.start(cmd, WORKER_TIMEOUT_MS)
    if (res.err) return res
    return res.val.accepted ? Ok(res.val.clockMs) : Err(Failure.notRun(`${REFUSED}${res.val.reason}`, 'The worker refused the start.'))
  }

  private async sendStop (run: Run) {
    const { clock, mayOrder, log } = this.options
    while (this.runs.has(keyOf(run.id, run.number)) && !this.isDead && !this.isClosed) {
      if (mayOrder()) {
        const res = await this.client.stop({ task: run.id, run: run.number, fencingToken: this.token }, WORKER_TIMEOUT_MS)
        if (res.err) log.debug('Stop failed.', { task: formatTaskId(run.id), run: run.number, worker: this.id, verdict: res.val.verdict, reason: res.val.reason })
      }
      await clock.sleep(STOP_RETRY_MS)
    }
  }

  /** Raises the token, so that commands without an answer can't take effect, and holds the worker at once. */
  private distrust () {
    if (this.isDead) return
    this.token++
    this.isAdopted = false
    this.lostAt = this.options.clock.now()
    this.options.events.changed(this)
    if (this.options.mayOrder()) this.hold(0)
  }

  /** Returns undefined when the worker can't be held. */
  private async hold (waitMs: number): Promise<Held | undefined> {
    const { clock, log, events } = this.options
    const token = this.token
    // A worker that doesn't answer gets no longer lease, so that it lapses at a known time.
    const leaseUntilMs = this.isAdopted && this.options.mayExtend() ? this.nextLease() : undefined
    const res = await this.holdTwice({ fencingToken: token, acknowledged: this.acknowledged, waitMs, ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }) })
    if (this.isDead) return undefined
    if (res.ok && res.val.accepted) return { stored: this.apply(res.val.report, token) }
    const reason = res.err ? res.val.reason : res.val.accepted ? '' : res.val.reason
    if (res.ok && !res.val.accepted && res.val.reason === 'other-life') this.declareDead()
    if (this.isAdopted) {
      log.warn('Worker lost.', { worker: this.id, address: this.entry.address, token, reason, runs: this.runs.size, lapsesInMs: Math.round(this.lapsesAt - clock.now()) })
      this.isAdopted = false
      this.lostAt = clock.now()
      events.changed(this)
    }
    if (this.runs.size > 0 && clock.now() > this.lapsesAt) this.loseAll('lease-lapsed')
    return undefined
  }

  /** Sends an overdue hold again, over another connection. A hold that is carried out late changes nothing: leases are never shortened. */
  private holdTwice (cmd: HoldCommand): Promise<Result<HoldOutcome, Failure>> {
    return new Promise(resolve => {
      let open = 0
      let isAnswered = false
      const send = async (waitMs: number) => {
        open++
        const res = await this.client.hold({ ...cmd, waitMs }, waitMs + WORKER_TIMEOUT_MS)
        open--
        if (isAnswered || (res.err && open > 0)) return
        isAnswered = true
        cancel()
        resolve(res)
      }
      const cancel = this.options.clock.after(cmd.waitMs + HOLD_OVERDUE_MS, () => { send(0) })
      send(cmd.waitMs)
    })
  }

  private apply (report: WorkerReport, token: number): Promise<unknown> {
    const { clock, log, events } = this.options
    if (report.born !== this.entry.born) {
      log.info('Worker has restarted.', { worker: this.id, born: report.born, knownBorn: this.entry.born, runs: this.runs.size })
      this.declareDead()
      events.changed(this)
      return Promise.resolve()
    }
    // Answers on different connections may overtake each other.
    const isNewest = report.clockMs >= this.clockMs
    if (isNewest) {
      if (clock.now() - this.clockReadAt > MAX_REPORT_GAP_MS) for (const run of this.runs.values()) run.progressAt = clock.now()
      this.clockMs = report.clockMs
      this.clockReadAt = clock.now()
    }
    const stored = this.applyEnds(report)
    if (isNewest) this.applyRunning(report, token)
    if (!this.isAdopted && token === this.token) {
      this.isAdopted = true
      this.lostAt = undefined
      log.info('Worker adopted.', { worker: this.id, address: this.entry.address, token, running: report.running.length, ended: report.ended.length })
    }
    events.changed(this)
    return stored
  }

  private applyEnds (report: WorkerReport): Promise<unknown> {
    const { events } = this.options
    const fresh = report.ended.filter(end => end.sequence > this.acknowledged)
    if (fresh.length === 0) return Promise.resolve()
    const stored = fresh.map(end => {
      const known = this.storing.get(end.sequence)
      if (known !== undefined) return known
      const run = this.runs.get(keyOf(end.task, end.run))
      if (run !== undefined) this.removeRun(run)
      const storing = events.ended(this, end)
      this.storing.set(end.sequence, storing)
      return storing
    })
    const last = Math.max(...fresh.map(end => end.sequence))
    return Promise.all(stored).then(() => {
      this.acknowledged = Math.max(this.acknowledged, last)
      for (const { sequence } of fresh) this.storing.delete(sequence)
    })
  }

  private applyRunning (report: WorkerReport, token: number) {
    const { clock, events } = this.options
    const listed = new Set<string>()
    for (const each of report.running) {
      const key = keyOf(each.task, each.run)
      listed.add(key)
      const run = this.runs.get(key) ?? this.adoptListed(each)
      if (each.checkpoint !== '') run.checkpoint = each.checkpoint
      if (each.percent > run.percent) {
        run.percent = each.percent
        run.progressAt = clock.now()
      }
      if (run.state === 'starting') run.state = 'running'
      run.confirmedAtMs ??= report.clockMs
    }
    if (report.ended.length >= MAX_ENDS_LISTED) return
    for (const [key, run] of [...this.runs]) {
      if (listed.has(key)) continue
      const wasConfirmed = run.confirmedAtMs !== undefined && report.clockMs > run.confirmedAtMs
      const cannotStart = run.confirmedAtMs === undefined && run.fencingToken < token
      if (!wasConfirmed && !cannotStart) continue
      this.removeRun(run)
      events.lost(this, run, wasConfirmed ? 'not-listed' : 'not-started')
    }
  }

  private adoptListed (listed: RunningTask): Run {
    const run = this.options.events.adopt(this, listed)
    if (run !== undefined) return run
    const { log } = this.options
    log.info('Run is not wanted.', { task: formatTaskId(listed.task), run: listed.run, worker: this.id })
    const stray = this.takeOver(listed, undefined)
    this.stop(stray)
    return stray
  }

  /** End of the next lease, on the worker's clock; never later than its true time allows. */
  private nextLease (): number {
    const { clock, taskLeaseMs } = this.options
    const elapsed = Math.floor((clock.now() - this.clockReadAt) * WORKER_CLOCK_RATE)
    const leaseUntilMs = this.clockMs + elapsed + taskLeaseMs
    const longest = this.clockReadAt + (leaseUntilMs - this.clockMs) / WORKER_CLOCK_RATE + LAPSE_MARGIN_MS
    this.lapsesAt = Math.max(this.lapsesAt, longest)
    return leaseUntilMs
  }

  private loseAll (reason: LossReason) {
    for (const run of [...this.runs.values()]) {
      this.removeRun(run)
      this.options.events.lost(this, run, reason)
    }
  }

  private addRun (run: Run) {
    this.runs.set(keyOf(run.id, run.number), run)
    const need = run.need()
    if (need === undefined) this.unsizedRuns++
    else this.used = add(this.used, need)
  }

  private removeRun (run: Run) {
    if (!this.runs.delete(keyOf(run.id, run.number))) return
    const need = run.need()
    if (need === undefined) this.unsizedRuns--
    else this.used = subtract(this.used, need)
    const { task } = run
    if (task === undefined) return
    task.step.saveCheckpoint(task, run.checkpoint)
    task.runs.splice(task.runs.indexOf(run), 1)
  }
}

function keyOf (task: TaskId, run: number): string {
  return `${formatTaskId(task)}#${run}`
}

function refusalOf ({ code }: Failure): RefusalReason | 'unreachable' {
  return code.startsWith(REFUSED) ? code.slice(REFUSED.length) as RefusalReason : 'unreachable'
}
