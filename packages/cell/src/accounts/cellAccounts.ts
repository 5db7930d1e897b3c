import type { Job, Step } from '../jobs.js'
import type { JobRecord } from '../jobRecord.js'
import { dominantShare } from '../resources.js'
import type { ResourceVector } from '../types.js'
import type { WorkerLink } from '../workerLink.js'
import { AccountLimits } from './accountLimits.js'
import { NO_ACCOUNTS } from './accountRules.js'
import type { AccountRules } from './accountRules.js'
import type { AccountTerms } from './accountTerms.js'
import { visitInTurns } from './accountTurns.js'
import type { Standing, TurnCandidate, VisitOptions } from './accountTurns.js'
import { AccountUsage } from './accountUsage.js'
import { ArrivalShares } from './arrivalShares.js'
import { HiddenUsage } from './hiddenUsage.js'
import type { HiddenRuns } from './hiddenUsage.js'

export interface CellAccountsOptions {
  readonly terms: AccountTerms
  /** Fraction by which an account may exceed its limit before that counts as a breach; undefined if limits are not enforced. */
  readonly overage: number | undefined
  /** Number of jobs that an account is owed at once, beyond those of one second by its weight. */
  readonly burstJobs: number
  readonly workers: () => Iterable<WorkerLink>
  /** A live job, or one that has ended and may still have runs of earlier leaders, as far as this leader has read it. */
  readonly recordOf: (jobId: string) => JobRecord | undefined
}

/** The accounts of a cell as its leader applies them: limits, shares, and the order among accounts. */
export class CellAccounts implements AccountRules {
  readonly usage: AccountUsage
  readonly hidden = HiddenUsage.create()
  private readonly limits: AccountLimits
  private readonly shares: ArrivalShares

  private constructor (private readonly options: CellAccountsOptions) {
    const { terms, overage, burstJobs, recordOf } = options
    this.usage = AccountUsage.create(recordOf)
    this.limits = AccountLimits.create({ terms, usage: this.usage, hidden: this.hidden, overage })
    this.shares = ArrivalShares.create(terms, burstJobs)
  }

  static create (options: CellAccountsOptions): CellAccounts {
    return new CellAccounts(options)
  }

  // Queries

  areInUse (): boolean {
    return this.options.terms.areInUse()
  }

  startable (step: Step, wanted: number): number {
    return this.limits.startable(step, wanted)
  }

  isExcess (job: Job, unixMs: number): boolean {
    return this.areInUse() && this.shares.isExcess(job, unixMs)
  }

  knownExcess (job: Job): boolean | undefined {
    return this.areInUse() ? this.shares.knownExcess(job) : false
  }

  /** What an account may still start by its limit; a resource without a limit is infinite. */
  left (account: string): ResourceVector | 'unlimited' {
    return this.limits.left(account)
  }

  visitInTurns<C extends TurnCandidate> (candidates: readonly C[], options: VisitOptions<C>): void {
    if (this.areInUse()) visitInTurns(candidates, { ...options, standing: () => this.standing() })
    else NO_ACCOUNTS.visitInTurns(candidates, options)
  }

  /** Resources of all workers, of which accounts have their shares. */
  capacity (): ResourceVector {
    const total = { milliCores: 0, memoryMb: 0, accelerators: 0 }
    for (const { entry: { capacity } } of this.options.workers()) {
      total.milliCores += capacity.milliCores
      total.memoryMb += capacity.memoryMb
      total.accelerators += capacity.accelerators
    }
    return total
  }

  // Commands

  /** Takes note of a job that this leader has read. */
  jobAdded (job: Job): void {
    this.shares.add(job)
  }

  /** Sets what may run without this leader knowing; undefined if nothing may. Costs nothing where limits are not enforced. */
  updateHidden (hidden: () => HiddenRuns | undefined): void {
    if (this.options.overage !== undefined && this.areInUse()) this.hidden.update(hidden())
  }

  private standing (): Standing {
    const { terms } = this.options
    const capacity = this.capacity()
    const termsOf = (account: string | undefined) => account === undefined ? undefined : terms.get(account)
    // Jobs without an account rank like an account with a share of one.
    const weight = (account: string | undefined) => termsOf(account)?.weight ?? 1
    return {
      weight,
      weightedShare: account => dominantShare(this.usage.of(account), capacity) / weight(account),
      taskShare: ({ spec }) => dominantShare(spec.need, capacity),
      priority: account => termsOf(account)?.priority ?? 0
    }
  }
}
