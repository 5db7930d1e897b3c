import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { RangeQuery, RowStore, Transaction } from '../ports.js'

export interface NarrowLinkOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly bytesPerSecond: number
}

/** Size of a transferred value against its JSON: base64, names of fields and headers. */
const OVERHEAD = 1.5

/** A store whose answers share one link, one after another; what was given up by its caller is still transferred. */
export class NarrowLink implements RowStore {
  /** Time at which the link has transferred all that was answered so far. */
  private idleAt = 0

  private constructor (private readonly options: NarrowLinkOptions) {}

  static create (options: NarrowLinkOptions): NarrowLink {
    return new NarrowLink(options)
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
    const sentAt = clock.now()
    const res = await answer
    if (res.err) return res
    const bytes = JSON.stringify(res.val).length * OVERHEAD
    this.idleAt = Math.max(this.idleAt, clock.now()) + bytes / bytesPerSecond * 1_000
    const leftMs = sentAt + timeoutMs - clock.now()
    const waitMs = this.idleAt - clock.now()
    await clock.sleep(Math.min(waitMs, leftMs))
    return waitMs <= leftMs ? res : Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
  }
}
