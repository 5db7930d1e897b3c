import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { RangeQuery, RowStore, Transaction } from '../ports.js'
import type { StoreHealth } from '../storeHealth.js'

/** Fault of the store towards one daemon: no answers, answers that refuse each call, or connections that are reset without an effect. */
export type DaemonStoreFault = 'none' | 'silent' | 'refused' | 'reset'

export interface DaemonStoreOptions {
  readonly store: RowStore
  readonly health: StoreHealth
  readonly fault: () => DaemonStoreFault
  /** Called before a call reaches the store, with its transaction if it is one. */
  readonly beforeCall: (tx?: Transaction) => Promise<void>
  readonly clock: Clock
}

/** The store as one daemon reaches it: calls are subject to that daemon's fault and recorded in its `StoreHealth`. */
export class DaemonStore implements RowStore {
  /** Number of calls that have been sent, without watches. */
  sent = 0

  private constructor (private readonly options: DaemonStoreOptions) {}

  static create (options: DaemonStoreOptions): DaemonStore {
    return new DaemonStore(options)
  }

  transact (tx: Transaction, timeoutMs: number): ReturnType<RowStore['transact']> {
    return this.call(timeoutMs, () => this.options.store.transact(tx, timeoutMs), tx)
  }

  range (query: RangeQuery, timeoutMs: number): ReturnType<RowStore['range']> {
    return this.call(timeoutMs, () => this.options.store.range(query, timeoutMs))
  }

  changes (table: string, version: number, waitMs: number): ReturnType<RowStore['changes']> {
    return this.options.store.changes(table, version, waitMs)
  }

  clockMs (): ReturnType<RowStore['clockMs']> {
    return this.options.store.clockMs()
  }

  private async call<T> (timeoutMs: number, send: () => Promise<Result<T, Failure>>, tx?: Transaction): Promise<Result<T, Failure>> {
    const { health, beforeCall } = this.options
    this.sent++
    const call = health.recordSent()
    await beforeCall(tx)
    const res = await this.failure(timeoutMs) ?? await send()
    if (res.ok) health.recordSuccess(call)
    else health.recordFailure(res.val.reason, call)
    return res
  }

  private async failure (timeoutMs: number): Promise<Result<never, Failure> | undefined> {
    const { clock, fault } = this.options
    const kind = fault()
    if (kind === 'none') return undefined
    await clock.sleep(kind === 'silent' ? timeoutMs : 1)
    return Err(kind === 'refused' ? Failure.notRun('store-unavailable', 'The store is unavailable.') : Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
  }
}
