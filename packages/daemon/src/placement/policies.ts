import type { JobKind } from '@citronnotch/protocol'
import type { WorkerEntry } from './ledger.js'
import type { Vector } from './vector.js'
import { fits } from './vector.js'
import type { Shape } from './waitingQueue.js'

/** Tasks of one job by place, for spreading. */
export interface JobSpread {
  readonly byDomain: Map<string, number>
  readonly byRack: Map<string, number>
  readonly byWorker: Map<string, number>
}

export interface SearchContext {
  readonly packingWeight: number
  /** False for workers on which the job has already failed. */
  readonly preferred: (entry: WorkerEntry) => boolean
  readonly spread: JobSpread | undefined
  /** Changes from search to search, so that different racks are visited. */
  readonly turn: number
}

export interface KindPolicy {
  /** A running task may be stopped for urgent work or to return a lent share. */
  readonly preemptible: boolean
  /** Chooses a worker that has room for one task of the shape now. */
  readonly choose: (shape: Shape, context: SearchContext) => WorkerEntry | undefined
}

/** Candidates scored for one place. */
const MAX_CANDIDATES = 16
/** Racks visited for one place of a service, and workers examined in each. */
const MAX_RACKS = 16
const MAX_WORKERS_OF_RACK = 8
// Weights that order the spread of a service: domains, then racks, then workers, then the fit.
const DOMAIN_WEIGHT = 1_000_000
const RACK_WEIGHT = 1_000
const WORKER_WEIGHT = 10

export const POLICIES: Readonly<Record<JobKind, KindPolicy>> = {
  service: { preemptible: false, choose: chooseSpread },
  batch: { preemptible: true, choose: choosePacked },
  gang: { preemptible: false, choose: choosePacked }
}

function choosePacked (shape: Shape, context: SearchContext): WorkerEntry | undefined {
  return bestOf(candidatesOf(shape, context), entry => fitCost(shape.demand, entry, context.packingWeight))
}

function chooseSpread (shape: Shape, context: SearchContext): WorkerEntry | undefined {
  const candidates = candidatesOf(shape, context)
  if (candidates.length === 0) return undefined
  addFromRacks(shape, context, candidates)
  return bestOf(candidates, entry => spreadCost(entry, context.spread) + fitCost(shape.demand, entry, context.packingWeight))
}

/** Workers with room, from both ends of the index in proportion to the packing weight. */
function candidatesOf (shape: Shape, context: SearchContext): WorkerEntry[] {
  const found: WorkerEntry[] = []
  const tightest = Math.round(MAX_CANDIDATES * context.packingWeight)
  for (const { index } of shape.domains) {
    const enough = found.length + MAX_CANDIDATES
    if (tightest > 0) index.collect(shape.demand, found.length + tightest, true, found, context.preferred)
    if (tightest < MAX_CANDIDATES) index.collect(shape.demand, enough, false, found, context.preferred)
  }
  if (found.length > 0) return found
  for (const { index } of shape.domains) index.collect(shape.demand, found.length + MAX_CANDIDATES, true, found, () => true)
  return found
}

/** Adds workers of racks that hold no task of the job, so that the spread does not depend on the fit. */
function addFromRacks (shape: Shape, { spread, turn, preferred }: SearchContext, candidates: WorkerEntry[]) {
  for (const domain of shape.domains) {
    const { rackNames, racks } = domain
    for (let i = 0; i < Math.min(MAX_RACKS, rackNames.length); i++) {
      const name = rackNames[(turn + i) % rackNames.length]!
      if (spread?.byRack.has(rackKey(domain, name))) continue
      let examined = 0
      for (const entry of racks.get(name)!) {
        if (++examined > MAX_WORKERS_OF_RACK) break
        if (entry.slot !== undefined && fits(shape.demand, entry.available) && preferred(entry)) candidates.push(entry)
      }
    }
  }
}

function bestOf (candidates: readonly WorkerEntry[], costOf: (entry: WorkerEntry) => number): WorkerEntry | undefined {
  let best: WorkerEntry | undefined
  let bestCost = Infinity
  for (const entry of candidates) {
    const cost = costOf(entry)
    if (cost >= bestCost) continue
    bestCost = cost
    best = entry
  }
  return best
}

/** Low for a tight and balanced remainder when packing, low for much room when spreading. */
function fitCost (demand: Readonly<Vector>, { available, capacity }: WorkerEntry, packingWeight: number): number {
  const cores = (available.cores - demand.cores) / Math.max(1, capacity.cores)
  const memory = (available.memory - demand.memory) / Math.max(1, capacity.memory)
  const packed = cores + memory + Math.abs(cores - memory)
  return packingWeight * packed - (1 - packingWeight) * Math.min(cores, memory)
}

function spreadCost (entry: WorkerEntry, spread: JobSpread | undefined): number {
  if (spread === undefined) return 0
  return DOMAIN_WEIGHT * (spread.byDomain.get(domainKey(entry.domain)) ?? 0) +
    RACK_WEIGHT * (spread.byRack.get(rackKey(entry.domain, entry.worker.rack)) ?? 0) +
    WORKER_WEIGHT * (spread.byWorker.get(entry.worker.workerId) ?? 0)
}

/** Counts a task of the job on a worker, or with -1 takes it back. */
export function countSpread (spread: JobSpread, entry: WorkerEntry, change: 1 | -1): void {
  countIn(spread.byDomain, domainKey(entry.domain), change)
  countIn(spread.byRack, rackKey(entry.domain, entry.worker.rack), change)
  countIn(spread.byWorker, entry.worker.workerId, change)
}

function countIn (counts: Map<string, number>, key: string, change: 1 | -1) {
  const count = (counts.get(key) ?? 0) + change
  if (count === 0) counts.delete(key)
  else counts.set(key, count)
}

function domainKey ({ region, failureDomain }: WorkerEntry['domain']): string {
  return `${region}/${failureDomain}`
}

function rackKey (domain: WorkerEntry['domain'], rack: string): string {
  return `${domainKey(domain)}/${rack}`
}
