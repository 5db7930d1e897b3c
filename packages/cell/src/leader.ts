import { setMaxListeners } from 'node:events'
import type { Clock } from '@citronnotch/base/clock'
import type { Log, LogFactory } from '@citronnotch/base/logger'
import { supervise } from '@citronnotch/base/supervise'
import { AdviceCache } from './advice.js'
import type { AdviceAgent } from './advice.js'
import { AccountReport, CellAccounts } from './accounts/index.js'
import type { AccountStanding, AccountTerms } from './accounts/index.js'
import { CommitQueue } from './commitQueue.js'
import type { StageOptions } from './commitQueue.js'
import { CHANGES_POLL_INTERVAL_MS, LEADER_PARTITIONS, LEASE_TTL_MS, RUNS_PER_EPOCH, SCHEDULING_INTERVAL_MS, TABLES, TOKENS_PER_EPOCH, WORKER_RETRY_MS } from './constants.js'
import type { ConfigBasis } from './configWatch.js'
import { Dispatcher } from './dispatcher.js'
import { LeaderExplainer } from './explain/index.js'
import type { ExplainSubject, JobObstacle, Known, LeaderAnswer } from './explain/index.js'
import { EarlierJobs } from './earlierJobs.js'
import { earlierRunsOf } from './earlierRuns.js'
import type { StepAnswers } from './earlyAdvice.js'
import { runsToMove } from './evacuation.js'
import { Janitor } from './janitor.js'
import { JobLoader } from './jobLoader.js'
import type { LoadedRows } from './jobLoader.js'
import { leaderPartitionName, leaderPartitionOf } from './jobs.js'
import type { Job, ProgressRow, Run, Step, Task } from './jobs.js'
import { JobMemory, jobBytes } from './jobMemory.js'
import type { RoomReport } from './jobMemory.js'
import type { AdmittedJob } from './jobService.js'
import { objectiveMsOf } from './lateness.js'
import { JobTable } from './jobTable.js'
import { LoadReport } from './loadReport.js'
import { RECORD_LOSS } from './lossRecord.js'
import { OUTAGE_WINDOW_MS, Outages } from './outages.js'
import type { Outage } from './outages.js'
import type { LoopLag } from './loopLag.js'
import type { CellMetrics } from './metrics.js'
import { Maintenance } from './maintenance.js'
import type { VmMaintenance } from './maintenance.js'
import { PayloadLoader } from './payloads.js'
import { LateJobs, LoadShedding, MAX_FORECAST_AGE_MS } from './room/index.js'
import type { QueueForecast, WaitingOrder } from './room/index.js'
import { LeaderStartWindow } from './leaderStartWindow.js'
import { DEFAULT_START_WINDOWS } from './startWindow.js'
import type { StartWindowSettings } from './startWindow.js'
import { RoundPacer } from './roundPacer.js'
import type { Directory, RefusalReason, RowStore, WorkerClients } from './ports.js'
import { UnreadJobs } from './unreadJobs.js'
import { decodeProgress, decodeRange, parseRangeKey } from './storedProgress.js'
import { SuggestedWorkers } from './suggestedWorkers.js'
import { formatStepId, formatTaskId } from './types.js'
import type { FinishedRun, JobOutcome, JobQueue, JobState, Queue, RunningTask, WorkerEntry } from './types.js'
import type { WorkerObstacle } from './workerObstacles.js'
import type { LossReason, UnsettledRun, WorkerEvents, WorkerLink } from './workerLink.js'
import { WorkerPool } from './workerPool.js'

/** Delay before a step whose start was refused is tried again; prevents a tight loop of refusals. */
const STEP_BACKOFF_MS = 60
/** Time without new starts on a worker that reported a lack of capacity or bad health. */
const WORKER_BACKOFF_MS = 500
/** Interval at which more parked jobs are loaded, in milliseconds, and how many at a time. */
const PARKED_INTERVAL_MS = 100
const PARKED_BATCH = 20
/** Number of reads of changes in a row that fail beside a valid lease, after which there are too many of them for the link to this leader. */
const UNREADABLE_AFTER_READS = 3
/** Time for which a run has to work before a crash to clear its task of earlier ones, in milliseconds. */
const CLEARED_AFTER_MS = 30_000

export interface LeaderOptions {
  readonly epoch: number
  /** Version of the lease row that began this epoch; earlier leaders issue no commands after it, unless one may still be active. */
  readonly epochStartVersion: number
  /**
   * Whether the previous leader may still issue commands. If so, no job is scheduled before every worker is adopted, which
   * fences the previous leader, or all leases that it can have extended have expired.
   */
  readonly mayPredecessorBeActive: boolean
  /** Unique per daemon incarnation. */
  readonly holder: string
  readonly maintenance?: VmMaintenance
  readonly store: RowStore
  readonly directory: Directory
  readonly clients: WorkerClients
  readonly agents: () => readonly AdviceAgent[]
  readonly queue: (name: string) => Queue | undefined
  readonly accountTerms: AccountTerms
  /** Fraction by which an account may exceed its limit before that counts as a breach; undefined if limits are not enforced. */
  readonly accountOverage: number | undefined
  /** Number of jobs that an account is owed at once, beyond those of one second by its weight. */
  readonly accountBurstJobs: number
  /** Whether tasks may be started by the configuration in force, which says at which service. */
  readonly isConfigConfirmed: () => boolean
  /** Whether a version by which a job was admitted, or a later one, is in force here. */
  readonly hasConfig: (version: number) => boolean
  /** What a start relies on now, for the logs. */
  readonly configBasis: () => ConfigBasis
  readonly mayIssueCommands: () => boolean
  readonly onDeposed: () => void
  /** Called when the store has refused a transaction of this leader without executing it. */
  readonly onRefused: () => void
  readonly taskLeaseMs: number
  /** Longest lease that a worker grants, in milliseconds. */
  readonly maxTaskLeaseMs: number
  /** Time for which the outcome of an ended job must remain available to callers, in milliseconds. */
  readonly statusRetentionMs: number
  /** Time after which no task may start on a worker that is registered as draining, in milliseconds. */
  readonly drainMs: number
  /** Memory for the state of jobs, in MiB. */
  readonly jobMemoryMb: number
  /** @default DEFAULT_START_WINDOWS */
  readonly startWindows?: StartWindowSettings | undefined
  /** Lag of the event loop of this process; while it is high, work that can wait is put off. */
  readonly loopLag: Pick<LoopLag, 'isHigh' | 'isVeryHigh' | 'meanMs'>
  /** Whether what waits is ordered by value; see `CellFeatures`. */
  readonly shedsLoad: boolean
  /** Order that benchmarks compare with. */
  readonly order?: WaitingOrder
  readonly clock: Clock
  readonly logs: LogFactory
  readonly metrics: CellMetrics
}

