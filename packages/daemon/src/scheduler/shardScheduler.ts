import { parseTaskId } from '@citronnotch/protocol'
import type { EventSubject, EventType, WorkerView } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { COMPLETION_COMMIT_MS, LEASE_DRIFT, POLL_MS } from '../constants.js'
import type { PartRow } from '../jobs/index.js'
import type { Log } from '../logger.js'
import type { Authority } from '../membership/index.js'
import type { Metrics } from '../metrics.js'
import type { PlacementDecision, Placer, PlacerTask } from '../placement/index.js'
import type { Platform, Vm } from '../platform/index.js'
import type { ServiceEndpoint } from '../routing/index.js'
import type { Timeline } from '../timeline/index.js'
import { Waker } from '../waker.js'
import type { Resources, TaskReport, WorkerClientFactory, WorkerReport } from '../workers/index.js'
import { PartStore } from './partStore.js'
import { Roster } from './roster.js'
import type { RosterWorker } from './roster.js'
import { TaskTable, isEnded, isHolding } from './taskTable.js'
import type { ResolvedSchedulerOptions, StopReason, Task } from './types.js'
import { WorkerSession } from './workerSession.js'

/** Decisions asked of the placer at once; others wait for the next round, so that reports are not held up. */
const DECISIONS_A_ROUND = 200
/** Interval between reports of a worker on which a task is being stopped. */
const STOP_POLL_MS = 250
/** A task that fails sooner after its start speaks against the worker. */
const QUICK_FAILURE_MS = 5_000
const MAX_RESTART_DELAY_MS = 30_000
const FIRST_RESTART_DELAY_MS = 250
/** Starts of one task that an epoch has room for. */
const ATTEMPTS_PER_EPOCH = 100_000
/** Time that a worker which left the VM list stays in the roster; the list may omit it for a moment. */
const ROSTER_GRACE_MS = 60_000

/** What the scheduler asks of the daemon's ownership. */
export interface ShardAuthority {
  /** Checked against the clock on each call. */
  get (): Authority | undefined
  /** True when no former owner can have authority left, apart from leases granted last. */
  predecessorsEnded (): boolean
  /** Lease that a former owner may have granted, in milliseconds. */
  predecessorLeaseMs (): number
  /** A worker has accepted a higher epoch. */
  superseded (epoch: number): void
}

export interface ShardSchedulerDeps {
  readonly shardId: string
  readonly authority: ShardAuthority
  readonly platform: Pick<Platform, 'tables' | 'groupCommit'>
  readonly workers: WorkerClientFactory
  readonly placer: Placer
  readonly clock: Clock
  readonly log: Log
  readonly timeline: Timeline
  readonly metrics: Metrics
  readonly options: ResolvedSchedulerOptions
  /** VMs of the shard as the list shows them; undefined until it has been read once. */
  vms (): readonly Vm[] | undefined
  /** Told whenever the endpoints of services have changed. */
  endpointsChanged (endpoints: readonly ServiceEndpoint[]): void
  /** Requests in flight at a backend server. */
  requestsInFlight (address: string): number
}

/** A worker of the shard as operators see it. */
export interface ListedWorker {
  readonly vm: RosterWorker
  readonly state: WorkerView['state']
  /** Undefined until the worker has been adopted. */
  readonly capacity: Resources | undefined
  readonly used: Resources
  readonly tasks: number
}

interface KnownWorker {
  readonly vm: RosterWorker
  readonly session: WorkerSession
  readonly stop: AbortController
  leaving: boolean
  /** Monotonic time since which the VM list does not show the worker. */
  missingSince?: number
}

/** Runs one owned shard: adopts its workers, places its tasks and keeps their leases. */
export class ShardScheduler {
  private readonly tasks = TaskTable.create()
  private readonly parts: PartStore
  private readonly roster: Roster
  private readonly workers = new Map<string, KnownWorker>()
  /** Workers on which tasks of former owners may run, until they are adopted or their leases have ended. */
  private readonly unresolved = new Set<string>()
  /** Tasks that run on a worker but are not expected there; they hold resources until they have stopped. */
  private readonly strays = new Map<string, { readonly taskId: string, readonly address: string }>()
  private predecessorsEndedAt: number | undefined
  private isLoaded = false
  private readonly waker = Waker.create()
  /** Jobs whose parts were announced before the shard was loaded. */
  private readonly announced = new Set<string>()

