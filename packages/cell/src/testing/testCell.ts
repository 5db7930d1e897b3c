import { ManualClock } from '@citronnotch/base/clock'
import type { Clock } from '@citronnotch/base/clock'
import { LogFactory } from '@citronnotch/base/logger'
import type { Failure } from '@citronnotch/base/errors'
import { Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { Stopwatch } from '@citronnotch/base/stopwatch'
import { AccountAdmission, EVERYONE } from '../accounts/index.js'
import type { Requester } from '../accounts/index.js'
import { AdmissionRoom, CELL_FULL } from '../admissionRoom.js'
import type { AdviceAgent } from '../advice.js'
import { ConfigInForce } from '../configInForce.js'
import { ConfigWatch } from '../configWatch.js'
import { EarlyAdvice } from '../earlyAdvice.js'
import { HedgedStore } from '../hedgedStore.js'
import { Job } from '../jobs.js'
import { STEP_DEFAULTS, termsOf } from '../jobRecord.js'
import { JobService } from '../jobService.js'
import type { LeaderClient } from '../jobService.js'
import { Leader } from '../leader.js'
import { LeaderLease } from '../leaderLease.js'
import { LEASE_RANGE } from '../leaseRows.js'
import { MemoryMetrics } from '../metrics.js'
import { PolicyAgent } from '../policyAgent.js'
import type { ConfigReading, Directory, PolicyService, RowStore, Transaction, VmService, WorkerClients } from '../ports.js'
import { AdmissionGate } from '../room/index.js'
import type { WaitingOrder } from '../room/index.js'
import type { StartWindowSettings } from '../startWindow.js'
import { StoreHealth } from '../storeHealth.js'
import type { CellConfig, ClientAccount, JobSpec, MaintenanceWave, Queue, StepSpec, TaskId, WorkerEntry } from '../types.js'
import { Audit } from './audit.js'
import { MemoryStore } from './memoryStore.js'
import { DaemonStore } from './daemonStore.js'
import type { DaemonStoreFault } from './daemonStore.js'
import { BandwidthLimitedStore } from './bandwidthLimitedStore.js'
import { GangRegistry, MemoryWorker, MemoryWorkers } from './memoryWorker.js'

export const SERVICE = 'dispatch'
/** Time after which no task may start on a worker that is registered as draining. */
export const DRAIN_MS = 2_500
/** Time within which a confirmed configuration must be in force. */
export const CONFIG_APPLY_MS = 2_500
/** Fraction by which accounts may exceed their limits. */
export const OVERAGE = 0.1
const CONFIG_POLL_MS = 20
const PROBE_TIMEOUT_MS = 1_000
const DEFAULT_JOB_MEMORY_MB = 200
const DEFAULT_MAX_TASK_LEASE_MS = 6_000
const silentLogs = LogFactory.create({ levels: { '*': 'fatal' } })

export function createQueue (fields: Partial<Queue> = {}): Queue {
  return {
    name: 'renewals', host: 'a.example', pathPrefix: '/renewals/', isPublic: false, service: SERVICE, priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 500, ...fields
  }
}

export function createStep (fields: Partial<StepSpec> = {}): StepSpec {
  return {
    ...STEP_DEFAULTS,
    count: 1,
    need: { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 },
    estimateMs: 500,
    ...fields
  }
}

export function createAccount (name: string, fields: Partial<ClientAccount> = {}): ClientAccount {
  return { name, keyDigests: [], priority: 0, weight: 1, limit: { milliCores: 0, memoryMb: 0, accelerators: 0 }, ...fields }
}

/** A live job none of whose tasks has started, as a leader holds it. */
export function createJob ({ jobId, steps }: { readonly jobId: string, readonly steps: readonly StepSpec[] }): Job {
  const { name, service, ...terms } = createQueue()
  return Job.create(jobId, { queue: name, service, terms: termsOf({ name, service, ...terms }), spec: { steps }, admittedAtMs: 0 }, 1)
}

export function createWorkerEntry (id: string, fields: Partial<WorkerEntry> = {}): WorkerEntry {
  return {
    id, born: 1, service: SERVICE, address: `10.0.0.${id.replace(/\D/g, '')}:80`, zone: 'a', state: 'ready', capacity: { milliCores: 4_000, memoryMb: 16_000, accelerators: 0 }, labels: ['a', 'r1'], ...fields
  }
}

/** The requester that a key of the account stands for. */
export function requesterFor (account: Pick<ClientAccount, 'name'> | undefined): Requester {
  return account === undefined ? EVERYONE : { account: account.name, seesAllJobs: false }
}

/** Clock that the test advances. */
export interface TestClock extends Clock {
  advance (ms: number): Promise<void>
}

export interface TestCellOptions {
  readonly clock?: TestClock
  readonly workers?: readonly WorkerEntry[]
  readonly queues?: readonly Queue[]
  readonly accounts?: readonly ClientAccount[]
  readonly behaviour?: (task: TaskId, run: number, worker: WorkerEntry) => { readonly durationMs: number, readonly end: 'done' | 'failed' }
  readonly agents?: readonly AdviceAgent[]
  /** Work between two checkpoints of a task, in milliseconds; without it, tasks save none. */
  readonly checkpointIntervalMs?: number
  /**
   * Longest lease that the workers grant, in milliseconds.
   * @default 6000
   */
  readonly maxTaskLeaseMs?: number
  /** As in `MemoryWorkerOptions`. */
  readonly clockStartMs?: (born: number) => number
  /**
   * As in `CellFeatures`.
   * @default false
   */
  readonly shedsLoad?: boolean
  /** Order in which leaders try what waits, in place of their own. */
  readonly order?: WaitingOrder
  /**
   * The placement policy service as a daemon reaches it.
   * @default none
   */
  readonly policyServiceOf?: (daemon: string) => PolicyService
  readonly vms?: VmService
  /**
   * Carries the calls of daemons to the store and to workers; `zone` is that of the worker.
   * @default calls that take no time on the way
   */
  readonly carryCall?: CarryCall
  /**
   * Memory of a leader for the state of jobs, in MiB.
   * @default 200
   */
  readonly jobMemoryMb?: number
  /** @default DEFAULT_START_WINDOWS */
  readonly startWindows?: StartWindowSettings
  /** Minimum length of job payloads; shorter ones are padded. */
  readonly minPayloadLength?: number
}

/** Makes a call of a daemon to the store or a worker, for instance over a simulated network. */
export type CarryCall = <T>(target: { readonly store: true } | { readonly zone: string }, call: () => Promise<T>) => Promise<T>

/** Daemon of an in-memory cell, without network listeners. */
export interface TestDaemon {
  readonly name: string
  readonly lease: LeaderLease
  readonly jobs: JobService
  readonly config: ConfigInForce
  /** The store as the daemon reaches it. */
  readonly store: DaemonStore
  readonly storeHealth: StoreHealth
  readonly metrics: MemoryMetrics
  leader (): Leader | undefined
  /** Stops the daemon without releasing its lease; the writes that it is about to send still arrive. */
  kill (): void
  /** Ends the daemon as SIGKILL does: what it has not sent yet, it never sends. */
  crash (): void
}

/** In-memory cell on a simulated clock: a store, workers, an audit, and daemons that tests start and kill. */
export class TestCell {
  readonly clock: TestClock
  readonly store: MemoryStore
  readonly audit = Audit.create()
  readonly workers = MemoryWorkers.create()
  private readonly gangs = GangRegistry.create()
  readonly daemons: TestDaemon[] = []
  /** Maintenance waves that the operator requests. */
  maintenanceWaves: readonly MaintenanceWave[] = []
  /** Wave states published to the operator, each as `<wave> <state>`. */
  readonly publishedWaveStates: string[] = []
  /** Called before each read of the worker registry; returns a failure to inject, or throws. */
  beforeRegistryRead: () => Result<never, Failure> | undefined | Promise<Result<never, Failure>> = () => undefined
  /** Called before each answer about the configuration to a daemon; returns a failure to inject. */
  beforeConfigRead: (daemon: string) => Result<never, Failure> | undefined | Promise<Result<never, Failure> | undefined> = () => undefined
  /** Called before a leader gets rows of a table, or sends a call to a worker (target `workers`); tests delay it. */
  beforeLeaderCall: (daemon: string, target: string) => Promise<void> = async () => {}
  /** Version of the configuration that admissions name, in place of the one in force; tests set it. */
  admittedByVersion: number | undefined
  /** Fault of the store towards each daemon, by name; tests set it. */
  readonly storeFaults = new Map<string, DaemonStoreFault>()
  /** Called before each call of a daemon reaches the store, with its transaction if it is one; tests delay it. */
  beforeStoreCall: (tx?: Transaction) => Promise<void> = async () => {}
  /** Whether the daemons reach each other to ask for the configuration; tests set it. */
  arePeersReachable = true
  /** Whether the leader has no processor time left, and whether it is overloaded; tests set them. */
  isProcessorFull = false
  isProcessorOverloaded = false
  /** Whether connections to a peer address are refused; tests set it. */
  refusesConnections: (peerAddress: string) => boolean = () => false
  private registry: readonly WorkerEntry[]
  private nextJobNumber = 1
  private config: CellConfig

  private constructor (private readonly options: TestCellOptions) {
    this.clock = options.clock ?? ManualClock.create()
    this.store = MemoryStore.create({ clock: this.clock })
    this.config = { version: 1, queues: options.queues ?? [createQueue()], limits: { maxBodyBytes: 100_000 }, ...(options.accounts === undefined ? {} : { accounts: options.accounts }) }
    this.audit.accounts.expect(options.accounts ?? [], OVERAGE, this.clock.now(), 0)
    this.registry = options.workers ?? [createWorkerEntry('w1'), createWorkerEntry('w2')]
    for (const entry of this.registry) {
      this.workers.add(MemoryWorker.create({
        entry,
        clock: this.clock,
        audit: this.audit,
        behaviour: options.behaviour ?? (() => ({ durationMs: 500, end: 'done' })),
        needOf: task => this.audit.needOf(task),
        gangSizeOf: task => this.audit.gangSizeOf(task),
        gangs: this.gangs,
        maxLeaseMs: options.maxTaskLeaseMs ?? DEFAULT_MAX_TASK_LEASE_MS,
        ...(options.clockStartMs === undefined ? {} : { clockStartMs: options.clockStartMs }),
        ...(options.checkpointIntervalMs === undefined ? {} : { checkpointIntervalMs: options.checkpointIntervalMs })
      }))
    }
  }

  static create (options: TestCellOptions = {}): TestCell {
    return new TestCell(options)
  }

  queue (): Queue {
    return this.options.queues?.[0] ?? createQueue()
  }

  setRegistry (entries: readonly WorkerEntry[]): void {
    this.registry = entries
  }

  /** Changes the configuration, as the operator does. */
  publishQueues (queues: readonly Queue[]): void {
    this.config = { ...this.config, version: this.config.version + 1, queues }
  }

  /** Changes the accounts of the configuration, as the operator does. */
  publishAccounts (accounts: readonly ClientAccount[]): void {
    this.config = { ...this.config, version: this.config.version + 1, accounts }
    this.audit.accounts.expect(accounts, OVERAGE, this.clock.now(), CONFIG_APPLY_MS)
  }

  startDaemon (name: string, address = `${name}:1`, linkBytesPerSecond?: number): TestDaemon {
    const { clock, workers, options } = this
    const abortController = new AbortController()
    const linkedStore = linkBytesPerSecond === undefined ? this.store : BandwidthLimitedStore.create({ store: this.store, clock, bytesPerSecond: linkBytesPerSecond })
    const storeHealth = StoreHealth.create(clock, silentLogs.for('store'))
    const unhedgedStore = DaemonStore.create({ store: linkedStore, health: storeHealth, fault: () => this.storeFaults.get(name) ?? 'none', beforeCall: tx => this.beforeStoreCall(tx), clock })
    const store = HedgedStore.create(unhedgedStore, clock)
    let hasCrashed = false
    const ifAlive = <T>(call: () => Promise<T>) => hasCrashed ? new Promise<T>(() => {}) : call()
    const carry: CarryCall = options.carryCall ?? (async (_target, call) => call())
    const metrics = MemoryMetrics.create()
    const config = ConfigInForce.create({ storeClock: () => store.clockMs(), clock, log: silentLogs.for('config') })
    const readConfig = async (): Promise<Result<ConfigReading, Failure>> => {
      const reading = { config: this.config, version: this.config.version, asOfMs: store.clockMs()?.earliest }
      return await this.beforeConfigRead(name) ?? Ok(reading)
    }
    const directory: Directory = {
      readConfig,
      watchConfig: async (version, waitMs) => {
        const sinceRequest = Stopwatch.start(clock)
        while (this.config.version <= version && sinceRequest.elapsedMs() < waitMs) await clock.sleep(CONFIG_POLL_MS)
        return readConfig()
      },
      listWorkers: async () => await this.beforeRegistryRead() ?? Ok(this.registry),
      listWaves: async () => Ok(this.maintenanceWaves),
      publishWave: async (wave, state) => {
        this.publishedWaveStates.push(`${wave} ${state}`)
        return Ok(undefined)
      }
    }
    const configWatch = ConfigWatch.create({
      inForce: config,
      directory,
      askPeers: version => this.daemons.filter(daemon => daemon.config !== config).map(async daemon => this.arePeersReachable ? daemon.config.known(version) : undefined),
      storeUnavailableMs: () => 0,
      applyWithinMs: CONFIG_APPLY_MS,
      clock,
      log: silentLogs.for('config'),
      metrics
    })
    const earlyAdvice = options.policyServiceOf === undefined ? undefined : EarlyAdvice.create({ agent: PolicyAgent.create(name, options.policyServiceOf(name)), clock, log: silentLogs.for('advice'), metrics })
    const room = AdmissionRoom.create({
      budgetMb: options.jobMemoryMb ?? DEFAULT_JOB_MEMORY_MB,
      daemons: () => this.daemons.length,
      ...(options.shedsLoad === true ? { gate: AdmissionGate.create({ code: CELL_FULL, clock, random: () => 0.5, log: silentLogs.for('jobs'), metrics }) } : {}),
      askLeader: async queue => this.arePeersReachable ? this.leader()?.roomFor(queue) : undefined,
      clock,
      log: silentLogs.for('jobs'),
      metrics
    })
    const { accountTerms } = config
    const accountAdmission = AccountAdmission.create({ terms: accountTerms, overage: OVERAGE, log: silentLogs.for('jobs'), metrics })
    let leader: Leader | undefined
    const stopLeading = () => {
      leader?.stop()
      leader = undefined
    }
    const lease = LeaderLease.create({
      holder: `${name}/${this.daemons.length}`,
      peerAddress: address,
      store: guardStore(store, ifAlive),
      unhedgedStore: guardStore(unhedgedStore, ifAlive),
      clock,
      log: silentLogs.for('lease'),
      refusesConnections: async peerAddress => this.refusesConnections(peerAddress),
      onGained: ({ epoch, version, isEarly }) => {
        stopLeading()
        leader = Leader.create({
          epoch,
          epochStartVersion: version,
          mayPredecessorBeActive: isEarly,
          holder: `${name}/${this.daemons.length}`,
          shedsLoad: options.shedsLoad ?? false,
          ...(options.order === undefined ? {} : { order: options.order }),
          ...(options.vms === undefined ? {} : { maintenance: { vms: options.vms, orderGapMs: 3_000, maintenanceMs: 2_000 } }),
          store: delayReads(guardStore(store, call => ifAlive(() => carry({ store: true }, call))), table => this.beforeLeaderCall(name, table)),
          directory,
          clients: guardClients(workers, (zone, call) => ifAlive(async () => {
            await this.beforeLeaderCall(name, 'workers')
            return carry({ zone }, call)
          })),
          agents: () => options.agents ?? [],
          queue: name => config.queue(name),
          accountTerms,
          accountOverage: OVERAGE,
          accountBurstJobs: 0,
          isConfigConfirmed: () => configWatch.isConfirmed(),
          hasConfig: version => configWatch.hasVersion(version),
          configBasis: () => configWatch.basis(),
          mayIssueCommands: () => lease.isValid(),
          onDeposed: stopLeading,
          onRefused: () => lease.renewNow(),
          taskLeaseMs: 5_000,
          maxTaskLeaseMs: options.maxTaskLeaseMs ?? DEFAULT_MAX_TASK_LEASE_MS,
          statusRetentionMs: 120_000,
          drainMs: DRAIN_MS,
          startWindows: options.startWindows,
          jobMemoryMb: options.jobMemoryMb ?? DEFAULT_JOB_MEMORY_MB,
          loopLag: { isHigh: () => this.isProcessorFull, isVeryHigh: () => this.isProcessorOverloaded, meanMs: () => 0 },
          clock,
          logs: silentLogs,
          metrics
        })
        leader.run().catch(err => this.audit.violations.push(`leader failed: ${String(err)}`))
      },
      onLost: stopLeading
    })
    const daemon: TestDaemon = {
      name,
      lease,
      config,
      leader: () => leader,
      jobs: JobService.create({ store, storeHealth, leader: this.createLeaderClient(earlyAdvice, room), room, accountAdmission, ...(earlyAdvice === undefined ? {} : { earlyAdvice }), configVersion: () => this.admittedByVersion ?? config.version(), probe: () => unhedgedStore.range(LEASE_RANGE, PROBE_TIMEOUT_MS), random: Math.random, clock, log: silentLogs.for('jobs'), metrics }),
      store: unhedgedStore,
      storeHealth,
      metrics,
      kill: () => {
        abortController.abort()
        stopLeading()
      },
      crash: () => {
        hasCrashed = true
        daemon.kill()
      }
    }
    for (const run of [configWatch.run(abortController.signal), configWatch.monitor(abortController.signal)]) run.catch(err => this.audit.violations.push(`configuration failed: ${String(err)}`))
    lease.run(abortController.signal).catch(err => this.audit.violations.push(`lease failed: ${String(err)}`))
    this.daemons.push(daemon)
    return daemon
  }

  leader (): Leader | undefined {
    return this.daemons.find(daemon => daemon.lease.isValid() && daemon.leader() !== undefined)?.leader()
  }

  /** Submits a job through a daemon and returns its id. */
  async submit (daemon: TestDaemon, steps: readonly StepSpec[], jobId = this.newJobId(), queue = this.queue(), account?: ClientAccount): Promise<string> {
    const spec: JobSpec = { payload: `payload of ${jobId}`.padEnd(this.options.minPayloadLength ?? 0, '.'), steps }
    this.audit.expectJob(jobId, spec, account?.name)
    const res = await this.advanceUntilSettled(daemon.jobs.submit(jobId, queue, spec, 3_000, requesterFor(account)))
    if (res.err) throw new Error(res.val.reason)
    return jobId
  }

  newJobId (): string {
    return (this.nextJobNumber++).toString(16).padStart(16, '0')
  }

  /** Advances the clock until the promise settles, by at most 20 s. */
  async advanceUntilSettled<T> (promise: Promise<T>): Promise<T> {
    const outcome = { isSettled: false }
    const settled = promise.finally(() => { outcome.isSettled = true })
    for (let i = 0; i < 2_000 && !outcome.isSettled; i++) await this.clock.advance(10)
    return settled
  }

  /** Advances the clock until the condition holds, by at most `limitMs`. Returns whether it holds. */
  async advanceUntil (condition: () => boolean, limitMs = 20_000): Promise<boolean> {
    for (let elapsedMs = 0; elapsedMs < limitMs; elapsedMs += 20) {
      if (condition()) return true
      await this.clock.advance(20)
    }
    return condition()
  }

  private createLeaderClient (earlyAdvice: EarlyAdvice | undefined, room: AdmissionRoom): LeaderClient {
    return {
      admitted: job => {
        const workerIds = this.leader()?.admitted(job) ?? []
        const report = this.leader()?.roomFor(job.record.queue)
        if (report !== undefined) room.update(job.record.queue, report)
        earlyAdvice?.suggest(job.record.service, workerIds)
      },
      cancelled: jobId => this.leader()?.cancelled(jobId),
      submit: async (jobId, record, payload, requester) => this.daemons[0]?.jobs.admitInStore(jobId, record, payload, requester) ?? Promise.reject(new Error('the cell has no daemon; call startDaemon first')),
      cancel: async (jobId, requester) => this.daemons[0]?.jobs.cancelInStore(jobId, requester) ?? Promise.reject(new Error('the cell has no daemon; call startDaemon first')),
      statusOf: async jobId => {
        const state = this.leader()?.stateOf(jobId)
        return state === undefined ? undefined : { state, account: this.leader()?.accountOf(jobId) }
      },
      pendingOf: async queue => this.leader()?.pendingOf(queue)
    }
  }
}

type Guard = <T>(call: () => Promise<T>) => Promise<T>

function guardStore (store: RowStore, guard: Guard): RowStore {
  return {
    transact: (tx, timeoutMs) => guard(() => store.transact(tx, timeoutMs)),
    range: (query, timeoutMs) => guard(() => store.range(query, timeoutMs)),
    changes: (table, version, waitMs) => guard(() => store.changes(table, version, waitMs)),
    clockMs: () => store.clockMs()
  }
}

function delayReads (store: RowStore, beforeAnswer: (table: string) => Promise<void>): RowStore {
  return {
    transact: (tx, timeoutMs) => store.transact(tx, timeoutMs),
    range: async (query, timeoutMs) => {
      const res = await store.range(query, timeoutMs)
      await beforeAnswer(query.table)
      return res
    },
    changes: (table, version, waitMs) => store.changes(table, version, waitMs),
    clockMs: () => store.clockMs()
  }
}

function guardClients (clients: WorkerClients, guardCall: <T>(zone: string, call: () => Promise<T>) => Promise<T>): WorkerClients {
  return {
    create: entry => {
      const client = clients.create(entry)
      const guard: Guard = call => guardCall(entry.zone, call)
      return {
        heartbeat: (cmd, timeoutMs) => guard(() => client.heartbeat(cmd, timeoutMs)),
        start: (cmd, timeoutMs) => guard(() => client.start(cmd, timeoutMs)),
        stop: (cmd, timeoutMs) => guard(() => client.stop(cmd, timeoutMs)),
        close: () => client.close()
      }
    }
  }
}
