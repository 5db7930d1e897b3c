import type { Job } from '../jobs.js'
import type { AccountTerms } from './accountTerms.js'

/** Time whose jobs an account may send at once, in seconds: callers don't spread their requests evenly. */
const BURST_SECONDS = 1
/** Minimum burst in jobs: an account with a small weight is owed single jobs, not fractions. */
const MIN_BURST = 1
/** Tolerance for rounding in the sum of fractions of a job. */
const EPSILON = 1e-9

interface Bucket {
  /** Jobs that the account is owed now. */
  tokens: number
  /** Unix time up to which the tokens have been added, in milliseconds. */
  filledUntilMs: number
}

/**
 * Tells jobs that their account is owed from those beyond its rate, by a token bucket for each account over the times of
 * admission. A job keeps its class. Jobs that are added together are classed in the order of their admission, so that a
 * new leader comes to about the same classes from the live jobs.
 */
export class ArrivalShares {
  private readonly buckets = new Map<string, Bucket>()
  private readonly excess = new WeakSet<Job>()
  private added: Job[] = []

  private constructor (private readonly terms: AccountTerms, private readonly burstJobs: number) {}

  /**
   * `burstJobs`: number of jobs that an account may send at once beyond those of one second. Without it, an account with
   * a small weight exceeds its rate by chance, though it sends less than its weight on average.
   */
  static create (terms: AccountTerms, burstJobs: number): ArrivalShares {
    return new ArrivalShares(terms, burstJobs)
  }

  /** Adds a job that this leader has read. */
  add (job: Job): void {
    if (job.record.account !== undefined) this.added.push(job)
  }

  /** Whether a job came beyond the rate that its account is owed; `unixMs` is the time now. */
  isExcess (job: Job, unixMs: number): boolean {
    if (job.record.account === undefined) return false
    if (this.added.length > 0) this.classify(unixMs)
    return this.excess.has(job)
  }

  /** The same without classing the jobs that were added since the last call; undefined for one of them. */
  knownExcess (job: Job): boolean | undefined {
    return this.added.includes(job) ? undefined : this.excess.has(job)
  }

  private classify (unixMs: number) {
    const jobs = this.added.sort((a, b) => a.record.admittedAtMs - b.record.admittedAtMs || (a.id < b.id ? -1 : 1))
    this.added = []
    for (const job of jobs) if (!this.take(job.record.account ?? '', Math.min(job.record.admittedAtMs, unixMs))) this.excess.add(job)
  }

  /** Takes a token for a job that was admitted at a Unix time in milliseconds. The clocks of the daemons differ a little, so times may go back. */
  private take (account: string, admittedAtMs: number): boolean {
    const weight = this.terms.get(account)?.weight ?? 0
    const burst = Math.max(MIN_BURST, BURST_SECONDS * weight + this.burstJobs)
    const bucket = this.buckets.get(account) ?? { tokens: burst, filledUntilMs: admittedAtMs }
    this.buckets.set(account, bucket)
    const elapsedMs = Math.max(0, admittedAtMs - bucket.filledUntilMs)
    bucket.tokens = Math.min(burst, bucket.tokens + weight * elapsedMs / 1_000)
    bucket.filledUntilMs += elapsedMs
    if (bucket.tokens < 1 - EPSILON) return false
    bucket.tokens--
    return true
  }
}
