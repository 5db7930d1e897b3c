/** Stand-ins of the platform for the cases of this review: the store, workers and the machines' API, on loopback addresses. */
import { createServer } from 'node:http'

const READ_MS = 4
const TRANSACTION_MS = 5
const ROWS_PER_PAGE = 500
/** The settings' `row_bytes`, of the value before its encoding. */
const ROW_BYTES = 65_536
const MAX_ENTRIES = 100
const ENDS_PER_ANSWER = 500

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Serves `handle` over HTTP; a reply of undefined closes the connection without an answer. */
async function listen (handle, host = '127.0.0.1') {
  const server = createServer((req, res) => {
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('error', () => {})
    req.on('end', async () => {
      const url = new URL(req.url, 'http://platform')
      const text = Buffer.concat(chunks).toString()
      const reply = await handle({ path: url.pathname, query: url.searchParams, headers: req.headers, from: req.socket.remoteAddress, body: text === '' ? {} : JSON.parse(text) }).catch(err => {
        console.error(err)
        return { status: 500 }
      })
      if (reply === undefined) return res.destroy()
      if (res.destroyed) return
      res.writeHead(reply.status, { 'content-type': 'application/json' }).end(reply.body === undefined ? '' : JSON.stringify(reply.body))
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise(resolve => server.listen(0, host, resolve))
  return { server, address: `${host}:${server.address().port}` }
}

function shut ({ server }) {
  server.close()
  server.closeAllConnections()
}

/** The store of PROTOCOL.md: rows, transactions within one part, and the feed of a table. */
export class Store {
  rows = new Map()
  history = []
  version = 0
  partBusyUntil = new Map()
  waiting = new Set()
  fronts = []

  /** Serves the store at an address of its own. `oneWayMs` is the way between the caller and the store, `healed` resolves while that isn't cut. */
  async serve (oneWayMs = () => 0, healed = async () => {}) {
    const front = await listen(async req => {
      await healed()
      await sleep(oneWayMs())
      const reply = await this.handle(req)
      await sleep(oneWayMs())
      await healed()
      return reply
    })
    this.fronts.push(front)
    return front.address
  }

  close () {
    this.fronts.forEach(shut)
  }

  /** Writes a row as the operator or a worker does, and returns its version. */
  put (table, part, key, value) {
    return this.write([{ table, part, key, value: encode(value) }], [])
  }

  remove (table, part, key) {
    if (this.rows.has(idOf({ table, part, key }))) this.write([], [{ table, part, key }])
  }

  get (table, part, key) {
    const row = this.rows.get(idOf({ table, part, key }))
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  write (puts, removes) {
    const rowVersion = ++this.version
    for (const { table, part, key, value } of puts) {
      const row = { table, part, key, value, row_version: rowVersion }
      this.rows.set(idOf(row), row)
      this.history.push(row)
    }
    for (const { table, part, key } of removes) {
      this.rows.delete(idOf({ table, part, key }))
      this.history.push({ table, part, key, row_version: rowVersion, deleted: true })
    }
    for (const wake of [...this.waiting]) wake()
    return rowVersion
  }

  async handle (req) {
    if (req.path === '/citronnotch/rows-tx') return this.transact(req.body)
    if (req.path === '/citronnotch/rows-get') return this.range(req.query)
    if (req.path === '/citronnotch/rows-feed') return this.feed(req.query)
    return { status: 404 }
  }

  async transact ({ expected_revision: expected = [], puts = [], remove = [] }) {
    const part = [...puts, ...remove, ...expected][0]?.part ?? ''
    if ([...puts, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return { status: 403 }
    if (puts.some(({ value }) => Buffer.from(value, 'base64').length > ROW_BYTES) || puts.length + remove.length + expected.length > MAX_ENTRIES) return { status: 400 }
    const startsAt = Math.max(performance.now(), this.partBusyUntil.get(part) ?? 0)
    this.partBusyUntil.set(part, startsAt + TRANSACTION_MS)
    await sleep(startsAt + TRANSACTION_MS - performance.now())
    if (expected.some(row => (this.rows.get(idOf(row))?.row_version ?? 0) !== row.row_version)) {
      return { status: 412, body: this.answer(expected.flatMap(row => this.rows.get(idOf(row)) ?? [])) }
    }
    this.write(puts, remove)
    return { status: 200, body: this.answer([]) }
  }

  async range (query) {
    await sleep(READ_MS)
    const [table, part, from, to] = [query.get('table'), query.get('part') ?? '', query.get('from') ?? '', query.get('to')]
    const limit = Math.min(ROWS_PER_PAGE, Number(query.get('limit') ?? ROWS_PER_PAGE))
    const rows = [...this.rows.values()].filter(row => row.table === table && row.part === part && row.key >= from && (to === null || row.key < to)).sort((a, b) => a.key < b.key ? -1 : 1)
    return { status: 200, body: { ...this.answer(rows.slice(0, limit)), has_more: rows.length > limit } }
  }

  async feed (query) {
    const [table, after] = [query.get('table'), Number(query.get('after'))]
    const until = performance.now() + Number(query.get('wait_ms') ?? 0)
    for (;;) {
      const rows = this.history.filter(row => row.table === table && row.row_version > after)
      if (rows.length > 0 || performance.now() >= until) return { status: 200, body: this.answer(rows) }
      await this.nextWrite(until - performance.now())
    }
  }

  nextWrite (timeoutMs) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMs)
      this.waiting.add(wake)
    })
  }

  answer (rows) {
    return { rows, row_version: this.version, now_ms: performance.now() }
  }
}

const idOf = ({ table, part, key }) => JSON.stringify([table, part, key])
const encode = value => Buffer.from(JSON.stringify(value)).toString('base64')

/**
 * One life of a worker of PROTOCOL.md that doesn't guard its capacity. Runs are reported to `record`.
 * `durationOf(spec)` is the work of a task in milliseconds, Infinity for one that lasts.
 */
export class Worker {
  runs = new Map()
  ends = []
  sequence = 0
  highestRun = new Map()
  highestToken = 0
  leaseUntil = 0
  waiting = new Set()

  constructor ({ store, record, id, entry, born, durationOf, oneWayMs = () => 0, startupMs = 300, stopMs = 100 }) {
    Object.assign(this, { store, record, id, entry, durationOf, oneWayMs, startupMs, stopMs })
    this.born = born ?? Date.now()
    this.bootedAt = performance.now()
  }

  async start () {
    this.front = await listen(async req => {
      await sleep(this.oneWayMs(req.from))
      if (this.isDown) return undefined
      const reply = await this.handle(req)
      await sleep(this.oneWayMs(req.from))
      return this.isDown ? undefined : reply
    })
    this.timer = setInterval(() => this.advance(), 2)
    this.report()
    this.beat = setInterval(() => this.report(), 1_500)
    return this
  }

  /** Writes the worker's entry, as each report about itself does. */
  report () {
    this.store.put('servers', '', this.id, { ...this.entry, address: this.front.address, born: this.born, state: 'ready', version: 'r1', slots: 8, cold_remaining_ms: 0, sequence: ++this.beats })
  }

  beats = 0

  /** Ends at once: what runs here is gone, and nothing answers any more. */
  end (how) {
    this.isDown = true
    clearInterval(this.timer)
    clearInterval(this.beat)
    for (const run of this.runs.values()) this.record({ what: 'ended', how, task: run.task, run: run.run, worker: this.id })
    this.runs.clear()
    shut(this.front)
    for (const wake of [...this.waiting]) wake()
  }

  clock () {
    return Math.floor(performance.now() - this.bootedAt)
  }

  async handle ({ path, headers, body }) {
    if (headers['x-citronnotch-expected-instance'] !== this.id) return { status: 421 }
    this.advance()
    const token = body.fencing_token ?? 0
    if (token < this.highestToken) return this.refuse('fence')
    this.highestToken = token
    if (path === '/citronnotch/run-start') return this.startRun(body)
    if (path === '/citronnotch/run-stop') return this.stopRun(body)
    if (path === '/citronnotch/hold') return this.hold(body)
    return { status: 404 }
  }

  startRun ({ task, run, run_id: number, spec = '', deadline_ms: deadline }) {
    this.extend(deadline)
    const running = this.runs.get(task)
    if (running?.run === number) return this.ok()
    if (running !== undefined || number <= (this.highestRun.get(task) ?? 0)) return this.refuse('old')
    if (deadline <= this.clock()) return this.refuse('late')
    const now = performance.now()
    this.runs.set(task, { task, run: number, startedAt: now, endsAt: now + this.durationOf(spec, task), stopsAt: Infinity })
    this.record({ what: 'started', task, run: number, worker: this.id, token: this.highestToken, spec })
    return this.ok()
  }

  stopRun ({ task, run_id: number }) {
    this.highestRun.set(task, Math.max(number, this.highestRun.get(task) ?? 0))
    const running = this.runs.get(task)
    if (running?.run === number) running.stopsAt = Math.min(running.stopsAt, performance.now() + this.stopMs)
    return this.ok()
  }

  async hold ({ deadline_ms: deadline, last_seen: lastSeen = 0, wait_ms: waitMs = 0 }) {
    for (const end of this.ends.filter(([sequence]) => sequence <= lastSeen)) this.record({ what: 'noted', task: end[1], run: end[2], how: end[3], worker: this.id, token: this.highestToken })
    this.ends = this.ends.filter(([sequence]) => sequence > lastSeen)
    if (deadline !== undefined) this.extend(deadline)
    const until = performance.now() + Math.min(2_000, waitMs)
    while (this.ends.length === 0 && performance.now() < until && !this.isDown) await this.nextEnd(until - performance.now())
    const now = performance.now()
    return {
      status: 200,
      body: {
        clock_ms: this.clock(),
        born: this.born,
        running: [...this.runs.values()].map(run => [run.task, run.run, '', this.percentOf(run, now), 0]),
        finished: this.ends.slice(0, ENDS_PER_ANSWER)
      }
    }
  }

  percentOf ({ startedAt, endsAt }, now) {
    const totalMs = endsAt === Infinity ? this.startupMs : endsAt - startedAt
    return Math.min(100, Math.floor(100 * (now - startedAt) / totalMs))
  }

  nextEnd (timeoutMs) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMs)
      this.waiting.add(wake)
    })
  }

  extend (deadline) {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock() + 6_000))
  }

  /** Ends the runs that are done, stopped or without a lease. */
  advance () {
    const now = performance.now()
    for (const run of [...this.runs.values()]) {
      if (run.endsAt <= now) this.finish(run, 'done')
      else if (run.stopsAt <= now) this.finish(run, 'stopped')
      else if (this.leaseUntil < this.clock()) this.finish(run, 'lapsed')
    }
  }

  finish (run, how) {
    this.runs.delete(run.task)
    this.highestRun.set(run.task, Math.max(run.run, this.highestRun.get(run.task) ?? 0))
    this.ends.push([++this.sequence, run.task, run.run, how, ''])
    this.record({ what: 'ended', how, task: run.task, run: run.run, worker: this.id })
    for (const wake of [...this.waiting]) wake()
  }

  ok () {
    return { status: 200, body: { clock_ms: this.clock() } }
  }

  refuse (reason) {
    return { status: 409, body: { clock_ms: this.clock(), reason } }
  }
}

