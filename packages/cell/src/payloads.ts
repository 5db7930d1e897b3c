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
      this.activeReads++
      this.read(job)
        .catch((err: unknown) => this.options.log.error('Loading a payload failed unexpectedly.', { job: job.id, err }))
        .finally(() => {
          this.activeReads--
          this.readNext()
        })
    }
  }

  private async read (job: Job) {
    const { store, clock, log, onLoaded } = this.options
    while (job.payload === undefined && job.outcome === undefined) {
      const page = await store.range({ table: TABLES.payloads, partition: admissionPartitionOf(job.id), from: job.id, to: `${job.id}\0`, limit: 1 }, STORE_TIMEOUT_MS)
      if (page.ok) {
        const { payload } = recordOf(page.val.rows[0]?.value)
        if (isString(payload)) job.payload ??= payload
        else log.error('Payload of a job is missing.', { job: job.id, version: page.val.version })
        return onLoaded()
      }
      log.warn('Payload could not be read.', { job: job.id, verdict: page.val.verdict, reason: page.val.reason })
      await clock.sleep(RETRY_PAUSE_MS)
    }
  }
}
