import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import { CALL_TIMEOUT_MS } from '../../constants.js'
import { Failure } from '../../errors.js'
import type { Row, RowWrite, ScanOptions, TableService, TransactOutcome } from '../../platform/index.js'
import type { Host } from './host.js'

type Write = (writes: readonly RowWrite[]) => TransactOutcome

/** In-memory rows with the versions and conditions of the table service. */
export class FakeStore {
  readonly rows = new Map<string, Row>()
  /** Called with each committed write. */
  onWrite: (row: Row) => void = () => {}
  private version = 0

  write (writes: readonly RowWrite[]): TransactOutcome {
    const conflicts = writes
      .map(({ table, key, ifVersion }) => ({ table, key, ifVersion, version: this.rows.get(`${table} ${key}`)?.version ?? 0 }))
      .filter(({ ifVersion, version }) => ifVersion !== undefined && ifVersion !== version)
    if (conflicts.length > 0) return { committed: false, conflicts }
    return { committed: true, versions: writes.map(write => this.apply(write)) }
  }

  private apply ({ table, key, value, check }: RowWrite): number {
    const id = `${table} ${key}`
    if (check) return this.rows.get(id)?.version ?? 0
    const row = { table, key, version: ++this.version, value: structuredClone(value) }
    if (value === null) this.rows.delete(id)
    else this.rows.set(id, row)
    this.onWrite(row)
    return row.version
  }
}

/**
 * `lost`: writes take effect, their answers are lost; `late`: the same, but they take effect only when
 * the caller has given up; `cut`: neither requests nor answers arrive; `down`: refused.
 */
export type Fault = 'none' | 'down' | 'cut' | 'lost' | 'late' | 'slow'

/** One host's connection to the store, with switches for faults. */
export class FakeTables implements TableService {
  fault: Fault = 'none'
  /** Restricts the fault to transactions whose first write goes to this table. */
  faultyTable: string | undefined

  constructor (private readonly store: FakeStore, private readonly host: Host) {}

  transact (writes: readonly RowWrite[]): Promise<Result<TransactOutcome, Failure>> {
    const isFaulty = this.faultyTable === undefined || writes[0]?.table === this.faultyTable
    return this.call(isFaulty ? this.fault : 'none', this.store.write.bind(this.store), writes)
  }

  async read (keys: ReadonlyArray<{ readonly table: string, readonly key: string }>): Promise<Result<readonly Row[], Failure>> {
    return this.call(this.readFault(), () => keys.flatMap(({ table, key }) => this.store.rows.get(`${table} ${key}`) ?? []), [])
  }

  async scan (table: string, { prefix, after = '', limit = 1000 }: ScanOptions): Promise<Result<readonly Row[], Failure>> {
    return this.call(this.readFault(), () => [...this.store.rows.values()]
      .filter(row => row.table === table && row.key.startsWith(prefix) && row.key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(0, limit), [])
  }

  private readFault (): Fault {
    return this.faultyTable === undefined ? this.fault : 'none'
  }

  private async call<T> (fault: Fault, run: ((writes: readonly RowWrite[]) => T) | Write, writes: readonly RowWrite[]): Promise<Result<T, Failure>> {
    const { wire } = this.host
    const act = run as (writes: readonly RowWrite[]) => T
    const lost = Err(Failure.mayHaveRun('store-timeout', 'the answer was lost'))
    if (fault === 'down') return Err(Failure.notRun('store-unavailable', 'the table service refused the call'))
    if (fault === 'slow') await wire.sleep(CALL_TIMEOUT_MS / 2)
    const isSent = fault !== 'cut' && fault !== 'late'
    const result = isSent ? Ok(structuredClone(act(writes))) : lost
    if (fault === 'lost' || !isSent) await wire.sleep(CALL_TIMEOUT_MS)
    if (fault === 'late') wire.sleep(CALL_TIMEOUT_MS).then(() => act(writes))
    if (fault === 'slow') await wire.sleep(CALL_TIMEOUT_MS / 3)
    await this.host.scheduled()
    return fault === 'lost' ? lost : result
  }
}
