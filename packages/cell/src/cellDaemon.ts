import { randomUUID } from 'node:crypto'
import type { Clock } from '@citronnotch/base/clock'
import type { Log, LogFactory } from '@citronnotch/base/logger'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { Failure } from '@citronnotch/base/errors'
import { supervise } from '@citronnotch/base/supervise'
import { AccountAdmission } from './accounts/index.js'
import type { AccountStanding } from './accounts/index.js'
import { AdmissionRoom, CELL_FULL } from './admissionRoom.js'
import type { AdviceAgent } from './advice.js'
import { retryAfterMs } from './retryAfter.js'
import { ConfigInForce } from './configInForce.js'
import { ConfigPeers } from './configPeers.js'
import { ConfigWatch } from './configWatch.js'
import { ConfigAnswers } from './sentConfig.js'
import type { ConfigBasis } from './configWatch.js'
import { PEER_TIMEOUT_MS, SUCCESSOR_CALL_TIMEOUT_MS, SUCCESSOR_LOAD_TIMEOUT_MS, TASK_LEASE_MS } from './constants.js'
import { EarlyAdvice } from './earlyAdvice.js'
import { JobExplainer } from './explain/index.js'
import type { ExplainQuestion, ExplainSubject, Explanation, LeaderAnswer } from './explain/index.js'
import { JobLoader } from './jobLoader.js'
import { JobService } from './jobService.js'
import type { AdmittedJob, JobStatus, LeaderClient } from './jobService.js'
import { Leader } from './leader.js'
import { LeaderLease } from './leaderLease.js'
import { LEASE_RANGE } from './leaseRows.js'
import type { GainedLease } from './leaderLease.js'
import type { VmMaintenance } from './maintenance.js'
import { LoopLag } from './loopLag.js'
import { Membership } from './membership.js'
import { MemoryMetrics } from './metrics.js'
import { PeerClients, PeerServer, fromPeerOutcome, refusesConnections, toPeerOutcome } from './peers.js'
import { PolicyAgent } from './policyAgent.js'
import type { PeerHandlers, PeerMethods } from './peers.js'
import { Readiness } from './readiness.js'
import { createRemoteAgent } from './remoteAgent.js'
import { HedgedStore } from './hedgedStore.js'
import type { Directory, PolicyService, RowStore, WorkerClients } from './ports.js'
import { AdmissionGate } from './room/index.js'
import type { StartWindowSettings } from './startWindow.js'
import type { StoreHealth } from './storeHealth.js'
import { isFinal } from './types.js'

/** Interval between reads of the list of daemons: on the leader, on other daemons, and until the first peer is found. */
const PEERS_LEADER_POLL_MS = 2_000
const PEERS_FOLLOWER_POLL_MS = 8_000
const PEERS_INITIAL_POLL_MS = 400
/** Time to wait for a connection to a daemon that may be dead: a few round trips between regions. */
const CONNECT_TIMEOUT_MS = 150

/** Timeout of a read that finds out whether the store answers, in milliseconds: a slow store takes about 900 ms. */
const PROBE_TIMEOUT_MS = 1_000

/** Parts that act only in cells whose settings ask for them. */
export interface CellFeatures {
  /** Whether the configuration names client accounts, so that requests to queues that aren't public need a key. */
  readonly hasAccounts: boolean
  /**
   * Fraction by which the tasks of a client account may exceed its limit before that counts as a breach; undefined if
   * limits are not enforced.
   */
  readonly accountOverage: number | undefined
  /** Number of jobs that an account is owed at once, beyond those of one second by its weight. */
  readonly accountBurstJobs: number
  /** Whether jobs that can't end while they are useful are refused, and what waits is ordered by what it is worth. */
  readonly shedsLoad: boolean
}

export interface CellDaemonOptions {
  readonly name: string
  /** `ip:port` that other daemons connect to. */
  readonly peerAddress: string
  /** Peer addresses at which other daemons may be found without the store; some may be gone. */
  readonly initialPeers: readonly string[]
  /** Capacity to lead, relative to other daemons, such as the cores of its VM. */
  readonly leadershipWeight: number
  /** Maximum lease that a worker grants, in milliseconds. */
  readonly maxTaskLeaseMs: number
  readonly statusRetentionMs: number
  /** Memory of a leader for the state of jobs, in MiB. */
  readonly jobMemoryMb: number
  /**
   * Bounds of the starts under way.
   * @default DEFAULT_START_WINDOWS
   */
  readonly startWindows?: StartWindowSettings
  /** Time after which no task may start on a worker that is registered as draining, in milliseconds. */
  readonly drainMs: number
  /** Time within which a confirmed configuration must be in force, in milliseconds. */
  readonly configApplyMs: number
  readonly features: CellFeatures
  readonly store: RowStore
  readonly storeHealth: StoreHealth
  readonly directory: Directory
  readonly clients: WorkerClients
  readonly policyService: PolicyService | undefined
  /** The service that maintains the VMs of the workers, if there is one. */
  readonly maintenance?: VmMaintenance
  readonly clock: Clock
  readonly logs: LogFactory
}

