import type { CancelTimer, Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import {
  HEARTBEAT_OVERDUE_MS, HEARTBEAT_WAIT_MS, LEASE_EXPIRY_MARGIN_MS, MAX_CALL_DELAY_MS, MAX_FINISHED_RUNS_LISTED, MIN_HEARTBEAT_INTERVAL_MS,
  MIN_WORKER_CLOCK_RATE, STOP_RETRY_MS, WORKER_RETRY_MS, WORKER_TIMEOUT_MS
} from './constants.js'
import { Hedge } from './hedge.js'
import type { RunUsage } from './accounts/index.js'
import type { Run, Task } from './jobs.js'
import { Run as TaskRun } from './jobs.js'
import type { HeartbeatCommand, HeartbeatOutcome, RefusalReason, StartCommand, WorkerClient, WorkerClients } from './ports.js'
import { NO_RESOURCES, subtract } from './resources.js'
import type { LeaderStartWindow } from './leaderStartWindow.js'
import { StartWindow } from './startWindow.js'
import type { StartWindowLimits } from './startWindow.js'
import { TrackedRuns, runKeyOf } from './trackedRuns.js'
import { formatTaskId } from './types.js'
import type { FinishedRun, ResourceVector, RunningTask, WorkerEntry, WorkerReport } from './types.js'
import type { WorkerObstacle } from './workerObstacles.js'

/** Longest gap between two reports over which a run can count as stalled; after a longer gap the stall timers restart. */
const MAX_REPORT_GAP_MS = 1_600

/** Time for which the answer to an overdue heartbeat is still waited for, in milliseconds. */
const LATE_ANSWER_MS = 3_000
/** Maximum number of overdue heartbeats to a worker whose answers come late: more would hold them up. Lost ones are repeated. */
const MAX_OVERDUE_HEARTBEATS = 2
/** Time after a late answer for which a worker counts as slow, in milliseconds. */
const SLOW_MS = 4_000
/** Time after its heartbeat was sent until which an answer shows that this incarnation is alive; a worker may restart under its id sooner after that. */
const MAX_ADOPTION_ANSWER_MS = 2_000

/** Grace period before a worker that was never adopted counts as unreachable: a new leader adopts many workers at once. */
const ADOPTION_GRACE_MS = 1_000

/** Initial estimate of the response time of a start across regions, in milliseconds. */
const TYPICAL_START_MS = 50
/** Minimum delay before an unanswered start is sent again, in milliseconds. */
const MIN_OVERDUE_START_MS = 150

/** Time without contact up to which a worker counts as in service, in milliseconds: it is adopted again after each lost answer, and a new leader adopts all. */
const IN_SERVICE_MS = 2_000

/** The announced time of a leave is read late, by up to one heartbeat and one poll of the registry; the worker may leave that much earlier. */
const LEAVE_MARGIN_MS = 3_000

/** Code of the failure of a start that found no free connection: it says nothing about the worker. */
const NEVER_SENT_CODE = 'worker-queued'

/** Prefix of the failure code of a start that the worker refused. */
const REFUSAL_CODE_PREFIX = 'start-refused:'

/** Why a run counts as lost although the worker did not list it as finished. */
export type LossReason = 'worker-restarted' | 'lease-lapsed' | 'not-listed' | 'not-started'

/** A run of which no end is known, though it isn't running any more or its worker hasn't reported yet. */
export interface UnsettledRun extends Pick<Run, 'id' | 'task' | 'number' | 'startedAt'> {
  /** Monotonic time at which the worker was last known to have the run. */
  readonly lastSeenAt: number
}

/** Events that a link reports to the leader. */
export interface WorkerEvents {
  /** A start is about to be sent. Resolves when it may be. */
  startPlanned (link: WorkerLink, run: Run): Promise<void>
  /** Whether a start that had to wait may still be sent to the worker: neither of them, nor the configuration, may have changed. */
  mayStart (link: WorkerLink, run: Run): boolean
  /** The worker lists a finished run; `run` is undefined if this leader didn't know of it. Resolves when its result is stored and may be acknowledged. */
  runFinished (link: WorkerLink, finishedRun: FinishedRun, run: Run | undefined): Promise<void>
  /** A run is certainly not running any more, but the worker did not list it as finished. */
  runLost (link: WorkerLink, run: Run, reason: LossReason): void
  /** An incarnation of a worker has crashed, without having announced that it leaves. `runs`: those that it may have had, also if they were lost before; there may be none. */
  workerCrashed (worker: WorkerEntry, runs: readonly UnsettledRun[]): void
  /** A start that was sent before the crash of the former incarnation was known was sent after the present one had begun: the crashed one never had it. */
  crashWithdrawn (link: WorkerLink, run: Run): void
  /** The incarnation of the worker that may have had these runs is up and doesn't list them, or has left as announced: it has not crashed under them. */
  runsSettled (runs: readonly UnsettledRun[]): void
  /** The worker refused a start, or the start was never sent. */
  startRefused (link: WorkerLink, run: Run, reason: RefusalReason | 'unreachable' | 'queued' | 'withdrawn'): void
  /** The worker lists a run that this leader didn't start. Returns undefined if the run must be stopped. */
  adoptRun (link: WorkerLink, listed: RunningTask): Run | undefined
  /** Free capacity, reachability or progress has changed. */
  workerChanged (link: WorkerLink): void
}

export interface WorkerLinkOptions {
  readonly entry: WorkerEntry
  readonly clients: WorkerClients
  /** First fencing token; higher than all tokens sent to earlier incarnations of the worker. */
  readonly firstToken: number
  /** Duration of the lease on all runs of the worker, in milliseconds. */
  readonly taskLeaseMs: number
  /** Longest lease that a worker grants, in milliseconds. */
  readonly maxTaskLeaseMs: number
  /** Time for which an earlier leader may still extend the lease before the worker is adopted, in milliseconds. */
  readonly predecessorActiveMs: number
  /** Monotonic time until which a call of an earlier leader may be carried out. */
  readonly earlierCallsUntil: number
  readonly events: WorkerEvents
  /** Takes note of the runs on all workers. */
  readonly usage: RunUsage
  /** Bounds of the starts under way to this worker. */
  readonly startWindow: StartWindowLimits
  /** Starts under way to all workers. */
  readonly leaderStartWindow: LeaderStartWindow
  /** True while this daemon is the leader and may send commands. */
  readonly mayIssueCommands: () => boolean
  /** Resolves with true once the leader has loaded the jobs, before which no report is applied; with false if it stops first. */
  readonly jobsLoaded: Promise<boolean>
  /** True while the stored roster tells a successor that this incarnation of the worker may have runs. */
  readonly mayExtendLeases: () => boolean
  readonly clock: Clock
  readonly log: Log
}

/** A finished run whose result is not known to be stored. */
interface PendingWrite {
  readonly jobId: string
  readonly stored: Promise<void>
  isStored: boolean
}

/** A heartbeat that may still be answered. */
interface PendingHeartbeat {
  /** Monotonic time at which it was sent. */
  readonly sentAt: number
  isOverdue: boolean
}

/** What an answer to a heartbeat can prove depends on when the heartbeat was sent. */
interface SentHeartbeat {
  readonly token: number
  /** Monotonic time in milliseconds. */
  readonly sentAt: number
}

/** Result of an accepted heartbeat. The promise is wrapped because an async function awaits a promise that it returns. */
interface HeartbeatResult {
  /** Resolves once the finished runs that the worker listed are stored. */
  readonly finishedRunsStored: Promise<unknown>
}

/**
 * The leader's control of one incarnation of a worker: adopts it with a fencing token, extends the lease on its
 * runs, starts and stops runs, and tracks the capacity that they use.
 *
 * The worker can execute an unanswered command seconds later. The link then raises its fencing token and adopts the
 * worker again. The runs that it lists under the new token are reliable, because it rejects commands with older tokens.
 */
export class WorkerLink {
  readonly id: string
  /** True once the worker has accepted a heartbeat with the current token. */
  isAdopted = false
  /** True once the worker has been adopted, whether or not it is still reachable. */
  private hasReported = false
  /** True once this incarnation of the worker has certainly ended. */
  isDead = false
  /** True once the worker is known to have restarted under its id, so that its next incarnation may carry out calls to this one. */
  hasRestarted = false
  /** True once the link is closed; a successor adopts the remaining runs. */
  private isClosed = false
  /** Monotonic time in milliseconds before which no run is started here, because the worker lacked free capacity or was unhealthy. */
  notBefore = 0

  /** Whether this incarnation has announced that it leaves. */
  private hasAnnouncedLeave = false
  /** Runs that were given up when their lease expired, and those of earlier leaders; this incarnation may have crashed under them. */
  private unsettledRuns: readonly UnsettledRun[] = []
  private readonly tracked: TrackedRuns
  /** Runs of the link to the former incarnation, until the first report of this one. */
  private takenOverRuns: readonly Run[] = []
  private token: number
  private acknowledgedSequence = 0
  /** Pending writes of finished runs by sequence number, in its order; the worker lists these runs until they are acknowledged. */
  private readonly pendingWrites = new Map<number, PendingWrite>()
  /** The worker's clock in the latest report; -1 before the first. */
  private workerClockMs = -1
  private lastReportAt = 0
  private readonly pendingHeartbeats = new Set<PendingHeartbeat>()
  /** Monotonic time at which the latest overdue answer was received. */
  private lateAnswerAt = -Infinity
  /** Latest end of a lease sent so far, on the worker's clock. */
  private lastLeaseUntilMs = 0
  /** Monotonic time at which every lease sent so far to this incarnation has expired. */
  private leasesExpireAt: number
  /**
   * Monotonic time at which the lease has expired that stray calls, those to former incarnations, may have given this one:
   * their deadlines lie in the future of its clock, so that the lease is as long as the worker grants. -Infinity if there
   * is none, undefined until that is known.
   */
  private strayLeaseExpiresAt: number | undefined
  /** The same if stray calls were sent until this link was created. */
  private readonly lastStrayLeaseExpiresAt: number
  /** Monotonic time at which the worker leaves, if that is announced. */
  private leavesAt: number | undefined
  /** Monotonic time since which the worker has been unreachable. */
  private unreachableSince: number | undefined
  private readonly client: WorkerClient
  private readonly startWindow: StartWindow
  /** Starts can be hedged because the worker accepts each run number once. */
  private readonly startHedge: Hedge

  private constructor (public entry: WorkerEntry, private readonly options: WorkerLinkOptions) {
    this.id = entry.id
    this.tracked = TrackedRuns.create(options.usage)
    this.hasAnnouncedLeave = entry.state === 'draining'
    this.token = options.firstToken
    this.unreachableSince = options.clock.now() + ADOPTION_GRACE_MS
    // An earlier leader may have extended the lease up to this moment, or may still do so.
    const callsSentUntil = options.clock.now() + options.predecessorActiveMs
    this.leasesExpireAt = callsSentUntil + latestExpiryMs(options.taskLeaseMs)
    this.lastStrayLeaseExpiresAt = callsSentUntil + latestStrayExpiryMs(options.maxTaskLeaseMs)
    this.client = withoutThrows(options.clients.create(entry))
    this.startWindow = StartWindow.create(options.startWindow)
    this.startHedge = Hedge.create({ clock: options.clock, initialTypicalMs: TYPICAL_START_MS, minOverdueMs: MIN_OVERDUE_START_MS })
  }

  /** Takes over the runs of the link to the previous incarnation, if there is one, which must have ended. */
  static create (options: WorkerLinkOptions, previous?: WorkerLink): WorkerLink {
    const link = new WorkerLink(options.entry, options)
    if (previous === undefined) return link
    link.expectStrayLease(link.lastStrayLeaseExpiresAt)
    link.takeOverRuns(previous)
    return link
  }

  /** Runs on the worker by task and run number, from the decision to start them until they have certainly ended. */
  get runs (): ReadonlyMap<string, Run> {
    return this.tracked.byKey
  }

  /** Whether as many starts are under way as the worker confirms in time. */
  isStartWindowFull (): boolean {
    return this.startWindow.isFull()
  }

  freeCapacity (): ResourceVector {
    const used = this.tracked.used()
    return used === undefined ? NO_RESOURCES : subtract(this.entry.capacity, used)
  }

  /** Whether this incarnation takes new work, though perhaps not at the moment; see `canStart`. */
  isInService (): boolean {
    return !this.isDead && this.entry.state === 'ready' && this.unreachableMs() <= IN_SERVICE_MS
  }

  canStart (now = this.options.clock.now()): boolean {
    return this.startObstacle(now) === undefined
  }

  /** Why nothing can be started here now; undefined if something can. */
  startObstacle (now: number): WorkerObstacle | undefined {
    if (!this.isAdopted || this.isDead) return 'unreachable'
    if (this.entry.state !== 'ready') return 'draining'
    if (this.tracked.used() === undefined) return 'unknown-runs'
    if (this.startWindow.isFull()) return 'starts-unconfirmed'
    return now < this.notBefore ? 'refused-start' : undefined
  }

  /** Time for which the worker has been unreachable, in milliseconds; 0 while it is reachable. */
  unreachableMs (): number {
    return this.isAdopted || this.unreachableSince === undefined ? 0 : Math.max(0, this.options.clock.now() - this.unreachableSince)
  }

  /**
   * Monotonic time after which no run started so far can still be running here. What isn't known of stray calls is left out:
   * before the adoption nothing was started here, and the adoption bounds them.
   */
  latestLeaseExpiry (): number {
    return Math.max(this.leasesExpireAt, this.strayLeaseExpiresAt ?? -Infinity)
  }

  /**
   * Monotonic time at which the lease has expired that stray calls may have given this incarnation, or may still give it
   * before it is adopted; -Infinity if there is none.
   */
  latestStrayLeaseExpiry (): number {
    return this.strayLeaseExpiresAt ?? this.lastStrayLeaseExpiresAt
  }

  /** Whether the worker is unreachable and the lease on every run that it may have had has expired. */
  haveLeasesExpired (): boolean {
    return !this.isAdopted && this.runs.size === 0 && this.options.clock.now() > this.latestLeaseExpiry()
  }

  /**
   * Ids of the jobs that may have runs here, or finished runs that only the worker knows for certain. Undefined until the
   * worker has reported the runs of earlier leaders.
   */
  unsettledJobs (): readonly string[] | undefined {
    if (!this.hasReported) return undefined
    const ofRuns = [...this.runs.values()].map(({ id }) => id.jobId)
    const ofFinishedRuns = [...this.pendingWrites.values()].map(({ jobId }) => jobId)
    return [...new Set([...ofRuns, ...ofFinishedRuns])]
  }

  /** Highest fencing token used so far. */
  lastToken (): number {
    return this.token
  }

  /** Monotonic time at which the latest report was received. */
  reportedAt (): number {
    return this.lastReportAt
  }

  /** Whether a run of a task that may have crashed a worker is here. */
  hasSuspectRun (): boolean {
    return this.tracked.haveSuspect()
  }

  /** Whether runs are here, all of which must be alone, so that nothing but lasting tasks may start beside them. */
  hasOnlyAloneRuns (): boolean {
    return this.tracked.areAllAlone()
  }

  /** Whether a run is here beside which nothing at all may start at this monotonic time in milliseconds. */
  hasExclusiveRun (now: number): boolean {
    return this.tracked.haveExclusive(now)
  }

  /** Marks a worker that is missing from the registry, so that it gets no new work. */
  markUnlisted (): void {
    this.entry = { ...this.entry, state: 'draining' }
  }

  updateEntry (entry: WorkerEntry): void {
    this.hasAnnouncedLeave = entry.state === 'draining'
    if (entry.leavesInMs === undefined) this.leavesAt = undefined
    else if (entry.leavesInMs !== this.entry.leavesInMs || this.leavesAt === undefined) this.leavesAt = this.options.clock.now() + entry.leavesInMs
    this.entry = entry
  }

  /** Time until the worker leaves, in milliseconds; undefined if that is not announced. */
  leavesInMs (): number | undefined {
    return this.leavesAt === undefined ? undefined : Math.max(0, this.leavesAt - this.options.clock.now())
  }

  /** Sends heartbeats until the signal aborts or this incarnation of the worker has ended. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, mayIssueCommands } = this.options
    while (!signal.aborted && !this.isDead) {
      if (!mayIssueCommands() || (this.isSlow() && this.overdueHeartbeats() >= MAX_OVERDUE_HEARTBEATS)) {
        await clock.sleep(MIN_HEARTBEAT_INTERVAL_MS)
        if (mayIssueCommands()) this.reportExpired()
        continue
      }
      const startedAt = clock.now()
      const heartbeat = await this.heartbeat(this.isAdopted ? HEARTBEAT_WAIT_MS : 0)
      if (heartbeat === undefined) await clock.sleep(WORKER_RETRY_MS)
      else await this.storedOrTimeout(heartbeat.finishedRunsStored)
      const remainingMs = MIN_HEARTBEAT_INTERVAL_MS - (clock.now() - startedAt)
      if (remainingMs > 0) await clock.sleep(remainingMs)
    }
    this.isClosed = true
    await this.client.close()
  }

  /** Resolves once the finished runs are stored, or after the wait of one heartbeat: a slow store must not let the leases expire. */
  private storedOrTimeout (stored: Promise<unknown>): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.options.clock.after(HEARTBEAT_WAIT_MS, resolve)
      const settle = () => {
        cancel()
        resolve()
      }
      stored.then(settle, (err: unknown) => {
        this.options.log.error('Finished runs could not be processed.', { worker: this.id, err })
        settle()
      })
    })
  }

  /** Marks this incarnation as ended and reports its runs as lost. No later incarnation can receive their starts. */
  declareDead (): void {
    if (this.isDead) return
    this.markDead()
    this.reportCrash()
    this.reportLost('worker-restarted', () => true)
  }

  /**
   * Marks this incarnation as ended because the worker has restarted under its id. The next incarnation may have executed
   * starts that were sent to this one, or may still do so: it has seen no fencing token, and the deadlines in them lie in
   * the future of its clock, which begins anew. These runs are kept until it is adopted or their leases have expired.
   */
  declareRestarted (): void {
    if (this.isDead) return
    const { clock, log, maxTaskLeaseMs } = this.options
    this.markDead()
    this.hasRestarted = true
    this.unreachableSince ??= clock.now()
    this.expectStrayLease(clock.now() + latestStrayExpiryMs(maxTaskLeaseMs))
    this.reportCrash()
    this.reportLost('worker-restarted', run => !run.mayOutliveIncarnation(clock.now()))
    if (this.runs.size > 0) log.info('Starts are kept until the next incarnation of the worker is adopted.', { worker: this.id, runs: [...this.runs.keys()] })
  }

  /** Closes a link without runs to a worker that has left. */
  declareGone (): void {
    if (!this.isDead) this.markDead()
    this.reportLost('worker-restarted', () => true)
  }

  /** Reports that this incarnation has ended under the runs that it may have had, unless it has announced that it leaves. */
  reportCrash (): void {
    const { events } = this.options
    const runs = [...this.trackedRuns(), ...this.unsettledRuns]
    this.unsettledRuns = []
    if (!this.mayHaveLeft()) events.workerCrashed(this.entry, runs)
    else if (runs.length > 0) events.runsSettled(runs)
  }

  private trackedRuns (): readonly UnsettledRun[] {
    return [...this.runs.values()].filter(({ isSent }) => isSent).map(({ id, task, number, startedAt }) => ({ id, task, number, startedAt, lastSeenAt: Math.max(startedAt, this.lastReportAt) }))
  }

  /** Whether this incarnation has announced that it leaves, and may have done so by now. */
  private mayHaveLeft (): boolean {
    return this.hasAnnouncedLeave && (this.leavesInMs() ?? 0) <= LEAVE_MARGIN_MS
  }

  /** Takes note that stray calls may have given this incarnation, or the next one, a lease up to this monotonic time. */
  expectStrayLease (expiresAt: number): void {
    this.strayLeaseExpiresAt = Math.max(this.strayLeaseExpiresAt ?? -Infinity, expiresAt)
  }

  /** Takes note that there is no former incarnation whose calls may still come, or that they are known to have given no lease. */
  expectNoStrayLease (): void {
    this.strayLeaseExpiresAt ??= -Infinity
  }

  /** Adds runs of earlier leaders, which this incarnation may have. */
  addUnsettledRuns (runs: readonly UnsettledRun[]): void {
    this.unsettledRuns = [...this.unsettledRuns, ...runs]
  }

  /** Whether there are runs under which this incarnation may have crashed, beside those that are tracked. */
  hasUnsettledRuns (): boolean {
    return this.unsettledRuns.length > 0
  }

  /**
   * Reports the runs as lost if the worker is unreachable and their leases have expired. If its answers come late, reports
   * from before then are waited for: they may list an end under the lease, which counts as acknowledged soon after.
   */
  reportExpired (): void {
    const leasesExpireAt = this.latestLeaseExpiry()
    if (this.isAdopted || this.runs.size === 0 || this.options.clock.now() <= leasesExpireAt) return
    if (!this.isDead && this.isSlow() && [...this.pendingHeartbeats].some(({ sentAt }) => sentAt <= leasesExpireAt)) return
    if (!this.isDead) this.addUnsettledRuns(this.trackedRuns())
    this.reportLost('lease-lapsed', () => true)
  }

  /** Reserves capacity for a run and tells the worker to start it. `isNarrow`: as which start it counts in the leader's window. */
  start (task: Task, number: number, payload: string, ticket: string, isNarrow = true): Run {
    const { clock, leaderStartWindow } = this.options
    const run = TaskRun.create({ id: task.id(), number, worker: this, task, fencingToken: this.token, startedAt: clock.now() })
    task.addRun(run)
    task.lastRunNumber = Math.max(task.lastRunNumber, number)
    this.tracked.add(run)
    this.startWindow.begin()
    leaderStartWindow.begin(isNarrow)
    this.inBackground('start', this.sendStart(run, payload, ticket, this.options.events.startPlanned(this, run)).finally(() => this.endStart(run, isNarrow)))
    return run
  }

  /** Adds a run that the worker lists and that an earlier leader started; the task is undefined when the run must be stopped. */
  addListedRun (listed: RunningTask, task: Task | undefined): Run {
    const run = TaskRun.create({
      id: listed.task, number: listed.run, worker: this, task, fencingToken: this.token, startedAt: this.options.clock.now()
    })
    run.state = 'running'
    run.isSent = true
    run.isListed = true
    run.earlierStartsUntil = this.options.earlierCallsUntil
    run.percent = listed.percent
    run.startPercent = listed.percent
    run.checkpoint = listed.checkpoint
    run.confirmedAtMs = -1
    if (task !== undefined) {
      task.addRun(run)
      task.lastRunNumber = Math.max(task.lastRunNumber, listed.run)
    }
    this.tracked.add(run)
    return run
  }

  /** Stops a run and repeats the command until the run is gone. */
  stop (run: Run): void {
    if (run.state === 'stopping') return
    run.state = 'stopping'
    if (!run.isSent) {
      this.removeRun(run)
      this.options.events.runLost(this, run, 'not-started')
      return
    }
    this.inBackground('stop', this.sendStop(run))
  }

  private endStart (run: Run, isNarrow: boolean) {
    const wasFull = this.startWindow.isFull()
    const isConfirmed = run.isSent && run.confirmedAtMs !== undefined && run.state === 'running'
    const tookMs = isConfirmed ? this.options.clock.now() - run.startedAt : undefined
    this.startWindow.end(tookMs)
    const mayResume = this.options.leaderStartWindow.end(isNarrow, tookMs)
    if (wasFull || mayResume) this.options.events.workerChanged(this)
  }

  private async sendStart (run: Run, payload: string, ticket: string, mayBeSent: Promise<void>) {
    const { clock, log, events } = this.options
    const isRecorded = await mayBeSent.then(() => true, (err: unknown) => {
      log.error('A start could not be recorded.', { task: formatTaskId(run.id), run: run.number, worker: this.id, err })
      return false
    })
    if (!this.tracked.has(run)) return
    const hops = run.task?.step.job.hops
    hops?.note('recorded', clock.date().getTime())
    // The worker, the lease and the configuration may have changed meanwhile.
    if (!isRecorded || run.state !== 'starting' || run.fencingToken !== this.token || !this.isAdopted || this.entry.state !== 'ready' || !events.mayStart(this, run)) {
      this.removeRun(run)
      events.startRefused(this, run, 'withdrawn')
      return
    }
    run.markSent(clock.now())
    hops?.note('sent', clock.date().getTime())
    const leaseUntilMs = this.nextLeaseUntilMs()
    const res = await this.startHedge.call(() => this.startOnce(run, {
      task: run.id, run: run.number, payload, fencingToken: run.fencingToken, leaseUntilMs, checkpoint: run.checkpoint, ticket
    }))
    if (!this.tracked.has(run)) return
    if (res.ok) {
      run.confirmedAtMs = res.val
      run.markRunning(clock.now())
      hops?.note('confirmed', clock.date().getTime())
      return
    }
    if (res.val.verdict !== 'not-run') {
      log.warn('Run start was not answered.', { task: formatTaskId(run.id), run: run.number, worker: this.id, token: run.fencingToken, reason: res.val.reason })
      if (run.fencingToken === this.token) this.readopt()
      return
    }
    const reason = refusalReasonOf(res.val)
    log.info('Start refused.', { task: formatTaskId(run.id), run: run.number, worker: this.id, token: run.fencingToken, reason })
    this.removeRun(run)
    if ((reason === 'unreachable' && run.fencingToken === this.token) || reason === 'other-life') this.readopt()
    events.startRefused(this, run, reason)
  }

  /** Resolves with the worker's clock. A refusal is a failure, so that an earlier unanswered send keeps the outcome uncertain. */
  private async startOnce (run: Run, cmd: StartCommand): Promise<Result<number, Failure>> {
    // Checked after the end of the lease was computed: a leader that was suspended before then may have been replaced.
    if (this.isDead || !this.tracked.has(run) || !this.options.mayIssueCommands()) return Err(Failure.notRun('start-withdrawn', 'The start is not needed any more.'))
    run.beginStart()
    const res = await this.client.start(cmd, WORKER_TIMEOUT_MS)
    run.endStart(res.ok || res.val.verdict === 'not-run')
    if (res.err) return res
    if (res.val.accepted) run.markAnswered(this.options.clock.now())
    return res.val.accepted ? Ok(res.val.clockMs) : Err(Failure.notRun(`${REFUSAL_CODE_PREFIX}${res.val.reason}`, 'The worker refused the start.'))
  }

  private async sendStop (run: Run) {
    const { clock, mayIssueCommands, log } = this.options
    while (this.tracked.has(run) && !this.isDead && !this.isClosed) {
      if (mayIssueCommands()) {
        const res = await this.client.stop({ task: run.id, run: run.number, fencingToken: this.token }, WORKER_TIMEOUT_MS)
        if (res.err) log.debug('Call to stop a run failed.', { task: formatTaskId(run.id), run: run.number, worker: this.id, verdict: res.val.verdict, reason: res.val.reason })
      }
      await clock.sleep(STOP_RETRY_MS)
    }
  }

  /** Raises the fencing token, so that the worker rejects unanswered commands, and sends a heartbeat at once. */
  private readopt () {
    if (this.isDead) return
    this.token++
    this.isAdopted = false
    this.unreachableSince = this.options.clock.now()
    this.options.events.workerChanged(this)
    if (this.options.mayIssueCommands()) this.inBackground('heartbeat', this.heartbeat(0))
  }

  private inBackground (operation: string, outcome: Promise<unknown>) {
    outcome.catch((err: unknown) => this.options.log.error('Call to a worker failed unexpectedly.', { worker: this.id, operation, err }))
  }

  /** Returns undefined when the worker doesn't answer or refuses the heartbeat. */
  private async heartbeat (waitMs: number): Promise<HeartbeatResult | undefined> {
    const { clock, log, events } = this.options
    const token = this.token
    // The lease of an unreachable worker isn't extended, so that it expires at a known time.
    const nextUntilMs = this.isAdopted && this.options.mayExtendLeases() ? this.nextLeaseUntilMs() : undefined
    const leaseUntilMs = this.options.mayIssueCommands() ? nextUntilMs : undefined
    // An unreachable worker may have restarted, and its next incarnation numbers its finished runs anew.
    const acknowledged = this.isAdopted ? this.acknowledgedSequence : 0
    const sentAt = clock.now()
    const res = await this.sendHeartbeat({ fencingToken: token, acknowledged, waitMs, ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }) })
    if (!await this.options.jobsLoaded || this.isDead) return undefined
    if (res.ok && res.val.accepted) return { finishedRunsStored: this.applyReport(res.val.report, { token, sentAt }) }
    const reason = res.err ? res.val.reason : res.val.accepted ? '' : res.val.reason
    if (res.ok && !res.val.accepted && res.val.reason === 'other-life') this.declareDead()
    if (this.isAdopted) {
      log.warn('Worker lost.', { worker: this.id, address: this.entry.address, token, reason, runs: this.runs.size, lapsesInMs: Math.round(this.latestLeaseExpiry() - clock.now()) })
      this.isAdopted = false
      this.unreachableSince = clock.now()
      events.workerChanged(this)
    }
    this.reportExpired()
    return undefined
  }

  /**
   * Sends an overdue heartbeat again, over another connection. A heartbeat that arrives late is harmless: leases are never
   * shortened. Resolves with the first answer, or with a failure once it is overdue by `WORKER_TIMEOUT_MS`. Later answers
   * are applied when they come.
   */
  private sendHeartbeat (cmd: HeartbeatCommand): Promise<Result<HeartbeatOutcome, Failure>> {
    const { clock } = this.options
    const pending: PendingHeartbeat = { sentAt: clock.now(), isOverdue: false }
    this.pendingHeartbeats.add(pending)
    return new Promise(resolve => {
      const cancels: CancelTimer[] = []
      let pendingSends = 0
      let isSettled = false
      const settle = (res: Result<HeartbeatOutcome, Failure>) => {
        isSettled = true
        for (const cancel of cancels) cancel()
        resolve(res)
      }
      const send = async (sent: HeartbeatCommand) => {
        pendingSends++
        const sentAt = clock.now()
        const res = await this.client.heartbeat(sent, sent.waitMs + WORKER_TIMEOUT_MS + LATE_ANSWER_MS)
        pendingSends--
        if (pendingSends === 0) this.pendingHeartbeats.delete(pending)
        if (isSettled) await this.applyLateAnswer(res, cmd.fencingToken, sentAt)
        else if (res.ok || pendingSends === 0) settle(res)
      }
      cancels.push(
        clock.after(cmd.waitMs + HEARTBEAT_OVERDUE_MS, () => {
          if (this.isDead || !this.options.mayIssueCommands() || (this.isSlow() && this.overdueHeartbeats() > 0)) return
          // The worker may have restarted, and its next incarnation numbers its finished runs anew.
          this.inBackground('heartbeat', send({ ...cmd, waitMs: 0, acknowledged: 0 }))
        }),
        clock.after(cmd.waitMs + WORKER_TIMEOUT_MS, () => {
          pending.isOverdue = true
          settle(Err(Failure.mayHaveRun('worker-answer-overdue', `No answer of the worker within ${WORKER_TIMEOUT_MS} ms.`)))
        })
      )
      this.inBackground('heartbeat', send(cmd))
    })
  }

  private isSlow (): boolean {
    return this.options.clock.now() - this.lateAnswerAt <= SLOW_MS
  }

  private overdueHeartbeats (): number {
    return [...this.pendingHeartbeats].filter(({ isOverdue }) => isOverdue).length
  }

  private async applyLateAnswer (res: Result<HeartbeatOutcome, Failure>, token: number, sentAt: number): Promise<void> {
    const { clock, jobsLoaded, log } = this.options
    if (res.err) return
    if (clock.now() - sentAt > WORKER_TIMEOUT_MS) this.lateAnswerAt = clock.now()
    if (!res.val.accepted || !await jobsLoaded || this.isDead || this.isClosed) return
    log.debug('Heartbeat was answered late.', { worker: this.id, token, afterMs: Math.round(clock.now() - sentAt), ended: res.val.report.ended.length })
    await this.applyReport(res.val.report, { token, sentAt }, clock.now() - sentAt <= MAX_ADOPTION_ANSWER_MS)
  }

  private applyReport (report: WorkerReport, heartbeat: SentHeartbeat, mayAdopt = true): Promise<unknown> {
    const { clock, log, events } = this.options
    const { token } = heartbeat
    if (report.born !== this.entry.born) {
      log.info('Worker has restarted.', { worker: this.id, born: report.born, knownBorn: this.entry.born, runs: this.runs.size })
      this.declareRestarted()
      events.workerChanged(this)
      return Promise.resolve()
    }
    // Answers on different connections can arrive out of order.
    const isNewest = report.clockMs >= this.workerClockMs
    if (isNewest) {
      if (clock.now() - this.lastReportAt > MAX_REPORT_GAP_MS) for (const run of this.runs.values()) run.progressAt = clock.now()
      this.workerClockMs = report.clockMs
      this.lastReportAt = clock.now()
    }
    this.clearTakenOverRuns(report)
    const stored = this.applyFinishedRuns(report, heartbeat)
    if (isNewest) this.applyRunning(report, heartbeat)
    if (!this.isAdopted && mayAdopt && token === this.token) {
      this.isAdopted = true
      if (!this.hasReported) this.limitStrayLease()
      this.hasReported = true
      this.settleRuns()
      this.unreachableSince = undefined
      log.info('Worker adopted.', { worker: this.id, born: this.entry.born, address: this.entry.address, token, running: report.running.length, ended: report.ended.length, leaseEndedMsAgo: Math.round(report.clockMs - this.lastLeaseUntilMs), lapsesInMs: Math.round(this.latestLeaseExpiry() - clock.now()) })
    }
    events.workerChanged(this)
    return stored
  }

  /** The clock of an incarnation begins anew with it and is never fast, so that it has begun by the receipt of a report less the reading in it. */
  private clearTakenOverRuns ({ clockMs }: WorkerReport) {
    const begunBy = this.options.clock.now() - clockMs
    for (const run of this.takenOverRuns) if (run.sentAt >= begunBy && this.tracked.has(run)) this.options.events.crashWithdrawn(this, run)
    this.takenOverRuns = []
  }

  /** The token fences stray calls from the adoption on; before it, a call to a former incarnation may have come. */
  private limitStrayLease () {
    const { clock, maxTaskLeaseMs } = this.options
    this.strayLeaseExpiresAt = Math.min(this.latestStrayLeaseExpiry(), clock.now() + latestExpiryMs(maxTaskLeaseMs))
  }

  /** Reports the runs that were given up or are of earlier leaders: the worker was cut off, or not adopted yet, and has not crashed. */
  private settleRuns () {
    const runs = this.unsettledRuns.filter(({ id, number }) => !this.runs.has(runKeyOf(id, number)))
    this.unsettledRuns = []
    if (runs.length > 0) this.options.events.runsSettled(runs)
  }

  private applyFinishedRuns (report: WorkerReport, heartbeat: SentHeartbeat): Promise<unknown> {
    const { events } = this.options
    const finishedRuns = this.certainEnds(report, heartbeat)
    if (finishedRuns.length === 0) return Promise.resolve()
    const stored = finishedRuns.map(finishedRun => {
      const pendingWrite = this.pendingWrites.get(finishedRun.sequence)
      if (pendingWrite !== undefined) return pendingWrite.stored
      const run = this.runs.get(runKeyOf(finishedRun.task, finishedRun.run))
      if (run !== undefined) this.removeRun(run)
      const write = events.runFinished(this, finishedRun, run)
      const pending: PendingWrite = { jobId: finishedRun.task.jobId, stored: write.then(() => this.acknowledgeStored(pending)), isStored: false }
      this.pendingWrites.set(finishedRun.sequence, pending)
      return pending.stored
    })
    return Promise.all(stored)
  }

  /**
   * Ends that aren't acknowledged, before the first one after which a task would start again although the next incarnation
   * may have the run; the worker lists the others again.
   */
  private certainEnds (report: WorkerReport, { sentAt }: SentHeartbeat): readonly FinishedRun[] {
    const ends = report.ended.filter(({ sequence }) => sequence > this.acknowledgedSequence)
    const uncertain = ends.findIndex(({ task, run, status }) => status !== 'done' && this.runs.get(runKeyOf(task, run))?.mayBeOnNextIncarnation(sentAt) === true)
    return uncertain === -1 ? ends : ends.slice(0, uncertain)
  }

  /** Acknowledges the stored ends before the first one that is not stored; a worker forgets ends in order. */
  private acknowledgeStored (pending: PendingWrite) {
    pending.isStored = true
    for (const [sequence, { isStored }] of this.pendingWrites) {
      if (!isStored) return
      this.pendingWrites.delete(sequence)
      this.acknowledgedSequence = Math.max(this.acknowledgedSequence, sequence)
    }
  }

  private applyRunning (report: WorkerReport, { token, sentAt }: SentHeartbeat) {
    const { clock, events } = this.options
    // Ends that are not certain yet are applied later; their runs are not lost.
    const listedKeys = new Set(report.ended.map(({ task, run }) => runKeyOf(task, run)))
    for (const listedRun of report.running) {
      const key = runKeyOf(listedRun.task, listedRun.run)
      listedKeys.add(key)
      const run = this.runs.get(key) ?? this.adoptOrStop(listedRun)
      if (listedRun.checkpoint !== '') run.checkpoint = listedRun.checkpoint
      if (listedRun.percent > run.percent) {
        run.percent = listedRun.percent
        run.progressAt = clock.now()
      }
      run.markRunning(clock.now())
      run.isListed = sentAt >= run.answeredAt
      run.confirmedAtMs ??= report.clockMs
    }
    if (report.ended.length >= MAX_FINISHED_RUNS_LISTED) return
    for (const [key, run] of [...this.runs]) {
      if (listedKeys.has(key)) continue
      // A heartbeat that was sent before may have been answered by the incarnation before the one that confirmed the run.
      const wasConfirmed = run.confirmedAtMs !== undefined && report.clockMs > run.confirmedAtMs && sentAt >= run.answeredAt
      const cannotStart = run.confirmedAtMs === undefined && run.fencingToken < token
      if (!wasConfirmed && !cannotStart) continue
      this.removeRun(run)
      events.runLost(this, run, wasConfirmed ? 'not-listed' : 'not-started')
    }
  }

  private adoptOrStop (listedRun: RunningTask): Run {
    const run = this.options.events.adoptRun(this, listedRun)
    if (run !== undefined) return run
    const { log } = this.options
    log.info('Run is unknown or no longer needed; stopping it.', { task: formatTaskId(listedRun.task), run: listedRun.run, worker: this.id })
    const unknownRun = this.addListedRun(listedRun, undefined)
    this.stop(unknownRun)
    return unknownRun
  }

  /**
   * Computes the end of the next lease on the worker's clock, and records the latest time at which it expires here.
   * The worker's clock is assumed to run at its slowest rate, so that the lease is never longer than intended.
   */
  private nextLeaseUntilMs (): number {
    const { clock, taskLeaseMs } = this.options
    const elapsedMs = Math.floor((clock.now() - this.lastReportAt) * MIN_WORKER_CLOCK_RATE)
    const leaseUntilMs = this.workerClockMs + elapsedMs + taskLeaseMs
    const latestExpiry = this.lastReportAt + (leaseUntilMs - this.workerClockMs) / MIN_WORKER_CLOCK_RATE + LEASE_EXPIRY_MARGIN_MS
    this.leasesExpireAt = Math.max(this.leasesExpireAt, latestExpiry)
    this.lastLeaseUntilMs = Math.max(this.lastLeaseUntilMs, leaseUntilMs)
    return leaseUntilMs
  }

  /** Continues the runs that the previous link has kept. The first report under this link's higher token shows which were started. */
  private takeOverRuns (previous: WorkerLink) {
    this.takenOverRuns = previous.tracked.takeAll()
    for (const run of this.takenOverRuns) {
      run.moveToIncarnation(this, this.options.clock.now())
      this.tracked.add(run)
      this.inBackground('record', this.options.events.startPlanned(this, run))
      if (run.state === 'stopping') this.inBackground('stop', this.sendStop(run))
    }
  }

  private markDead () {
    this.isDead = true
    this.isAdopted = false
  }

  private reportLost (reason: LossReason, isLost: (run: Run) => boolean) {
    for (const run of [...this.runs.values()].filter(isLost)) {
      this.removeRun(run)
      this.options.events.runLost(this, run, run.isSent ? reason : 'not-started')
    }
  }

  private removeRun (run: Run) {
    if (!this.tracked.remove(run)) return
    const { task } = run
    if (task === undefined) return
    task.step.saveCheckpoint(task, run.checkpoint)
    task.removeRun(run)
  }
}

