import type { Row, RowConflict, RowWrite, TransactOutcome } from '@citronnotch/daemon'

interface Table {
  readonly rows: Map<string, { readonly version: number, readonly value: unknown }>
  /** Sorted keys of `rows`. */
  readonly keys: string[]
}

/** Tables of rows in memory with conditional writes of several rows. */
export class TableStore {
  private readonly tables = new Map<string, Table>()
  private lastVersion = 0

  static create (): TableStore {
    return new TableStore()
  }

  /** Applies all writes or none. */
  transact (writes: readonly RowWrite[]): TransactOutcome {
    const conflicts = writes.flatMap(write => this.conflictOf(write) ?? [])
    if (conflicts.length > 0) return { committed: false, conflicts }
    return { committed: true, versions: writes.map(write => this.apply(write)) }
  }

  read (table: string, key: string): Row | undefined {
    const row = this.tables.get(table)?.rows.get(key)
    return row === undefined ? undefined : { table, key, ...row }
  }

  /** Returns rows ordered by key. */
  scan (name: string, prefix: string, after: string | undefined, limit: number): readonly Row[] {
    const table = this.tables.get(name)
    if (table === undefined) return []
    const rows: Row[] = []
    let index = after !== undefined && after >= prefix ? firstAfter(table.keys, after) : firstNotBefore(table.keys, prefix)
    for (; index < table.keys.length && rows.length < limit; index++) {
      const key = table.keys[index] as string
      if (!key.startsWith(prefix)) break
      rows.push(this.read(name, key) as Row)
    }
    return rows
  }

  private conflictOf ({ table, key, ifVersion }: RowWrite): RowConflict | undefined {
    const version = this.versionOf(table, key)
    return ifVersion === undefined || ifVersion === version ? undefined : { table, key, version }
  }

  private versionOf (table: string, key: string): number {
    return this.tables.get(table)?.rows.get(key)?.version ?? 0
  }

  private apply ({ table: name, key, value, check }: RowWrite): number {
    if (check === true) return this.versionOf(name, key)
    const table = this.tableOf(name)
    const version = ++this.lastVersion
    const known = table.rows.has(key)
    if (value === null || value === undefined) {
      if (known) table.keys.splice(firstNotBefore(table.keys, key), 1)
      table.rows.delete(key)
      return version
    }
    if (!known) table.keys.splice(firstNotBefore(table.keys, key), 0, key)
    table.rows.set(key, { version, value })
    return version
  }

  private tableOf (name: string): Table {
    const existing = this.tables.get(name)
    if (existing !== undefined) return existing
    const table: Table = { rows: new Map(), keys: [] }
    this.tables.set(name, table)
    return table
  }
}

function firstAfter (keys: readonly string[], key: string): number {
  const index = firstNotBefore(keys, key)
  return keys[index] === key ? index + 1 : index
}

/** Binary search in sorted keys. */
function firstNotBefore (keys: readonly string[], key: string): number {
  let low = 0
  let high = keys.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((keys[middle] as string) < key) low = middle + 1
    else high = middle
  }
  return low
}
