import type { Ledger, Occupied, WorkerEntry } from './ledger.js'
import { unused } from './ledger.js'
import type { Vector } from './vector.js'
import { add, fits } from './vector.js'
import type { Shape, Team } from './waitingQueue.js'

/** A worker on which stopping `victims` makes room. */
export interface PreemptionPlan {
  readonly worker: WorkerEntry
  /** Empty when tasks that are already being stopped make enough room. */
  readonly victims: readonly Occupied[]
}

/** Work lost by stopping a task that can be checkpointed, in milliseconds: less than any restart costs. */
const CHECKPOINT_LOSS_MS = 1_000
/** Tasks of each team, by increasing loss, whose workers are examined. */
const SEEDS_PER_TEAM = 16
/** Workers examined for one plan; bounds the time of a decision. */
const MAX_WORKERS = 64

/** Finds the worker where the least work is lost, among those that run the tasks with the least loss. */
export function planPreemption (
  shape: Shape,
  ledger: Ledger,
  donors: Iterable<Team>,
  mayStop: (occupied: Occupied) => boolean,
  now: number
): PreemptionPlan | undefined {
  const beingFreed = findBeingFreed(shape, ledger)
  if (beingFreed !== undefined) return { worker: beingFreed, victims: [] }
  const seeds = seedsOf(donors, mayStop).sort((a, b) => lossOf(a, now) - lossOf(b, now))
  const examined = new Set<WorkerEntry>()
  let best: PreemptionPlan | undefined
  let bestLoss = Infinity
  for (const seed of seeds) {
    // Any plan on a worker that was not examined yet loses at least as much as its cheapest task.
    if (lossOf(seed, now) >= bestLoss || examined.size >= MAX_WORKERS) break
    const { worker } = seed
    if (examined.has(worker)) continue
    examined.add(worker)
    if (!ledger.isOpen(worker) || !shape.domains.includes(worker.domain)) continue
    const victims = chooseVictims(worker, shape.demand, mayStop, now)
    if (victims === undefined) continue
    const loss = victims.reduce((sum, victim) => sum + lossOf(victim, now), 0)
    if (loss >= bestLoss) continue
    bestLoss = loss
    best = { worker, victims }
  }
  return best
}

/** Work that is lost when a task is stopped now, in milliseconds of run time. */
export function lossOf ({ task, startedAt }: Occupied, now: number): number {
  return task.checkpointable ? Math.min(CHECKPOINT_LOSS_MS, now - startedAt) : now - startedAt
}

/** Tasks to stop on one worker until `demand` fits, or undefined if that is impossible. */
export function chooseVictims (worker: WorkerEntry, demand: Readonly<Vector>, mayStop: (occupied: Occupied) => boolean, now: number): Occupied[] | undefined {
  const room = roomAfterReleases(worker)
  const candidates: Occupied[] = []
  for (const occupied of worker.tasks.values()) {
    if (occupied.preemptedFor === undefined && mayStop(occupied)) candidates.push(occupied)
  }
  candidates.sort((a, b) => lossOf(a, now) - lossOf(b, now))
  const victims: Occupied[] = []
  for (const candidate of candidates) {
    if (fits(demand, room)) break
    victims.push(candidate)
    add(room, candidate.demand)
  }
  if (!fits(demand, room)) return undefined
  // A later victim may have made earlier ones unnecessary; the most expensive are spared first.
  for (let i = victims.length - 1; i >= 0; i--) {
    add(room, victims[i]!.demand, -1)
    if (fits(demand, room)) victims.splice(i, 1)
    else add(room, victims[i]!.demand)
  }
  return victims
}

/** What no other task has been promised once the tasks being stopped are gone. */
export function roomAfterReleases (worker: WorkerEntry): Vector {
  const room = unused(worker)
  add(room, worker.releasing)
  add(room, worker.claimed, -1)
  add(room, worker.reserved, -1)
  return room
}

function findBeingFreed (shape: Shape, ledger: Ledger): WorkerEntry | undefined {
  for (const worker of ledger.freeing) {
    if (ledger.isOpen(worker) && shape.domains.includes(worker.domain) && fits(shape.demand, roomAfterReleases(worker))) return worker
  }
  return undefined
}

/** The tasks with the least loss of each team. */
function seedsOf (donors: Iterable<Team>, mayStop: (occupied: Occupied) => boolean): Occupied[] {
  const seeds: Occupied[] = []
  for (const team of donors) {
    for (const list of [team.checkpointable, team.restartable]) {
      let count = 0
      for (let occupied = list.latest; occupied !== undefined && count < SEEDS_PER_TEAM; occupied = occupied.older) {
        if (!mayStop(occupied)) continue
        seeds.push(occupied)
        count++
      }
    }
  }
  return seeds
}