/** One daemon of a cell: serves callers, and leads the cell while it holds the leadership lease. */
export class CellDaemon {
  readonly config: ConfigInForce
  readonly jobs: JobService
  private readonly explainer: JobExplainer
  readonly metrics = MemoryMetrics.create()

  private readonly log: Log
  private readonly configWatch: ConfigWatch
  private readonly readiness: Readiness
  private readonly configAnswers: ConfigAnswers
  private readonly store: RowStore
  /** Unique per daemon incarnation. */
  private readonly holder: string
  private readonly membership: Membership
  private readonly lease: LeaderLease
  private readonly peerClients: PeerClients
  private readonly stopping = new AbortController()
  private readonly policyAgent: PolicyAgent
  private readonly earlyAdvice: EarlyAdvice
  private readonly room: AdmissionRoom
  private readonly accountAdmission: AccountAdmission
  private agents: readonly AdviceAgent[] = []
  private leader: Leader | undefined
  private readonly loopLag: LoopLag
  private peerServer: PeerServer | undefined

  private constructor (private readonly options: CellDaemonOptions) {
    const { clock, logs, directory, storeHealth, peerAddress, name } = options
    const store = HedgedStore.create(options.store, clock)
    this.store = store
    this.peerClients = PeerClients.create(() => store.clockMs())
    this.log = logs.for('daemon')
    this.config = ConfigInForce.create({ storeClock: () => store.clockMs(), clock, log: logs.for('config') })
    this.configAnswers = ConfigAnswers.create(this.config)
    const configPeers = ConfigPeers.create({ peerClients: this.peerClients, leaderAddress: () => this.remoteLeaderAddress(), sample: count => this.membership.sample(count), hasAccounts: options.features.hasAccounts, clock })
    this.configWatch = ConfigWatch.create({
      inForce: this.config,
      directory,
      askPeers: version => configPeers.ask(version),
      storeUnavailableMs: () => storeHealth.unavailableMs(),
      applyWithinMs: options.configApplyMs,
      clock,
      log: logs.for('config'),
      metrics: this.metrics
    })
    this.readiness = Readiness.create({
      hasConfig: () => this.config.current() !== undefined,
      isConfigConfirmed: () => this.configWatch.isConfirmed(),
      isStoreUnavailable: () => storeHealth.isUnavailable(),
      applyWithinMs: options.configApplyMs,
      clock,
      log: this.log
    })
    this.accountAdmission = AccountAdmission.create({ terms: this.config.accountTerms, overage: options.features.accountOverage, log: logs.for('jobs'), metrics: this.metrics })
    this.holder = `${name}/${randomUUID()}`
    this.membership = Membership.create({
      self: { name, peerAddress, leadershipWeight: options.leadershipWeight, startedMs: clock.date().getTime() }, initialPeers: options.initialPeers, store, peerClients: this.peerClients, random: Math.random, clock, log: this.log
    })
    this.lease = LeaderLease.create({
      holder: this.holder,
      peerAddress,
      store,
      unhedgedStore: options.store,
      clock,
      log: logs.for('lease'),
      onGained: gained => this.startLeading(gained),
      onLost: () => this.stopLeading(),
      hasBetterCandidate: () => this.membership.hasBetterCandidate(),
      refusesConnections: address => refusesConnections(address, CONNECT_TIMEOUT_MS),
      findSuccessor: () => this.membership.findSuccessor()
    })
    this.loopLag = LoopLag.create(clock)
    this.policyAgent = PolicyAgent.create(name, options.policyService)
    this.earlyAdvice = EarlyAdvice.create({ agent: this.policyAgent, clock, log: logs.for('advice'), metrics: this.metrics })
    this.agents = [this.policyAgent]
    this.room = AdmissionRoom.create({
      budgetMb: options.jobMemoryMb,
      daemons: () => this.membership.all().length,
      ...(options.features.shedsLoad ? { gate: AdmissionGate.create({ code: CELL_FULL, clock, random: Math.random, log: logs.for('jobs'), metrics: this.metrics }) } : {}),
      askLeader: async queue => this.leader !== undefined ? this.leader.roomFor(queue) : (await this.callLeader('room', { queue }))?.room,
      clock,
      log: logs.for('jobs'),
      metrics: this.metrics
    })
    this.jobs = JobService.create({ store, storeHealth, leader: this.leaderClient(), earlyAdvice: this.earlyAdvice, room: this.room, accountAdmission: this.accountAdmission, configVersion: () => this.config.version(), probe: () => options.store.range(LEASE_RANGE, PROBE_TIMEOUT_MS), random: Math.random, clock, log: logs.for('jobs'), metrics: this.metrics })
    this.explainer = JobExplainer.create({ config: this.config, jobs: this.jobs, isConfigConfirmed: () => this.configWatch.isConfirmed(), isStoreAnswering: () => this.isStoreAnswering(), askLeader: subject => this.askLeaderToExplain(subject), clock })
  }

