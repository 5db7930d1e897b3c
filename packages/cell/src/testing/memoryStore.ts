import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { ChangesOutcome, RangePage, RangeQuery, RowStore, StoredRow, Transaction, TransactionOutcome } from '../ports.js'

/** What happens to a transaction on its way. */
export type WriteFault =
  /** It is applied and its answer is lost. */
  | { readonly kind: 'answer-lost' }
  /** Its answer is lost and it is applied later, if its expectations hold then. */
  | { readonly kind: 'applied-late', readonly afterMs: number }
  /** It is refused and does nothing. */
  | { readonly kind: 'refused' }

export interface MemoryStoreOptions {
  readonly clock: Clock
  /** @default 5 */
  readonly answerMs?: number
}

const WATCH_POLL_MS = 10
/** The store's clock is not that of any daemon. */
const CLOCK_OFFSET_MS = 1_000_000

/** Rows with versions, transactions and a history, in memory; its faults are set by tests. */
export class MemoryStore implements RowStore {
  /** Decides the fate of each transaction. */
  writeFault: (tx: Transaction) => WriteFault | undefined = () => undefined
  /** While set, nothing is answered; nothing is done either. */
  isDown = false
  readonly committed: Transaction[] = []

  private readonly rows = new Map<string, StoredRow>()
  private history: StoredRow[] = []
  private historyFrom = 0
  private version = 0

  private constructor (private readonly clock: Clock, private readonly answerMs: number) {}

  static create ({ clock, answerMs = 5 }: MemoryStoreOptions): MemoryStore {
    return new MemoryStore(clock, answerMs)
  }

  async transact (tx: Transaction, timeoutMs: number): Promise<Result<TransactionOutcome, Failure>> {
    await this.clock.sleep(this.answerMs)
    if (this.isDown) return this.silence(timeoutMs)
    const fault = this.writeFault(tx)
    if (fault?.kind === 'refused') return Err(Failure.notRun('store-unavailable', 'The store is unavailable.'))
    if (fault?.kind === 'applied-late') {
      this.clock.sleep(fault.afterMs).then(() => this.apply(tx)).catch(() => {})
      return this.silence(timeoutMs)
    }
    const outcome = this.apply(tx)
    return fault?.kind === 'answer-lost' ? this.silence(timeoutMs) : Ok(outcome)
  }

  async range ({ table, partition, from = '', to, limit = 500 }: RangeQuery, timeoutMs: number): Promise<Result<RangePage, Failure>> {
    await this.clock.sleep(this.answerMs)
    if (this.isDown) return this.silence(timeoutMs)
    const rows = [...this.rows.values()]
      .filter(row => row.table === table && row.partition === partition && row.key >= from && (to === undefined || row.key < to))
      .sort((a, b) => a.key < b.key ? -1 : 1)
    return Ok({ rows: rows.slice(0, limit), hasMore: rows.length > limit, version: this.version })
  }

  async changes (table: string, version: number, waitMs: number): Promise<Result<ChangesOutcome, Failure>> {
    const until = this.clock.now() + waitMs
    for (;;) {
      await this.clock.sleep(this.answerMs)
      if (this.isDown) return this.silence(waitMs)
      if (version < this.historyFrom) return Ok({ kind: 'history-lost' })
      const rows = this.history.filter(row => row.table === table && row.version > version)
      if (rows.length > 0 || this.clock.now() >= until) return Ok({ kind: 'changes', rows, version: this.version })
      await this.clock.sleep(WATCH_POLL_MS)
    }
  }

  clockMs (): ReturnType<RowStore['clockMs']> {
    const now = CLOCK_OFFSET_MS + this.clock.now()
    return { earliest: now, latest: now }
  }

  /** Writes as the operator or a worker does, past all faults. */
  put (table: string, partition: string, key: string, value: unknown): void {
    this.apply({ partition, expect: [], puts: [{ table, key, value }], removes: [] })
  }

  remove (table: string, partition: string, key: string): void {
    this.apply({ partition, expect: [], puts: [], removes: [{ table, key }] })
  }

  get (table: string, partition: string, key: string): StoredRow | undefined {
    return this.rows.get(nameOf(table, partition, key))
  }

  loseHistory (): void {
    this.history = []
    this.historyFrom = this.version
  }

  private apply (tx: Transaction): TransactionOutcome {
    const { partition } = tx
    const versionOf = (table: string, key: string) => this.get(table, partition, key)?.version ?? 0
    if (tx.expect.some(({ table, key, version }) => versionOf(table, key) !== version)) {
      const current = tx.expect.flatMap(({ table, key }) => this.get(table, partition, key) ?? [])
      return { committed: false, current }
    }
    const version = ++this.version
    for (const { table, key, value } of tx.puts) this.write({ table, partition, key, version, deleted: false, value: JSON.parse(JSON.stringify(value)) })
    for (const { table, key } of tx.removes) this.write({ table, partition, key, version, deleted: true, value: undefined })
    this.committed.push(tx)
    return { committed: true, version }
  }

  private write (row: StoredRow) {
    const name = nameOf(row.table, row.partition, row.key)
    if (row.deleted) this.rows.delete(name)
    else this.rows.set(name, row)
    this.history.push(row)
  }

  private async silence (timeoutMs: number): Promise<Result<never, Failure>> {
    await this.clock.sleep(timeoutMs)
    return Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
  }
}

function nameOf (table: string, partition: string, key: string): string {
  return JSON.stringify([table, partition, key])
}
