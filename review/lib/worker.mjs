import { serve } from './http.mjs'

const HEARTBEAT_INTERVAL_MS = 1_500
const HOLD_MAX_MS = 6_000
const STOP_MS = 200
const MAX_LISTED = 500
const TICK_MS = 20
/** Time after which a request that was sent without an answer from the network is repeated. */
const RETRANSMISSION_MS = 200

/**
 * Stand-in of a worker, after PROTOCOL.md: fencing, leases on its own clock, ends that are listed until they are taken note of.
 * `behaviour(task, spec, worker)` gives `{ ms, end }` of a run; a run with `ms` Infinity lasts.
 */
export class Worker {
  isUp = false

  constructor ({ id, machine = `m-${id}`, service, host, capacity, labels, store, record, behaviour, needOf = () => undefined }) {
    Object.assign(this, { id, machine, service, host, capacity, labels, store, record, behaviour, needOf })
    this.sockets = new Set()
    /** Channels of an earlier life on which a request came while there was no power. */
    this.heldSockets = new Set()
    /** Channels that were opened while there was no power. In a network their first packet would be lost: they stay silent. */
    this.darkSockets = new WeakSet()
  }

  /** Begins a life of the worker, at the address that it had. */
  async boot () {
    this.born = Date.now()
    this.bootedAt = performance.now()
    this.fence = 0
    this.leaseUntil = 0
    this.running = new Map()
    this.highestRun = new Map()
    this.finished = []
    this.sequence = 0
    this.lastSeen = 0
    this.state = 'ready'
    this.beats = 0
    this.deadSockets = new Set(this.sockets)
    // What the other side repeats on a channel of an earlier life is answered with a reset.
    for (const socket of this.sockets) if (this.heldSockets.has(socket)) setTimeout(() => socket.resetAndDestroy(), RETRANSMISSION_MS)
    this.heldSockets.clear()
    this.isUp = true
    if (this.http === undefined) {
      this.http = await serve(this.host, req => this.handle(req))
      this.http.server.on('connection', socket => {
        this.sockets.add(socket)
        if (!this.isUp) this.darkSockets.add(socket)
        socket.on('close', () => this.sockets.delete(socket))
        socket.on('error', () => {})
      })
      this.address = this.http.address
    }
    this.record('worker-boots', { worker: this.id, born: this.born })
    this.beat()
    this.beatTimer = setInterval(() => this.beat(), HEARTBEAT_INTERVAL_MS)
    this.tickTimer = setInterval(() => this.tick(), TICK_MS)
  }

  /**
   * Loses power: everything that runs is gone, and neither open channels nor new ones are answered. There is no last packet, so
   * that the other side sees nothing but silence.
   */
  crash () {
    this.record('worker-crashes', { worker: this.id, running: [...this.running.values()].map(({ task, run }) => `${task}#${run}`) })
    this.isUp = false
    clearInterval(this.beatTimer)
    clearInterval(this.tickTimer)
    for (const socket of this.sockets) this.deadSockets.add(socket)
    for (const entry of this.running.values()) this.record('run-gone', { worker: this.id, task: entry.task, run: entry.run })
    this.running.clear()
  }

  /** Ends the life of the worker for a planned cause; its entry is removed and its address is given up. */
  async leave () {
    this.crash()
    this.store.drop('servers', this.id)
    await this.http.close()
    this.http = undefined
  }

  close () {
    clearInterval(this.beatTimer)
    clearInterval(this.tickTimer)
    this.http?.close()
  }

  clock () {
    return Math.floor(performance.now() - this.bootedAt)
  }

  beat () {
    const { service, address, state, capacity, labels, born } = this
    this.store.put('servers', this.id, {
      service, address, zone: 'a', version: 'v1', slots: 8, state, cold_remaining_ms: 0, capacity, labels, born, clock_ms: this.clock(), sequence: ++this.beats
    })
  }