  private constructor (private readonly deps: ShardSchedulerDeps) {
    const isAttached = () => deps.authority.get()?.mode === 'attached'
    this.parts = PartStore.create({ ...deps, isAttached })
    this.roster = Roster.create({ ...deps, isAttached })
  }

  static create (deps: ShardSchedulerDeps): ShardScheduler {
    return new ShardScheduler(deps)
  }

  /** Runs until `signal` aborts; the daemon aborts it when the authority has ended. */
  async run (signal: AbortSignal): Promise<void> {
    await this.load(signal)
    for (const jobId of this.announced) await this.notifyPart(jobId)
    await Promise.all([
      this.runPlacement(signal),
      this.runPartScan(signal),
      this.runCommits(signal),
      this.runWorkerList(signal)
    ])
    for (const worker of this.workers.values()) await worker.session.close()
  }

  /** Reads a part that was admitted or cancelled. */
  async notifyPart (jobId: string): Promise<void> {
    if (!this.isLoaded) {
      this.announced.add(jobId)
      return
    }
    const part = await this.parts.read(jobId)
    if (part !== undefined) this.applyPart(part, 'waiting')
  }

  /** Tasks of a job that belong to this shard, with the reason why each waits. */
  tasksOf (jobId: string): readonly Task[] {
    const now = this.deps.clock.now()
    return this.tasks.ofJob(jobId).map(task => ({ ...task, ...this.explain(task, now) }))
  }

  countTasks (): { readonly waiting: number, readonly running: number } {
    return {
      waiting: this.tasks.count('waiting') + this.tasks.count('unknown'),
      running: this.tasks.count('running') + this.tasks.count('starting') + this.tasks.count('stopping')
    }
  }

  listWorkers (): readonly ListedWorker[] {
    const now = this.deps.clock.now()
    return [...this.workers.values()].map(({ vm, session, leaving }) => ({
      vm,
      state: leaving ? 'leaving' : this.deps.placer.isSuspended(vm.address, now) ? 'suspended' : session.state,
      capacity: session.capacity,
      used: this.deps.placer.used(vm.address),
      tasks: this.tasks.onWorker(vm.address).length
    }))
  }

  // Loading and periodic work

  /** Reads roster and parts. Nothing is started before both are known. */
  private async load (signal: AbortSignal) {
    while (!signal.aborted) {
      const hasRoster = await this.roster.claim()
      const scanned = hasRoster ? await this.parts.scan() : undefined
      if (scanned?.ok === true && this.deps.authority.get()?.mode === 'attached') {
        for (const part of scanned.val) this.applyPart(part, 'unknown')
        for (const worker of this.roster.list()) this.unresolved.add(worker.address)
        this.isLoaded = true
        this.resolveUnknown()
        return
      }
      await this.deps.clock.sleep(POLL_MS, signal)
    }
  }

  private async runPartScan (signal: AbortSignal) {
    while (!signal.aborted) {
      await this.deps.clock.sleep(this.deps.options.partScanMs, signal)
      if (signal.aborted || this.deps.authority.get()?.mode !== 'attached') continue
      const scanned = await this.parts.scan()
      if (scanned.ok) scanned.val.forEach(part => this.applyPart(part, 'waiting'))
    }
  }

  private async runCommits (signal: AbortSignal) {
    while (!signal.aborted) {
      await this.deps.clock.sleep(COMPLETION_COMMIT_MS, signal)
      const { ended, changed } = await this.parts.commit(jobId => !this.tasks.ofJob(jobId).some(task => isHolding(task) || task.state === 'unknown'))
      for (const part of changed) this.applyPart(part, 'waiting')
      for (const jobId of ended) {
        this.record('job-finished', 'The last task of the job in this shard has ended.', { jobId })
        this.tasks.removeJob(jobId)
      }
    }
  }

  private async runWorkerList (signal: AbortSignal) {
    while (!signal.aborted) {
      const vms = this.deps.vms()
      if (vms !== undefined) await this.updateWorkers(vms, signal)
      else this.startSessions(signal)
      await this.deps.clock.sleep(POLL_MS, signal)
    }
  }

