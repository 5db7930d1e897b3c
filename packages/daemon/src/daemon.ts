import { randomUUID } from 'node:crypto'
import { applyJobDefaults } from '@citronnotch/config'
import type { DaemonView, DaemonsView, WorkersView } from '@citronnotch/protocol'
import { HttpServer, createCallersRoutes, createOperatorsRoutes, requireToken } from './api/index.js'
import { CellView, memberOf } from './cellView.js'
import type { Clock } from './clock.js'
import { ConfigStore } from './config/index.js'
import { CALL_TIMEOUT_MS } from './constants.js'
import { Failure } from './errors.js'
import { JobAdmission, JobCancellation, JobQueries } from './jobs/index.js'
import type { TeamRules } from './jobs/index.js'
import { localState } from './localState.js'
import type { LogFactory, Log } from './logger.js'
import { Membership, shardIdsOf } from './membership/index.js'
import type { Member, ShardPlace } from './membership/index.js'
import type { Metrics } from './metrics.js'
import { createPeerHandlers, liveTasks } from './peerHandlers.js'
import { Gossip, PeerClients, PeerServer } from './peers/index.js'
import type { PeerState } from './peers/index.js'
import { placerOptions } from './placerOptions.js'
import { HttpPlatform } from './platform/index.js'
import { IdempotencyStore, Router, ShardBackendPool } from './routing/index.js'
import type { ResolvedServiceConfig } from './routing/index.js'
import { ShardManager, resolveSchedulerOptions } from './scheduler/index.js'
import type { ResolvedDaemonSettings } from './settings.js'
import { HybridClock, Timeline } from './timeline/index.js'
import { HttpWorkerClientFactory } from './workers/index.js'

/** Limits for a service that is not in the configuration any more. */
const UNKNOWN_SERVICE: ResolvedServiceConfig = { slots: 8, connections: 64, idempotentMethods: [], timeoutMs: 30_000, queueLength: 0, maxWaitMs: 0 }

export interface DaemonDeps {
  readonly settings: ResolvedDaemonSettings
  readonly clock: Clock
  readonly logs: LogFactory
  readonly metrics: Metrics
}

/** One daemon: wires its parts, starts them, and stops them without cutting off work. */
export class Daemon {
  private readonly stopping = new AbortController()
  private readonly running: Array<Promise<void>> = []
  private isLeaving = false

  private readonly log: Log
  private readonly self: Member
  private readonly hlc: HybridClock
  private readonly timeline: Timeline
  private readonly platform: HttpPlatform
  private readonly config: ConfigStore
  private readonly membership: Membership
  private readonly pool: ShardBackendPool
  private readonly clients: PeerClients
  private readonly gossip: Gossip
  private readonly manager: ShardManager
  private readonly view: CellView
  private readonly router: Router
  private readonly callers: HttpServer
  private readonly operators: HttpServer
  private peerServer: PeerServer | undefined

