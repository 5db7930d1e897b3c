import { Err, Ok } from '@citronnotch/protocol'
import type { JobKind, JobSpec, Result } from '@citronnotch/protocol'
import { Failure } from '../errors.js'
import type { Resources } from '../workers/index.js'
import type { ShardRoom } from './types.js'

/** Tasks of each shard, as index ranges `[from, to)`. */
export type JobParts = Readonly<Record<string, { readonly from: number, readonly to: number }>>

type Splitter = (spec: JobSpec, shards: readonly ShardRoom[], random: () => number) => Result<JobParts, Failure>

const splitters: Readonly<Record<JobKind, Splitter>> = {
  service: spreadOverDomains,
  batch: spreadByRoom,
  gang: placeWhole
}

/**
 * Divides the tasks of a job over shards. Refuses a job that can never run.
 * `random` returns numbers in [0, 1).
 */
export function splitJob (spec: JobSpec, shards: readonly ShardRoom[], random: () => number): Result<JobParts, Failure> {
  if (shards.length === 0) {
    return Err(Failure.notRun('no-shards', 'No shard of the cell is known to this daemon yet.', 'Try again in a few seconds.'))
  }
  const allowed = shards.filter(shard => isAllowed(spec, shard))
  if (allowed.length === 0) {
    return Err(Failure.notRun('never-fits', `No shard lies in the regions [${spec.regions.join(', ')}] and failure domains [${spec.failureDomains.join(', ')}] of the job.`, 'Check the names of the regions and failure domains.'))
  }
  const fitting = allowed.filter(shard => fits(spec, shard.largestWorker))
  if (fitting.length === 0) {
    return Err(Failure.notRun('never-fits', `No worker has ${describe(spec)} for one task.`, 'Ask for less in one task.'))
  }
  return splitters[spec.kind](spec, fitting, random)
}

function isAllowed (spec: JobSpec, shard: ShardRoom): boolean {
  return (spec.regions.length === 0 || spec.regions.includes(shard.region)) &&
    (spec.failureDomains.length === 0 || spec.failureDomains.includes(shard.failureDomain))
}

function fits (need: Resources, room: Resources): boolean {
  return need.cores <= room.cores && need.memoryMb <= room.memoryMb && need.accelerators <= room.accelerators
}

function describe ({ cores, memoryMb, accelerators }: Resources): string {
  return `${cores} cores, ${memoryMb} MiB and ${accelerators} accelerators`
}

/** Number of tasks for which `room` is enough, leaving fragmentation aside. */
function countFitting (spec: JobSpec, room: Resources): number {
  return Math.floor(Math.min(
    room.cores / spec.cores,
    room.memoryMb / spec.memoryMb,
    spec.accelerators === 0 ? Infinity : room.accelerators / spec.accelerators
  ))
}

/** The same number of tasks in each failure domain, and within one in each shard. */
function spreadOverDomains (spec: JobSpec, shards: readonly ShardRoom[], random: () => number): Result<JobParts, Failure> {
  const domains = [...new Set(shards.map(shard => shard.failureDomain))]
  const weights = shards.map(shard => 1 / (domains.length * shards.filter(other => other.failureDomain === shard.failureDomain).length))
  return Ok(divide(spec.tasks, shards, weights, random))
}

/** By what is free now, and by capacity for what does not fit now. */
function spreadByRoom (spec: JobSpec, shards: readonly ShardRoom[], random: () => number): Result<JobParts, Failure> {
  const free = shards.map(shard => Math.max(0, countFitting(spec, shard.free) - shard.waitingTasks))
  const totalFree = sum(free)
  const capacity = shards.map(shard => countFitting(spec, shard.capacity))
  const excess = Math.max(0, spec.tasks - totalFree)
  const totalCapacity = Math.max(1, sum(capacity))
  const weights = shards.map((_, i) => (free[i] ?? 0) + excess * (capacity[i] ?? 0) / totalCapacity)
  return Ok(divide(spec.tasks, shards, weights, random))
}

/** The whole job in one shard; one that has room now if there is any. */
function placeWhole (spec: JobSpec, shards: readonly ShardRoom[], random: () => number): Result<JobParts, Failure> {
  const possible = shards.filter(shard => countFitting(spec, shard.capacity) >= spec.tasks)
  if (possible.length === 0) {
    return Err(Failure.notRun('never-fits', `No shard has room for ${spec.tasks} tasks of ${describe(spec)} at once.`, 'A gang job runs within one failure domain; ask for fewer or smaller tasks.'))
  }
  const score = (shard: ShardRoom) => {
    const fitsNow = countFitting(spec, shard.free) >= spec.tasks
    return (fitsNow ? 1e9 : 0) + countFitting(spec, shard.free) - shard.waitingTasks + random()
  }
  const best = possible.map(shard => ({ shard, score: score(shard) })).sort((a, b) => b.score - a.score)[0]
  return Ok(best === undefined ? {} : { [best.shard.shardId]: { from: 0, to: spec.tasks } })
}

/** Divides `tasks` in proportion to `weights`; remainders go to shards drawn by weight. */
function divide (tasks: number, shards: readonly ShardRoom[], weights: readonly number[], random: () => number): JobParts {
  const total = sum(weights)
  const shares = weights.map(weight => total === 0 ? tasks / shards.length : tasks * weight / total)
  const counts = shares.map(Math.floor)
  let open = tasks - sum(counts)
  const remainders = shares.map((share, i) => share - (counts[i] ?? 0))
  while (open > 0) {
    const at = draw(remainders, random)
    counts[at] = (counts[at] ?? 0) + 1
    remainders[at] = 0
    open--
  }
  return toRanges(shards, counts)
}

function draw (weights: readonly number[], random: () => number): number {
  const total = sum(weights)
  if (total === 0) return Math.floor(random() * weights.length)
  let left = random() * total
  for (const [i, weight] of weights.entries()) {
    left -= weight
    if (left < 0) return i
  }
  return weights.findLastIndex(weight => weight > 0)
}

function toRanges (shards: readonly ShardRoom[], counts: readonly number[]): JobParts {
  const parts: Record<string, { from: number, to: number }> = {}
  let from = 0
  for (const [i, shard] of shards.entries()) {
    const count = counts[i] ?? 0
    if (count === 0) continue
    parts[shard.shardId] = { from, to: from + count }
    from += count
  }
  return parts
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