  async handle ({ path, headers, body, socket }) {
    if (this.darkSockets.has(socket)) return undefined
    if (!this.isUp) {
      this.heldSockets.add(socket)
      return undefined
    }
    if (this.deadSockets.has(socket)) {
      socket.resetAndDestroy()
      return undefined
    }
    const life = this.bootedAt
    const reply = await this.dispatch(path, headers, body)
    return this.isUp && life === this.bootedAt ? reply : undefined
  }

  async dispatch (path, headers, body) {
    if (path === '/health') return { status: 200 }
    if (headers['x-citronnotch-expected-instance'] !== undefined && headers['x-citronnotch-expected-instance'] !== this.id) return { status: 421 }
    if (body === undefined) return { status: 400 }
    const token = body.fencing_token ?? 0
    if (token < this.fence) return this.refuse('fence')
    this.fence = token
    if (path === '/citronnotch/run-start') return this.start(body)
    if (path === '/citronnotch/run-stop') return this.stop(body)
    if (path === '/citronnotch/hold') return this.hold(body)
    return { status: 404 }
  }

  start ({ task, run_id: run, spec, deadline_ms: deadline, checkpoint = '', fencing_token: token }) {
    const existing = this.running.get(task)
    if (deadline !== undefined) this.extend(deadline)
    if (existing?.run === run) return this.ok()
    if (existing !== undefined || run <= (this.highestRun.get(task) ?? 0)) return this.refuse('old')
    if (deadline !== undefined && deadline <= this.clock()) return this.refuse('late')
    const { ms, end } = this.behaviour(task, spec, this)
    this.running.set(task, { task, run, checkpoint, startedAt: this.clock(), ms, end })
    this.record('run-starts', { worker: this.id, born: this.born, task, run, token })
    return this.ok()
  }

  stop ({ task, run_id: run }) {
    const entry = this.running.get(task)
    if (entry?.run === run) entry.stopsAt ??= this.clock() + STOP_MS
    else this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0))
    return this.ok()
  }

  async hold ({ deadline_ms: deadline, last_seen: lastSeen = 0, wait_ms: waitMs = 0 }) {
    if (deadline !== undefined) this.extend(deadline)
    if (lastSeen > this.lastSeen) {
      for (const [sequence, task, run, how] of this.finished) if (sequence <= lastSeen) this.record('end-noted', { worker: this.id, task, run, how }, true)
      this.lastSeen = lastSeen
      this.finished = this.finished.filter(([sequence]) => sequence > lastSeen)
    }
    const until = performance.now() + waitMs
    while (this.finished.length === 0 && performance.now() < until) await new Promise(resolve => setTimeout(resolve, 10))
    return {
      status: 200,
      body: {
        clock_ms: this.clock(),
        born: this.born,
        running: [...this.running.values()].map(entry => [entry.task, entry.run, entry.checkpoint, this.percentOf(entry), 0]),
        finished: this.finished.slice(0, MAX_LISTED)
      }
    }
  }

  percentOf ({ startedAt, ms }) {
    const age = this.clock() - startedAt
    return ms === Infinity ? (age >= 500 ? 100 : Math.floor(age / 5)) : Math.min(99, Math.floor(100 * age / ms))
  }

  extend (deadline) {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock() + HOLD_MAX_MS))
  }

  tick () {
    const now = this.clock()
    for (const entry of [...this.running.values()]) {
      if (entry.stopsAt !== undefined && now >= entry.stopsAt) this.end(entry, 'stopped')
      else if (now >= entry.startedAt + entry.ms) this.end(entry, entry.end)
      else if (now > this.leaseUntil) this.end(entry, 'lapsed')
    }
  }

  end (entry, how) {
    const { task, run, checkpoint } = entry
    this.running.delete(task)
    this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0))
    this.finished.push([++this.sequence, task, run, how, checkpoint])
    this.record('run-ends', { worker: this.id, task, run, how })
  }

  ok () {
    return { status: 200, body: { clock_ms: this.clock(), born: this.born } }
  }

  refuse (reason) {
    return { status: 409, body: { clock_ms: this.clock(), born: this.born, reason } }
  }
}