/** A crash that counts against the task of a run, unless it proves to be of an outage. */
interface CrashCharge {
  readonly task: Task
  readonly run: number
  readonly workerId: string
  /** Unix time of the run's start in milliseconds; undefined if that isn't known. */
  readonly startedAtMs: number | undefined
  /** Whether outages had ended as many of the task's runs before as may count for nothing. */
  readonly hadSpentExcuses: boolean
}

/** One epoch of leadership: tracks all live jobs, extends the leases of all workers, and decides what runs where. */
export class Leader implements WorkerEvents {
  private readonly jobs: JobTable
  private readonly memory: JobMemory
  private readonly accounts: CellAccounts
  private readonly workers: WorkerPool
  private readonly outages: Outages<CrashCharge>
  private readonly earlierJobs: EarlierJobs
  /** Indexed by leader partition. */
  private readonly commitQueues: readonly CommitQueue[]
  private readonly advice: AdviceCache
  private readonly dispatcher: Dispatcher
  private readonly log: Log
  private readonly stopping = new AbortController()
  private readonly janitor: Janitor
  private readonly maintenance: Maintenance | undefined
  private readonly suggestedWorkers: SuggestedWorkers
  private readonly loader: JobLoader
  private readonly payloads: PayloadLoader
  private readonly loadReport: LoadReport
  private readonly accountReport: AccountReport
  private readonly explainer: LeaderExplainer
  private readonly pacer = RoundPacer.create()
  private readonly shedding: LoadShedding | undefined
  private readonly lateJobs: LateJobs | undefined
  private changesVersion = 0
  /** Versions of the epoch rows, indexed by leader partition. */
  private epochVersions: readonly number[] = []
  private isLoaded = false
  private finishLoading: (isLoaded: boolean) => void = () => {}
  /** Resolve once a read of the job changes that began after them has succeeded. */
  private changeWaiters: Array<() => void> = []
  private readChangesNow: (() => void) | undefined
  /** Jobs of which workers have listed runs, or ends of runs, before this leader read them; they aren't started meanwhile. */
  private readonly unreadJobs = UnreadJobs.create()
  /** Notifications received while the state was being loaded. */
  private readonly deferredNotifications: Array<() => void> = []
  private isRoundScheduled = false

  private constructor (private readonly options: LeaderOptions) {
    const { clock, logs, store, epoch, mayIssueCommands, onDeposed } = options
    // Every loop adds listeners to this signal; together they exceed the default limit.
    setMaxListeners(0, this.stopping.signal)
    this.log = logs.for('leader')
    this.commitQueues = Array.from({ length: LEADER_PARTITIONS }, (_, index) => CommitQueue.create({
      store, partition: leaderPartitionName(index), epochVersion: () => this.epochVersion(index), mayIssueCommands, onDeposed, onEarlierProgress: (row, value) => this.takeOverProgress(row, value), onRejected: job => this.abandon(job), onRefused: options.onRefused, clock, log: logs.for('commits')
    }))
    this.advice = AdviceCache.create({ agents: options.agents, onAnswer: () => this.scheduleRound(), clock, log: logs.for('advice') })
    this.janitor = Janitor.create({
      store, retentionMs: options.statusRetentionMs, epochVersion: index => this.epochVersion(index), mayIssueCommands, clock, log: this.log
    })
    this.loader = JobLoader.create(store, clock, this.log)
    this.payloads = PayloadLoader.create({ store, onLoaded: () => this.scheduleRound(), signal: this.stopping.signal, clock, log: this.log })
    this.memory = JobMemory.create(options.jobMemoryMb, clock)
    this.accounts = CellAccounts.create({ terms: options.accountTerms, overage: options.accountOverage, burstJobs: options.accountBurstJobs, workers: () => this.workers.all(), recordOf: jobId => (this.jobs.get(jobId) ?? this.earlierJobs.endedJob(jobId))?.record })
    this.jobs = JobTable.create({ janitor: this.janitor, memory: this.memory, onAdded: job => this.accounts.jobAdded(job), onEnded: job => this.earlierJobs.jobEnded(job), mayHaveUnknownRuns: job => this.earlierJobs.isHeldBack(job), statusRetentionMs: options.statusRetentionMs, clock, log: this.log })
    const jobsLoaded = new Promise<boolean>(resolve => { this.finishLoading = resolve })
    const startWindows = options.startWindows ?? DEFAULT_START_WINDOWS
    const leaderStartWindow = LeaderStartWindow.create(startWindows.leader)
    this.workers = WorkerPool.create({
      ...options, startWindow: startWindows.worker, leaderStartWindow, jobsLoaded, predecessorActiveMs: options.mayPredecessorBeActive ? LEASE_TTL_MS : 0, epochVersion: () => this.epochVersion(0), events: this, usage: this.accounts.usage, onChange: () => this.scheduleRound(), log: this.log
    })
    this.outages = Outages.create<CrashCharge>({ workers: () => this.workers.inService(), clock })
    this.earlierJobs = EarlierJobs.create({ ...options, jobs: this.jobs, workers: this.workers, onEnabled: () => this.scheduleRound(), log: this.log })
    this.maintenance = options.maintenance === undefined
      ? undefined
      : Maintenance.create({
        ...options.maintenance,
        directory: options.directory,
        holder: options.holder,
        fencingToken: epoch * TOKENS_PER_EPOCH,
        worker: id => this.workers.get(id),
        mayIssueCommands,
        onChange: () => this.scheduleRound(),
        clock,
        log: logs.for('maintenance')
      })
    this.suggestedWorkers = SuggestedWorkers.create({ workers: () => this.workers.all(), isUsable: (worker, now) => this.useObstacle(worker, now) === undefined })
    this.shedding = options.shedsLoad ? LoadShedding.create({ jobs: () => this.jobs.live(), queue: job => this.queueOf(job), isExcess: (job, unixMs) => this.accounts.isExcess(job, unixMs), canStart: job => this.canStart(job), workers: () => this.workers.all(), agents: () => options.agents().length, isProcessorFull: () => options.loopLag.isHigh(), clock, metrics: options.metrics }) : undefined
    this.lateJobs = options.shedsLoad ? undefined : LateJobs.create({ jobs: () => this.jobs.live(), queue: job => this.queueOf(job), canStart: job => this.canStart(job), workers: () => this.workers.all(), agents: () => options.agents().length, isProcessorFull: () => options.loopLag.isHigh(), clock })
    this.dispatcher = Dispatcher.create({
      epoch,
      accounts: this.accounts,
      workers: () => this.workers.all(),
      worker: id => this.workers.get(id),
      queue: job => this.queueOf(job),
      advice: this.advice,
      startWindow: leaderStartWindow,
      order: options.order ?? this.shedding?.order ?? this.lateJobs?.order,
      useObstacle: (worker, now) => this.useObstacle(worker, now),
      ...this.workers.ratings(job => this.queueOf(job)),
      requestPayload: job => this.payloads.request(job),
      isProcessorFull: () => options.loopLag.isHigh(),
      isProcessorOverloaded: () => options.loopLag.isVeryHigh(),
      clock,
      onExhausted: task => this.giveUp(task),
      onStart: (step, runs) => this.recordStarted(step, runs)
    })
    this.accountReport = AccountReport.create({ accounts: this.accounts, terms: options.accountTerms, jobs: () => this.jobs.live(), clock, log: this.log, metrics: options.metrics })
    this.explainer = LeaderExplainer.create({
      liveJobs: () => [...this.jobs.live()].filter(job => !this.areRunsUnknown(job)),
      job: id => this.jobs.get(id),
      stateOf: id => this.jobs.stateOf(id),
      queue: job => this.queueOf(job),
      obstacles: job => this.startObstacles(job),
      forecast: queue => this.forecastOf(queue),
      dispatcher: this.dispatcher,
      accounts: this.accounts,
      terms: options.accountTerms,
      clock
    })
    this.loadReport = LoadReport.create({
      waitingSummary: () => this.dispatcher.waitingSummary(this.dispatchable()),
      heldBackJobs: () => this.jobs.size() - [...this.dispatchable()].length,
      adviceLoad: () => this.advice.load(),
      commitsWaiting: () => this.commitsWaiting(),
      loopLagMs: () => options.loopLag.meanMs(),
      clock,
      log: this.log
    })
  }

