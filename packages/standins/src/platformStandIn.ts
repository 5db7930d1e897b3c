import type { IncomingMessage } from 'node:http'
import type { Clock, RowWrite, Vm } from '@citronnotch/daemon'
import { badRequest, JsonListener } from './jsonHttp.js'
import type { Answer } from './jsonHttp.js'
import { TableStore } from './tableStore.js'
import { TokenBucket } from './tokenBucket.js'
import type { TruthLog } from './truthLog.js'
import { VmRegistry } from './vmRegistry.js'

export interface PlatformStandInOptions {
  readonly clock: Clock
  readonly log: TruthLog
  /**
   * Age of the VM list's content.
   * @default 2000
   */
  readonly vmLagMs?: number
  /** @default 500 */
  readonly writesPerSecond?: number
  /** @default 2000 */
  readonly readsPerSecond?: number
  /**
   * Rows that one transaction may have.
   * @default 100
   */
  readonly maxTransactionRows?: number
}

type ResolvedPlatformStandInOptions = Readonly<Required<PlatformStandInOptions>>

/** Faults of the platform; see `setFaults`. */
export interface PlatformFaults {
  /** Delay before each call takes effect. */
  readonly slowMs: number
  /** Every call is answered with 503 and has no effect. */
  readonly down: boolean
  /** Every call's connection is cut before it takes effect, as when the network is partitioned. */
  readonly unreachable: boolean
  /** Number of calls, or all, whose connection is cut after they took effect. */
  readonly loseAnswers: number | 'all'
  /** Number of calls, or all, that are answered with 429 and have no effect. */
  readonly refuseForRate: number | 'all'
}

/** Handles `POST /control/<name>`. */
export type ControlHandler = (body: unknown) => Promise<unknown>

export const NO_PLATFORM_FAULTS: PlatformFaults = { slowMs: 0, down: false, unreachable: false, loseAnswers: 0, refuseForRate: 0 }

/** Most rows of one scan. */
const MAX_SCAN_ROWS = 1_000

/** Simulated platform: table service, object store and VM list. */
export class PlatformStandIn {
  readonly tables = TableStore.create()
  readonly objects = new Map<string, Buffer>()
  readonly vms: VmRegistry
  private readonly faultsByOrigin = new Map<string, PlatformFaults>()
  private readonly controls = new Map<string, ControlHandler>()
  private readonly writeBucket: TokenBucket
  private readonly readBucket: TokenBucket
  private listener!: JsonListener

  private constructor (private readonly options: ResolvedPlatformStandInOptions) {
    const { clock } = options
    this.vms = VmRegistry.create(clock, options.vmLagMs)
    this.writeBucket = TokenBucket.create(clock, options.writesPerSecond)
    this.readBucket = TokenBucket.create(clock, options.readsPerSecond)
    this.onControl('faults', async body => {
      const { origin, ...faults } = body as Partial<PlatformFaults> & { origin?: string }
      this.setFaults(faults, origin)
      return this.faults(origin)
    })
    this.onControl('vms', async body => {
      const vm = body as Vm
      this.vms.set([{ ...this.vms.get(vm.id), ...vm }])
      return this.vms.get(vm.id)
    })
  }

  static async create (options: PlatformStandInOptions): Promise<PlatformStandIn> {
    const platform = new PlatformStandIn(resolvePlatformStandInOptions(options))
    platform.listener = await JsonListener.create((req, url, body) => platform.handle(req, url, body))
    return platform
  }

  /**
   * URL of the platform. With an origin, such as the name of a failure domain,
   * faults can be set for the callers that use this URL only.
   */
  url (origin?: string): string {
    return `http://${this.listener.address()}${origin === undefined ? '' : `/from/${encodeURIComponent(origin)}`}`
  }

  /** Faults in force for one origin, or for all callers. */
  faults (origin = '*'): PlatformFaults {
    return this.faultsByOrigin.get(origin) ?? NO_PLATFORM_FAULTS
  }

  /** Changes the given faults, for the callers of one origin or for all. */
  setFaults (faults: Partial<PlatformFaults>, origin = '*'): void {
    this.faultsByOrigin.set(origin, { ...this.faults(origin), ...faults })
  }

  clearFaults (): void {
    this.faultsByOrigin.clear()
  }

  /** Adds a handler of `POST /control/<name>`. */
  onControl (name: string, handler: ControlHandler): void {
    this.controls.set(name, handler)
  }

  close (): Promise<void> {
    return this.listener.close()
  }

