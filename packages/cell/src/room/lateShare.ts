import type { Job } from '../jobs.js'
import { reservedShareOf, startCostMsOf } from './jobCost.js'
import type { StartCostTerms } from './jobCost.js'

/**
 * Share of the capacity that jobs which are too late to count get all the same, so that each accepted job ends. It costs
 * jobs that are on time 5% of the capacity at most, and work of one second of all workers ends within 20 s under any load.
 */
export const LATE_SHARE = 0.05
/** Share that is saved up before late jobs go first, in milliseconds of the whole cell: 4 s worth, in which workers become free for a gang. */
const TURN_CREDIT_MS = 4_000 * LATE_SHARE
/**
 * Largest debt, in milliseconds of the whole cell: no late job waits for more than a minute because of what another one
 * took. Jobs of which more than 3 s of work start in one turn get more than the share; without the bound, one of 60 s would
 * keep all others waiting for 20 minutes.
 */
const MAX_DEBT_MS = 60_000 * LATE_SHARE
/** Longest turn of a late job, in milliseconds: one of which nothing can start uses up no credit. */
const MAX_TURN_MS = 4_000
/** Longest time between two renewals that counts, in milliseconds: a leader that stands still for longer keeps nothing free meanwhile. */
const MAX_RENEWAL_INTERVAL_MS = 4_000
/** Maximum number of late jobs that have their turn at the same time; bounds what a scheduling round tries first. */
const MAX_PARALLEL_TURNS = 16

/** A live job that is too late to count, or one without an objective that is overdue. */
export interface LateJob {
  readonly job: Job
  /** Cost of starting its waiting tasks, as `startCostMsOf` counts it. */
  readonly waitingMs: number
  /** Part of the cell that is kept free for the job, if workers are kept free for it in its turn. */
  readonly reservedShare: () => number
}

/** A late job by what it still has to start. */
export function lateJobOf (job: Job, terms: StartCostTerms): LateJob {
  const waiting = [...job.liveSteps()].map(({ spec, waitingTasks }) => ({ spec, tasks: waitingTasks }))
  return { job, waitingMs: startCostMsOf(waiting, terms), reservedShare: () => reservedShareOf(job, terms.cell) }
}

/** What the late jobs of an account have had of their share. */
interface AccountUse {
  /** In milliseconds of the whole cell. */
  usedMs: number
  /** Number of the latest renewal at which workers were kept free for one of them; -1 before. */
  keptAt: number
}

/**
 * Gives late jobs their share: as many as it covers go before all others at the same time, until it is used up. Client accounts get equal parts of it, so that the number of late jobs of one doesn't delay those of others.
 */
export class LateShare {
  private creditMs = 0
  private isTurn = false
  private renewedAt = -Infinity
  /** Jobs whose turn it is, with the monotonic times at which their turns began, in milliseconds. */
  private readonly turns = new Map<Job, { readonly since: number, readonly late: LateJob }>()
  /** The one among them that workers are kept free for. */
  private kept: Job | undefined
  /** Number of places given out in the queue of turns, and the place of each job: the end of the queue as it became late, and after each turn. */
  private placeCount = 0
  private readonly places = new WeakMap<Job, number>()
  /** Number of renewals, and by job that of the latest one at which workers were kept free for it. */
  private renewalCount = 0
  private readonly keptAt = new WeakMap<Job, number>()
  private accountUses = new Map<string | undefined, AccountUse>()

  private constructor (private readonly canStart: (job: Job) => boolean) {}

  /**
   * `canStart`: whether tasks of a job may be started at all, for instance within the limit of its account.
   * @default all may
   */
  static create (canStart: (job: Job) => boolean = () => true): LateShare {
    return new LateShare(canStart)
  }

  // Queries

  /** Whether it is the turn of a job. */
  goesFirst (job: Job): boolean {
    return this.turns.has(job)
  }

  /** Whether workers are kept free for a job: for one at a time of those whose turn it is. */
  keepsRoom (job: Job): boolean {
    return this.kept === job
  }

  // Commands

  /** Records the start of tasks of a job; `workMs` as `startCostMsOf` counts it. What late jobs get without going first costs them nothing. */
  recordStart (job: Job, workMs: number): void {
    if (this.goesFirst(job)) this.charge(job, workMs)
  }

  /** Chooses whose turn it is among late jobs; `now` is a monotonic time in milliseconds. */
  renew (late: readonly LateJob[], now: number): void {
    const elapsedMs = this.renewedAt === -Infinity ? 0 : Math.min(MAX_RENEWAL_INTERVAL_MS, now - this.renewedAt)
    this.renewedAt = now
    this.renewalCount++
    this.chargeTurns(elapsedMs)
    this.creditMs = Math.min(TURN_CREDIT_MS, this.creditMs + LATE_SHARE * elapsedMs)
    this.isTurn = this.creditMs >= TURN_CREDIT_MS || (this.isTurn && this.creditMs > 0)
    const waiting = late.filter(({ job }) => hasStartableStep(job))
    this.addPlaces(waiting)
    this.updateAccounts(waiting)
    this.endTurns(waiting, now)
    if (!this.isTurn) return
    if (this.kept === undefined) this.keepFor(this.nextKept(waiting), now)
    this.beginTurns(waiting, now)
  }