  private constructor (private readonly deps: DaemonDeps) {
    const { settings, clock, logs, metrics } = deps
    this.log = logs.for('daemon')
    this.self = {
      daemonId: settings.daemonId,
      incarnation: randomUUID(),
      region: settings.region,
      failureDomain: settings.failureDomain,
      peerAddress: settings.peerAddress,
      callerAddress: settings.callerAddress,
      operatorAddress: settings.operatorAddress
    }
    this.hlc = HybridClock.create(clock)
    this.timeline = Timeline.create({ daemonId: settings.daemonId, hlc: this.hlc })
    this.platform = HttpPlatform.create({ url: settings.platformUrl, clock, timeoutMs: CALL_TIMEOUT_MS })
    const { tables, groupCommit } = this.platform
    const common = { clock, timeline: this.timeline, metrics }
    this.config = ConfigStore.create({ ...common, tables, daemonId: settings.daemonId, log: logs.for('config'), pollMs: settings.pollMs })
    this.membership = Membership.create({
      ...common, self: this.self, tables, log: logs.for('membership'), options: settings, shards: () => this.shardPlaces()
    })
    this.pool = ShardBackendPool.create({
      ...common,
      log: logs.for('routing'),
      serviceConfig: service => this.serviceConfig(service),
      authority: shardId => this.membership.authority(shardId)
    })
    this.clients = PeerClients.create({ clock, log: logs.for('peers') })
    this.gossip = Gossip.create({
      self: this.self,
      localState: () => this.localState(),
      peers: () => this.membership.peers(),
      seeds: settings.peerSeeds,
      clients: this.clients,
      clock,
      hlc: this.hlc,
      onState: state => this.peerStateReceived(state)
    })
    this.manager = ShardManager.create({
      ...common,
      ownership: this.membership,
      platform: this.platform,
      workers: HttpWorkerClientFactory.create({ clock, timeoutMs: CALL_TIMEOUT_MS }),
      clients: this.clients,
      pool: this.pool,
      log: logs.for('scheduler'),
      options: resolveSchedulerOptions(settings),
      placerOptions: shardId => placerOptions(this.config.current(), shardId, this.view.shardRooms()),
      shardsPerFailureDomain: () => this.config.current()?.shardsPerFailureDomain ?? 1
    })
    this.view = CellView.create({
      ownership: this.membership,
      pool: this.pool,
      peerStates: () => this.gossip.states(),
      ownShards: () => this.manager.shards(),
      regionOf: failureDomain => this.regionOf(failureDomain)
    })
    this.router = Router.create({
      ...common,
      self: this.self,
      serviceConfig: service => this.serviceConfig(service),
      roomView: () => this.view.serviceRooms(),
      pool: this.pool,
      clients: this.clients,
      idempotency: IdempotencyStore.create({ groupCommit, tables, clock, daemonId: settings.daemonId, log: logs.for('routing') })
    })
    this.callers = HttpServer.create({
      listen: settings.callerAddress,
      log: logs.for('callers'),
      routes: createCallersRoutes({
        clock,
        log: logs.for('callers'),
        admission: JobAdmission.create({
          ...common,
          platform: this.platform,
          log: logs.for('jobs'),
          applyDefaults: input => this.applyDefaults(input),
          teamRules: () => this.teamRules(),
          shards: () => this.view.shardRooms(),
          notify: (shardId, jobId) => this.notifyPart(shardId, jobId)
        }),
        cancellation: JobCancellation.create({ ...common, platform: this.platform, notify: (shardId, jobId) => this.notifyPart(shardId, jobId) }),
        queries: JobQueries.create({ platform: this.platform, livePart: (shardId, jobId) => this.livePart(shardId, jobId) }),
        router: this.router,
        serviceTimeoutMs: service => this.config.current()?.services[service]?.timeoutMs,
        serviceTeam: service => this.config.current()?.services[service]?.team ?? 'none',
        isHealthy: () => !this.isLeaving
      })
    })
    this.operators = HttpServer.create({
      listen: settings.operatorAddress,
      log: logs.for('operators'),
      authorize: requireToken(settings.operatorToken),
      routes: createOperatorsRoutes({
        config: this.config,
        timeline: this.timeline,
        daemons: () => this.daemonsView(),
        workers: () => this.workersView(),
        declareLost: failureDomain => this.declareLost(failureDomain)
      })
    })
  }

  static create (deps: DaemonDeps): Daemon {
    return new Daemon(deps)
  }