  private async handle (req: IncomingMessage, url: URL, body: Buffer): Promise<Answer | undefined> {
    const control = /^\/control\/([^/]+)$/.exec(url.pathname)
    if (control !== null) return this.control(control[1] as string, req, body)
    const from = /^\/from\/([^/]+)(\/.*)$/.exec(url.pathname)
    const origins = from === null ? ['*'] : ['*', decodeURIComponent(from[1] as string)]
    const path = from === null ? url.pathname : from[2] as string
    for (const origin of origins) {
      const { slowMs, unreachable, down } = this.faults(origin)
      if (slowMs > 0) await this.options.clock.sleep(slowMs)
      if (unreachable) return undefined
      if (down) return { status: 503, body: { error: 'down' } }
      if (this.spend(origin, 'refuseForRate')) return { status: 429, body: { error: 'rate limit exceeded' } }
    }
    const answer = this.perform(req, path, url, body)
    const lost = origins.map(origin => this.spend(origin, 'loseAnswers')).includes(true)
    return lost ? undefined : answer
  }

  /** Counts a fault that applies to a number of calls. */
  private spend (origin: string, fault: 'loseAnswers' | 'refuseForRate'): boolean {
    const left = this.faults(origin)[fault]
    if (left === 'all') return true
    if (left > 0) this.setFaults({ [fault]: left - 1 }, origin)
    return left > 0
  }

  private async control (name: string, req: IncomingMessage, body: Buffer): Promise<Answer> {
    const handler = this.controls.get(name)
    if (handler === undefined || req.method !== 'POST') return { status: 404, body: { error: `unknown control ${name}` } }
    return { status: 200, body: await handler(body.length === 0 ? {} : JSON.parse(body.toString('utf8'))) ?? {} }
  }

  private perform (req: IncomingMessage, path: string, url: URL, body: Buffer): Answer {
    const object = /^\/objects\/(.+)$/.exec(path)
    if (object !== null) return this.object(req.method, decodeURIComponent(object[1] as string), body)
    const route = this.routes[`${req.method} ${path}`]
    return route === undefined ? { status: 404, body: { error: 'unknown path' } } : route(req, url, body)
  }

  private readonly routes: Readonly<Record<string, (req: IncomingMessage, url: URL, body: Buffer) => Answer>> = {
    'POST /tables/transact': (_req, _url, body) => {
      if (!this.writeBucket.take()) return { status: 429, body: { error: 'rate limit exceeded' } }
      const { writes } = JSON.parse(body.toString('utf8')) as { readonly writes: readonly RowWrite[] }
      const rows = writes.map(write => `${write.table}/${write.key}`)
      if (writes.length > this.options.maxTransactionRows) return badRequest(`more than ${this.options.maxTransactionRows} rows`)
      if (new Set(rows).size < rows.length) return badRequest('a row occurs more than once')
      const outcome = this.tables.transact(writes)
      this.options.log.record({ type: 'transaction', rows, committed: outcome.committed })
      return outcome.committed
        ? { status: 200, body: { versions: outcome.versions } }
        : { status: 409, body: { conflicts: outcome.conflicts } }
    },
    'POST /tables/read': (_req, _url, body) => {
      if (!this.readBucket.take()) return { status: 429, body: { error: 'rate limit exceeded' } }
      const { keys } = JSON.parse(body.toString('utf8')) as { readonly keys: ReadonlyArray<{ readonly table: string, readonly key: string }> }
      return { status: 200, body: { rows: keys.flatMap(({ table, key }) => this.tables.read(table, key) ?? []) } }
    },
    'POST /tables/scan': (_req, _url, body) => {
      if (!this.readBucket.take()) return { status: 429, body: { error: 'rate limit exceeded' } }
      const { table, prefix, after, limit } = JSON.parse(body.toString('utf8')) as
        { readonly table: string, readonly prefix: string, readonly after?: string, readonly limit?: number }
      return { status: 200, body: { rows: this.tables.scan(table, prefix, after, Math.min(limit ?? MAX_SCAN_ROWS, MAX_SCAN_ROWS)) } }
    },
    'GET /vms': (req, url) => {
      const failureDomain = url.searchParams.get('failureDomain') ?? undefined
      const { number, vms } = this.vms.visible(failureDomain)
      const etag = `"${number}"`
      if (req.headers['if-none-match'] === etag) return { status: 304, headers: { etag } }
      return { status: 200, headers: { etag }, body: { vms } }
    }
  }

  private object (method: string | undefined, key: string, body: Buffer): Answer {
    const data = this.objects.get(key)
    if (method === 'PUT') {
      this.objects.set(key, body)
      return { status: 204 }
    }
    if (data === undefined) return { status: 404, body: { error: 'no such object' } }
    if (method === 'GET') return { status: 200, body: data }
    if (method !== 'DELETE') return { status: 405, body: { error: 'unknown method' } }
    this.objects.delete(key)
    return { status: 204 }
  }
}

export function resolvePlatformStandInOptions (options: PlatformStandInOptions): ResolvedPlatformStandInOptions {
  return { vmLagMs: 2_000, writesPerSecond: 500, readsPerSecond: 2_000, maxTransactionRows: 100, ...options }
}
