import type { PeerClients } from '../peers/index.js'
import { isRefused } from '../peers/index.js'
import type { Clock } from '../clock.js'
import { POLL_MS } from '../constants.js'
import type { Log } from '../logger.js'
import { shardIdOf } from '../membership/index.js'
import type { Authority, LossReason, Ownership, OwnershipListener, Predecessor } from '../membership/index.js'
import type { Metrics } from '../metrics.js'
import { ShardPlacer } from '../placement/index.js'
import type { Placer, PlacerOptions } from '../placement/index.js'
import type { Platform, Vm } from '../platform/index.js'
import type { BackendPool } from '../routing/index.js'
import type { Timeline } from '../timeline/index.js'
import type { WorkerClientFactory } from '../workers/index.js'
import { ShardScheduler } from './shardScheduler.js'
import type { ResolvedSchedulerOptions } from './types.js'

/** Pause between questions to a former owner about its requests in flight. */
const PREDECESSOR_POLL_MS = 250

export interface ShardManagerDeps {
  readonly ownership: Ownership
  readonly platform: Platform
  readonly workers: WorkerClientFactory
  readonly clients: Pick<PeerClients, 'superseded'>
  readonly pool: BackendPool
  readonly clock: Clock
  readonly log: Log
  readonly timeline: Timeline
  readonly metrics: Metrics
  readonly options: ResolvedSchedulerOptions
  placerOptions (shardId: string): PlacerOptions
  shardsPerFailureDomain (): number
}

/** An owned shard and the parts of the daemon that work for it. */
export interface RunningShard {
  readonly shardId: string
  readonly failureDomain: string
  readonly epoch: number
  readonly scheduler: ShardScheduler
  readonly placer: Placer
  /** Workers as the VM list shows them; undefined until it has been read. */
  vms: readonly Vm[] | undefined
}

interface Entry extends RunningShard {
  readonly stop: AbortController
}

/** Starts a scheduler for each shard that this daemon acquires, and stops it when the shard is lost. */
export class ShardManager implements OwnershipListener {
  private readonly running = new Map<string, Entry>()

  private constructor (private readonly deps: ShardManagerDeps) {}

  static create (deps: ShardManagerDeps): ShardManager {
    return new ShardManager(deps)
  }

  shards (): readonly RunningShard[] {
    return [...this.running.values()]
  }

  get (shardId: string): RunningShard | undefined {
    return this.running.get(shardId)
  }

  /** Keeps the VM lists of the failure domains of owned shards. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const domains = new Set([...this.running.values()].map(entry => entry.failureDomain))
      await Promise.all([...domains].map(domain => this.readVms(domain)))
      await this.deps.clock.sleep(POLL_MS, signal)
    }
    for (const entry of this.running.values()) entry.stop.abort()
  }

  /** Gives the placement policies their options again, after a change of configuration. */
  configure (): void {
    for (const { shardId, placer } of this.running.values()) placer.configure(this.deps.placerOptions(shardId))
  }

  acquired (authority: Authority): void {
    const { shardId, epoch } = authority
    this.stop(shardId)
    const { ownership, pool, options } = this.deps
    const stop = new AbortController()
    const placer = ShardPlacer.create(this.deps.placerOptions(shardId))
    const predecessorLeaseMs = Math.max(options.taskLeaseMs, ownership.predecessor(shardId)?.taskLeaseMs ?? 0)
    const current = () => {
      const now = ownership.authority(shardId)
      return now?.epoch === epoch ? now : undefined
    }
    const scheduler = ShardScheduler.create({
      ...this.deps,
      shardId,
      placer,
      authority: {
        get: current,
        predecessorsEnded: () => ownership.predecessorsEnded(shardId),
        predecessorLeaseMs: () => predecessorLeaseMs,
        superseded: higher => ownership.observeEpoch(shardId, higher)
      },
      vms: () => this.running.get(shardId)?.vms,
      endpointsChanged: endpoints => { if (current() !== undefined) pool.setEndpoints(shardId, endpoints) },
      requestsInFlight: address => pool.inFlight(shardId).get(address) ?? 0
    })
    this.running.set(shardId, { shardId, failureDomain: failureDomainOf(shardId), epoch, scheduler, placer, stop, vms: undefined })
    this.settlePredecessors(shardId, epoch, stop.signal)
      .catch((err: unknown) => this.deps.log.error('Former owners could not be settled.', { shard: shardId, err }))
    scheduler.run(stop.signal)
      .catch((err: unknown) => this.deps.log.error('The scheduler of a shard ended.', { shard: shardId, err }))
  }

  lost (shardId: string, _reason: LossReason): void {
    this.stop(shardId)
    this.deps.pool.dropShard(shardId)
  }

  private stop (shardId: string) {
    this.running.get(shardId)?.stop.abort()
    this.running.delete(shardId)
  }

  private async readVms (failureDomain: string) {
    const vms = await this.deps.platform.vms.list(failureDomain)
    if (!vms.ok) return
    const shards = this.deps.shardsPerFailureDomain()
    for (const entry of this.running.values()) {
      if (entry.failureDomain !== failureDomain) continue
      entry.vms = vms.val.filter(vm => vm.role === 'worker' && shardIdOf(vm, shards) === entry.shardId)
    }
  }

  /**
   * Keeps slots free for requests that former owners have in flight, until each has confirmed that it
   * has none left, or its authority has ended.
   */
  private async settlePredecessors (shardId: string, epoch: number, signal: AbortSignal) {
    const { ownership, pool, clock } = this.deps
    while (!signal.aborted) {
      const predecessor = ownership.predecessor(shardId)
      if (predecessor === undefined) break
      const inFlight = await this.askPredecessor(shardId, epoch, predecessor)
      if (inFlight === 'gone' || inFlight?.size === 0) ownership.predecessorGaveUp(shardId, predecessor.epoch)
      else pool.setReserved(shardId, { byAddress: inFlight ?? new Map(), halveAll: inFlight === undefined })
      await clock.sleep(PREDECESSOR_POLL_MS, signal)
    }
    pool.setReserved(shardId, { byAddress: new Map(), halveAll: false })
  }

  /** Requests in flight at a former owner by address; undefined when it can't be asked. */
  private async askPredecessor (shardId: string, epoch: number, { member }: Predecessor): Promise<ReadonlyMap<string, number> | 'gone' | undefined> {
    const { clients, ownership } = this.deps
    const answer = await clients.superseded(member.peerAddress, { shardId, epoch, owner: ownership.self.daemonId })
    if (answer.ok) {
      if (answer.val.givenUp !== true) return undefined
      return new Map((answer.val.inFlight ?? []).map(({ address, requests }) => [address ?? '', requests ?? 0]))
    }
    return await isRefused(member.peerAddress) ? 'gone' : undefined
  }
}

/** Shards are named after their failure domain, with a number when it has several. */
function failureDomainOf (shardId: string): string {
  return shardId.split('/')[0] ?? shardId
}