  private async runPlacement (signal: AbortSignal) {
    while (!signal.aborted) {
      const decisions = this.deps.authority.get() === undefined
        ? []
        : this.deps.placer.decide(this.deps.clock.now(), DECISIONS_A_ROUND)
      for (const decision of decisions) this.carryOut(decision)
      if (decisions.length < DECISIONS_A_ROUND) await this.waker.wait(this.deps.clock, POLL_MS, signal)
    }
  }

  // Workers

  private async updateWorkers (vms: readonly Vm[], signal: AbortSignal) {
    const now = this.deps.clock.now()
    const listed = new Map(vms.map(vm => [vm.address, vm]))
    const gone: string[] = []
    for (const [address, worker] of this.workers) {
      const vm = listed.get(address)
      this.setLeaving(worker, vm?.state === 'leaving')
      if (vm === undefined) worker.missingSince ??= now
      else delete worker.missingSince
      if (this.isGone(worker, now)) gone.push(address)
    }
    await this.roster.update(vms, gone)
    this.startSessions(signal)
    this.dropWorkers(new Set(gone))
  }

  /** A worker may be forgotten when it left the list some time ago and provably runs nothing. */
  private isGone ({ vm, session, missingSince }: KnownWorker, now: number): boolean {
    return missingSince !== undefined && now - missingSince > ROSTER_GRACE_MS &&
      session.state === 'unreachable' &&
      this.tasks.onWorker(vm.address).length === 0 && !this.unresolved.has(vm.address)
  }

  private dropWorkers (gone: ReadonlySet<string>) {
    const listed = new Set(this.roster.list().map(worker => worker.address))
    for (const [address, worker] of this.workers) {
      if (!gone.has(address) || listed.has(address)) continue
      worker.stop.abort()
      this.workers.delete(address)
      this.deps.placer.removeWorker(address)
      this.record('worker-gone', 'The worker left the VM list and runs nothing.', { workerId: worker.vm.id })
    }
  }

  private startSessions (signal: AbortSignal) {
    for (const vm of this.roster.list()) {
      const known = this.workers.get(vm.address)
      if (known?.vm.id === vm.id) continue
      if (known !== undefined) {
        this.workers.set(vm.address, { ...known, vm })
        continue
      }
      const stop = new AbortController()
      const session = WorkerSession.create({ ...this.deps, client: this.deps.workers.create(vm.address), owner: this.sessionOwner })
      this.workers.set(vm.address, { vm, session, stop, leaving: false })
      session.run(AbortSignal.any([signal, stop.signal]))
        .catch((err: unknown) => this.deps.log.error('Session with a worker ended.', { worker: vm.id, err }))
    }
  }

  private setLeaving (worker: KnownWorker, leaving: boolean) {
    if (leaving !== worker.leaving) {
      worker.leaving = leaving
      this.deps.placer.setSchedulable(worker.vm.address, !leaving && worker.session.state === 'live')
      if (leaving) this.record('worker-leaving', 'The platform takes the worker away; it gets no new work.', { workerId: worker.vm.id })
      this.publishEndpoints()
    }
    if (leaving) this.moveServices(worker.vm.address)
  }

  /** Moves a leaving worker's replicas, each once it has no request in flight. */
  private moveServices (address: string) {
    for (const task of this.tasks.onWorker(address)) {
      const isIdle = task.serviceAddress !== undefined && this.deps.requestsInFlight(task.serviceAddress) === 0
      if (task.state === 'running' && isIdle) this.stopTask(task, 'worker-leaving')
    }
  }

  private readonly sessionOwner = {
    epoch: () => this.deps.authority.get()?.epoch,
    leasedTasks: (address: string) => this.leasedTasks(address),
    adopted: (session: WorkerSession, report: WorkerReport, restarted: boolean) => this.workerAdopted(session, report, restarted),
    reported: (session: WorkerSession, report: WorkerReport) => this.workerReported(session, report),
    unreachable: (session: WorkerSession) => this.workerUnreachable(session),
    expired: (session: WorkerSession) => this.workerExpired(session),
    superseded: (epoch: number) => this.deps.authority.superseded(epoch),
    formerLeasesEnd: () => this.formerLeasesEnd()
  }

