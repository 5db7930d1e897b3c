import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import type { CellMetrics } from '../metrics.js'
import type { JobSpec } from '../types.js'
import { accountLabel } from './accountLabel.js'
import { exceedsLimit } from './accountLimits.js'
import type { AccountTerms } from './accountTerms.js'

export const ACCOUNT_LIMIT = 'account-limit'

/** Time after which a caller may try again a job that exceeds its account's limit, in milliseconds: the limit changes only with the configuration. */
const RETRY_AFTER_MS = 30_000

export interface AccountAdmissionOptions {
  readonly terms: AccountTerms
  /** Fraction by which an account may exceed its limit before that counts as a breach; undefined if limits are not enforced. */
  readonly overage: number | undefined
  readonly log: Log
  readonly metrics: CellMetrics
}

/** Refuses jobs that could never start within the limit of their account, and counts them by account. */
export class AccountAdmission {
  /** Numbers of jobs refused by this daemon, by account. */
  private readonly refusals = new Map<string, number>()

  private constructor (private readonly options: AccountAdmissionOptions) {}

  static create (options: AccountAdmissionOptions): AccountAdmission {
    return new AccountAdmission(options)
  }

  /** Number of jobs of an account that this daemon has refused. */
  refused (account: string): number {
    return this.refusals.get(account) ?? 0
  }

  /** Returns why a job of an account must be refused; undefined if it may be admitted. */
  check (name: string | undefined, { steps }: Pick<JobSpec, 'steps'>): Failure | undefined {
    const { log, metrics } = this.options
    const excess = this.excessOf(name, { steps })
    if (name === undefined || excess === undefined) return undefined
    const { step, limit } = excess
    this.refusals.set(name, this.refused(name) + 1)
    metrics.count(`refused_${ACCOUNT_LIMIT}`)
    log.info('Job refused, as it exceeds the limit of its account.', { account: accountLabel(name), step, limit })
    return excess.failure
  }

  /** The same without counting or logging it. */
  refusalOf (name: string | undefined, spec: Pick<JobSpec, 'steps'>): Failure | undefined {
    return this.excessOf(name, spec)?.failure
  }

  private excessOf (name: string | undefined, { steps }: Pick<JobSpec, 'steps'>) {
    const { terms, overage } = this.options
    const limit = name === undefined ? undefined : terms.get(name)?.limit
    if (limit === undefined || overage === undefined) return undefined
    const step = steps.findIndex(other => exceedsLimit(other, limit, overage))
    if (step < 0) return undefined
    const failure = Failure.create({ code: ACCOUNT_LIMIT, verdict: 'not-run', reason: `Step ${step} needs more at a time than the limit of the account allows.`, hint: 'Divide the step, or have the limit raised.', retryAfterMs: RETRY_AFTER_MS })
    return { step, limit, failure }
  }
}
