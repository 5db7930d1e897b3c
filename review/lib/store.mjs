import { serve } from './http.mjs'

const ANSWER_MS = 4
const TRANSACTION_MS = 5
const ROW_BYTES = 65_536
const TRANSACTION_BYTES = 1_000_000
const MAX_ENTRIES = 100
const MAX_ROWS = 500
const HISTORY_MS = 20_000
const CLOCK_OFFSET_MS = 50_000
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
const keyOf = (table, part, key) => `${table}\0${part}\0${key}`

/** Stand-in of the platform's store, in form of tables, after PROTOCOL.md and DEPLOY.md. */
export class Store {
  rows = new Map()
  history = []
  version = 0
  lostVersion = 0
  partFreeAt = new Map()
  listeners = new Set()
  /** Transactions that were refused because a row or the call is too large. */
  oversize = []
  /** Called with each call; returns `lost` to apply it without an answer. */
  fault = () => undefined

  async start (host) {
    this.http = await serve(host, req => this.handle(req))
    this.address = this.http.address
  }

  now () {
    return Math.round(CLOCK_OFFSET_MS + performance.now())
  }

  /** Writes as the operator or a worker does. */
  put (table, key, value) {
    this.apply([{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  drop (table, key) {
    this.apply([], [{ table, part: '', key }])
  }

  read (table, part, key) {
    const row = this.rows.get(keyOf(table, part, key))
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  apply (puts, removes) {
    const version = ++this.version
    const at = performance.now()
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, row_version: version }
      this.rows.set(keyOf(table, part, key), row)
      this.history.push({ at, row })
    }
    for (const { table, part = '', key } of removes) {
      if (!this.rows.delete(keyOf(table, part, key))) continue
      this.history.push({ at, row: { table, part, key, deleted: true, row_version: version } })
    }
    while (this.history.length > 0 && this.history[0].at < at - HISTORY_MS) this.lostVersion = this.history.shift().row.row_version
    for (const wake of [...this.listeners]) wake()
    return version
  }

  async handle (req) {
    const { method, path, query, body } = req
    if (method === 'POST' && path === '/citronnotch/rows-tx') return this.transact(body)
    await sleep(ANSWER_MS)
    if (path === '/citronnotch/rows-get') return this.range(query)
    if (path === '/citronnotch/rows-feed') return this.feed(query)
    return { status: 404 }
  }

  async transact (body) {
    const { expected_revision: expected = [], puts = [], remove = [] } = body ?? {}
    const entries = [...expected, ...puts, ...remove]
    const parts = new Set(entries.map(({ part = '' }) => part))
    if ([...puts, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return { status: 403 }
    const tooLarge = puts.find(({ value }) => Buffer.from(value, 'base64').length > ROW_BYTES)
    if (entries.length > MAX_ENTRIES || parts.size !== 1 || JSON.stringify(body).length > TRANSACTION_BYTES || tooLarge !== undefined) {
      this.oversize.push({ at: performance.now(), table: tooLarge?.table, key: tooLarge?.key, bytes: tooLarge === undefined ? 0 : Buffer.from(tooLarge.value, 'base64').length, puts: puts.length })
      await sleep(ANSWER_MS)
      return { status: 400, body: { reason: 'too large' } }
    }
    const [part] = parts
    const startsAt = Math.max(performance.now(), this.partFreeAt.get(part) ?? 0)
    if (startsAt - performance.now() > 1_000) return { status: 429 }
    this.partFreeAt.set(part, startsAt + TRANSACTION_MS)
    await sleep(startsAt + TRANSACTION_MS - performance.now())
    const current = expected.map(row => this.rows.get(keyOf(row.table, row.part ?? '', row.key)))
    if (expected.some((row, index) => (current[index]?.row_version ?? 0) !== row.row_version)) {
      return { status: 412, body: { rows: current.filter(row => row !== undefined), row_version: this.version, now_ms: this.now() } }
    }
    const version = this.apply(puts, remove)
    return { status: 200, body: { row_version: version, now_ms: this.now() } }
  }

  range (query) {
    const [table, part, from, to] = [query.get('table'), query.get('part') ?? '', query.get('from') ?? '', query.get('to')]
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS))
    const rows = [...this.rows.values()]
      .filter(row => row.table === table && row.part === part && row.key >= from && (to === null || row.key < to))
      .sort((a, b) => a.key < b.key ? -1 : 1)
    return { status: 200, body: { rows: rows.slice(0, limit), has_more: rows.length > limit, row_version: this.version, now_ms: this.now() } }
  }

  async feed (query) {
    const [table, after, waitMs] = [query.get('table'), Number(query.get('after')), Number(query.get('wait_ms') ?? 0)]
    const until = performance.now() + waitMs
    for (;;) {
      if (after < this.lostVersion) return { status: 410 }
      const rows = this.history.filter(({ row }) => row.table === table && row.row_version > after).map(({ row }) => row)
      const remaining = until - performance.now()
      if (rows.length > 0 || remaining <= 0) return { status: 200, body: { rows, row_version: this.version, now_ms: this.now() } }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.listeners.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, remaining)
        this.listeners.add(wake)
      })
    }
  }
}