/** Time until a lease has certainly expired on the worker, in milliseconds after it was sent. */
export function latestExpiryMs (leaseMs: number): number {
  return leaseMs / MIN_WORKER_CLOCK_RATE + LEASE_EXPIRY_MARGIN_MS
}

/** The same for a call that the next incarnation of its worker may carry out, which grants its longest lease from then on. */
export function latestStrayExpiryMs (maxLeaseMs: number): number {
  return MAX_CALL_DELAY_MS + latestExpiryMs(maxLeaseMs)
}

/** A client of which no call throws: what awaits its outcome would not go on. */
function withoutThrows (client: WorkerClient): WorkerClient {
  const outcomeOf = async <T>(call: () => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> => {
    try {
      return await call()
    } catch (err) {
      return Err(Failure.mayHaveRun('call-failed', `The call failed unexpectedly: ${String(err)}.`))
    }
  }
  return {
    heartbeat: (cmd, timeoutMs) => outcomeOf(() => client.heartbeat(cmd, timeoutMs)),
    start: (cmd, timeoutMs) => outcomeOf(() => client.start(cmd, timeoutMs)),
    stop: (cmd, timeoutMs) => outcomeOf(() => client.stop(cmd, timeoutMs)),
    close: () => client.close()
  }
}

function refusalReasonOf ({ code }: Failure): RefusalReason | 'unreachable' | 'queued' {
  if (code === NEVER_SENT_CODE) return 'queued'
  return code.startsWith(REFUSAL_CODE_PREFIX) ? code.slice(REFUSAL_CODE_PREFIX.length) as RefusalReason : 'unreachable'
}