  private leasedTasks (address: string): readonly string[] {
    const strays = [...this.strays.values()].filter(stray => stray.address === address).map(stray => stray.taskId)
    return [...this.tasks.onWorker(address).map(task => task.taskId), ...strays]
  }

  private formerLeasesEnd (): number {
    if (!this.deps.authority.predecessorsEnded()) return Infinity
    this.predecessorsEndedAt ??= this.deps.clock.now()
    return this.predecessorsEndedAt + this.deps.authority.predecessorLeaseMs() * (1 + LEASE_DRIFT)
  }

  private workerAdopted (session: WorkerSession, report: WorkerReport, restarted: boolean) {
    const worker = this.workers.get(session.address)
    if (worker === undefined) return
    const { vm } = worker
    this.deps.placer.addWorker({ workerId: vm.address, region: vm.region, failureDomain: vm.failureDomain, rack: vm.rack, capacity: report.capacity })
    this.deps.placer.setSchedulable(vm.address, !worker.leaving)
    const type = restarted ? 'worker-restarted' : 'worker-adopted'
    this.record(type, `The worker reports ${report.tasks.length} tasks.`, { workerId: vm.id })
    const listed = new Set(report.tasks.map(({ taskId }) => taskId))
    this.applyReport(session, report)
    for (const task of this.tasks.onWorker(vm.address)) {
      if (!listed.has(task.taskId)) this.taskLost(task, restarted ? 'the worker restarted' : 'the worker does not run it')
    }
    this.releaseStrays(vm.address, listed)
    this.repeatStops(session)
    this.resolved(vm.address)
  }

  /** Sends stops again that may have been lost before the adoption. */
  private repeatStops (session: WorkerSession) {
    for (const task of this.tasks.onWorker(session.address)) {
      if (task.state === 'stopping') this.sendStop(session, task)
    }
    for (const stray of this.strays.values()) if (stray.address === session.address) session.stop(stray.taskId)
  }

  private workerReported (session: WorkerSession, report: WorkerReport) {
    this.applyReport(session, report)
    const listed = new Set(report.tasks.map(({ taskId }) => taskId))
    this.releaseStrays(session.address, listed)
    for (const task of this.tasks.onWorker(session.address)) {
      if (!listed.has(task.taskId) && !session.hasPendingStart(task.taskId)) this.taskLost(task, 'the worker does not run it any more')
    }
    this.scheduleReport(session)
  }

  private workerUnreachable (session: WorkerSession) {
    const vm = this.workers.get(session.address)?.vm
    this.deps.placer.setSchedulable(session.address, false)
    this.record('worker-unreachable', 'The worker does not answer; its tasks count as running until their leases end.', vm === undefined ? {} : { workerId: vm.id })
    this.publishEndpoints()
  }

  private workerExpired (session: WorkerSession) {
    this.deps.placer.setSchedulable(session.address, false)
    for (const task of this.tasks.onWorker(session.address)) this.taskLost(task, 'its lease ended on a worker that does not answer')
    this.releaseStrays(session.address, new Set())
    this.publishEndpoints()
    this.resolved(session.address)
  }

  private resolved (address: string) {
    if (this.unresolved.delete(address)) this.resolveUnknown()
    this.waker.wake()
  }

  /** Once no worker can run a task of a former owner unseen, tasks that were found nowhere wait for a place. */
  private resolveUnknown () {
    if (!this.isLoaded || this.unresolved.size > 0) return
    const now = this.deps.clock.now()
    const jobs = new Set<string>()
    for (const task of this.tasks.all()) {
      if (task.state !== 'unknown') continue
      this.tasks.update(task, { state: 'waiting', since: now })
      jobs.add(task.jobId)
    }
    for (const jobId of jobs) {
      if (this.isGangBroken(jobId)) this.breakGang(jobId)
      else this.enqueueJob(jobId)
    }
  }

  /** True when some tasks of a gang job run and others were found nowhere. */
  private isGangBroken (jobId: string): boolean {
    const tasks = this.tasks.ofJob(jobId)
    return tasks[0]?.spec.kind === 'gang' && tasks.some(isHolding) && tasks.some(task => task.state === 'waiting')
  }

  // Parts

