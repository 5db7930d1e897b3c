import type { Clock } from '@citronnotch/base/clock'
import { Hedge } from './hedge.js'
import type { RangeQuery, RowStore, Transaction } from './ports.js'

/** Typical time of a call across regions, in milliseconds. */
const TYPICAL_MS = 50
/** Shortest time after which a call is sent again. */
const MINIMUM_MS = 60

/**
 * Store whose overdue calls are sent again. A transaction must expect the versions of what it writes: when the
 * first one has taken effect, the second one fails on them and shows the rows as they are.
 */
export class HedgedStore implements RowStore {
  private readonly writes: Hedge
  private readonly reads: Hedge

  private constructor (private readonly store: RowStore, clock: Clock) {
    this.writes = Hedge.create({ clock, initialMs: TYPICAL_MS, minimumMs: MINIMUM_MS })
    this.reads = Hedge.create({ clock, initialMs: TYPICAL_MS, minimumMs: MINIMUM_MS })
  }

  static create (store: RowStore, clock: Clock): HedgedStore {
    return new HedgedStore(store, clock)
  }

  transact (tx: Transaction, timeoutMs: number): ReturnType<RowStore['transact']> {
    return this.writes.call(() => this.store.transact(tx, timeoutMs))
  }

  range (query: RangeQuery, timeoutMs: number): ReturnType<RowStore['range']> {
    return this.reads.call(() => this.store.range(query, timeoutMs))
  }

  clockMs (): ReturnType<RowStore['clockMs']> {
    return this.store.clockMs()
  }

  changes (table: string, version: number, waitMs: number): ReturnType<RowStore['changes']> {
    return this.store.changes(table, version, waitMs)
  }
}
