import type { PeerState } from './peers/index.js'
import type { Member, Ownership } from './membership/index.js'
import type { ShardRoom } from './jobs/index.js'
import type { BackendPool, OwnedRoom } from './routing/index.js'
import type { RunningShard } from './scheduler/index.js'
import type { Resources } from './workers/index.js'

export interface CellViewDeps {
  readonly ownership: Ownership
  readonly pool: Pick<BackendPool, 'room'>
  /** Last state of each peer that answers. */
  peerStates (): readonly PeerState[]
  /** Shards that this daemon runs. */
  ownShards (): readonly RunningShard[]
  regionOf (failureDomain: string): string
}

const NOTHING: Resources = { cores: 0, memoryMb: 0, accelerators: 0 }

/** What this daemon knows of the whole cell, from its own shards and from gossip. */
export class CellView {
  /** Last known room of each shard; a shard without an owner keeps its capacity. */
  private readonly lastRooms = new Map<string, ShardRoom>()

  private constructor (private readonly deps: CellViewDeps) {}

  static create (deps: CellViewDeps): CellView {
    return new CellView(deps)
  }

  /** Room of all shards that were ever heard of; nothing is free where nobody answers. */
  shardRooms (): readonly ShardRoom[] {
    const current = new Map([...this.peerRooms(), ...this.ownRooms()].map(room => [room.shardId, room]))
    for (const [shardId, room] of current) this.lastRooms.set(shardId, room)
    return [...this.lastRooms.values()].map(room => current.get(room.shardId) ?? { ...room, free: NOTHING })
  }

  /** Room of services at the present owners of shards. */
  serviceRooms (): readonly OwnedRoom[] {
    const { ownership, pool } = this.deps
    const own = pool.room().map(room => ({ ...room, owner: ownership.self, local: true }))
    const remote = this.deps.peerStates().flatMap(state => (state.ownedShards ?? []).flatMap(shard =>
      (shard.services ?? []).map(service => ({
        shardId: shard.shardId ?? '',
        service: service.service ?? '',
        backendServers: service.backendServers ?? 0,
        freeSlots: service.freeSlots ?? 0,
        queuedRequests: service.queuedRequests ?? 0,
        owner: memberOf(state),
        local: false
      }))))
    return [...own, ...remote]
  }

  /** Present owner of a shard, as far as known. */
  ownerOf (shardId: string): Member | undefined {
    const state = this.deps.peerStates().find(peer => peer.ownedShards?.some(shard => shard.shardId === shardId))
    return state === undefined ? this.deps.ownership.owners().get(shardId)?.owner : memberOf(state)
  }

  /** Capacity of a shard's workers together. */
  capacityOf (shard: RunningShard): Resources {
    return (shard.vms ?? []).reduce<Resources>((sum, vm) => add(sum, vm), NOTHING)
  }

  largestWorkerOf (shard: RunningShard): Resources {
    return (shard.vms ?? []).reduce<Resources>((largest, vm) => ({
      cores: Math.max(largest.cores, vm.cores),
      memoryMb: Math.max(largest.memoryMb, vm.memoryMb),
      accelerators: Math.max(largest.accelerators, vm.accelerators)
    }), NOTHING)
  }

  private ownRooms (): readonly ShardRoom[] {
    return this.deps.ownShards().filter(shard => shard.vms !== undefined).map(shard => {
      const { free, waitingTasks } = shard.placer.summary()
      return {
        shardId: shard.shardId,
        region: this.deps.regionOf(shard.failureDomain),
        failureDomain: shard.failureDomain,
        capacity: this.capacityOf(shard),
        largestWorker: this.largestWorkerOf(shard),
        free,
        waitingTasks
      }
    })
  }

  private peerRooms (): readonly ShardRoom[] {
    return this.deps.peerStates().flatMap(state => (state.ownedShards ?? []).filter(shard => (shard.capacityCores ?? 0) > 0).map(shard => ({
      shardId: shard.shardId ?? '',
      region: shard.region ?? '',
      failureDomain: shard.failureDomain ?? '',
      capacity: { cores: shard.capacityCores ?? 0, memoryMb: shard.capacityMemoryMb ?? 0, accelerators: shard.capacityAccelerators ?? 0 },
      largestWorker: { cores: shard.workerCores ?? 0, memoryMb: shard.workerMemoryMb ?? 0, accelerators: shard.workerAccelerators ?? 0 },
      free: { cores: shard.freeCores ?? 0, memoryMb: shard.freeMemoryMb ?? 0, accelerators: shard.freeAccelerators ?? 0 },
      waitingTasks: shard.waitingTasks ?? 0
    })))
  }
}

export function memberOf (state: PeerState): Member {
  return {
    daemonId: state.daemonId ?? '',
    incarnation: state.incarnation ?? '',
    region: state.region ?? '',
    failureDomain: state.failureDomain ?? '',
    peerAddress: state.peerAddress ?? '',
    callerAddress: state.callerAddress ?? '',
    operatorAddress: state.operatorAddress ?? ''
  }
}

function add (a: Resources, b: Resources): Resources {
  return { cores: a.cores + b.cores, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators }
}
