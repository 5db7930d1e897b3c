import { createHash } from 'node:crypto'
import type { Vm } from '../platform/index.js'

/**
 * Returns the shard of a worker: the failure domain, or `<failureDomain>/<n>` when a failure domain
 * has several shards. All workers of a rack belong to the same shard.
 */
export function shardIdOf (vm: Pick<Vm, 'failureDomain' | 'rack'>, shardsPerFailureDomain: number): string {
  if (shardsPerFailureDomain <= 1) return vm.failureDomain
  return `${vm.failureDomain}/${rackNumber(vm.rack) % shardsPerFailureDomain}`
}

/** Returns all shards of a failure domain. */
export function shardIdsOf (failureDomain: string, shardsPerFailureDomain: number): readonly string[] {
  if (shardsPerFailureDomain <= 1) return [failureDomain]
  return Array.from({ length: shardsPerFailureDomain }, (_, i) => `${failureDomain}/${i}`)
}

/** Orders daemons by rendezvous hashing: each shard has its own order, and a leaving daemon changes no other's place. */
export function rendezvousOrder (shardId: string, daemonIds: readonly string[]): readonly string[] {
  return daemonIds
    .map(id => ({ id, weight: hash48(`${shardId} ${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(entry => entry.id)
}

/** Numbered racks are dealt out in turn, which keeps shards even; other names are hashed. */
function rackNumber (rack: string): number {
  const digits = /(\d{1,15})$/.exec(rack)?.[1]
  return digits === undefined ? hash48(rack) : Number(digits)
}

function hash48 (text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, 6)
}