  private applyPart (part: PartRow, state: 'unknown' | 'waiting') {
    const now = this.deps.clock.now()
    const added = this.tasks.addPart(part, state, now)
    if (part.cancelled) this.cancelPart(part.jobId)
    else if (state === 'waiting') this.enqueueNew(added)
    if (part.cancelled && this.tasks.ofJob(part.jobId).every(isEnded)) this.parts.noteStopped(part.jobId)
  }

  private enqueueNew (added: readonly Task[]) {
    if (added.length === 0) return
    this.deps.placer.enqueue(added.map(task => this.placerTask(task)))
    this.waker.wake()
  }

  private cancelPart (jobId: string) {
    for (const task of this.tasks.ofJob(jobId)) {
      if (task.state === 'waiting') this.cancelWaiting(task)
      else if (isHolding(task)) this.stopTask(task, 'cancelled')
    }
  }

  private cancelWaiting (task: Task) {
    this.deps.placer.dequeue(task.taskId)
    this.tasks.update(task, { state: 'cancelled' })
    this.record('task-stopped', 'The job was cancelled before the task started.', task)
    this.parts.noteStopped(task.jobId)
  }

  // Decisions

  private carryOut (decision: PlacementDecision) {
    switch (decision.type) {
      case 'start': return this.startTask(decision.taskId, decision.workerId)
      case 'start-gang': return decision.places.forEach(({ taskId, workerId }) => this.startTask(taskId, workerId))
      case 'preempt': return this.preempt(decision.taskId, decision.forTaskId)
      case 'park': return this.park(decision.taskId, decision.reason)
    }
  }