  static create (options: LeaderOptions): Leader {
    return new Leader(options)
  }

  stop (): void {
    this.stopping.abort()
    this.accountReport.stop()
  }

  async run (): Promise<void> {
    const { signal } = this.stopping
    // Workers are connected and fenced while the jobs are loaded.
    await Promise.all([this.supervise('workers', () => this.workers.run(signal)), this.loadAndSchedule(signal)])
  }

  private async loadAndSchedule (signal: AbortSignal) {
    await this.supervise('load', () => this.load(signal))
    this.finishLoading(!signal.aborted)
    if (signal.aborted) return
    await Promise.all([
      ...this.commitQueues.map(commitQueue => this.supervise('commits', () => commitQueue.run(signal))),
      this.supervise('changes', () => this.watchChanges(signal)),
      this.supervise('clean-up', () => this.janitor.cleanUp(signal)),
      this.supervise('expiry', () => this.janitor.removeExpired(signal)),
      this.supervise('earlier jobs', () => this.earlierJobs.enable(signal)),
      this.supervise('maintenance', async () => this.maintenance?.run(signal)),
      this.supervise('parked jobs', () => this.loadParkedJobs(signal)),
      this.supervise('tick', () => this.tick(signal))
    ])
  }

  private supervise (part: string, run: () => Promise<void>): Promise<void> {
    const { clock, metrics } = this.options
    return supervise(run, { part, signal: this.stopping.signal, clock, log: this.log, onFailure: () => metrics.count('loops_failed') })
  }

  // Queries

  /** State of a job; undefined when this leader has no record of it. */
  stateOf (jobId: string): JobState | undefined {
    return this.jobs.stateOf(jobId)
  }

  /** Client account of a job that this leader has a record of, if it has one. */
  accountOf (jobId: string): string | undefined {
    return this.jobs.accountOf(jobId)
  }

  /** Number of admitted jobs of a queue of which no task has started; undefined until the state is loaded. */
  pendingOf (queue: string): number | undefined {
    return this.isLoaded ? this.jobs.pendingOf(queue) : undefined
  }

  /** What this leader can still take from a queue; undefined until the state is loaded. */
  roomFor (queue: string): RoomReport | undefined {
    return this.isLoaded ? { ...this.memory.report(queue), ...this.shedding?.report(queue) } : undefined
  }

  /** How the accounts of the cell stand; undefined until the state is loaded. */
  accountStandings (): readonly AccountStanding[] | undefined {
    return this.isLoaded ? this.accountReport.standings() : undefined
  }

  /** Where a job could start now, and why not elsewhere. */
  explain (subject: ExplainSubject): LeaderAnswer {
    return this.isLoaded ? this.explainer.explain(subject) : { unknown: 'The leader is still loading its state.' }
  }

  private forecastOf (queue: string): Known<QueueForecast> {
    if (this.shedding === undefined) return { unknown: 'The cell makes no forecasts, as it does not shed load.' }
    const { forecast } = this.shedding.report(queue)
    const ageMs = this.shedding.forecastAgeMs()
    return forecast ?? { unknown: ageMs > MAX_FORECAST_AGE_MS && ageMs < Infinity ? `The forecast of the leader is ${Math.round(ageMs)} ms old.` : 'The leader has no forecast for the queue yet.' }
  }

  // Commands

  /** Returns workers of the job's service that may have room for the next job. */
  admitted (job: AdmittedJob): readonly string[] {
    const { jobId, record, payload, version, answers = [], sentByMs = Infinity } = job
    const receivedAt = this.options.clock.now()
    const transitMs = Math.max(0, (this.options.store.clockMs()?.earliest ?? -Infinity) - sentByMs)
    const admit = () => {
      // The row that admitted the job was read before, so that an unknown job has ended.
      if (version <= this.changesVersion && !this.jobs.isTracked(jobId)) {
        this.log.info('Late notice of an admission ignored.', { job: jobId, version, readUntil: this.changesVersion })
        return
      }
      this.jobs.admit(jobId, record, payload, version)
      this.jobs.get(jobId)?.hops?.note('known', this.unixMs())
      for (const answer of answers) this.addAnswers(jobId, answer, receivedAt - transitMs - answer.ageMs)
      if (answers.length > 0) this.placeArrival(jobId)
      this.scheduleRound()
    }
    if (this.isLoaded) admit()
    else this.deferredNotifications.push(admit)
    return this.suggestedWorkers.of(record.service, receivedAt)
  }

  cancelled (jobId: string): void {
    if (!this.isLoaded) this.deferredNotifications.push(() => this.cancelled(jobId))
    if (this.jobs.parked.has(jobId)) this.loadParked(jobId).catch((err: unknown) => this.log.error('A cancelled job could not be loaded.', { job: jobId, err }))
    const job = this.jobs.get(jobId)
    if (job === undefined || job.isCancelled) return
    job.isCancelled = true
    this.log.info('Job cancelled.', { job: jobId, version: job.version })
    if (job.outcome === undefined) this.endJob(job, 'cancelled')
  }

  // Worker events

