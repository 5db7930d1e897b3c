import type { Step } from '../jobs.js'

/** Share of the cell that an account may take in one turn: smaller turns cost more time in a round, larger ones are less even. */
const TURN_SHARE = 0.01

/** A step with tasks to start. */
export interface TurnCandidate {
  readonly step: Step
  /** Number of tasks to start. */
  readonly waitingCount: number
  /** Maximum number of tasks to start in this turn. */
  readonly maxStarts: number
}

/** How accounts stand to each other. */
export interface Standing {
  /** Dominant share of what the account has running, divided by its weight. */
  weightedShare (account: string | undefined): number
  /** Dominant share of one task of a step. */
  taskShare (step: Step): number
  weight (account: string | undefined): number
  /** 0 is the highest. */
  priority (account: string | undefined): number
}

/** An account with candidates of the same rank. */
interface Entrant<C> {
  readonly account: string | undefined
  readonly candidates: C[]
  readonly weight: number
  readonly priority: number
  /** Index of the candidate whose turn is next, and when its job was admitted. */
  next: number
  admittedAtMs: number
  /** Weighted share of what the account has running, and of what it tried to start in this round. */
  share: number
  triedShare: number
}

export interface VisitOptions<C> {
  readonly compareRank: (a: C, b: C) => number
  /** Whether anything of a candidate could start now; others need no turn. */
  readonly hasRoom: (candidate: C) => boolean
  /** Starts what it can of a candidate. */
  readonly visit: (candidate: C) => void
}

export interface TurnOptions<C> extends VisitOptions<C> {
  readonly standing: () => Standing
}

/**
 * Visits candidates in their order, but among those of the same rank the one of the account with the smallest weighted
 * share. A step with many tasks gets several turns, so that no account takes all room ahead of the others.
 */
export function visitInTurns<C extends TurnCandidate> (candidates: readonly C[], { compareRank, hasRoom, standing, visit }: TurnOptions<C>): void {
  let known: Standing | undefined
  let first = 0
  while (first < candidates.length) {
    const rank: C[] = []
    let end = first
    for (; end < candidates.length && compareRank(candidates[first] as C, candidates[end] as C) === 0; end++) {
      const candidate = candidates[end] as C
      if (hasRoom(candidate)) rank.push(candidate)
      else visit(candidate)
    }
    first = end
    const isOneAccount = rank.every(({ step }) => step.job.record.account === rank[0]?.step.job.record.account)
    if (isOneAccount) for (const candidate of rank) visit(candidate)
    else takeTurns(entrantsOf(rank, known ??= standing()), known, visit)
  }
}

function entrantsOf<C extends TurnCandidate> (rank: readonly C[], standing: Standing): Array<Entrant<C>> {
  const byAccount = new Map<string | undefined, Entrant<C>>()
  for (const candidate of rank) {
    const { account } = candidate.step.job.record
    const entrant = byAccount.get(account)
    if (entrant === undefined) byAccount.set(account, { account, candidates: [candidate], weight: standing.weight(account), priority: standing.priority(account), next: 0, admittedAtMs: admittedAtOf(candidate), share: standing.weightedShare(account), triedShare: 0 })
    else entrant.candidates.push(candidate)
  }
  return [...byAccount.values()]
}

function takeTurns<C extends TurnCandidate> (entrants: ReadonlyArray<Entrant<C>>, standing: Standing, visit: (candidate: C) => void) {
  // Kept sorted; those before `head` are done or have been inserted again.
  const queue = [...entrants].sort(compareEntrants)
  for (let head = 0; head < queue.length; head++) {
    const entrant = queue[head] as Entrant<C>
    const candidate = entrant.candidates[entrant.next] as C
    const { step, waitingCount } = candidate
    const taskShare = standing.taskShare(step)
    const isLastAccount = head === queue.length - 1
    const maxStarts = isLastAccount || step.spec.gang || taskShare === 0 ? Infinity : Math.max(1, Math.floor(TURN_SHARE / taskShare))
    const waitingBefore = step.waitingTasks
    visit(maxStarts < waitingCount ? { ...candidate, maxStarts } : candidate)
    const started = waitingBefore - step.waitingTasks
    const remaining = waitingCount - started
    let tried = 0
    if (started >= maxStarts && remaining > 0) entrant.candidates[entrant.next] = { ...candidate, waitingCount: remaining }
    else {
      entrant.next++
      // What waits for a ticket takes the advice calls of its account.
      tried = Math.min(TURN_SHARE, taskShare * remaining) / entrant.weight
    }
    const next = entrant.candidates[entrant.next]
    if (next === undefined) continue
    entrant.admittedAtMs = admittedAtOf(next)
    entrant.triedShare += tried
    entrant.share = started === 0 ? entrant.share + tried : standing.weightedShare(entrant.account) + entrant.triedShare
    insert(queue, entrant, head + 1)
  }
}

/** Inserts into a list that is sorted from index `from` on. */
function insert<C extends TurnCandidate> (queue: Array<Entrant<C>>, entrant: Entrant<C>, from: number) {
  let low = from
  let high = queue.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (compareEntrants(queue[middle] as Entrant<C>, entrant) <= 0) low = middle + 1
    else high = middle
  }
  queue.splice(low, 0, entrant)
}

function compareEntrants<C extends TurnCandidate> (a: Entrant<C>, b: Entrant<C>): number {
  return a.share - b.share || a.priority - b.priority || a.admittedAtMs - b.admittedAtMs
}

function admittedAtOf ({ step }: TurnCandidate): number {
  return step.job.record.admittedAtMs
}