  private startTask (taskId: string, address: string) {
    const task = this.tasks.get(taskId)
    const worker = this.workers.get(address)
    const epoch = this.deps.authority.get()?.epoch
    if (task?.state !== 'waiting' || worker === undefined || epoch === undefined) {
      this.deps.placer.release(taskId)
      return
    }
    const now = this.deps.clock.now()
    const attempt = Math.max(task.attempt, epoch * ATTEMPTS_PER_EPOCH) + 1
    const { spec } = task
    this.tasks.update(task, { state: 'starting', worker: address, attempt, since: now })
    this.deps.metrics.timing('task.wait', now - task.since, { kind: spec.kind, team: spec.team })
    this.record('task-placed', `Placed on ${worker.vm.id} after ${Math.round(now - task.since)} ms.`, { ...task, workerId: worker.vm.id })
    worker.session.start({
      taskId,
      attempt,
      resources: task.resources,
      command: spec.command,
      runSeconds: spec.kind === 'service' ? 0 : spec.runSeconds,
      ...(spec.service === undefined ? {} : { service: spec.service }),
      ...(task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint })
    })
  }

  private preempt (taskId: string, forTaskId: string) {
    const task = this.tasks.get(taskId)
    if (task === undefined || !isHolding(task)) return
    this.record('task-preempted', `Stopped to make room for ${forTaskId}.`, task)
    this.stopTask(task, 'preempted')
  }

  private park (taskId: string, reason: string) {
    const task = this.tasks.get(taskId)
    if (task === undefined) return
    this.record('task-parked', reason, task)
    this.giveUp(task, reason)
  }

  private stopTask (task: Task, stopReason: StopReason) {
    const worker = task.worker === undefined ? undefined : this.workers.get(task.worker)
    if (worker === undefined || (task.state === 'stopping' && stopReason !== 'cancelled')) return
    this.sendStop(worker.session, this.tasks.update(task, { state: 'stopping', stopReason, since: this.deps.clock.now() }))
    if (task.serviceAddress !== undefined) this.publishEndpoints()
  }

  private sendStop (session: WorkerSession, task: Task) {
    if (task.stopReason === 'preempted' && task.spec.checkpointable) session.checkpoint(task.taskId)
    else session.stop(task.taskId)
    session.reportBy(this.deps.clock.now() + STOP_POLL_MS)
  }

  // Reports

  private applyReport (session: WorkerSession, report: WorkerReport) {
    for (const entry of report.tasks) reportHandlers[entry.state](this, session, entry)
    this.publishEndpoints()
  }

  /** Handles a task that the worker runs. */
  taskRuns (session: WorkerSession, report: TaskReport): void {
    const task = this.tasks.get(report.taskId)
    if (task === undefined) return this.stopStray(session, report)
    if (isHolding(task) && task.worker === session.address) return this.confirmRunning(session, task, report)
    const isMissing = task.state === 'unknown' || task.state === 'waiting'
    if (!isMissing) return this.stopStray(session, report)
    if (task.state === 'waiting') this.deps.placer.dequeue(task.taskId)
    this.deps.placer.occupy(this.placerTask(task), session.address, this.deps.clock.now())
    const found = this.tasks.update(task, { state: 'running', worker: session.address, attempt: report.attempt, ...serviceAddressOf(report) })
    if (this.parts.get(task.jobId)?.cancelled === true) this.stopTask(found, 'cancelled')
  }

  private confirmRunning (session: WorkerSession, task: Task, report: TaskReport) {
    if (report.usage !== undefined) this.deps.placer.noteUsage(task.taskId, report.usage)
    const now = this.deps.clock.now()
    if (task.state === 'starting') {
      this.tasks.update(task, { state: 'running', since: now, ...serviceAddressOf(report) })
      this.record('task-started', `Runs on ${this.workerName(session.address)}.`, task)
    } else if (task.state === 'running' && now - task.since > QUICK_FAILURE_MS) {
      this.deps.placer.noteStarted(session.address, task.jobId)
    }
  }

  /** Stops a task that should not run on the worker; until then it holds its resources. */
  private stopStray (session: WorkerSession, report: TaskReport) {
    const key = strayKey(session.address, report.taskId)
    if (!this.strays.has(key)) {
      this.strays.set(key, { taskId: report.taskId, address: session.address })
      this.deps.placer.occupy(strayTask(key, report), session.address, this.deps.clock.now())
      this.record('task-stopped', 'The task is not expected on this worker.', { taskId: report.taskId, workerId: this.workerName(session.address) })
      session.stop(report.taskId)
    }
    session.reportBy(this.deps.clock.now() + STOP_POLL_MS)
  }

  private releaseStrays (address: string, running: ReadonlySet<string>) {
    for (const [key, stray] of this.strays) {
      if (stray.address !== address || running.has(stray.taskId)) continue
      this.strays.delete(key)
      this.deps.placer.release(key)
    }
  }

  /** Handles a task that ran to its end. The worker keeps its report until the outcome is written. */
  taskFinished (session: WorkerSession, report: TaskReport): void {
    const { jobId, index } = parseTaskId(report.taskId)
    const task = this.tasks.get(report.taskId)
    const forget = () => session.forget(report.taskId)
    if (task === undefined) return forget()
    if (task.spec.kind === 'service') return this.taskFailed(session, { ...report, reason: 'the service ended' })
    if (task.state === 'finished' || this.parts.hasOutcome(jobId, index)) return
    if (isHolding(task) && task.worker !== session.address) return forget()
    this.leavePlace(task)
    this.tasks.update(task, { state: 'finished', since: this.deps.clock.now() })
    this.record('task-finished', `Finished on ${this.workerName(session.address)}.`, task)
    this.parts.noteDone(jobId, index, forget)
  }

  /** Handles a task that failed on the worker. */
  taskFailed (session: WorkerSession, report: TaskReport): void {
    const task = this.takeEnded(session, report)
    if (task === undefined) return
    const failures = task.failures + 1
    const reason = report.reason ?? 'the task failed'
    const wasStarting = task.state === 'starting'
    const now = this.deps.clock.now()
    if (wasStarting || now - task.since < QUICK_FAILURE_MS) this.deps.placer.noteFailed(session.address, task.jobId, now)
    this.leavePlace(task)
    this.record(wasStarting ? 'task-start-failed' : 'task-failed', `Failed on ${this.workerName(session.address)}: ${reason}.`, task)
    const next = this.tasks.update(task, { state: 'waiting', failures, since: now })
    if (task.stopReason === 'cancelled') return this.cancelStopped(next)
    if (next.spec.kind !== 'service' && failures >= next.spec.maxAttempts) return this.giveUp(next, `failed ${failures} times, last: ${reason}`)
    if (next.spec.kind === 'gang') return this.breakGang(next.jobId)
    this.enqueueLater(next)
  }

  /** Handles a task that was stopped, by us or because its lease ended. */
  taskStopped (session: WorkerSession, report: TaskReport): void {
    const task = this.takeEnded(session, report)
    if (task === undefined) return
    const { checkpoint } = report
    this.taskLost(checkpoint === undefined ? task : this.tasks.update(task, { checkpoint }), 'it was stopped')
  }

  /** Returns the task that a report of an ended attempt is about, if it is the present attempt. */
  private takeEnded (session: WorkerSession, report: TaskReport): Task | undefined {
    session.forget(report.taskId)
    const task = this.tasks.get(report.taskId)
    const isPresent = task !== undefined && isHolding(task) && task.worker === session.address && task.attempt === report.attempt
    return isPresent ? task : undefined
  }

  /** The task does not run any more and did not finish. */
  private taskLost (task: Task, cause: string) {
    this.leavePlace(task)
    this.record(task.stopReason === undefined ? 'task-lost' : 'task-stopped', `Not running any more: ${task.stopReason ?? cause}.`, task)
    const next = this.tasks.update(task, { state: 'waiting', since: this.deps.clock.now() })
    if (task.stopReason === 'cancelled' || this.parts.get(task.jobId)?.cancelled === true) return this.cancelStopped(next)
    if (next.spec.kind === 'gang') return this.breakGang(next.jobId)
    this.enqueueOrCancel(next)
  }

  private leavePlace (task: Task) {
    if (isHolding(task)) this.deps.placer.release(task.taskId)
    else if (task.state === 'waiting') this.deps.placer.dequeue(task.taskId)
    this.waker.wake()
  }

  private cancelStopped (task: Task) {
    this.tasks.update(task, { state: 'cancelled' })
    this.parts.noteStopped(task.jobId)
  }

  private giveUp (task: Task, reason: string) {
    this.deps.placer.dequeue(task.taskId)
    const siblings = task.spec.kind === 'gang' ? this.tasks.ofJob(task.jobId) : [task]
    for (const sibling of siblings) {
      if (isEnded(sibling)) continue
      if (isHolding(sibling)) {
        this.stopTask(sibling, 'gang-broken')
        continue
      }
      this.deps.placer.dequeue(sibling.taskId)
      this.tasks.update(sibling, { state: 'failed', reason })
      this.parts.noteFailed(sibling.jobId, sibling.index, reason, () => {})
    }
  }

  // Waiting

  private enqueueJob (jobId: string) {
    for (const task of this.tasks.ofJob(jobId)) {
      if (task.state !== 'waiting') continue
      this.enqueueOrCancel(task)
      const isEnqueuedAsWhole = task.spec.kind === 'gang' && this.parts.get(jobId)?.cancelled !== true
      if (isEnqueuedAsWhole) return
    }
  }

  private enqueueOrCancel (task: Task) {
    if (this.parts.get(task.jobId)?.cancelled === true) return this.cancelWaiting(task)
    if (task.spec.kind === 'gang') return this.enqueueGang(task.jobId)
    this.enqueueNew([this.tasks.update(task, clearedStop)])
  }

  private enqueueLater (task: Task) {
    const delay = Math.min(FIRST_RESTART_DELAY_MS * 2 ** (task.failures - 1), MAX_RESTART_DELAY_MS)
    this.deps.clock.sleep(delay)
      .then(() => {
        const current = this.tasks.get(task.taskId)
        if (current?.state === 'waiting' && current.attempt === task.attempt) this.enqueueOrCancel(current)
      })
      .catch((err: unknown) => this.deps.log.error('A delayed restart failed.', { task: task.taskId, err }))
  }

  /** Stops what still runs of a gang job, since its tasks only make sense together, and starts it anew. */
  private breakGang (jobId: string) {
    for (const task of this.tasks.ofJob(jobId)) if (isHolding(task)) this.stopTask(task, 'gang-broken')
    this.enqueueGang(jobId)
  }

  /** Enqueues the open tasks of a gang job together once none of them holds a place. */
  private enqueueGang (jobId: string) {
    const open = this.tasks.ofJob(jobId).filter(task => !isEnded(task))
    if (open.length === 0 || !open.every(task => task.state === 'waiting')) return
    const hasGivenUp = this.tasks.ofJob(jobId).find(task => task.state === 'failed')
    if (hasGivenUp !== undefined && open[0] !== undefined) return this.giveUp(open[0], hasGivenUp.reason ?? 'another task of the job failed')
    for (const task of open) this.deps.placer.dequeue(task.taskId)
    this.enqueueNew(open.map(task => this.tasks.update(task, clearedStop)))
  }

  private placerTask (task: Task): PlacerTask {
    const { spec } = task
    const gangSize = spec.kind === 'gang' ? this.tasks.ofJob(task.jobId).filter(sibling => !isEnded(sibling)).length : 1
    return {
      taskId: task.taskId,
      jobId: task.jobId,
      team: spec.team,
      kind: spec.kind,
      urgent: spec.urgent,
      resources: task.resources,
      regions: spec.regions,
      failureDomains: spec.failureDomains,
      checkpointable: spec.checkpointable,
      runSeconds: spec.runSeconds,
      waitingSince: task.since,
      gangSize
    }
  }

  // Views

  private explain (task: Task, now: number): { readonly reason?: string } {
    if (task.state === 'waiting') return { reason: this.deps.placer.explain(task.taskId, now) }
    if (task.state === 'unknown') return { reason: `may run on one of ${this.unresolved.size} workers that have not answered yet` }
    return {}
  }

  /** Asks for the next report when the next task on the worker is expected to end. */
  private scheduleReport (session: WorkerSession) {
    const now = this.deps.clock.now()
    for (const task of this.tasks.onWorker(session.address)) {
      if (task.state === 'stopping') session.reportBy(now + STOP_POLL_MS)
      const end = task.since + task.spec.runSeconds * 1_000
      if (task.state === 'running' && task.spec.kind !== 'service' && end > now) session.reportBy(end)
    }
  }

  private publishEndpoints () {
    const endpoints: ServiceEndpoint[] = []
    for (const [address, worker] of this.workers) {
      for (const task of this.tasks.onWorker(address)) {
        if (task.serviceAddress === undefined || task.spec.service === undefined) continue
        endpoints.push({
          service: task.spec.service,
          taskId: task.taskId,
          workerId: worker.vm.id,
          address: task.serviceAddress,
          leaving: worker.leaving || task.state === 'stopping' || worker.session.state !== 'live'
        })
      }
    }
    this.deps.endpointsChanged(endpoints)
  }

  /** Name of the worker at an address, as the VM list gives it. */
  workerName (address: string): string {
    return this.workers.get(address)?.vm.id ?? address
  }

  private record (type: EventType, message: string, subject: EventSubject) {
    const { jobId, taskId, workerId } = subject
    this.deps.timeline.record(type, message, {
      shardId: this.deps.shardId,
      ...(jobId === undefined ? {} : { jobId }),
      ...(taskId === undefined ? {} : { taskId }),
      ...(workerId === undefined ? {} : { workerId })
    })
  }
}