  async runFinished (link: WorkerLink, finishedRun: FinishedRun, knownRun: Run | undefined): Promise<void> {
    const { task: id, run, status } = finishedRun
    this.options.metrics.count(`runs_${status}`)
    this.scheduleRound()
    if (!this.jobs.isTracked(id.jobId)) {
      // An earlier leader may have admitted and run the job after this one read the jobs.
      this.unreadJobs.add(id, run, link.id)
      await this.changesRead()
      while (this.jobs.parked.has(id.jobId) && !this.stopping.signal.aborted) if (!await this.loadParked(id.jobId)) await this.options.clock.sleep(WORKER_RETRY_MS, this.stopping.signal)
    }
    this.unreadJobs.remove(id, run, link.id)
    await this.applyEnd(link, finishedRun, knownRun)
  }

  /** Resolves once what follows from the end is stored, or when the job isn't live. */
  private async applyEnd (link: WorkerLink, { task: id, run, status, checkpoint }: FinishedRun, knownRun: Run | undefined): Promise<void> {
    const job = this.jobs.get(id.jobId)
    const task = job?.listedTask(id)
    if (job === undefined || task === undefined) return
    job.hasStarted = true
    task.step.saveCheckpoint(task, checkpoint)
    if (status !== 'done') this.log.info('Run ended.', { task: formatTaskId(id), run, worker: link.id, end: status })
    // A finished run of an ended job may be acknowledged only once the outcome of the job is stored.
    if (job.outcome !== undefined) return job.isOutcomeStored ? undefined : this.stage(job)
    if (task.step.spec.longRunning) task.step.recordLatestRun(task, run)
    // A task that ends by itself has not crashed its worker; only a lasting one is started again after that.
    if (status === 'done' || status === 'failed') task.step.withdrawStart(task, run)
    else task.step.recordEnd(task, run)
    if (status === 'done' && task.step.spec.gang && !task.isDone) this.recordGangDone(task.step, run, knownRun?.startedAt)
    if (status === 'done') (this.shedding ?? this.lateJobs)?.recordDone(task.step, knownRun)
    if (status === 'done') this.taskDone(link, job, task.step, task, run)
    else if (status === 'failed') this.taskFailed(link, job, task.step, task, run)
    await this.stage(job.outcome === undefined ? job.rowOf(task) : job)
  }

  runLost (link: WorkerLink, run: Run, reason: LossReason): void {
    const now = this.options.clock.now()
    this.log.info('Run lost.', {
      task: formatTaskId(run.id),
      run: run.number,
      worker: link.id,
      born: link.entry.born,
      reason,
      startedMsAgo: Math.round(now - run.startedAt),
      wasListed: run.isListed,
      unansweredStarts: run.unansweredStarts,
      reportedMsAgo: Math.round(now - link.reportedAt()),
      leaseEndedMsAgo: Math.round(now - link.latestLeaseExpiry())
    })
    this.options.metrics.count('runs_lost')
    this.unreadJobs.remove(run.id, run.number, link.id)
    if (run.task !== undefined) {
      RECORD_LOSS[reason](run.task, run.number)
      this.stageChange(run.task)
    }
    this.stopGang(run)
    this.scheduleRound()
  }

  async startPlanned (link: WorkerLink, { task, number }: Run): Promise<void> {
    if (task === undefined) return
    const { id: workerId, born } = link.entry
    task.step.recordStart(task, { number, workerId, born, startedAtMs: this.options.clock.date().getTime() })
    const { job } = task.step
    const commitQueue = this.commitQueueOf(job)
    // Each start of a task with a crash counts against it, so a successor must know of the run before the worker can crash under it.
    const row = job.rowOf(task)
    if (task.crashes().isSuspect()) await commitQueue?.stage(row, { kind: 'awaited' })
    else if (!this.earlierJobs.isOwn(job) || this.commitQueues.some(queue => queue.isRefusedByStore())) await commitQueue?.stage(row, { kind: 'awaited', isBestEffort: true })
    else commitQueue?.enqueue(row, 'start')
  }

  mayStart (link: WorkerLink, { task }: Run): boolean {
    const isServiceCurrent = task !== undefined && this.queueOf(task.step.job)?.service === link.entry.service
    return isServiceCurrent && this.mayStartTasks() && this.useObstacle(link, this.options.clock.now()) === undefined
  }

  runsSettled (runs: readonly UnsettledRun[]): void {
    for (const { task, number } of runs) {
      if (task === undefined) continue
      task.step.recordEnd(task, number)
      this.stageChange(task)
    }
  }

  workerCrashed (worker: WorkerEntry, runs: readonly UnsettledRun[]): void {
    if (this.maintenance?.mayHaveMaintained(worker.id) === true) return
    const { metrics } = this.options
    const isAlone = new Set(runs.map(run => run.task?.step)).size === 1
    const charges = runs.flatMap(run => this.charge(worker, run, isAlone) ?? [])
    for (const outage of this.outages.record({ worker, charges })) this.excuse(outage, true)
    if (runs.length > 0) {
      const counted = charges.filter(({ task, run }) => task.crashes().isCharged(run)).length
      this.log.warn('Worker has crashed.', { worker: worker.id, born: worker.born, runs: runs.map(run => `${formatTaskId(run.id)}#${run.number}`), isAlone, counted, excused: charges.length - counted })
      metrics.count('workers_crashed')
    }
    const isDecided = !this.outages.mayHaveOutage(worker)
    for (const { task, run } of charges) {
      if (isDecided) task.settleRun(run)
      if (task.step.job.outcome !== undefined) continue
      if (isDecided && task.crashes().isGivenUp()) this.giveUp(task)
      else this.holdUntilStored(task)
    }
    if (!isDecided) this.decideLater(charges, worker)
  }

  /** Counts a crash against the task of a run that was on the worker; returns undefined if the task isn't to be started again anyway. */
  private charge ({ id }: WorkerEntry, { task, number, startedAt, lastSeenAt }: UnsettledRun, isAlone: boolean): CrashCharge | undefined {
    if (task === undefined || task.isDone || task.step.job.outcome !== undefined) return undefined
    const startedAtMs = startedAtMsOf(task, number)
    const crashes = task.crashes()
    const hadSpentExcuses = crashes.hasSpentExcuses()
    if (lastSeenAt - startedAt > CLEARED_AFTER_MS) crashes.clear()
    const isFirst = !crashes.hasRecord()
    task.step.recordCrash(task, number, isAlone, id)
    // An earlier leader may have died before it stored its latest start.
    if (isFirst && !this.earlierJobs.isOwn(task.step.job)) crashes.addStart((this.options.epoch - 1) * RUNS_PER_EPOCH)
    return { task, run: number, workerId: id, startedAtMs, hadSpentExcuses }
  }

  crashWithdrawn (link: WorkerLink, { id, task, number, sentAt }: Run): void {
    if (task === undefined) return
    task.step.withdrawCrash(task, number, link.id)
    this.log.info('Crash of a worker is not held against a run that was sent to its next incarnation.', { task: formatTaskId(id), run: number, worker: link.id, born: link.entry.born, sentMsAgo: Math.round(this.options.clock.now() - sentAt) })
    this.stageChange(task)
  }