  static create (options: CellDaemonOptions): CellDaemon {
    return new CellDaemon(options)
  }

  /** Rejects when the peer address can't be bound. */
  async start (): Promise<void> {
    const { signal } = this.stopping
    this.peerServer = await PeerServer.create(this.options.peerAddress, this.peerHandlers(), () => this.store.clockMs(), this.options.logs.for('peers'))
    this.supervise('config', () => this.configWatch.run(signal))
    this.supervise('config age', () => this.configWatch.monitor(signal))
    this.supervise('readiness', () => this.readiness.run(signal))
    this.supervise('lease', () => this.lease.run(signal))
    this.supervise('peers', () => this.watchPeers(signal))
    this.supervise('register', () => this.membership.register(signal))
  }

  /** Whether load balancers should send callers to this daemon. */
  isReady (): boolean {
    return this.readiness.isReady()
  }

  /** Whether requests may be answered by the configuration in force; false while this daemon can't know whether it is the latest. */
  mayAnswer (): Promise<boolean> {
    return this.configWatch.mayAnswer()
  }

  /** Whether a request that has waited for the store may be carried out by the configuration in force. If that is too old it is read again, unless `mayRead` is false. */
  async confirmConfig (mayRead: boolean): Promise<boolean> {
    return mayRead ? await this.configWatch.confirm() : this.configWatch.isConfirmed()
  }

  /** Whether calls to the store are likely to be answered now; while they aren't, submissions may be held. */
  isStoreAnswering (): boolean {
    return this.options.storeHealth.isAnswering()
  }

  /** What an answer given now relies on. */
  configBasis (): ConfigBasis {
    return this.configWatch.basis()
  }

  /** Time after which a caller that is refused now should retry, in milliseconds; within the time that the caller has left, if that is known. */
  retryAfterMs (timeLeftMs?: number): number {
    return retryAfterMs(this.options.storeHealth.unavailableMs(), Math.random, timeLeftMs)
  }

  /**
   * How the client accounts stand by the leader's data, with the numbers of jobs that this daemon has refused by their
   * limits; undefined if the leader can't be asked. Empty if the cell has no accounts.
   */
  async accounts (): Promise<ReadonlyArray<AccountStanding & { readonly refusedHere: number }> | undefined> {
    const standings = this.leader !== undefined ? this.leader.accountStandings() : (await this.callLeader('accounts', {}))?.accounts
    return standings?.map(standing => ({ ...standing, refusedHere: this.accountAdmission.refused(standing.name) }))
  }

  /** Where a job would go now, and why. Nothing is sent or stored. */
  explain (question: ExplainQuestion): Promise<Result<Explanation, Failure>> {
    return this.explainer.explain(question)
  }

  isLeader (): boolean {
    return this.leader !== undefined
  }

  /** Releases the leadership once another daemon can take over, or after `patienceMs`. */
  async handOver (patienceMs: number): Promise<void> {
    await this.lease.release(patienceMs)
  }

  stop (): void {
    this.stopping.abort()
    this.stopLeading()
    this.peerServer?.close()
    this.peerClients.close()
    this.options.maintenance?.vms.close().catch((err: unknown) => this.log.error('VM client did not close.', { err }))
    this.options.policyService?.close().catch((err: unknown) => this.log.error('Policy client did not close.', { err }))
  }

  private supervise (part: string, run: () => Promise<void>) {
    supervise(run, { part, signal: this.stopping.signal, clock: this.options.clock, log: this.log, onFailure: () => this.metrics.count('loops_failed') })
  }

  // Leadership

