interface ParkedJob {
  readonly queue: string
  /** Client account that submitted the job, if any. */
  readonly account: string | undefined
}

/**
 * Live jobs that a leader has no memory for. Nothing of them has started; their rows stay in the store until others have
 * ended.
 */
export class ParkedJobs {
  /** In the order in which they were admitted, or postponed. */
  private readonly jobs = new Map<string, ParkedJob>()
  private readonly countByQueue = new Map<string, number>()

  private constructor () {}

  static create (): ParkedJobs {
    return new ParkedJobs()
  }

  // Queries

  has (jobId: string): boolean {
    return this.jobs.has(jobId)
  }

  accountOf (jobId: string): string | undefined {
    return this.jobs.get(jobId)?.account
  }

  size (): number {
    return this.jobs.size
  }

  countOf (queue: string): number {
    return this.countByQueue.get(queue) ?? 0
  }

  /** The first jobs without `others`. */
  first (count: number, others: ReadonlySet<string>): readonly string[] {
    const ids: string[] = []
    for (const id of this.jobs.keys()) {
      if (ids.length >= count) break
      if (!others.has(id)) ids.push(id)
    }
    return ids
  }

  // Commands

  /** Jobs are added in the order of their admission. */
  add (jobId: string, { queue, account }: ParkedJob): void {
    if (this.jobs.has(jobId)) return
    this.jobs.set(jobId, { queue, account })
    this.countByQueue.set(queue, this.countOf(queue) + 1)
  }

  /** Puts a job behind all others. */
  postpone (jobId: string): void {
    const job = this.jobs.get(jobId)
    if (job === undefined) return
    this.jobs.delete(jobId)
    this.jobs.set(jobId, job)
  }

  remove (jobId: string): void {
    const job = this.jobs.get(jobId)
    if (job === undefined) return
    this.jobs.delete(jobId)
    this.countByQueue.set(job.queue, this.countOf(job.queue) - 1)
  }
}