  /** Opens the listeners and starts all parts. Rejects when an address can't be bound. */
  async start (): Promise<void> {
    const { settings, clock, logs } = this.deps
    const { signal } = this.stopping
    this.peerServer = await PeerServer.create({
      listen: settings.peerAddress,
      clock,
      log: logs.for('peers'),
      handlers: createPeerHandlers({ ownership: this.membership, config: this.config, manager: this.manager, pool: this.pool, gossip: this.gossip })
    })
    await this.operators.listen()
    this.membership.addListener(this.manager)
    this.config.addListener(() => this.manager.configure())
    this.runPart('config', this.config.run(signal))
    this.runPart('membership', this.membership.run(signal))
    this.runPart('gossip', this.gossip.run(signal))
    this.runPart('scheduler', this.manager.run(signal))
    await this.callers.listen()
    this.timeline.record('daemon-started', `Daemon ${settings.daemonId} of ${settings.failureDomain} has started.`)
    this.log.info('Daemon has started.', { daemonId: settings.daemonId, callers: settings.callerAddress, operators: settings.operatorAddress, peers: settings.peerAddress })
  }

  /**
   * Planned stop: turns unhealthy, stops accepting, hands its shards over, finishes what is in flight.
   * Resolves when nothing is left, or after the drain timeout.
   */
  async stop (): Promise<void> {
    const { settings, clock, metrics } = this.deps
    this.isLeaving = true
    this.timeline.record('daemon-stopping', 'The daemon drains and hands its shards over.')
    this.log.info('Daemon is stopping.')
    await clock.sleep(settings.drainDelayMs)
    const callersClosed = this.callers.close()
    const drained = async () => {
      await Promise.race([
        Promise.all([callersClosed, this.router.drained(), this.pool.drained()]),
        clock.sleep(settings.drainTimeoutMs)
      ])
    }
    await this.membership.handOver(drained)
    this.stopping.abort()
    await Promise.all(this.running)
    await Promise.race([this.peerServer?.drain(), clock.sleep(1_000)])
    this.peerServer?.close()
    this.clients.close()
    await Promise.race([this.operators.close(), clock.sleep(1_000)])
    await this.platform.close()
    await metrics.close()
    this.log.info('Daemon has stopped.')
  }

  private runPart (part: string, run: Promise<void>) {
    this.running.push(run.catch((err: unknown) => this.log.error('A part of the daemon failed.', { part, err })))
  }

  // Configuration

  private shardPlaces (): readonly ShardPlace[] {
    const config = this.config.current()
    if (config === undefined) return []
    return Object.entries(config.failureDomains).flatMap(([failureDomain, { region }]) =>
      shardIdsOf(failureDomain, config.shardsPerFailureDomain).map(shardId => ({ shardId, failureDomain, region })))
  }

  private regionOf (failureDomain: string): string {
    return this.config.current()?.failureDomains[failureDomain]?.region ?? ''
  }

  private serviceConfig (service: string): ResolvedServiceConfig {
    return this.config.current()?.services[service] ?? UNKNOWN_SERVICE
  }

  private applyDefaults (input: unknown): unknown {
    const config = this.config.current()
    return config === undefined ? input : applyJobDefaults(config, input)
  }

  private teamRules (): TeamRules | undefined {
    const config = this.config.current()
    return config === undefined
      ? undefined
      : { quotaOf: team => config.teams[team]?.quota, teams: Object.keys(config.teams) }
  }

  // Peers

  private localState () {
    return localState({
      ownership: this.membership,
      config: this.config,
      manager: this.manager,
      pool: this.pool,
      view: this.view,
      storeReachable: () => this.platform.storeReachable(),
      isLeaving: () => this.isLeaving,
      regionOf: failureDomain => this.regionOf(failureDomain)
    })
  }

  private peerStateReceived (state: PeerState) {
    for (const { shardId, epoch } of state.ownedShards ?? []) this.membership.observeEpoch(shardId ?? '', epoch ?? 0, memberOf(state))
    for (const { shardId, epoch } of state.knownEpochs ?? []) this.membership.observeEpoch(shardId ?? '', epoch ?? 0)
    if ((state.configVersion ?? 0) > this.config.version()) this.runPart('config', this.fetchConfig(state.peerAddress ?? ''))
  }

