/** A cell of three daemons in three regions, with a proxy on each way between two of them. */
import { rm } from 'node:fs/promises'
import { Daemon, PeerProxy, freePorts, send, settingsOf, temporaryFolder, until } from './cell.mjs'
import { Store, Worker, sleep } from './platform.mjs'

const ZONES = { 'suva-a': 'viti-levu', 'labasa-a': 'vanua-levu', 'lakeba-a': 'lau' }
/** One way between two regions and within one, as the sheets give it. */
const BETWEEN_REGIONS_MS = 20
const WITHIN_REGION_MS = 0.5
export const HOST = 'renewals.example'
export const PREFIX = '/renewals/'

export const ROUTE = { name: 'renewals', host: HOST, path_prefix: PREFIX, service: 'dispatch', priority: 0, max_attempts: 3, slack_factor: 2, target_latency_ms: 500 }

export class RegionCell {
  daemons = []
  proxies = []
  workers = []
  store = new Store()
  /** Addresses of the daemons that are cut off. */
  cutOff = new Set()

  constructor (record) {
    this.record = record
    this.temporary = temporaryFolder()
    this.net = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
  }

  /** `workersOf`: number of workers by zone. The store stands in the first zone. */
  async start ({ workersOf, durationOf, cloudOf, cores = [1, 1, 1] }) {
    const zones = Object.keys(ZONES)
    this.zoneOfSource = new Map(zones.map((zone, index) => [`${this.net}.${10 + index}`, zone]))
    this.store.put('op', '', 'config', { version: 7, routes: [ROUTE], services: [{ name: 'dispatch', admission_check: false }], limits: { max_body_bytes: 262_144 } })
    for (const zone of zones) for (let index = 0; index < (workersOf[zone] ?? 0); index++) this.workers.push(await this.startWorker(`w-${zone}-${index}`, zone, durationOf))
    const cloudAddress = await cloudOf?.(this)
    for (const [index, zone] of zones.entries()) {
      const ip = `${this.net}.${10 + index}`
      const ports = await freePorts(6, ip)
      const internalPorts = ports.slice(3, 5)
      const storeAddress = await this.store.serve(() => this.wayMs(zone, zones[0]), () => this.healed(ip))
      const settings = settingsOf({ name: `d${index + 1}`, ip, zone, zones: ZONES, ports, internalPorts, storeAddress, cloudAddress, cores: cores[index] })
      this.proxies.push(await new PeerProxy(ip, internalPorts[0], ports[5], source => this.cutOff.has(ip) || this.cutOff.has(source)).start())
      this.daemons.push(new Daemon(settings, this.temporary.folder, { NODE_OPTIONS: `--import=${new URL('link.mjs', import.meta.url).href}`, REVIEW_PEER_PORT: internalPorts[0], REVIEW_PEER_PORT_MOVED: ports[5], REVIEW_SOURCE: ip }))
      // The first daemon leads from the start.
      if (index === 0) await until(() => this.leader() === this.daemons[0], 10_000)
    }
    const areReady = await until(async () => (await Promise.all(this.daemons.map(({ settings }) => send(settings.listen.ready, 'ready', 'GET', '/citronnotch/readiness')))).every(({ status }) => status === 200), 10_000)
    return areReady && this.leader() === this.daemons[0]
  }

  startWorker (id, zone, durationOf) {
    const entry = { service: 'dispatch', zone, capacity: { cpu: 32_000, mem_mb: 131_072, gpu: 0 }, labels: ['a', `r-${zone}`] }
    return new Worker({ store: this.store, record: this.record, id, entry, durationOf, oneWayMs: source => this.wayMs(this.zoneOfSource.get(source), zone) }).start()
  }

  wayMs (from, to) {
    return from === to ? WITHIN_REGION_MS : BETWEEN_REGIONS_MS
  }

  /** The daemon that the lease in the store names. */
  leader () {
    const holder = this.store.get('leader', 'lease', 'lease')?.holder
    return this.daemons.find(({ name }) => holder?.startsWith(`${name}/`))
  }

  /** Cuts a daemon off from the others and from the store, silently; it keeps the workers and its clients. */
  cutSilently (daemon, durationMs) {
    this.cutOff.add(daemon.settings.ip)
    setTimeout(() => this.cutOff.delete(daemon.settings.ip), durationMs)
  }

  /** Resolves once an address isn't cut off. */
  async healed (ip) {
    while (this.cutOff.has(ip)) await sleep(20)
  }

  /** Cuts the first daemon off from the others, with refusals; both sides keep the store, the workers and their clients. */
  async cut () {
    await Promise.all(this.proxies.map((proxy, index) => index === 0 ? proxy.refuse() : proxy.refuseFrom(this.proxies[0].ip)))
  }

  async close () {
    await Promise.all(this.daemons.map(daemon => daemon.stop()))
    for (const proxy of this.proxies) proxy.close()
    for (const worker of this.workers) if (!worker.isDown) worker.end('closed')
    this.store.close()
    if (process.env.KEEP_LOGS === undefined) await rm(this.temporary.folder, { recursive: true, force: true })
    else console.error(`logs: ${this.temporary.folder}`)
  }
}