  startRefused (link: WorkerLink, run: Run, reason: RefusalReason | 'unreachable' | 'queued' | 'withdrawn'): void {
    const { clock, metrics } = this.options
    metrics.count(`starts_refused_${reason}`)
    const { task } = run
    const step = task?.step
    if (task !== undefined && step !== undefined) {
      step.withdrawStart(task, run.number)
      this.stageChange(task)
      step.notBefore = clock.now() + STEP_BACKOFF_MS
      step.waitTimes.note('backoff', clock.now())
      if (reason === 'ticket-invalid') this.advice.invalidateTicket(step, link)
    }
    if (reason === 'no-room' || reason === 'unhealthy') link.notBefore = clock.now() + WORKER_BACKOFF_MS
    this.stopGang(run)
    this.scheduleRound()
  }

  adoptRun (link: WorkerLink, listed: RunningTask): Run | undefined {
    const job = this.jobs.get(listed.task.jobId)
    const task = job?.listedTask(listed.task)
    if (job === undefined || task === undefined) {
      this.unreadJobs.add(listed.task, listed.run, link.id)
      return undefined
    }
    if (job.outcome !== undefined || task.isDone) return undefined
    const isSpeculative = task.step.spec.speculative
    if (task.runs.length > 0 && !isSpeculative) return undefined
    job.hasStarted = true
    const run = link.addListedRun(listed, task)
    const stored = task.openRuns().find(({ number }) => number === run.number)
    const startedAtMs = stored?.startedAtMs ?? this.options.clock.date().getTime()
    task.addOpenRun({ number: run.number, workerId: link.id, born: link.entry.born, startedAtMs })
    if (stored === undefined) this.stageChange(task)
    return run
  }

  workerChanged (): void {
    this.scheduleRound()
  }

  private placeArrival (jobId: string) {
    const job = this.jobs.get(jobId)
    if (job === undefined || !this.mayStartTasks()) return
    // What its account may have running unknown to this leader is computed with each round only.
    if (job.record.account !== undefined && !this.earlierJobs.areLeadersKnownToBeFenced()) return
    for (const dispatchable of this.dispatchable([job])) this.dispatcher.placeArrival(dispatchable)
  }

  private addAnswers (jobId: string, answers: StepAnswers, answeredAt: number) {
    const job = this.jobs.get(jobId)
    const steps = job?.occurrences.get(0)
    const step = steps === undefined || steps === 'done' ? undefined : steps[answers.step]
    const policy = job === undefined ? undefined : this.queueOf(job)?.advice
    if (step === undefined || step.isDone() || policy === undefined) return
    job?.hops?.note('ticketed', this.unixMs())
    this.advice.addAnswers(step, policy, answers, answeredAt, id => this.workers.get(id))
  }

  private unixMs (): number {
    return this.options.clock.date().getTime()
  }

  // Decisions

  private recordStarted (step: Step, runs: readonly Run[]) {
    const { metrics, clock } = this.options
    const ageMs = this.unixMs() - step.job.record.admittedAtMs
    step.job.hops?.note('planned', this.unixMs())
    metrics.count('runs_started', runs.length)
    this.loadReport.recordStarts(runs.length)
    this.shedding?.recordStart(step, runs.length)
    this.lateJobs?.recordStart(step, runs.length)
    metrics.observe('admission_to_start_ms', ageMs)
    this.log.info('Runs started.', {
      job: step.job.id,
      step: formatStepId({ jobId: step.job.id, occurrence: step.occurrence, step: step.index }),
      ageMs,
      waitedMs: step.waitTimes.take(clock.now()),
      ...this.options.configBasis(),
      runs: runs.map(({ id, number, worker, fencingToken }) => `${id.index}#${number} ${worker.id} ${fencingToken}`)
    })
  }

  private recordGangDone (step: Step, run: number, startedAt: number | undefined) {
    this.log.info('Gang done.', {
      job: step.job.id,
      step: formatStepId({ jobId: step.job.id, occurrence: step.occurrence, step: step.index }),
      run,
      tasks: step.spec.count,
      estimateMs: step.spec.estimateMs,
      ...(startedAt === undefined ? {} : { ranMs: Math.round(this.options.clock.now() - startedAt) })
    })
  }

  private taskDone (link: WorkerLink, job: Job, step: Step, task: Run['task'] & object, run: number) {
    this.workers.health.recordSuccess(link.id)
    if (step.spec.longRunning || task.isDone) return
    step.markDone(task)
    for (const other of [...task.runs]) if (other.number !== run) other.worker.stop(other)
    if (step.isDone()) this.advice.removeStep(step)
    if (job.compactOccurrence(step.occurrence)) this.endJob(job, 'completed')
    else if (job.occurrences.get(step.occurrence) === 'done') this.removeRangesOf(job, step.occurrence)
  }

  /** Removes the rows of a done occurrence once the first row of the job names it. */
  private removeRangesOf (job: Job, occurrence: number) {
    const keys = job.rangeKeys(occurrence)
    if (job.layout.isCompact) return
    this.stage(job)
      .then(() => this.janitor.enqueueProgressRemoval(job.id, keys))
      .catch((err: unknown) => this.log.error('A done occurrence could not be stored.', { job: job.id, occurrence, err }))
  }

  private taskFailed (link: WorkerLink, job: Job, step: Step, task: Run['task'] & object, run: number) {
    this.workers.health.recordFailure(link.id, job.id)
    step.avoidWorker(task, link.id, this.options.clock.now())
    if (step.spec.longRunning) return
    const failures = step.recordFailure(task, run)
    const queue = this.queueOf(job)
    if (queue === undefined || failures < queue.maxAttempts) return
    this.log.info('Job has failed.', { job: job.id, step: step.index, task: task.index, failures, maxAttempts: queue.maxAttempts })
    this.endJob(job, 'failed')
  }

  /** Forgets the crashes under tasks of which a run works for long: they had another cause. */
  private clearSuspects () {
    for (const job of this.jobs.live()) {
      for (const step of job.liveSteps()) {
        if (!step.hasSuspects) continue
        for (const task of step.knownTasks()) {
          const hasWorked = task.runs.some(run => run.state === 'running' && run.worker.reportedAt() - run.startedAt > CLEARED_AFTER_MS)
          if (!hasWorked || !task.crashes().hasRecord()) continue
          task.crashes().clear()
          this.stageChange(task)
        }
      }
    }
  }

  private giveUp (task: Task) {
    const { job, index } = task.step
    const crashes = task.crashes()
    const { all: runs, outage: outageRuns, ended: endedRuns, open: openRuns } = crashes.runs()
    this.log.warn('Job is given up, because workers crash under one of its tasks.', { job: job.id, step: index, task: task.index, crashes: crashes.count(), alone: crashes.aloneCount(), runs, outageRuns, endedRuns, openRuns })
    this.options.metrics.count('jobs_given_up')
    this.endJob(job, 'failed')
  }

