import { z } from 'zod'
import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import { MAX_TRANSACTION_ROWS } from '../constants.js'
import { Failure } from '../errors.js'
import type { HttpAnswer, HttpClient } from './httpClient.js'
import { rowId } from './rowId.js'
import type { Row, RowWrite, ScanOptions, TableService, TransactOutcome } from './types.js'

const committedSchema = z.object({ versions: z.array(z.int().min(0)) })
const conflictsSchema = z.object({
  conflicts: z.array(z.object({ table: z.string(), key: z.string(), version: z.int().min(0) })).min(1)
})
const rowsSchema = z.object({
  rows: z.array(z.object({ table: z.string(), key: z.string(), version: z.int().min(1), value: z.unknown() }))
})

const DEFAULT_SCAN_LIMIT = 1_000

/** Client of the table service. */
export class HttpTableService implements TableService {
  private answering = true

  private constructor (private readonly http: HttpClient) {}

  static create (http: HttpClient): HttpTableService {
    return new HttpTableService(http)
  }

  /** False after a failed call until one succeeds; a rate refusal changes nothing, since the service answered. */
  reachable (): boolean {
    return this.answering
  }

  async transact (writes: readonly RowWrite[]): Promise<Result<TransactOutcome, Failure>> {
    const problem = problemOf(writes)
    if (problem !== undefined) return Err(Failure.notRun('transaction-invalid', problem))
    const answer = await this.http.post('/tables/transact', { writes })
    return this.note(answer.andThen(val => this.transactOutcome(val, writes)))
  }

  async read (keys: ReadonlyArray<{ readonly table: string, readonly key: string }>): Promise<Result<readonly Row[], Failure>> {
    const answer = await this.http.post('/tables/read', { keys })
    return this.note(answer.andThen(val => this.readRows(val, keys)))
  }

  async scan (table: string, options: ScanOptions): Promise<Result<readonly Row[], Failure>> {
    const { prefix, after, limit = DEFAULT_SCAN_LIMIT } = options
    const answer = await this.http.post('/tables/scan', { table, prefix, ...(after === undefined ? {} : { after }), limit })
    return this.note(answer.andThen(val => this.rows(val).andThen(rows => {
      const odd = rows.find(row => row.table !== table || !row.key.startsWith(prefix))
      return odd === undefined ? Ok(rows) : Err(this.http.invalidAnswer(val, `row ${odd.table}/${odd.key} was not asked for`))
    })))
  }

  private transactOutcome (answer: HttpAnswer, writes: readonly RowWrite[]): Result<TransactOutcome, Failure> {
    if (answer.status === 409) {
      return this.http.parse(answer, conflictsSchema).andThen(({ conflicts }) => {
        const ids = new Set(writes.map(rowId))
        const odd = conflicts.find(conflict => !ids.has(rowId(conflict)))
        if (odd !== undefined) return Err(this.http.invalidAnswer(answer, `conflicting row ${odd.table}/${odd.key} was not written`))
        return Ok({ committed: false as const, conflicts })
      })
    }
    if (answer.status !== 200) return Err(this.http.invalidAnswer(answer, 'unexpected status'))
    return this.http.parse(answer, committedSchema).andThen(({ versions }) => versions.length === writes.length
      ? Ok({ committed: true as const, versions })
      : Err(this.http.invalidAnswer(answer, `${versions.length} versions for ${writes.length} writes`)))
  }

  private readRows (answer: HttpAnswer, keys: ReadonlyArray<{ readonly table: string, readonly key: string }>): Result<readonly Row[], Failure> {
    return this.rows(answer).andThen(rows => {
      const byId = new Map(rows.map(row => [rowId(row), row]))
      const ordered = keys.flatMap(key => byId.get(rowId(key)) ?? [])
      const wanted = new Set(keys.map(rowId))
      const odd = rows.find(row => !wanted.has(rowId(row)))
      return odd === undefined ? Ok(ordered) : Err(this.http.invalidAnswer(answer, `row ${odd.table}/${odd.key} was not asked for`))
    })
  }

  private rows (answer: HttpAnswer): Result<readonly Row[], Failure> {
    if (answer.status !== 200) return Err(this.http.invalidAnswer(answer, 'unexpected status'))
    return this.http.parse(answer, rowsSchema).map(({ rows }) => rows)
  }

  private note<T> (result: Result<T, Failure>): Result<T, Failure> {
    if (result.ok) this.answering = true
    else if (result.val.code !== 'store-rate-limited') this.answering = false
    return result
  }
}

function problemOf (writes: readonly RowWrite[]): string | undefined {
  if (writes.length > MAX_TRANSACTION_ROWS) return `A transaction has ${writes.length} rows; at most ${MAX_TRANSACTION_ROWS} are allowed.`
  const ids = new Set<string>()
  for (const write of writes) {
    const id = rowId(write)
    if (ids.has(id)) return `Row ${write.table}/${write.key} occurs more than once in a transaction.`
    ids.add(id)
  }
  return undefined
}
