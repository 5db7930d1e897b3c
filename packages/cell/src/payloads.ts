import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { isString, recordOf } from '@citronnotch/base/untrusted'
import { STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { admissionPartitionOf } from './jobs.js'
import type { Job } from './jobs.js'
import type { RowStore } from './ports.js'

/** Maximum number of concurrent reads; more would compete with the renewal of the leader's lease on a low-bandwidth link. */
const MAX_PARALLEL_READS = 16

/** `unforeseen`: the row was not found although it is stored with that of the job, or the read has thrown. */
type ReadOutcome = 'loaded' | 'failed' | 'unforeseen'

/** Pauses before the next read, in milliseconds. */
const RETRY_PAUSES_MS: Readonly<Record<Exclude<ReadOutcome, 'loaded'>, number>> = {
  failed: 200,
  /** It may go on for good. */
  unforeseen: 1_000
}

export interface PayloadLoaderOptions {
  readonly store: RowStore
  readonly onLoaded: () => void
  /** Aborts when the leader stops. */
  readonly signal: AbortSignal
  readonly clock: Clock
  readonly log: Log
}

/** Reads the payloads of jobs whose admission this leader wasn't notified of, in the order of the requests. */
export class PayloadLoader {
  private readonly waitingJobs = new Set<Job>()
  private readonly requestedJobs = new WeakSet<Job>()
  /** Jobs whose payload a read has not found, each of which is logged once. */
  private readonly missingJobs = new WeakSet<Job>()
  private activeReads = 0

  private constructor (private readonly options: PayloadLoaderOptions) {}

  static create (options: PayloadLoaderOptions): PayloadLoader {
    return new PayloadLoader(options)
  }

  request (job: Job): void {
    if (job.payload !== undefined || this.requestedJobs.has(job)) return
    this.requestedJobs.add(job)
    this.waitingJobs.add(job)
    this.readNext()
  }

  private readNext () {
    for (const job of this.waitingJobs) {
      if (this.activeReads >= MAX_PARALLEL_READS) return
      this.waitingJobs.delete(job)
      if (job.payload !== undefined || job.outcome !== undefined) continue
      this.activeReads++
      this.read(job)
        .catch((err: unknown): ReadOutcome => {
          this.options.log.error('Loading a payload failed unexpectedly.', { job: job.id, err })
          return 'unforeseen'
        })
        .then(outcome => {
          this.activeReads--
          this.readNext()
          return outcome === 'loaded' ? this.options.onLoaded() : this.retry(job, RETRY_PAUSES_MS[outcome])
        })
        .catch((err: unknown) => this.options.log.error('Payloads could not be processed.', { job: job.id, err }))
    }
  }

  /** Lets others go first: the partition of the job may not answer for long. */
  private async retry (job: Job, pauseMs: number) {
    const { clock, signal } = this.options
    await clock.sleep(pauseMs, signal)
    if (signal.aborted) return
    this.waitingJobs.add(job)
    this.readNext()
  }

  private async read (job: Job): Promise<ReadOutcome> {
    const { store, log } = this.options
    const page = await store.range({ table: TABLES.payloads, partition: admissionPartitionOf(job.id), from: job.id, to: `${job.id}\0`, limit: 1 }, STORE_TIMEOUT_MS)
    if (page.err) {
      log.warn('Payload could not be read.', { job: job.id, verdict: page.val.verdict, reason: page.val.reason })
      return 'failed'
    }
    const { payload } = recordOf(page.val.rows[0]?.value)
    if (!isString(payload)) {
      if (!this.missingJobs.has(job)) log.error('Payload of a job is missing.', { job: job.id, version: page.val.version })
      this.missingJobs.add(job)
      return 'unforeseen'
    }
    job.payload ??= payload
    return 'loaded'
  }
}
