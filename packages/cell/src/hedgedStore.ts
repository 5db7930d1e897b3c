import type { Clock } from '@citronnotch/base/clock'
import { Hedge } from './hedge.js'
import type { RangeQuery, RowStore, Transaction } from './ports.js'

/** Typical duration of a call across regions, used until calls have been measured. */
const INITIAL_LATENCY_MS = 50
/** Minimum delay before an unanswered call is sent again. */
const MIN_HEDGE_DELAY_MS = 60

/**
 * Store that hedges its calls: an overdue call is sent again. A transaction must expect the versions of the rows that
 * it writes: if an earlier send was applied, a later one fails on these versions and returns the current rows.
 */
export class HedgedStore implements RowStore {
  private readonly writes: Hedge
  private readonly reads: Hedge
  /** For the pages of a whole partition. */
  private readonly pageReads: Hedge

  private constructor (private readonly store: RowStore, clock: Clock) {
    this.writes = Hedge.create({ clock, initialTypicalMs: INITIAL_LATENCY_MS, minOverdueMs: MIN_HEDGE_DELAY_MS })
    this.reads = Hedge.create({ clock, initialTypicalMs: INITIAL_LATENCY_MS, minOverdueMs: MIN_HEDGE_DELAY_MS })
    this.pageReads = Hedge.create({ clock, initialTypicalMs: INITIAL_LATENCY_MS, minOverdueMs: MIN_HEDGE_DELAY_MS, hasLargeAnswers: true })
  }

  static create (store: RowStore, clock: Clock): HedgedStore {
    return new HedgedStore(store, clock)
  }

  transact (tx: Transaction, timeoutMs: number): ReturnType<RowStore['transact']> {
    return this.writes.call(() => this.store.transact(tx, timeoutMs))
  }

  range (query: RangeQuery, timeoutMs: number): ReturnType<RowStore['range']> {
    // Only reads of a whole partition have no upper key; all others are of a few rows.
    const isPage = query.to === undefined && (query.limit ?? 1) > 1
    return (isPage ? this.pageReads : this.reads).call(() => this.store.range(query, timeoutMs))
  }

  clockMs (): ReturnType<RowStore['clockMs']> {
    return this.store.clockMs()
  }

  changes (table: string, version: number, waitMs: number): ReturnType<RowStore['changes']> {
    return this.store.changes(table, version, waitMs)
  }
}
