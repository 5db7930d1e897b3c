import { setMaxListeners } from 'node:events'
import type { Clock } from '@citronnotch/base/clock'
import type { Log, LogFactory } from '@citronnotch/base/logger'
import { AdviceBook } from './advice.js'
import type { AdviceAgent } from './advice.js'
import { CommitQueue } from './commitQueue.js'
import { CHANGES_POLL_MS, IDLE_PASS_MS, LEADER_PARTITIONS, TABLES, TOKENS_PER_EPOCH, WORKER_RETRY_MS } from './constants.js'
import { Dispatcher } from './dispatcher.js'
import { Janitor } from './janitor.js'
import { JobLoader } from './jobLoader.js'
import type { LoadedRows } from './jobLoader.js'
import { leaderPartitionName, leaderPartitionOf } from './jobs.js'
import type { Job, Run, Step } from './jobs.js'
import type { JobRecord } from './jobRecord.js'
import { JobTable } from './jobTable.js'
import type { CellMetrics } from './metrics.js'
import { Maintenance } from './maintenance.js'
import type { VmMaintenance } from './maintenance.js'
import { Payloads } from './payloads.js'
import type { Directory, RefusalReason, RowStore, WorkerClients } from './ports.js'
import { formatStepId, formatTaskId } from './types.js'
import type { EndedRun, JobOutcome, JobState, Queue, RunningTask } from './types.js'
import type { LossReason, WorkerEvents, WorkerLink } from './workerLink.js'
import { WorkerPool } from './workerPool.js'

/** Pause before a pass, so that events that come close together share one. */
const PASS_GAP_MS = 5
/** Pause of a step after a refused start, so that refusals don't come in a tight loop. */
const REFUSAL_PAUSE_MS = 60
/** Pause of a worker that said it had no room or was unhealthy. */
const WORKER_PAUSE_MS = 500

export interface LeaderOptions {
  readonly epoch: number
  /** Version of the store's rows since which no earlier leader has ordered anything. */
  readonly sinceVersion: number
  /** Unique for each life of a daemon. */
  readonly holder: string
  readonly maintenance?: VmMaintenance
  readonly store: RowStore
  readonly directory: Directory
  readonly clients: WorkerClients
  readonly agents: () => readonly AdviceAgent[]
  readonly queue: (name: string) => Queue | undefined
  readonly mayOrder: () => boolean
  readonly onDeposed: () => void
  /** The store has refused a transaction of this leader. */
  readonly onRefused: () => void
  readonly taskLeaseMs: number
  /** Time for which the outcome of an ended job must be known, in milliseconds. */
  readonly statusRetentionMs: number
  readonly clock: Clock
  readonly logs: LogFactory
  readonly metrics: CellMetrics
}

/** One epoch of leadership: knows all live jobs, holds all workers, and decides what runs where. */
export class Leader implements WorkerEvents {
  private readonly jobs: JobTable
  private readonly workers: WorkerPool
  /** By leader partition. */
  private readonly commits: readonly CommitQueue[]
  private readonly advice: AdviceBook
  private readonly dispatcher: Dispatcher
  private readonly log: Log
  private readonly stopping = new AbortController()
  private readonly janitor: Janitor
  private readonly maintenance: Maintenance | undefined
  private readonly loader: JobLoader
  private readonly payloads: Payloads
  private changesVersion = 0
  /** Versions of the epoch rows by leader partition. */
  private epochVersions: readonly number[] = []
  private isLoaded = false
  /** Notifications that came while the state was being loaded. */
  private readonly early: Array<() => void> = []
  private isGateOpen = false
  private passScheduled = false