  /** Keeps a task from being started until the crash under it is stored, so that a later leader counts it. */
  private holdUntilStored (task: Task) {
    task.hold()
    this.stage(task.step.job.rowOf(task), { kind: 'awaited' })
      .catch((err: unknown) => this.log.error('A crash could not be stored.', { task: formatTaskId(task.id()), err }))
      .finally(() => {
        task.release()
        this.scheduleRound()
      })
  }

  /**
   * Takes the crashes of an outage off the tasks, but for those of jobs that may have caused it. Where most of its workers
   * had tasks that three outages have ended before, these tasks may be the cause and are not excused again: several tasks
   * that crash their workers may do so at the same moments, and each may start only twice after its third crash.
   */
  private excuse ({ domain, crashes }: Outage<CrashCharge>, isNew: boolean) {
    const charges = crashes.flatMap(crash => crash.charges)
    const workerIds = new Set(crashes.map(({ worker }) => worker.id))
    const mayBeCause = new Map<Job, boolean>()
    for (const { task: { step: { job } } } of charges) if (!mayBeCause.has(job)) mayBeCause.set(job, this.mayHaveCaused(job, charges, workerIds))
    const haveSpentCaused = new Set(charges.filter(({ hadSpentExcuses }) => hadSpentExcuses).map(({ workerId }) => workerId)).size > workerIds.size / 2
    const excused = charges.filter(({ task: { step: { job } }, hadSpentExcuses }) => mayBeCause.get(job) === false && !(haveSpentCaused && hadSpentExcuses))
    const newlyExcused = excused.filter(({ task, run }) => task.crashes().isCharged(run))
    for (const { task, run, workerId } of newlyExcused) {
      task.step.excuseCrash(task, run, workerId)
      this.stageChange(task)
    }
    if (isNew || newlyExcused.length > 0) this.log.warn('Outage of a failure domain.', { domain, workers: [...workerIds], runsExcused: excused.length, runsCounted: charges.length - excused.length, jobsThatMayBeCause: [...mayBeCause].filter(([, isCause]) => isCause).map(([{ id }]) => id) })
  }

  /**
   * Whether the tasks of a job alone may have crashed the workers of an outage: it had runs on most of them, and none that
   * started as early works on elsewhere. Tasks of a job behave alike, so that one that works on speaks for the others.
   */
  private mayHaveCaused (job: Job, charges: readonly CrashCharge[], workerIds: ReadonlySet<string>): boolean {
    const ofJob = charges.filter(({ task }) => task.step.job === job)
    if (new Set(ofJob.map(({ workerId }) => workerId)).size <= workerIds.size / 2) return false
    const lastStartedAtMs = Math.max(...ofJob.map(({ startedAtMs = -Infinity }) => startedAtMs))
    return ![...job.runs()].some(({ task, number, worker, isListed }) => {
      return task !== undefined && isListed && worker.isAdopted && !workerIds.has(worker.id) && (startedAtMsOf(task, number) ?? Infinity) <= lastStartedAtMs
    })
  }

  /**
   * Decides on the tasks once no outage can be found any more that their crashes belong to; until then, none is given up for
   * them. A new leader knows only then which runs work on elsewhere.
   */
  private decideLater (charges: readonly CrashCharge[], worker?: WorkerEntry) {
    if (charges.length === 0) return
    const held = charges.flatMap(({ task }) => task.crashes().isExhausted() ? [task] : [])
    for (const task of held) task.hold()
    this.options.clock.after(OUTAGE_WINDOW_MS, () => {
      if (this.stopping.signal.aborted) return
      if (worker !== undefined) for (const outage of this.outages.outagesOf(worker)) this.excuse(outage, false)
      // Not stored for itself: a successor that finds such a run among the open ones counts it as this leader has.
      for (const { task, run } of charges) task.settleRun(run)
      for (const task of held) {
        task.release()
        if (!task.isDone && task.step.job.outcome === undefined && task.crashes().isGivenUp()) this.giveUp(task)
      }
      if (held.length > 0) this.scheduleRound()
    })
  }

  /** Crashes that the previous leader had not decided on when it ended. */
  private undecidedCharges (): readonly CrashCharge[] {
    return [...this.jobs.live()].flatMap(job => [...job.openRuns()]).filter(({ task, run }) => task.crashes().isCharged(run.number))
      .map(({ task, run }) => ({ task, run: run.number, workerId: run.workerId, startedAtMs: run.startedAtMs, hadSpentExcuses: task.crashes().hasSpentExcuses() }))
  }

  /** A gang can't work while one of its tasks is missing: stops its other runs before they time out waiting for that task. */
  private stopGang (run: Run) {
    const step = run.task?.step
    if (step === undefined || !step.spec.gang) return
    for (const task of [...step.knownTasks()]) for (const other of [...task.runs]) if (other.number === run.number) other.worker.stop(other)
  }

  /** Why no task may be started on a worker, whatever it says itself; undefined if tasks may. */
  private useObstacle (worker: WorkerLink, now: number): WorkerObstacle | undefined {
    return this.workers.useObstacle(worker, now) ?? (this.maintenance?.isDraining(worker.id) === true ? 'maintenance' : undefined)
  }

  /** Stops the runs that would end with a worker that leaves, so that their tasks resume elsewhere. */
  private moveRunsFromLeavingWorkers () {
    for (const run of runsToMove(this.workers.all(), worker => this.workers.isUsable(worker), this.options.clock.now())) {
      this.log.info('Run is moved, because its worker leaves.', { task: formatTaskId(run.id), run: run.number, worker: run.worker.id, percent: run.percent, leavesInMs: run.worker.leavesInMs() })
      this.options.metrics.count('runs_moved')
      run.worker.stop(run)
      this.stopGang(run)
    }
  }

  private endJob (job: Job, outcome: JobOutcome) {
    const { clock, metrics } = this.options
    const decidedAt = clock.now()
    const queue = this.queueOf(job)
    job.outcome = outcome
    job.hops?.note('ended', this.unixMs())
    if (outcome === 'completed') this.shedding?.recordEnd(job)
    metrics.count(`jobs_${outcome}`)
    metrics.observe('admission_to_end_ms', clock.date().getTime() - job.record.admittedAtMs)
    for (const run of [...job.runs()]) run.worker.stop(run)
    for (const step of job.liveSteps()) this.advice.removeStep(step)
    this.stage(job).then(() => {
      this.jobs.markOutcomeStored(job, outcome)
      this.log.info('Job ended.', { job: job.id, queue: job.record.queue, outcome, ageMs: clock.date().getTime() - job.record.admittedAtMs, objectiveMs: queue === undefined ? undefined : objectiveMsOf(job, queue), storedAfterMs: Math.round(clock.now() - decidedAt) })
      job.hops?.note('stored', this.unixMs())
      if (job.hops !== undefined) this.log.info('Hops of a job.', { job: job.id, queue: job.record.queue, ...job.hops.sinceAdmissionMs() })
    })
  }