  private startLeading ({ epoch, version, isEarly }: GainedLease) {
    const { store } = this
    const { directory, clients, clock, logs, maxTaskLeaseMs, statusRetentionMs, drainMs, jobMemoryMb, maintenance, features } = this.options
    this.stopLeading()
    this.loopLag.start()
    this.leader = Leader.create({
      epoch,
      epochStartVersion: version,
      mayPredecessorBeActive: isEarly,
      holder: this.holder,
      ...(maintenance === undefined ? {} : { maintenance }),
      store,
      directory,
      clients,
      agents: () => this.agents,
      queue: name => this.config.queue(name),
      accountTerms: this.config.accountTerms,
      accountOverage: features.accountOverage,
      accountBurstJobs: features.accountBurstJobs,
      isConfigConfirmed: () => this.configWatch.isConfirmed(),
      hasConfig: version => this.configWatch.hasVersion(version),
      configBasis: () => this.configWatch.basis(),
      mayIssueCommands: () => this.lease.isValid(),
      onDeposed: () => this.stopLeading(),
      onRefused: () => this.lease.renewNow(),
      taskLeaseMs: Math.min(TASK_LEASE_MS, maxTaskLeaseMs),
      maxTaskLeaseMs,
      statusRetentionMs,
      drainMs,
      jobMemoryMb,
      startWindows: this.options.startWindows,
      loopLag: this.loopLag,
      shedsLoad: features.shedsLoad,
      clock,
      logs,
      metrics: this.metrics
    })
    // Its loops are supervised one by one.
    this.leader.run().catch((err: unknown) => this.log.error('Leader failed.', { epoch, err }))
  }

  private stopLeading () {
    this.loopLag.stop()
    this.leader?.stop()
    this.leader = undefined
  }

  private leaderClient (): LeaderClient {
    return {
      admitted: job => {
        const { service, queue } = job.record
        const learn = ({ workerIds = [], room }: PeerMethods['admitted']['res']) => {
          this.earlyAdvice.suggest(service, workerIds)
          if (room !== undefined) this.room.update(queue, room)
        }
        if (this.leader !== undefined) learn(this.answerAdmitted(this.leader, job))
        else this.callLeader('admitted', job).then(res => learn(res ?? {}))
      },
      cancelled: jobId => {
        if (this.leader !== undefined) this.leader.cancelled(jobId)
        else this.callLeader('cancelled', { jobId })
      },
      submit: async (jobId, record, payload, requester, timeoutMs) => fromPeerOutcome(await this.forwardToLeader('submit', { jobId, record, payload, requester }, timeoutMs)),
      cancel: async (jobId, requester, timeoutMs) => fromPeerOutcome(await this.forwardToLeader('cancel', { jobId, requester }, timeoutMs)),
      statusOf: async jobId => {
        if (this.leader !== undefined) return this.localStatusOf(jobId)
        const { state, account } = await this.callLeader('jobState', { jobId }) ?? {}
        return state === undefined ? undefined : { state, account }
      },
      pendingOf: async queue => {
        if (this.leader !== undefined) return this.localPendingOf(queue)
        return (await this.callLeader('pending', { queue }))?.pending
      }
    }
  }

  /** State of a job as this leader knows it. Without a valid lease another daemon may lead, and only a final state still holds. */
  private localStatusOf (jobId: string): JobStatus | undefined {
    const state = this.leader?.stateOf(jobId)
    return state !== undefined && (this.lease.isValid() || isFinal(state)) ? { state, account: this.leader?.accountOf(jobId) } : undefined
  }

  private localPendingOf (queue: string): number | undefined {
    return this.lease.isValid() ? this.leader?.pendingOf(queue) : undefined
  }

  /** Peer address of the leader; undefined if this daemon leads or the leader is unknown. */
  private remoteLeaderAddress (): string | undefined {
    const address = this.lease.leaderAddress()
    return address === this.options.peerAddress ? undefined : address
  }

  private async forwardToLeader<M extends 'submit' | 'cancel'> (method: M, req: PeerMethods[M]['req'], timeoutMs: number): Promise<Result<PeerMethods[M]['res'], Failure>> {
    const address = this.remoteLeaderAddress()
    if (address === undefined) return Err(Failure.notRun('leader-unknown', 'No other daemon leads the cell.'))
    const res = await this.peerClients.call(address, method, req, timeoutMs)
    if (res.err) this.checkLeader(address)
    return res
  }

  /** A query that isn't answered must not make this daemon check on the leader, as `callLeader` does: it might take over. */
  private async askLeaderToExplain (subject: ExplainSubject): Promise<LeaderAnswer> {
    if (this.leader !== undefined) return this.leader.explain(subject)
    const address = this.remoteLeaderAddress()
    if (address === undefined) return { unknown: 'No leader is known.' }
    const res = await this.peerClients.call(address, 'explain', subject, PEER_TIMEOUT_MS)
    return res.ok ? res.val : { unknown: `The leader could not be asked: ${res.val.reason}` }
  }