  private addPlaces (waiting: readonly LateJob[]) {
    const added = waiting.filter(({ job }) => !this.places.has(job)).sort((a, b) => a.job.record.admittedAtMs - b.job.record.admittedAtMs)
    for (const { job } of added) this.places.set(job, this.placeCount++)
  }

  /** A turn costs its account a part of the share also if nothing starts in it: jobs that can start nowhere would have all turns otherwise. */
  private chargeTurns (elapsedMs: number) {
    for (const [job, { late }] of this.turns) {
      const { account } = job.record
      const use = this.accountUses.get(account)
      if (use !== undefined) use.usedMs += LATE_SHARE * elapsedMs / MAX_PARALLEL_TURNS
      if (job !== this.kept) continue
      this.charge(job, elapsedMs * late.reservedShare())
      this.keptAt.set(job, this.renewalCount)
      if (use !== undefined) use.keptAt = this.renewalCount
    }
  }

  private charge (job: Job, workMs: number) {
    this.creditMs = Math.max(-MAX_DEBT_MS, this.creditMs - workMs)
    const use = this.accountUses.get(job.record.account)
    if (use !== undefined) use.usedMs += workMs
  }

  /**
   * Forgets accounts without late jobs. Those that have some for the first time get no more of the share than the others
   * from now on, and none waits for longer than a debt lasts because of what one of its jobs took.
   */
  private updateAccounts (waiting: readonly LateJob[]) {
    const accounts = new Set(waiting.map(({ job }) => job.record.account))
    const known = new Map([...this.accountUses].filter(([account]) => accounts.has(account)))
    const leastMs = known.size === 0 ? 0 : Math.min(...[...known.values()].map(({ usedMs }) => usedMs))
    this.accountUses = new Map([...accounts].map(account => {
      const { usedMs, keptAt } = known.get(account) ?? { usedMs: leastMs, keptAt: -1 }
      return [account, { usedMs: Math.min(usedMs, leastMs + MAX_DEBT_MS), keptAt }]
    }))
  }

  private endTurns (waiting: readonly LateJob[], now: number) {
    const byJob = new Map(waiting.map(late => [late.job, late]))
    for (const [job, { since }] of [...this.turns]) {
      const late = byJob.get(job)
      if (this.isTurn && late !== undefined && now - since < MAX_TURN_MS && this.canStart(job)) this.turns.set(job, { since, late })
      else {
        this.turns.delete(job)
        this.places.set(job, this.placeCount++)
        if (job === this.kept) this.kept = undefined
      }
    }
  }

  /** Of the account for which no workers were kept free for longest, the job that this holds for. */
  private nextKept (waiting: readonly LateJob[]): LateJob | undefined {
    const keysOf = ({ job }: LateJob) => [this.accountUses.get(job.record.account)?.keptAt ?? -1, this.keptAt.get(job) ?? -1, this.places.get(job) ?? -1] as const
    const sorted = waiting.map(late => ({ late, keys: keysOf(late) })).sort(({ keys: a }, { keys: b }) => a[0] - b[0] || a[1] - b[1] || a[2] - b[2])
    return sorted.find(({ late: { job } }) => this.canStart(job))?.late
  }

  /** The job gets a whole turn, whatever it takes. */
  private keepFor (late: LateJob | undefined, now: number) {
    this.kept = late?.job
    if (late !== undefined) this.turns.set(late.job, { since: now, late })
  }

  /** Others join the job that workers are kept free for as far as the rest of the share covers them. */
  private beginTurns (waiting: readonly LateJob[], now: number) {
    let restMs = this.creditMs
    for (const { late } of this.turns.values()) if (!this.keepsRoom(late.job)) restMs -= late.waitingMs
    for (const late of this.inOrder(waiting.filter(({ job, waitingMs }) => waitingMs <= restMs && !this.turns.has(job)))) {
      if (this.turns.size >= MAX_PARALLEL_TURNS) return
      if (late.waitingMs > restMs || !this.canStart(late.job)) continue
      restMs -= late.waitingMs
      this.turns.set(late.job, { since: now, late })
    }
  }

  /** Late jobs in the order of their turns: of the account that has used least, the one that has waited longest for a turn. */
  private * inOrder (waiting: readonly LateJob[]): Iterable<LateJob> {
    const placeOf = ({ job }: LateJob) => this.places.get(job) ?? -1
    const entrants = new Map<string | undefined, { readonly jobs: LateJob[], usedMs: number }>()
    for (const late of [...waiting].sort((a, b) => placeOf(a) - placeOf(b))) {
      const { account } = late.job.record
      const entrant = entrants.get(account)
      if (entrant === undefined) entrants.set(account, { jobs: [late], usedMs: this.accountUses.get(account)?.usedMs ?? 0 })
      else entrant.jobs.push(late)
    }
    for (let count = 0; count < waiting.length; count++) {
      let next: { readonly jobs: LateJob[], usedMs: number } | undefined
      for (const entrant of entrants.values()) if (entrant.jobs.length > 0 && (next === undefined || entrant.usedMs < next.usedMs)) next = entrant
      const late = next?.jobs.shift()
      if (next === undefined || late === undefined) return
      next.usedMs += late.waitingMs
      yield late
    }
  }
}

/** Whether a round may start tasks of the job: others wait for earlier steps, or for the runs of their gang to end. */
function hasStartableStep (job: Job): boolean {
  return [...job.liveSteps()].some(step => step.obstacle() === undefined)
}
