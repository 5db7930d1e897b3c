import { NO_RESOURCES, add, subtract } from '../resources.js'
import type { ClientAccount, ResourceVector } from '../types.js'

type Limits = ReadonlyMap<string, ResourceVector>

/** A limit of an account, with the monotonic time in milliseconds until which it counts beside a later one. */
interface ReplacedLimits {
  readonly limits: Limits
  readonly untilMs: number
}

/** What accounts have running on workers, as seen from outside, and whether that is within their limits. */
export class AccountAudit {
  private limits: Limits = new Map()
  private replaced: ReplacedLimits[] = []
  private overage = Infinity
  private readonly running = new Map<string, ResourceVector>()
  private readonly peaks = new Map<string, ResourceVector>()

  /** Sets the limits that the operator has published; leaders may apply the earlier ones for `applyMs`. */
  expect (accounts: readonly ClientAccount[], overage: number, now: number, applyMs: number): void {
    this.replaced = [...this.replaced, { limits: this.limits, untilMs: now + applyMs }]
    this.limits = new Map([...this.limits, ...accounts.map(({ name, limit }) => [name, limit] as const)])
    this.overage = overage
  }

  /** Returns whether the start is within the limit, the overage and one task; `now` is monotonic. */
  recordStart (account: string, need: ResourceVector, now: number): boolean {
    const before = this.running.get(account) ?? NO_RESOURCES
    const after = add(before, need)
    this.running.set(account, after)
    const peak = this.peakOf(account)
    this.peaks.set(account, { milliCores: Math.max(peak.milliCores, after.milliCores), memoryMb: Math.max(peak.memoryMb, after.memoryMb), accelerators: Math.max(peak.accelerators, after.accelerators) })
    const inForce = [this.limits, ...this.replaced.filter(({ untilMs }) => now < untilMs).map(({ limits }) => limits)]
    return inForce.some(limits => this.isWithin(before, need, limits.get(account)))
  }

  recordFinish (account: string, need: ResourceVector): void {
    this.running.set(account, subtract(this.running.get(account) ?? NO_RESOURCES, need))
  }

  /** The most that an account had running at a time, of each resource. */
  peakOf (account: string): ResourceVector {
    return this.peaks.get(account) ?? NO_RESOURCES
  }

  /** What an account has running. */
  runningOf (account: string): ResourceVector {
    return this.running.get(account) ?? NO_RESOURCES
  }

  private isWithin (before: ResourceVector, need: ResourceVector, limit: ResourceVector | undefined): boolean {
    const isResourceWithin = (resource: keyof ResourceVector) => {
      const allowed = limit?.[resource] ?? 0
      return allowed === 0 || need[resource] === 0 || before[resource] <= allowed * (1 + this.overage)
    }
    return isResourceWithin('milliCores') && isResourceWithin('memoryMb') && isResourceWithin('accelerators')
  }
}