  private constructor (private readonly options: LeaderOptions) {
    const { clock, logs, store, epoch, mayOrder, onDeposed } = options
    // Each loop waits on it.
    setMaxListeners(0, this.stopping.signal)
    this.log = logs.for('leader')
    this.commits = Array.from({ length: LEADER_PARTITIONS }, (_, index) => CommitQueue.create({
      store, partition: leaderPartitionName(index), epochVersion: () => this.epochVersion(index), mayOrder, onDeposed, onRefused: options.onRefused, clock, log: logs.for('commits')
    }))
    this.advice = AdviceBook.create({ agents: options.agents, onAnswer: () => this.schedulePass(), clock, log: logs.for('advice') })
    this.janitor = Janitor.create({
      store, retentionMs: options.statusRetentionMs, epochVersion: index => this.epochVersion(index), mayOrder, clock, log: this.log
    })
    this.loader = JobLoader.create(store, clock, this.log)
    this.payloads = Payloads.create({ store, onLoaded: () => this.schedulePass(), clock, log: this.log })
    this.jobs = JobTable.create({ janitor: this.janitor, statusRetentionMs: options.statusRetentionMs, clock, log: this.log })
    this.workers = WorkerPool.create({
      ...options, epochVersion: () => this.epochVersion(0), events: this, onChange: () => this.schedulePass(), log: this.log
    })
    this.maintenance = options.maintenance === undefined
      ? undefined
      : Maintenance.create({
        ...options.maintenance,
        directory: options.directory,
        holder: options.holder,
        fencingToken: epoch * TOKENS_PER_EPOCH,
        worker: id => this.workers.get(id),
        mayOrder,
        onChange: () => this.schedulePass(),
        clock,
        log: logs.for('maintenance')
      })
    this.dispatcher = Dispatcher.create({
      epoch,
      workers: () => this.workers.all(),
      queue: options.queue,
      advice: this.advice,
      isUsable: worker => this.workers.isUsable(worker) && this.maintenance?.isDraining(worker.id) !== true,
      isDoubtful: worker => this.workers.health.isDoubtful(worker.id),
      needPayload: job => this.payloads.request(job),
      clock,
      onStart: (step, runs) => this.started(step, runs)
    })
  }

  static create (options: LeaderOptions): Leader {
    return new Leader(options)
  }

  stop (): void {
    this.stopping.abort()
  }

  async run (): Promise<void> {
    const { signal } = this.stopping
    await this.load(signal)
    if (signal.aborted) return
    await Promise.all([
      ...this.commits.map(commits => commits.run(signal)),
      this.workers.run(signal),
      this.watchChanges(signal),
      this.janitor.run(signal),
      this.openGate(signal),
      this.maintenance?.run(signal),
      this.tick(signal)
    ])
  }

  // Queries

  /** State of a job, or undefined when this leader doesn't know it. */
  stateOf (jobId: string): JobState | undefined {
    return this.jobs.stateOf(jobId)
  }

  /** Number of accepted jobs of a queue of which no task has started; undefined while that isn't known. */
  pendingOf (queue: string): number | undefined {
    return this.isLoaded ? this.jobs.pendingOf(queue) : undefined
  }

  // Commands

  admitted (jobId: string, record: JobRecord, payload: string, version: number): void {
    if (!this.isLoaded) {
      this.early.push(() => this.admitted(jobId, record, payload, version))
      return
    }
    this.jobs.admit(jobId, record, payload, version)
    this.schedulePass()
  }

  cancelled (jobId: string): void {
    if (!this.isLoaded) this.early.push(() => this.cancelled(jobId))
    const job = this.jobs.get(jobId)
    if (job === undefined || job.isCancelled) return
    job.isCancelled = true
    this.log.info('Job cancelled.', { job: jobId, version: job.version })
    if (job.outcome === undefined) this.end(job, 'cancelled')
  }

  // Events of workers

  async ended (link: WorkerLink, { task: id, run, end, checkpoint }: EndedRun): Promise<void> {
    this.options.metrics.count(`runs_${end}`)
    const job = this.jobs.get(id.jobId)
    const task = job?.task(id)
    this.schedulePass()
    if (job === undefined || task === undefined) return
    task.step.saveCheckpoint(task, checkpoint)
    if (end !== 'done') this.log.info('Run ended.', { task: formatTaskId(id), run, worker: link.id, end })
    // The end of a run of an ended job may be acknowledged once that outcome is stored.
    if (job.outcome !== undefined) return job.isStored ? undefined : this.stage(job)
    if (end === 'done') this.taskDone(link, job, task.step, task, run)
    else if (end === 'failed') this.taskFailed(link, job, task.step, task, run)
    await this.stage(job)
  }

