import type { CellView } from './cellView.js'
import type { ConfigStore } from './config/index.js'
import type { Ownership } from './membership/index.js'
import type { PeerStateProps } from './peers/index.js'
import type { BackendPool } from './routing/index.js'
import type { RunningShard, ShardManager } from './scheduler/index.js'

export interface LocalStateDeps {
  readonly ownership: Ownership
  readonly config: Pick<ConfigStore, 'version'>
  readonly manager: ShardManager
  readonly pool: Pick<BackendPool, 'room'>
  readonly view: CellView
  storeReachable (): boolean
  isLeaving (): boolean
  regionOf (failureDomain: string): string
}

/** Returns what this daemon tells its peers at each exchange. */
export function localState (deps: LocalStateDeps): PeerStateProps {
  const { ownership, config, manager } = deps
  return {
    ...ownership.self,
    configVersion: config.version(),
    storeReachable: deps.storeReachable(),
    leaving: deps.isLeaving(),
    ownedShards: manager.shards().map(shard => shardState(deps, shard)),
    knownEpochs: [...ownership.owners()].map(([shardId, { epoch, owner }]) => ({ shardId, epoch, owner: owner.daemonId }))
  }
}

function shardState ({ view, pool, regionOf }: LocalStateDeps, shard: RunningShard) {
  const { free, largestFree } = shard.placer.summary()
  const tasks = shard.scheduler.countTasks()
  const capacity = view.capacityOf(shard)
  const worker = view.largestWorkerOf(shard)
  return {
    shardId: shard.shardId,
    epoch: shard.epoch,
    region: regionOf(shard.failureDomain),
    failureDomain: shard.failureDomain,
    freeCores: free.cores,
    freeMemoryMb: free.memoryMb,
    freeAccelerators: free.accelerators,
    largestFreeCores: largestFree.cores,
    largestFreeMemoryMb: largestFree.memoryMb,
    waitingTasks: tasks.waiting,
    runningTasks: tasks.running,
    capacityCores: capacity.cores,
    capacityMemoryMb: capacity.memoryMb,
    capacityAccelerators: capacity.accelerators,
    workerCores: worker.cores,
    workerMemoryMb: worker.memoryMb,
    workerAccelerators: worker.accelerators,
    services: pool.room().filter(room => room.shardId === shard.shardId)
  }
}
