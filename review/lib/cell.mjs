import { spawn } from 'node:child_process'
import { randomBytes, randomInt } from 'node:crypto'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call } from './http.mjs'
import { Store } from './store.mjs'
import { Worker } from './worker.mjs'

export const REPOSITORY = resolve(fileURLToPath(new URL('../..', import.meta.url)))
export const HOST = 'press.example'
export const SERVICE = 'dispatch'
/** Bounds of kit/more/system/SYSTEM.md for the Kadavu Leaf Press. */
export const BOUNDS = {
  stable_window_ms: 4_000, ack_timeout_ms: 5_000, drain_ms: 2_500, grace_period_s: 6, config_apply_ms: 2_500, hold_max_ms: 6_000, stop_timeout_ms: 400, cancel_ms: 3_000, visible_ms: 3_000, finish_s: 14, status_s: 120, notice_ms: 5_500, maintenance_s: 2, lease_ms: 3_000
}
const READY_TIMEOUT_MS = 20_000
const RESTART_DELAY_MS = 300
const PORTS = { frontend: 8161, control: 8166, ready: 8167 }
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
export const isTrouble = process.env.TROUBLE !== '0'

/** Exits with 2: the case could not be run. */
export class CannotRun extends Error {}

/** A small deployment on loopback: daemons as processes, and stand-ins for the store and the workers in this process. */
export class Cell {
  daemons = []
  workers = []
  startedAt = performance.now()
  store = new Store()