  lost (link: WorkerLink, run: Run, reason: LossReason): void {
    this.log.info('Run lost.', { task: formatTaskId(run.id), run: run.number, worker: link.id, reason })
    this.options.metrics.count('runs_lost')
    this.abandonGang(run)
    this.schedulePass()
  }

  refused (link: WorkerLink, run: Run, reason: RefusalReason | 'unreachable'): void {
    const { clock, metrics } = this.options
    metrics.count(`starts_refused_${reason}`)
    const step = run.task?.step
    if (step !== undefined) {
      step.notBefore = clock.now() + REFUSAL_PAUSE_MS
      if (reason === 'ticket-invalid') this.advice.dropTicket(step, link)
    }
    if (reason === 'no-room' || reason === 'unhealthy') link.notBefore = clock.now() + WORKER_PAUSE_MS
    this.abandonGang(run)
    this.schedulePass()
  }

  adopt (link: WorkerLink, listed: RunningTask): Run | undefined {
    const job = this.jobs.get(listed.task.jobId)
    const task = job?.task(listed.task)
    if (job === undefined || task === undefined || job.outcome !== undefined || task.isDone) return undefined
    const isCopyAllowed = task.step.spec.speculative
    if (task.runs.length > 0 && !isCopyAllowed) return undefined
    job.hasStarted = true
    return link.takeOver(listed, task)
  }

  changed (): void {
    this.schedulePass()
  }

  // Decisions

  private started (step: Step, runs: readonly Run[]) {
    const { metrics, clock } = this.options
    const ageMs = clock.date().getTime() - step.job.record.admittedAtMs
    metrics.count('runs_started', runs.length)
    metrics.observe('admission_to_start_ms', ageMs)
    this.log.info('Runs started.', {
      job: step.job.id,
      step: formatStepId({ jobId: step.job.id, occurrence: step.occurrence, step: step.index }),
      ageMs,
      runs: runs.map(({ id, number, worker, fencingToken }) => `${id.index}#${number} ${worker.id} ${fencingToken}`)
    })
  }

  private taskDone (link: WorkerLink, job: Job, step: Step, task: Run['task'] & object, run: number) {
    this.workers.health.done(link.id)
    if (step.spec.longRunning || task.isDone) return
    step.markDone(task)
    for (const each of [...task.runs]) if (each.number !== run) each.worker.stop(each)
    if (step.isDone()) this.advice.forget(step)
    if (job.settle(step.occurrence)) this.end(job, 'completed')
  }

  private taskFailed (link: WorkerLink, job: Job, step: Step, task: Run['task'] & object, run: number) {
    this.workers.health.failed(link.id, job.id)
    step.avoided.add(link.id)
    task.failedOn.add(link.id)
    const failures = step.markFailed(task, run)
    const queue = this.options.queue(job.record.queue)
    if (step.spec.longRunning || queue === undefined || failures < queue.maxAttempts) return
    this.log.info('Job has failed.', { job: job.id, step: step.index, task: task.index, failures, maxAttempts: queue.maxAttempts })
    this.end(job, 'failed')
  }

  /** A gang that lacks a member can't work: stops the others before they give up waiting. */
  private abandonGang (run: Run) {
    const step = run.task?.step
    if (step === undefined || !step.spec.gang) return
    for (const task of step.tasks) for (const each of [...task.runs]) if (each.number === run.number) each.worker.stop(each)
  }

  private end (job: Job, outcome: JobOutcome) {
    const { clock, metrics } = this.options
    job.outcome = outcome
    metrics.count(`jobs_${outcome}`)
    metrics.observe('admission_to_end_ms', clock.date().getTime() - job.record.admittedAtMs)
    for (const run of [...job.runs()]) run.worker.stop(run)
    for (const step of job.liveSteps()) this.advice.forget(step)
    this.stage(job).then(() => {
      this.jobs.ended(job, outcome)
      this.log.info('Job ended.', { job: job.id, queue: job.record.queue, outcome, ageMs: clock.date().getTime() - job.record.admittedAtMs })
    })
  }

