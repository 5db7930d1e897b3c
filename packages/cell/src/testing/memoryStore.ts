import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { TRANSACTION_REJECTED } from '../constants.js'
import type { ChangesOutcome, RangePage, RangeQuery, RowStore, StoredRow, Transaction, TransactionOutcome } from '../ports.js'

/** Fault injected into a transaction. */
export type WriteFault =
  /** The transaction is applied and its answer is lost. */
  | { readonly kind: 'answer-lost' }
  /** The answer is lost and the transaction is applied later, if its expectations hold then. */
  | { readonly kind: 'applied-late', readonly afterMs: number }
  /** The transaction is refused without effect. */
  | { readonly kind: 'refused' }
  /** The transaction is refused because of what it contains. */
  | { readonly kind: 'rejected' }

export interface MemoryStoreOptions {
  readonly clock: Clock
  /**
   * Latency of each call in milliseconds.
   * @default 5
   */
  readonly latencyMs?: number
}

const WATCH_POLL_MS = 10
/** The store's clock differs from the clocks of all daemons. */
const CLOCK_OFFSET_MS = 1_000_000

/** In-memory row store with versions, transactions and a change history; tests inject its faults. */
export class MemoryStore implements RowStore {
  /** Returns the fault to inject into a transaction, if any. */
  writeFault: (tx: Transaction) => WriteFault | undefined = () => undefined
  /** While true, calls have no effect and fail when their timeout ends. */
  isUnavailable = false
  readonly committedTransactions: Transaction[] = []

  private readonly rows = new Map<string, StoredRow>()
  private history: StoredRow[] = []
  private historyStartVersion = 0
  private latestVersion = 0

  private constructor (private readonly clock: Clock, private readonly latencyMs: number) {}

  static create ({ clock, latencyMs = 5 }: MemoryStoreOptions): MemoryStore {
    return new MemoryStore(clock, latencyMs)
  }

  async transact (tx: Transaction, timeoutMs: number): Promise<Result<TransactionOutcome, Failure>> {
    await this.clock.sleep(this.latencyMs)
    if (this.isUnavailable) return this.failAfterTimeout(timeoutMs)
    const fault = this.writeFault(tx)
    if (fault?.kind === 'refused') return Err(Failure.notRun('store-unavailable', 'The store is unavailable.'))
    if (fault?.kind === 'rejected') return Err(Failure.notRun(TRANSACTION_REJECTED, 'The store rejects the transaction.'))
    if (fault?.kind === 'applied-late') {
      this.clock.sleep(fault.afterMs).then(() => this.apply(tx)).catch(() => {})
      return this.failAfterTimeout(timeoutMs)
    }
    const outcome = this.apply(tx)
    return fault?.kind === 'answer-lost' ? this.failAfterTimeout(timeoutMs) : Ok(outcome)
  }

  async range ({ table, partition, from = '', to, limit = 500 }: RangeQuery, timeoutMs: number): Promise<Result<RangePage, Failure>> {
    await this.clock.sleep(this.latencyMs)
    if (this.isUnavailable) return this.failAfterTimeout(timeoutMs)
    const rows = [...this.rows.values()]
      .filter(row => row.table === table && row.partition === partition && row.key >= from && (to === undefined || row.key < to))
      .sort((a, b) => a.key < b.key ? -1 : 1)
    return Ok({ rows: rows.slice(0, limit), hasMore: rows.length > limit, version: this.latestVersion })
  }

  async changes (table: string, version: number, waitMs: number): Promise<Result<ChangesOutcome, Failure>> {
    const deadline = this.clock.now() + waitMs
    for (;;) {
      await this.clock.sleep(this.latencyMs)
      if (this.isUnavailable) return this.failAfterTimeout(waitMs)
      if (version < this.historyStartVersion) return Ok({ kind: 'history-lost' })
      const rows = this.history.filter(row => row.table === table && row.version > version)
      if (rows.length > 0 || this.clock.now() >= deadline) return Ok({ kind: 'changes', rows, version: this.latestVersion })
      await this.clock.sleep(WATCH_POLL_MS)
    }
  }

  clockMs (): ReturnType<RowStore['clockMs']> {
    const now = CLOCK_OFFSET_MS + this.clock.now()
    return { earliest: now, latest: now }
  }

  /** Writes a row without injected faults, as the operator or a worker does. */
  put (table: string, partition: string, key: string, value: unknown): void {
    this.apply({ partition, expect: [], puts: [{ table, key, value }], removes: [] })
  }

  /** Writes a row whose value need not be one that could be encoded again. */
  putOdd (table: string, partition: string, key: string, value: unknown): void {
    this.write({ table, partition, key, version: ++this.latestVersion, deleted: false, value })
  }

  remove (table: string, partition: string, key: string): void {
    this.apply({ partition, expect: [], puts: [], removes: [{ table, key }] })
  }

  get (table: string, partition: string, key: string): StoredRow | undefined {
    return this.rows.get(rowIdOf(table, partition, key))
  }

  /** Keys of the rows of a table in one partition. */
  keys (table: string, partition: string): readonly string[] {
    return [...this.rows.values()].filter(row => row.table === table && row.partition === partition).map(({ key }) => key)
  }

  loseHistory (): void {
    this.history = []
    this.historyStartVersion = this.latestVersion
  }

  private apply (tx: Transaction): TransactionOutcome {
    const { partition } = tx
    const versionOf = (table: string, key: string) => this.get(table, partition, key)?.version ?? 0
    if (tx.expect.some(({ table, key, version }) => versionOf(table, key) !== version)) {
      const current = tx.expect.flatMap(({ table, key }) => this.get(table, partition, key) ?? [])
      return { committed: false, current }
    }
    const version = ++this.latestVersion
    for (const { table, key, value } of tx.puts) this.write({ table, partition, key, version, deleted: false, value: JSON.parse(JSON.stringify(value)) })
    for (const { table, key } of tx.removes) this.write({ table, partition, key, version, deleted: true, value: undefined })
    this.committedTransactions.push(tx)
    return { committed: true, version }
  }

  private write (row: StoredRow) {
    const rowId = rowIdOf(row.table, row.partition, row.key)
    if (row.deleted) this.rows.delete(rowId)
    else this.rows.set(rowId, row)
    this.history.push(row)
  }

  private async failAfterTimeout (timeoutMs: number): Promise<Result<never, Failure>> {
    await this.clock.sleep(timeoutMs)
    return Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
  }
}

function rowIdOf (table: string, partition: string, key: string): string {
  return JSON.stringify([table, partition, key])
}
