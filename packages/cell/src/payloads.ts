import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { STORE_TIMEOUT_MS, TABLES } from './constants.js'
import { partitionOf } from './jobs.js'
import type { Job } from './jobs.js'
import type { RowStore } from './ports.js'

/** Payloads read at the same time; more would compete with the renewal of the lease on a narrow link. */
const PARALLEL_READS = 16
const RETRY_MS = 200

export interface PayloadsOptions {
  readonly store: RowStore
  readonly onLoaded: () => void
  readonly clock: Clock
  readonly log: Log
}

/** Reads the payloads of jobs that this leader hasn't seen admitted, those requested first going first. */
export class Payloads {
  private readonly waiting = new Set<Job>()
  private readonly requested = new WeakSet<Job>()
  private reading = 0

  private constructor (private readonly options: PayloadsOptions) {}

  static create (options: PayloadsOptions): Payloads {
    return new Payloads(options)
  }

  request (job: Job): void {
    if (job.payload !== undefined || this.requested.has(job)) return
    this.requested.add(job)
    this.waiting.add(job)
    this.readNext()
  }

  private readNext () {
    for (const job of this.waiting) {
      if (this.reading >= PARALLEL_READS) return
      this.waiting.delete(job)
      this.reading++
      this.read(job)
        .catch((err: unknown) => this.options.log.error('Payload could not be handled.', { job: job.id, err }))
        .finally(() => {
          this.reading--
          this.readNext()
        })
    }
  }

  private async read (job: Job) {
    const { store, clock, log, onLoaded } = this.options
    while (job.payload === undefined && job.outcome === undefined) {
      const page = await store.range({ table: TABLES.payloads, partition: partitionOf(job.id), from: job.id, to: `${job.id}\0`, limit: 1 }, STORE_TIMEOUT_MS)
      if (page.ok) {
        const payload = (page.val.rows[0]?.value as { readonly payload?: unknown } | undefined)?.payload
        if (typeof payload === 'string') job.payload ??= payload
        else log.error('Payload of a job is missing.', { job: job.id, version: page.val.version })
        return onLoaded()
      }
      log.warn('Payload could not be read.', { job: job.id, verdict: page.val.verdict, reason: page.val.reason })
      await clock.sleep(RETRY_MS)
    }
  }
}