  /** Resolves when the job's present state is stored. */
  private async stage (job: Job): Promise<void> {
    await this.commits[leaderPartitionOf(job.id)]?.stage(job)
  }

  private schedulePass () {
    if (this.passScheduled || this.stopping.signal.aborted) return
    this.passScheduled = true
    this.options.clock.sleep(PASS_GAP_MS, this.stopping.signal).then(() => {
      this.passScheduled = false
      this.pass()
    }).catch((err: unknown) => this.log.error('A pass failed.', { err }))
  }

  private pass () {
    if (!this.isLoaded || !this.options.mayOrder() || this.stopping.signal.aborted) return
    const started = performance.now()
    this.dispatcher.pass(this.dispatchable())
    this.options.metrics.observe('pass_ms', performance.now() - started)
  }

  /** Jobs of which it is known where their tasks run. */
  private * dispatchable (): Iterable<Job> {
    for (const job of this.jobs.live()) if (this.isGateOpen || job.version > this.options.sinceVersion) yield job
  }

  // Loops

  private async load (signal: AbortSignal) {
    const { clock } = this.options
    const started = clock.now()
    while (!signal.aborted) {
      // Only the progress of jobs must be read after the epoch is written: earlier leaders don't admit or cancel.
      const [jobs, isFenced] = await Promise.all([this.loader.readJobs(), this.fence()])
      if (jobs !== undefined && isFenced && (await Promise.all([this.workers.load(), this.loadJobs(jobs)])).every(isDone => isDone)) break
      await clock.sleep(WORKER_RETRY_MS, signal)
    }
    if (signal.aborted) return
    this.isLoaded = true
    for (const apply of this.early.splice(0)) apply()
    this.log.info('State loaded.', { jobs: this.jobs.size(), version: this.changesVersion, rosterWorkers: this.workers.rosterSize(), tookMs: Math.round(clock.now() - started) })
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

  /** Returns false when the store didn't answer. */
  private async loadJobs (jobs: LoadedRows | undefined): Promise<boolean> {
    const progress = await this.loader.readProgress()
    if (progress === undefined || jobs === undefined) return false
    this.changesVersion = jobs.version
    for (const jobId of this.jobs.restore(jobs.rows, progress.rows)) this.cancelled(jobId)
    return true
  }

  /** Reads what notifications may have missed. */
  private async watchChanges (signal: AbortSignal) {
    const { clock, store } = this.options
    while (!signal.aborted) {
      await clock.sleep(CHANGES_POLL_MS, signal)
      const res = await store.changes(TABLES.jobs, this.changesVersion, 0)
      if (res.err) {
        this.log.warn('Changes of jobs could not be read.', { verdict: res.val.verdict, reason: res.val.reason })
        continue
      }
      if (res.val.kind === 'history-lost') {
        this.log.info('History of jobs is lost; reading all.', { version: this.changesVersion })
        await this.loadJobs(await this.loader.readJobs())
      } else {
        for (const jobId of this.jobs.applyChanges(res.val.rows)) this.cancelled(jobId)
        this.changesVersion = Math.max(this.changesVersion, res.val.version)
      }
      this.schedulePass()
    }
  }

  /** Lets the jobs of earlier leaders go on once it is known what every worker runs, or no old lease is left. */
  private async openGate (signal: AbortSignal) {
    const { clock } = this.options
    const started = clock.now()
    while (!signal.aborted && !this.workers.isEveryEarlierKnown()) await clock.sleep(10, signal)
    this.isGateOpen = true
    this.log.info('Jobs of earlier epochs go on.', { tookMs: Math.round(clock.now() - started), complete: !this.workers.haveEarlierLeasesEnded(), jobs: this.jobs.size() })
    this.schedulePass()
  }

  private async tick (signal: AbortSignal) {
    const { clock, metrics } = this.options
    while (!signal.aborted) {
      await clock.sleep(IDLE_PASS_MS, signal)
      this.jobs.tick()
      this.workers.stopStalled()
      metrics.gauge('jobs_live', this.jobs.size())
      metrics.gauge('commits_waiting', this.commits.reduce((sum, commits) => sum + commits.size(), 0))
      this.schedulePass()
    }
  }
}
