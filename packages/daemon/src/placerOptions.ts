import type { ResolvedCellConfig } from '@citronnotch/config'
import type { ShardRoom } from './jobs/index.js'
import type { PlacerOptions } from './placement/index.js'
import type { Resources } from './workers/index.js'

/**
 * Returns the placement options of a shard from the configuration in force. A team's quota holds for
 * the cell; each shard enforces the part that its share of the cell's capacity gives it.
 */
export function placerOptions (config: ResolvedCellConfig | undefined, shardId: string, rooms: readonly ShardRoom[]): PlacerOptions {
  if (config === undefined) return {}
  const teams = Object.entries(config.teams)
  return {
    ...config.placement,
    teamShares: Object.fromEntries(teams.map(([team, { share }]) => [team, share])),
    teamQuotas: Object.fromEntries(teams.map(([team, { quota }]) => [team, shardQuota(quota, shardId, rooms)]))
  }
}

function shardQuota (quota: Partial<Resources>, shardId: string, rooms: readonly ShardRoom[]): Partial<Resources> {
  const entries = Object.entries(quota) as ReadonlyArray<readonly [keyof Resources, number]>
  return Object.fromEntries(entries.map(([resource, limit]) => [resource, limit * shareOfCapacity(resource, shardId, rooms)]))
}

function shareOfCapacity (resource: keyof Resources, shardId: string, rooms: readonly ShardRoom[]): number {
  const total = rooms.reduce((sum, room) => sum + room.capacity[resource], 0)
  const own = rooms.find(room => room.shardId === shardId)?.capacity[resource]
  return own === undefined || total === 0 ? 1 : own / total
}