/** The machines' API of PROTOCOL.md, for upkeeps. `begin(machine)` starts one and resolves with the new worker once it is up. */
export class Machines {
  constructor ({ record, pool, upkeepMs, begin }) {
    Object.assign(this, { record, pool, upkeepMs, begin })
    this.all = new Map()
  }

  /** Adds a machine with its worker. */
  add (machine, worker, zone) {
    this.all.set(machine, { machine, state: 'up', worker, zone, waves: new Set() })
  }

  async serve () {
    this.front = await listen(async ({ path, headers, body }) => {
      await sleep(READ_MS)
      if (path === '/citronnotch/machines') return { status: 200, body: { machines: [...this.all.values()].map(entry => this.entryOf(entry)) } }
      if (path === '/citronnotch/machine-upkeep') return this.upkeep(body, headers)
      return { status: 404 }
    })
    return this.front.address
  }

  close () {
    shut(this.front)
  }

  entryOf ({ machine, state, worker, zone }) {
    return { machine, pool: this.pool, state, zone, labels: worker.entry.labels, capacity: worker.entry.capacity, ...(state === 'up' ? { id: worker.id } : {}) }
  }

  upkeep ({ machine, wave }, headers) {
    const order = { what: 'order', machine, wave, holder: headers['x-citronnotch-lease-holder'], token: Number(headers['x-citronnotch-fencing-token']) }
    const entry = this.all.get(machine)
    const answer = this.answerTo(entry, wave)
    this.record({ ...order, answer: answer.status, reason: answer.body?.reason, begins: answer.begins === true })
    if (answer.begins !== true) return answer
    entry.waves.add(wave)
    entry.state = 'upkeep'
    this.record({ what: 'upkeep', machine, wave })
    this.begin(entry).then(worker => Object.assign(entry, { worker, state: 'up' }))
    return answer
  }

  answerTo (entry, wave) {
    if (entry === undefined) return { status: 400 }
    if (entry.waves.has(wave)) return { status: 200, body: {} }
    if (entry.state !== 'up') return { status: 409, body: { reason: 'busy' } }
    return { status: 200, body: {}, begins: true }
  }
}