  constructor (recordPath) {
    this.recordPath = recordPath
    this.output = createWriteStream(recordPath)
    this.folder = mkdtempSync(join(tmpdir(), 'citronnotch-review-'))
    this.runCommand = /^run = "([^"]+)"/m.exec(readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8'))[1]
    this.net = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`
    this.record = this.record.bind(this)
  }

  ms () {
    return Math.round(performance.now() - this.startedAt)
  }

  record (event, fields = {}) {
    const ms = this.ms()
    this.onEvent?.({ event, ms, ...fields })
    this.output.write(`${(ms / 1_000).toFixed(3).padStart(8)} s  ${event}  ${JSON.stringify(fields)}\n`)
  }

  async start ({ daemons, workers, config, behaviour, cloud, advice }) {
    await this.store.start(`${this.net}.200`)
    this.cloudAddress = await cloud?.start(`${this.net}.201`)
    this.adviceAddress = advice
    this.putConfig(config)
    for (const [index, spec] of workers.entries()) {
      const worker = new Worker({ id: `i-${index.toString(16).padStart(8, '0')}`, service: SERVICE, host: `${this.net}.${100 + index % 90}`, store: this.store, record: this.record, behaviour, ...spec })
      this.workers.push(worker)
      await worker.boot()
    }
    for (let index = 0; index < daemons; index++) this.startDaemon(index)
    const until = performance.now() + READY_TIMEOUT_MS
    while (!(await Promise.all(this.daemons.map(daemon => this.isReady(daemon)))).every(Boolean)) {
      if (performance.now() > until) throw new CannotRun('the daemons are not ready in time')
      await sleep(200)
    }
    this.record('daemons-ready')
  }

  putConfig (config) {
    this.record('manifest', { version: config.version, routes: config.routes.map(({ name }) => name) })
    this.store.put('op', 'config', config)
  }

  startDaemon (index) {
    const ip = `${this.net}.${index + 1}`
    const name = `frontend-a-${index + 1}`
    const daemon = this.daemons[index] ?? { name, ip, frontend: `${ip}:${PORTS.frontend}`, ready: `${ip}:${PORTS.ready}`, shouldRun: true }
    this.daemons[index] = daemon
    const settings = join(this.folder, `${name}.yaml`)
    writeFileSync(settings, this.settingsOf(daemon))
    const [program, ...args] = this.runCommand.split(' ')
    const { PATH, HOME, LANG } = process.env
    const env = Object.fromEntries(Object.entries({ PATH, HOME, LANG, CITRONNOTCH_NODE_FILE: settings }).filter(([, value]) => value !== undefined))
    const child = spawn(program, args, { cwd: REPOSITORY, env, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    daemon.child = child
    this.record('daemon-starts', { daemon: name })
    child.once('error', err => { this.record('daemon-cannot-start', { daemon: name, reason: err.message }) })
    child.once('exit', (code, signal) => {
      this.record('daemon-exits', { daemon: name, code, signal })
      if (daemon.shouldRun) setTimeout(() => { if (daemon.shouldRun) this.startDaemon(index) }, RESTART_DELAY_MS)
    })
  }

  settingsOf ({ name, ip }) {
    const fields = {
      node_name: name,
      role: 'daemon',
      machine_class: 'frontend',
      serves: ['frontend'],
      ip,
      zone: 'a',
      region: 'r',
      zones: { a: 'r' },
      listen: { frontend: `${ip}:${PORTS.frontend}`, ready: `${ip}:${PORTS.ready}`, control: `${ip}:${PORTS.control}` },
      internal_ports: [7720, 7735],
      seeds: [],
      bootstrap: true,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, file_descriptors: 4200, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      heartbeat_interval_ms: 1500,
      bounds: { ...BOUNDS, fencing_enforced: false },
      orders: 'invocation',
      platform: { address: this.store.address, form: 'table', row_bytes: 65_536, history_s: 20 },
      ...(this.cloudAddress === undefined ? {} : { cloud: { address: this.cloudAddress, rate_per_s: 60, duty_per_s: 60 } }),
      ...(this.adviceAddress === undefined ? {} : { placement_advice: this.adviceAddress })
    }
    // JSON is valid YAML.
    return JSON.stringify(fields, undefined, 1)
  }

  async isReady (daemon) {
    return (await call(daemon.ready, { method: 'GET', path: '/citronnotch/readiness', timeoutMs: 500 })).status === 200
  }

  signal (index, name) {
    this.record('signal', { daemon: this.daemons[index].name, signal: name })
    this.daemons[index].child.kill(name)
  }

  /** Index of the daemon that leads, according to its lease row. */
  leader () {
    const lease = this.store.read('leader', 'lease', 'lease')
    return this.daemons.findIndex(({ name }) => lease !== undefined && String(lease.holder).startsWith(`${name}/`))
  }

  newId () {
    return randomBytes(8).toString('hex')
  }

  async request (index, method, prefix, id = '', body = undefined, timeoutMs = 3_000) {
    const res = await call(this.daemons[index].frontend, { method, path: `${prefix}${id}`, headers: { host: HOST, 'x-citronnotch-deadline-ms': String(timeoutMs) }, body, timeoutMs })
    if (method !== 'GET') this.record('answered', { daemon: this.daemons[index].name, method, path: `${prefix}${id}`, status: res.status })
    return res
  }

  /** Submits a job like a client: an unanswered or refused attempt is repeated, at another daemon. Returns whether it was accepted. */
  async submit (prefix, id, body, attempts = 5) {
    this.record('submit', { path: `${prefix}${id}`, steps: body.steps })
    for (let attempt = 0; attempt < attempts; attempt++) {
      const index = randomInt(this.daemons.length)
      const { status } = await this.request(index, 'POST', prefix, id, body)
      if (status >= 200 && status < 300) return true
      if (status === 404 || status === 400) return false
      await sleep(500)
    }
    return false
  }

  /** State of a job as a daemon tells it: the state, the status if it isn't 200, or 0 without an answer. */
  async stateOf (prefix, id) {
    for (let attempt = 0; attempt < 3; attempt++) {
      const res = await this.request(randomInt(this.daemons.length), 'GET', prefix, id)
      if (res.status === 200) return res.body?.state
      if (res.status === 404 || res.status === 410) return res.status
      await sleep(300)
    }
    return 0
  }

  async close () {
    for (const daemon of this.daemons) {
      daemon.shouldRun = false
      daemon.child.kill('SIGCONT')
      daemon.child.kill('SIGKILL')
    }
    for (const worker of this.workers) worker.close()
    await sleep(300)
    await new Promise(resolve => this.output.end(resolve))
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.log(`logs: ${this.folder}`)
  }
}

/** Runs a case, which returns the breaches of the rule, and exits with 0, 1 or 2. */
export async function runCase (folder, play) {
  const cell = new Cell(join(folder, 'record.txt'))
  const guard = setTimeout(() => {
    console.error('the case takes longer than 118 s')
    for (const { child } of cell.daemons) child.kill('SIGKILL')
    process.exit(2)
  }, 118_000)
  let code = 2
  try {
    const breaches = await play(cell)
    for (const breach of breaches) cell.record('BREACH', { breach })
    for (const breach of breaches.slice(0, 12)) console.log(breach)
    console.log(breaches.length === 0 ? 'the rule held' : `the rule was broken ${breaches.length} times`)
    cell.record('result', { breaches: breaches.length, trouble: isTrouble })
    code = breaches.length === 0 ? 0 : 1
  } catch (err) {
    console.error(`the case could not run: ${err instanceof CannotRun ? err.message : err.stack}`)
  }
  await cell.close()
  clearTimeout(guard)
  process.exit(code)
}

export function route (name, prefix, more = {}) {
  return { name, host: HOST, path_prefix: prefix, kind: 'non_idempotent', timeout_ms: 3_000, target_latency_ms: 3_000, priority: 1, service: SERVICE, max_attempts: 3, slack_factor: 2, ...more }
}

export function manifest (version, routes) {
  return {
    version,
    routes,
    services: [{ name: SERVICE, health_path: '/health', max_connections: 64, protocol: 'h1', tls_enabled: false, admission_check: false, standby: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
  }
}
