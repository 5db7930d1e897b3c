import type { Step } from '../jobs.js'
import { fits, maxTasksThatFit, multiply } from '../resources.js'
import type { ResourceVector, StepSpec } from '../types.js'
import type { AccountTerms } from './accountTerms.js'
import type { AccountUsage } from './accountUsage.js'
import type { HiddenUsage } from './hiddenUsage.js'

export interface AccountLimitsOptions {
  readonly terms: AccountTerms
  readonly usage: AccountUsage
  readonly hidden: HiddenUsage
  /** Fraction by which an account may exceed its limit before that counts as a breach; undefined if limits are not enforced. */
  readonly overage: number | undefined
}

/** What an account may still start. */
interface Allowance {
  readonly limit: ResourceVector
  readonly free: ResourceVector
  readonly hasNothingRunning: boolean
}

/**
 * Decides how many tasks may start by the limits of their accounts. Starts stay within the limit itself; the overage is
 * for usage that could not be known, and for a gang that fits only with it.
 */
export class AccountLimits {
  /** Kept because each round asks for every waiting step, and the usage changes only with starts and ends. */
  private readonly allowances = new Map<string, Allowance | 'unlimited'>()
  /** Versions of the usage and the limits by which the allowances were computed. */
  private version = -1

  private constructor (private readonly options: AccountLimitsOptions) {}

  static create (options: AccountLimitsOptions): AccountLimits {
    return new AccountLimits(options)
  }

  /** Number of tasks of a step that may start now, at most `wanted`; a gang starts whole or not at all. */
  startable ({ spec, job }: Step, wanted: number): number {
    const { overage } = this.options
    const { account } = job.record
    if (overage === undefined || account === undefined) return wanted
    const allowance = this.allowanceOf(account)
    if (allowance === 'unlimited') return wanted
    const { limit, free, hasNothingRunning } = allowance
    const fitting = maxTasksThatFit(spec.need, free)
    if (spec.gang) return fitting >= spec.count || (hasNothingRunning && !exceedsLimit(spec, limit, overage)) ? wanted : 0
    // One task alone may exceed a limit that was lowered after its job was accepted: it could never start otherwise.
    return Math.min(wanted, fitting === 0 && hasNothingRunning ? 1 : fitting)
  }

  /** Resources that an account may still start to use; one without a limit is infinite. */
  left (account: string): ResourceVector | 'unlimited' {
    const allowance = this.options.overage === undefined ? 'unlimited' : this.allowanceOf(account)
    return allowance === 'unlimited' ? allowance : allowance.free
  }

  private allowanceOf (account: string): Allowance | 'unlimited' {
    const { terms, usage, hidden } = this.options
    const version = terms.version() + usage.version() + hidden.version()
    if (version !== this.version) this.allowances.clear()
    this.version = version
    const cached = this.allowances.get(account)
    if (cached !== undefined) return cached
    const allowance = this.computeAllowance(account, terms.get(account)?.limit)
    this.allowances.set(account, allowance)
    return allowance
  }

  private computeAllowance (account: string, limit: ResourceVector | undefined): Allowance | 'unlimited' {
    if (limit === undefined || isZero(limit)) return 'unlimited'
    const { usage, hidden } = this.options
    const known = usage.of(account)
    const unknown = usage.unknown()
    const possible = hidden.of(account)
    const freeOf = (resource: keyof ResourceVector) => limit[resource] === 0 ? Infinity : limit[resource] - known[resource] - unknown[resource] - possible[resource]
    return {
      limit,
      free: { milliCores: freeOf('milliCores'), memoryMb: freeOf('memoryMb'), accelerators: freeOf('accelerators') },
      hasNothingRunning: known.runs === 0 && isZero(unknown) && isZero(possible)
    }
  }
}

/** Whether one task of a step, or its gang, needs more than a limit and the overage allow. */
export function exceedsLimit ({ gang, count, need }: Pick<StepSpec, 'gang' | 'count' | 'need'>, limit: ResourceVector, overage: number): boolean {
  const allowedOf = (value: number) => value === 0 ? Infinity : value * (1 + overage)
  const allowed = { milliCores: allowedOf(limit.milliCores), memoryMb: allowedOf(limit.memoryMb), accelerators: allowedOf(limit.accelerators) }
  return !fits(gang ? multiply(need, count) : need, allowed)
}

function isZero ({ milliCores, memoryMb, accelerators }: ResourceVector): boolean {
  return milliCores === 0 && memoryMb === 0 && accelerators === 0
}