type ReportHandler = (scheduler: ShardScheduler, session: WorkerSession, report: TaskReport) => void

const reportHandlers: Readonly<Record<TaskReport['state'], ReportHandler>> = {
  running: (scheduler, session, report) => scheduler.taskRuns(session, report),
  finished: (scheduler, session, report) => scheduler.taskFinished(session, report),
  failed: (scheduler, session, report) => scheduler.taskFailed(session, report),
  stopped: (scheduler, session, report) => scheduler.taskStopped(session, report)
}

const clearedStop: Partial<Task> = { stopReason: undefined, serviceAddress: undefined }

function serviceAddressOf (report: TaskReport): { readonly serviceAddress?: string } {
  return report.serviceAddress === undefined ? {} : { serviceAddress: report.serviceAddress }
}

function strayKey (address: string, taskId: string): string {
  return `${address} ${taskId}`
}

/** Stands for an unexpected task in the ledger of resources. */
function strayTask (key: string, report: TaskReport): PlacerTask {
  return {
    taskId: key,
    jobId: parseTaskId(report.taskId).jobId,
    team: '',
    kind: 'batch',
    urgent: false,
    resources: report.resources,
    regions: [],
    failureDomains: [],
    checkpointable: false,
    runSeconds: 0,
    waitingSince: 0,
    gangSize: 1
  }
}