  /** Ends a job whose progress the store doesn't take. */
  private abandon (job: Job) {
    this.log.error('Job is given up, because the store rejects its progress.', { job: job.id })
    this.options.metrics.count('jobs_rejected_by_store')
    this.endJob(job, 'failed')
  }

  /** Continues a job, of whose row this leader has stored nothing yet, from what an earlier one has stored there. */
  private takeOverProgress ({ job, key, progressVersion }: ProgressRow, value: unknown) {
    const range = parseRangeKey(key)
    const progress = range === undefined ? undefined : decodeRange(value)
    const first = range === undefined ? decodeProgress(value) : undefined
    if (first !== undefined && 'outcome' in first) {
      if (job.outcome === undefined) this.endJob(job, first.outcome)
      return
    }
    if (range !== undefined && progress !== undefined) job.restoreRange(range, progress, progressVersion)
    if (first !== undefined) job.restoreFirstRow(first, progressVersion)
    for (const run of [...job.runs()]) if (run.task?.isDone === true) run.worker.stop(run)
    for (const occurrence of job.occurrences.keys()) {
      if (!job.compactOccurrence(occurrence)) continue
      this.endJob(job, 'completed')
      return
    }
  }

  /** The queue of a job as configured now or, once the configuration has dropped it, as it was when the job was admitted. */
  private queueOf (job: Job): JobQueue | undefined {
    return this.options.queue(job.record.queue) ?? job.admissionQueue
  }

  /** Resolves when the current state of the row is stored. */
  private async stage (row: ProgressRow, options?: StageOptions): Promise<void> {
    await this.commitQueueOf(row.job)?.stage(row, options)
  }

  /** Stores a change that a successor should know of, and that nothing waits for. */
  private stageChange (task: Task) {
    const { job } = task.step
    if (!task.isDone && job.outcome === undefined) this.commitQueueOf(job)?.enqueue(job.rowOf(task))
  }

  private commitQueueOf (job: Job): CommitQueue | undefined {
    return this.commitQueues[leaderPartitionOf(job.id)]
  }

  private commitsWaiting (): number {
    return this.commitQueues.reduce((sum, commitQueue) => sum + commitQueue.size(), 0)
  }

  private scheduleRound () {
    if (this.isRoundScheduled || this.stopping.signal.aborted) return
    this.isRoundScheduled = true
    this.options.clock.sleep(this.pacer.delayMs(this.options.clock.now(), this.options.loopLag.isVeryHigh()), this.stopping.signal).then(() => {
      this.isRoundScheduled = false
      this.runRound()
    }).catch((err: unknown) => this.log.error('Scheduling round failed.', { err }))
  }

  private runRound () {
    if (!this.mayStartTasks()) return
    const { clock, metrics } = this.options
    const startedAt = clock.now()
    this.accounts.updateHidden(() => this.earlierJobs.hiddenRuns())
    this.dispatcher.runRound(this.dispatchable())
    const endedAt = clock.now()
    this.pacer.recordRound(startedAt, endedAt)
    this.loadReport.recordRound(endedAt - startedAt)
    metrics.observe('pass_ms', endedAt - startedAt)
  }

  /** Whether tasks may be started by what this leader knows of the workers and the configuration. */
  private mayStartTasks (): boolean {
    return this.isLoaded && this.generalObstacles().length === 0 && !this.stopping.signal.aborted
  }

  private generalObstacles (): readonly JobObstacle[] {
    const { mayIssueCommands, isConfigConfirmed } = this.options
    return [...mayIssueCommands() ? [] : ['lease-not-valid' as const], ...this.workers.isRegistryRecent() ? [] : ['registry-old' as const], ...isConfigConfirmed() ? [] : ['configuration-old' as const]]
  }

  private areRunsUnknown (job: Job): boolean {
    return this.unreadJobs.has(job.id) || this.earlierJobs.isHeldBack(job)
  }

  /** Why nothing of a job is started now. A later configuration is not looked for, as scheduling rounds do. */
  private startObstacles (job: Job): readonly JobObstacle[] {
    const isLater = (job.record.configVersion ?? -Infinity) > this.options.configBasis().config
    const areRunsUnknown = this.jobs.get(job.id) === job && this.areRunsUnknown(job)
    return [
      ...this.generalObstacles(), ...isLater ? ['later-configuration' as const] : [], ...areRunsUnknown ? ['runs-unknown' as const] : [],
      ...job.payload === undefined ? ['payload-not-read' as const] : [], ...job.outcome === undefined ? [] : ['ended' as const]
    ]
  }

  /**
   * Jobs whose runs this leader knows: those that no earlier leader can have started, and others that aren't held back.
   * Without those that were admitted by a later configuration than the one in force, which may name another service.
   */
  private * dispatchable (jobs: Iterable<Job> = this.jobs.live()): Iterable<Job> {
    const { hasConfig } = this.options
    let checkedVersion = -Infinity
    for (const job of jobs) {
      if (this.unreadJobs.has(job.id)) continue
      const { configVersion = -Infinity } = job.record
      if (configVersion > checkedVersion) {
        if (!hasConfig(configVersion)) continue
        checkedVersion = configVersion
      }
      if (!this.earlierJobs.isHeldBack(job)) yield job
    }
  }

  /** Whether a job may be dispatched and its account may start tasks of it. */
  private canStart (job: Job): boolean {
    const isDispatchable = [...this.dispatchable([job])].length > 0
    return isDispatchable && [...job.liveSteps()].some(step => step.hasWaitingTasks() && this.accounts.startable(step, step.waitingTasks) > 0)
  }

  // Loops

  private async load (signal: AbortSignal) {
    const { clock } = this.options
    const startedAt = clock.now()
    while (!signal.aborted) {
      const jobs = await this.fenceAndReadJobs()
      if (jobs !== undefined && (await Promise.all([this.workers.load(), this.loadJobs(jobs)])).every(isDone => isDone)) break
      await clock.sleep(WORKER_RETRY_MS, signal)
    }
    if (signal.aborted) return
    this.workers.addEarlierRuns([...earlierRunsOf(this.jobs.live(), clock)])
    this.decideLater(this.undecidedCharges())
    for (const job of this.jobs.live()) for (const row of job.unconvertedRows()) this.commitQueueOf(job)?.enqueue(row)
    this.isLoaded = true
    for (const apply of this.deferredNotifications.splice(0)) apply()
    this.log.info('State loaded.', { jobs: this.jobs.size(), version: this.changesVersion, rosterWorkers: this.workers.rosterSize(), tookMs: Math.round(clock.now() - startedAt) })
  }

