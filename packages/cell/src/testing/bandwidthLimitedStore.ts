import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { RangeQuery, RowStore, Transaction } from '../ports.js'

export interface BandwidthLimitedStoreOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly bytesPerSecond: number
}

/** Ratio of the transferred bytes to the JSON length, because of base64, field names and headers. */
const WIRE_OVERHEAD_FACTOR = 1.5

/** Store whose answers are transferred one after another over one link. An answer whose caller has timed out still takes up bandwidth. */
export class BandwidthLimitedStore implements RowStore {
  /** Time at which the link has transferred all answers so far. */
  private linkIdleAt = 0

  private constructor (private readonly options: BandwidthLimitedStoreOptions) {}

  static create (options: BandwidthLimitedStoreOptions): BandwidthLimitedStore {
    return new BandwidthLimitedStore(options)
  }

  transact (tx: Transaction, timeoutMs: number): ReturnType<RowStore['transact']> {
    return this.transfer(this.options.store.transact(tx, timeoutMs), timeoutMs)
  }

  range (query: RangeQuery, timeoutMs: number): ReturnType<RowStore['range']> {
    return this.transfer(this.options.store.range(query, timeoutMs), timeoutMs)
  }

  clockMs (): ReturnType<RowStore['clockMs']> {
    return this.options.store.clockMs()
  }

  changes (table: string, version: number, waitMs: number): ReturnType<RowStore['changes']> {
    return this.transfer(this.options.store.changes(table, version, waitMs), waitMs + 1_000)
  }

  private async transfer<T> (answer: Promise<Result<T, Failure>>, timeoutMs: number): Promise<Result<T, Failure>> {
    const { clock, bytesPerSecond } = this.options
    const calledAt = clock.now()
    const res = await answer
    if (res.err) return res
    const bytes = JSON.stringify(res.val).length * WIRE_OVERHEAD_FACTOR
    this.linkIdleAt = Math.max(this.linkIdleAt, clock.now()) + bytes / bytesPerSecond * 1_000
    const remainingMs = calledAt + timeoutMs - clock.now()
    const transferWaitMs = this.linkIdleAt - clock.now()
    await clock.sleep(Math.min(transferWaitMs, remainingMs))
    return transferWaitMs <= remainingMs ? res : Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
  }
}
