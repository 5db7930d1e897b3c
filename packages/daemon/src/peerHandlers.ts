import type { TaskView } from '@citronnotch/protocol'
import type { ConfigStore } from './config/index.js'
import type { Ownership } from './membership/index.js'
import type { Gossip, PeerHandlers } from './peers/index.js'
import type { BackendPool } from './routing/index.js'
import type { ShardManager } from './scheduler/index.js'

export interface PeerHandlersDeps {
  readonly ownership: Ownership
  readonly config: ConfigStore
  readonly manager: ShardManager
  readonly pool: BackendPool
  readonly gossip: Gossip
}

/** Returns the answers of this daemon to calls of its peers. */
export function createPeerHandlers ({ ownership, config, manager, pool, gossip }: PeerHandlersDeps): PeerHandlers {
  return {
    exchange: state => gossip.answer(state),
    fetchConfig: ({ aboveVersion }) => config.version() > (aboveVersion ?? 0)
      ? { version: config.version(), contentJson: config.contentJson() }
      : { version: 0, contentJson: '' },
    route: (shardId, req) => pool.forward(shardId, req),
    notifyPart: async ({ shardId, jobId }) => {
      const shard = manager.get(shardId ?? '')
      await shard?.scheduler.notifyPart(jobId ?? '')
      return { accepted: shard !== undefined }
    },
    partStatus: ({ shardId, jobId }) => {
      const tasks = liveTasks(manager, shardId ?? '', jobId ?? '')
      return { owned: tasks !== undefined, tasks: [...tasks ?? []] }
    },
    superseded: ({ shardId, epoch }) => {
      ownership.observeEpoch(shardId ?? '', epoch ?? 0)
      const inFlight = [...pool.inFlight(shardId ?? '')].map(([address, requests]) => ({ address, requests }))
      return { givenUp: (ownership.authority(shardId ?? '')?.epoch ?? 0) < (epoch ?? 0) && !ownership.ownedShards().some(owned => owned.shardId === shardId), inFlight }
    }
  }
}

/** Live tasks of a part, if this daemon runs its shard. */
export function liveTasks (manager: ShardManager, shardId: string, jobId: string): readonly TaskView[] | undefined {
  const shard = manager.get(shardId)
  return shard?.scheduler.tasksOf(jobId).map(task => ({
    taskId: task.taskId,
    state: task.state,
    shardId,
    attempt: task.attempt,
    ...(task.worker === undefined ? {} : { workerId: shard.scheduler.workerName(task.worker) }),
    ...(task.reason === undefined ? {} : { reason: task.reason })
  }))
}