  /**
   * Resolves with undefined when a call failed. Progress has to be read after the epoch is written. So have jobs, if the
   * previous leader may be active: it may still admit jobs, and store the progress of those that this leader would not know.
   */
  private async fenceAndReadJobs (): Promise<LoadedRows | undefined> {
    if (this.options.mayPredecessorBeActive) return await this.fence() ? this.readJobs() : undefined
    const [jobs, isFenced] = await Promise.all([this.readJobs(), this.fence()])
    return isFenced ? jobs : undefined
  }

  private async fence (): Promise<boolean> {
    const versions = await this.loader.fence(this.options.epoch)
    if (versions === 'deposed') this.options.onDeposed()
    if (versions === undefined || versions === 'deposed') return false
    this.epochVersions = versions
    return true
  }

  private epochVersion (leaderPartition: number): number {
    return this.epochVersions[leaderPartition] ?? 0
  }

  /** Resolves with false when a read failed. */
  private async loadJobs (jobs: LoadedRows | undefined): Promise<boolean> {
    const progress = await this.loader.readProgress()
    if (progress === undefined || jobs === undefined) return false
    this.changesVersion = jobs.version
    const { cancelledJobs, begunJobs } = this.jobs.restore(jobs.rows, progress.rows)
    for (const jobId of begunJobs) if (!await this.loadParked(jobId)) return false
    for (const jobId of cancelledJobs) this.cancelled(jobId)
    if (this.jobs.parked.size() > 0) this.log.warn('Jobs wait in the store, as there is no memory for them.', { parked: this.jobs.parked.size(), jobs: this.jobs.size(), usedBytes: this.memory.used() })
    return true
  }

  /** Reads the admissions, as far as there is memory for them. */
  private readJobs (): Promise<LoadedRows | undefined> {
    let bytes = 0
    return this.loader.readJobs(record => {
      const ofJob = jobBytes(record, 0)
      if (!this.memory.mayHold(bytes + ofJob)) return false
      bytes += ofJob
      return true
    })
  }

  /** Loads a job that was parked, or omitted; resolves with false when a read failed. */
  private async loadParked (jobId: string): Promise<boolean> {
    const rows = await this.loader.readJob(jobId)
    if (rows === undefined) return false
    if (this.jobs.unpark(jobId, rows.jobRows, rows.progressRows)) this.cancelled(jobId)
    return true
  }

  /** Loads parked jobs in the order of their admission, as soon as others have ended. */
  private async loadParkedJobs (signal: AbortSignal) {
    const { clock, metrics } = this.options
    const loading = new Set<string>()
    while (!signal.aborted) {
      await clock.sleep(PARKED_INTERVAL_MS, signal)
      metrics.gauge('jobs_parked', this.jobs.parked.size())
      const ids = this.memory.hasRoom() ? this.jobs.parked.first(PARKED_BATCH - loading.size, loading) : []
      for (const jobId of ids) {
        loading.add(jobId)
        this.loadParkedOrPostpone(jobId).finally(() => loading.delete(jobId))
      }
    }
  }

  /** Never rejects. A job that can't be read goes behind the others: its partition may not answer for long. */
  private async loadParkedOrPostpone (jobId: string): Promise<void> {
    let isLoaded = false
    try {
      isLoaded = await this.loadParked(jobId)
    } catch (err) {
      this.log.error('A parked job could not be loaded.', { job: jobId, err })
    }
    if (isLoaded) this.scheduleRound()
    else this.jobs.parked.postpone(jobId)
  }

  /**
   * Polls the store for job changes, since notifications may be lost. They come in one answer, which takes the longer the
   * more of them there are; all jobs come in pages.
   */
  private async watchChanges (signal: AbortSignal) {
    const { store, mayIssueCommands } = this.options
    let failedReads = 0
    while (!signal.aborted) {
      await this.pauseBeforeChanges(signal)
      const wereLeadersFenced = this.earlierJobs.areLeadersKnownToBeFenced()
      // They stay listed until the read has succeeded: it may also throw.
      const waiters = this.changeWaiters.length
      const res = await store.changes(TABLES.jobs, this.changesVersion, 0)
      const isUnreadable = res.err && ++failedReads >= UNREADABLE_AFTER_READS && mayIssueCommands()
      if (res.err) this.log.warn('Changes of jobs could not be read.', { verdict: res.val.verdict, reason: res.val.reason, failedReads })
      if (res.err && !isUnreadable) continue
      if (res.err || res.val.kind === 'history-lost') {
        this.log.info(`${res.err ? 'Changes of jobs stay unreadable' : 'Store no longer has the job changes since the last read'}; reading all jobs.`, { version: this.changesVersion })
        // What waits relies on jobs that were admitted before this read, and not before an earlier one that failed.
        this.loader.discard()
        if (!await this.loadJobs(await this.readJobs())) continue
      } else {
        for (const jobId of this.jobs.applyChanges(res.val.rows)) this.cancelled(jobId)
        this.changesVersion = Math.max(this.changesVersion, res.val.version)
      }
      failedReads = 0
      this.earlierJobs.recordRead(this.changesVersion, wereLeadersFenced)
      for (const resolve of this.changeWaiters.splice(0, waiters)) resolve()
      this.scheduleRound()
    }
  }

  /** Resolves when all jobs that were admitted before now, and are live, have been read. */
  private changesRead (): Promise<void> {
    return new Promise(resolve => {
      this.changeWaiters.push(resolve)
      this.readChangesNow?.()
    })
  }

  /** Waits until the next read of the changes is due, or wanted. After a failed one it is due only after the retry pause. */
  private async pauseBeforeChanges (signal: AbortSignal) {
    const pause = new AbortController()
    const end = () => pause.abort()
    signal.addEventListener('abort', end, { once: true })
    if (this.changeWaiters.length === 0) this.readChangesNow = end
    await this.options.clock.sleep(this.changeWaiters.length > 0 ? WORKER_RETRY_MS : CHANGES_POLL_INTERVAL_MS, pause.signal)
    this.readChangesNow = undefined
    signal.removeEventListener('abort', end)
  }

  private async tick (signal: AbortSignal) {
    const { clock, metrics } = this.options
    while (!signal.aborted) {
      await clock.sleep(SCHEDULING_INTERVAL_MS, signal)
      this.jobs.tick()
      this.memory.tick()
      this.shedding?.renew()
      this.lateJobs?.renew()
      this.workers.stopStalledRuns()
      this.moveRunsFromLeavingWorkers()
      this.clearSuspects()
      metrics.gauge('jobs_live', this.jobs.size())
      metrics.gauge('jobs_bytes', this.memory.used())
      metrics.gauge('commits_waiting', this.commitsWaiting())
      this.loadReport.tick()
      this.accountReport.tick()
      this.scheduleRound()
    }
  }
}

function startedAtMsOf (task: Task, runNumber: number): number | undefined {
  return task.openRuns().find(({ number }) => number === runNumber)?.startedAtMs
}