  private async callLeader<M extends 'admitted' | 'room' | 'cancelled' | 'jobState' | 'pending' | 'accounts'> (method: M, req: Parameters<PeerHandlers[M]>[0]) {
    const address = this.remoteLeaderAddress()
    if (address === undefined) return undefined
    const res = await this.peerClients.call(address, method, req, PEER_TIMEOUT_MS)
    if (res.ok) return res.val
    this.metrics.count(`leader_unreachable_${method}`)
    this.checkLeader(address)
    return undefined
  }

  private checkLeader (address: string) {
    this.lease.checkHolder(address).catch((err: unknown) => this.log.error('The leader could not be checked.', { err }))
  }

  /**
   * Time in which this daemon reads the lease, if it could lead now: the store answers its reads and writes quickly, and
   * all partitions with state can be read.
   */
  private async takeOverReadTimeMs (): Promise<number | undefined> {
    const loader = JobLoader.create(this.store, this.options.clock, this.log)
    const [readTimeMs, registered] = await Promise.all([this.lease.readTimeMs(SUCCESSOR_CALL_TIMEOUT_MS), this.membership.storeSelf(SUCCESSOR_CALL_TIMEOUT_MS)])
    return readTimeMs !== undefined && registered.ok && await loader.canLoad(SUCCESSOR_LOAD_TIMEOUT_MS) ? readTimeMs : undefined
  }

  // Peers

  private peerHandlers (): PeerHandlers {
    return {
      admitted: job => {
        return this.leader === undefined ? {} : this.answerAdmitted(this.leader, job)
      },
      room: ({ queue }) => {
        const room = this.leader?.roomFor(queue)
        return room === undefined ? {} : { room }
      },
      submit: async ({ jobId, record, payload, requester }) => toPeerOutcome(await this.jobs.admitInStore(jobId, record, payload, requester)),
      cancel: async ({ jobId, requester }) => toPeerOutcome(await this.jobs.cancelInStore(jobId, requester)),
      cancelled: ({ jobId }) => {
        this.leader?.cancelled(jobId)
        return {}
      },
      jobState: ({ jobId }) => this.localStatusOf(jobId) ?? {},
      pending: ({ queue }) => {
        const pending = this.localPendingOf(queue)
        return pending === undefined ? {} : { pending }
      },
      accounts: () => {
        const accounts = this.leader?.accountStandings()
        return accounts === undefined ? {} : { accounts }
      },
      explain: subject => this.leader?.explain(subject) ?? { unknown: 'The daemon that was asked does not lead the cell.' },
      config: req => this.configAnswers.answer(req),
      daemons: () => this.config.current() === undefined ? {} : { daemons: this.membership.all() },
      canTakeOver: async () => {
        const readTimeMs = await this.takeOverReadTimeMs()
        return readTimeMs === undefined ? {} : { readTimeMs }
      },
      takeOver: async req => ({ isTaken: !this.options.storeHealth.isUnavailable() && await this.lease.takeOverFrom(req) }),
      advise: async ({ step, workerIds, timeoutMs }) => {
        const res = await this.policyAgent.approve(step, workerIds, timeoutMs)
        return res.ok ? { approved: [...res.val] } : { reason: res.val.reason }
      }
    }
  }

  private answerAdmitted (leader: Leader, job: AdmittedJob): PeerMethods['admitted']['res'] {
    const workerIds = leader.admitted(job)
    const room = leader.roomFor(job.record.queue)
    return { workerIds, ...(room === undefined ? {} : { room }) }
  }

  /** Polls the list of daemons: the leader asks its peers for advice and transfers leadership to a better candidate. */
  private async watchPeers (signal: AbortSignal) {
    const { membership } = this
    const { clock } = this.options
    while (!signal.aborted) {
      await membership.refresh()
      this.updateAgents()
      if (this.leader !== undefined && membership.hasBetterCandidate()) await this.lease.transferLeadership(() => membership.findBetterSuccessor())
      const interval = membership.others().length === 0 ? PEERS_INITIAL_POLL_MS : this.leader === undefined ? PEERS_FOLLOWER_POLL_MS : PEERS_LEADER_POLL_MS
      await clock.sleep(interval, signal)
    }
  }

  private updateAgents () {
    const agentsByName = new Map(this.agents.map(agent => [agent.name, agent]))
    this.agents = [this.policyAgent, ...this.membership.others().map(({ name, peerAddress }) => {
      const agentName = `${name} ${peerAddress}`
      return agentsByName.get(agentName) ?? createRemoteAgent(agentName, peerAddress, this.peerClients)
    })]
  }
}
