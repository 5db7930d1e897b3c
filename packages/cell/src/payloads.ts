import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { isString, recordOf } from '@citronnotch/base/untrusted'
import { STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { admissionPartitionOf } from './jobs.js'
import type { Job } from './jobs.js'
import type { RowStore } from './ports.js'

/** Maximum number of concurrent reads; more would compete with the renewal of the leader's lease on a low-bandwidth link. */
const MAX_PARALLEL_READS = 16
const RETRY_PAUSE_MS = 200

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
        .finally(() => {
          this.activeReads--
          this.readNext()
        })
        .then(isDone => isDone ? undefined : this.retry(job))
        .catch((err: unknown) => this.options.log.error('Loading a payload failed unexpectedly.', { job: job.id, err }))
    }
  }

  /** Lets others go first: the partition of the job may not answer for long. */
  private async retry (job: Job) {
    const { clock, signal } = this.options
    await clock.sleep(RETRY_PAUSE_MS, signal)
    if (signal.aborted) return
    this.waitingJobs.add(job)
    this.readNext()
  }

  /** Resolves with whether the store has answered. */
  private async read (job: Job): Promise<boolean> {
    const { store, log, onLoaded } = this.options
    const page = await store.range({ table: TABLES.payloads, partition: admissionPartitionOf(job.id), from: job.id, to: `${job.id}\0`, limit: 1 }, STORE_TIMEOUT_MS)
    if (page.err) {
      log.warn('Payload could not be read.', { job: job.id, verdict: page.val.verdict, reason: page.val.reason })
      return false
    }
    const { payload } = recordOf(page.val.rows[0]?.value)
    if (isString(payload)) job.payload ??= payload
    else log.error('Payload of a job is missing.', { job: job.id, version: page.val.version })
    onLoaded()
    return true
  }
}