  private async fetchConfig (address: string) {
    const answer = await this.clients.fetchConfig(address, this.config.version())
    if (answer.ok && (answer.val.version ?? 0) > 0) this.config.offer(answer.val.version ?? 0, answer.val.contentJson ?? '')
  }

  private notifyPart (shardId: string, jobId: string) {
    const own = this.manager.get(shardId)
    const owner = this.view.ownerOf(shardId)
    // A notification that is lost only delays the part until the owner's next scan.
    if (own !== undefined) this.runPart('jobs', own.scheduler.notifyPart(jobId))
    else if (owner !== undefined) this.runPart('jobs', this.clients.notifyPart(owner.peerAddress, { shardId, jobId }).then(() => {}))
  }

  private async livePart (shardId: string, jobId: string) {
    const own = liveTasks(this.manager, shardId, jobId)
    if (own !== undefined) return own
    const owner = this.view.ownerOf(shardId)
    if (owner === undefined) return undefined
    const answer = await this.clients.partStatus(owner.peerAddress, { shardId, jobId })
    if (!answer.ok || answer.val.owned !== true) return undefined
    return (answer.val.tasks ?? []).map(task => ({
      taskId: task.taskId ?? '',
      state: (task.state ?? 'unknown') as 'unknown',
      shardId,
      ...(task.workerId ? { workerId: task.workerId } : {}),
      ...(task.attempt ? { attempt: task.attempt } : {}),
      ...(task.reason ? { reason: task.reason } : {})
    }))
  }

  // Operators

  private async declareLost (failureDomain: string): Promise<Failure | undefined> {
    if (this.config.current()?.failureDomains[failureDomain] === undefined) {
      return Failure.notRun('not-found', `Failure domain "${failureDomain}" is not in the configuration in force.`, 'Check the name.')
    }
    const value = { failureDomain, declaredAt: this.deps.clock.date().toISOString(), by: this.self.daemonId }
    const result = await this.platform.tables.transact([{ table: 'lost', key: failureDomain, value }])
    return result.ok ? undefined : result.val
  }

  private daemonsView (): DaemonsView {
    const { configVersion, storeReachable, leaving, ownedShards, ...rest } = this.localState()
    return {
      self: {
        ...memberOf(rest as PeerState),
        configVersion: configVersion ?? 0,
        storeReachable: storeReachable ?? false,
        leaving: leaving ?? false,
        shards: (ownedShards ?? []).map(shard => ({
          shardId: shard.shardId ?? '',
          epoch: shard.epoch ?? 0,
          mode: this.membership.authority(shard.shardId ?? '')?.mode ?? 'detached',
          waitingTasks: shard.waitingTasks ?? 0,
          runningTasks: shard.runningTasks ?? 0
        }))
      },
      peers: this.gossip.states().map(viewOfPeer)
    }
  }

  private workersView (): WorkersView {
    return {
      daemonId: this.self.daemonId,
      workers: this.manager.shards().flatMap(({ shardId, scheduler }) => scheduler.listWorkers().map(({ vm, state, capacity, used, tasks }) => ({
        workerId: vm.id,
        shardId,
        rack: vm.rack,
        state,
        cores: capacity?.cores ?? 0,
        memoryMb: capacity?.memoryMb ?? 0,
        accelerators: capacity?.accelerators ?? 0,
        usedCores: used.cores,
        usedMemoryMb: used.memoryMb,
        usedAccelerators: used.accelerators,
        tasks
      })))
    }
  }
}

function viewOfPeer (state: PeerState): DaemonView {
  return {
    ...memberOf(state),
    configVersion: state.configVersion ?? 0,
    storeReachable: state.storeReachable ?? false,
    leaving: state.leaving ?? false,
    shards: (state.ownedShards ?? []).map(shard => ({
      shardId: shard.shardId ?? '',
      epoch: shard.epoch ?? 0,
      mode: 'attached',
      waitingTasks: shard.waitingTasks ?? 0,
      runningTasks: shard.runningTasks ?? 0
    }))
  }
}
