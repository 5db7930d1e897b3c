import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '@citronnotch/daemon'
import { readBody } from './jsonHttp.js'
import { PauseGate } from './pauseGate.js'
import type { TruthLog } from './truthLog.js'

export interface BackendServerOptions {
  readonly clock: Clock
  readonly log: TruthLog
  /** Name of the service, sent in the header `x-service`. */
  readonly service: string
  /** @default 8 */
  readonly slots?: number
  /** @default 64 */
  readonly connections?: number
  /**
   * Time that a request takes.
   * @default 0
   */
  readonly workMs?: number
  /** Holds requests while the VM is paused. */
  readonly gate?: PauseGate
}

type ResolvedBackendServerOptions = Readonly<Required<BackendServerOptions>>

/** What was counted since the server started. */
export interface BackendServerCounts {
  readonly executions: number
  readonly busySlots: number
  readonly openConnections: number
  /** Requests that began while all slots were in use. */
  readonly slotsExceeded: number
  /** Connections that were opened beyond the allowed number. */
  readonly connectionsExceeded: number
}

/** A request under execution. */
interface Work { readonly req: IncomingMessage, readonly res: ServerResponse, readonly body: Buffer, readonly free: () => void }

/**
 * Simulated backend server. The last part of the path chooses the response:
 * `/echo`, `/size/<bytes>`, `/cut/<bytes>` (cut after so many bytes),
 * `/delay/<ms>`, `/status/<code>`; every other path gets a short JSON body.
 * The header `x-delay-ms` delays any response.
 */
export class BackendServerStandIn {
  private readonly server: Server
  private readonly closing = new AbortController()
  private readonly executionsByWorkId = new Map<string, number>()
  private executions = 0
  private busySlots = 0
  private openConnections = 0
  private slotsExceeded = 0
  private connectionsExceeded = 0
  private name = ''
  /** Identifies the server in the log, since a port can be used again. */
  private logId = ''
  private shutdown: Promise<void> | undefined

  private constructor (private readonly options: ResolvedBackendServerOptions) {
    this.server = createServer((req, res) => { this.serve(req, res) })
    // The owner of the shard decides how long a connection is kept.
    this.server.keepAliveTimeout = 0
    this.server.on('connection', (socket: Socket) => { this.countConnection(socket) })
  }

  static async create (options: BackendServerOptions): Promise<BackendServerStandIn> {
    const backend = new BackendServerStandIn(resolveBackendServerOptions(options))
    await backend.open()
    return backend
  }

  address (): string {
    return this.name
  }

  counts (): BackendServerCounts {
    const { executions, busySlots, openConnections, slotsExceeded, connectionsExceeded } = this
    return { executions, busySlots, openConnections, slotsExceeded, connectionsExceeded }
  }

  /** Number of executions of the request that carried this `x-work-id`. */
  executionsOf (workId: string): number {
    return this.executionsByWorkId.get(workId) ?? 0
  }

  /** Refuses new connections and resolves when the requests in flight are complete, or are cut after `graceMs`. */
  shutDown (graceMs: number): Promise<void> {
    this.shutdown ??= this.completeAndClose(graceMs)
    return this.shutdown
  }

  /** Cuts every connection at once, as when the VM fails. */
  close (): void {
    this.closing.abort()
    if (this.server.listening) this.server.close()
    this.server.closeAllConnections()
  }

  private async completeAndClose (graceMs: number) {
    if (!this.server.listening) return
    const closed = once(this.server, 'close')
    this.server.close()
    this.server.closeIdleConnections()
    const graceOver = new AbortController()
    await Promise.race([closed, this.options.clock.sleep(graceMs, graceOver.signal)])
    graceOver.abort()
    this.close()
    await closed
  }

  private async open () {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
    this.name = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
    const { log, slots, connections } = this.options
    this.logId = `${this.name}#${log.nextRun()}`
    log.record({ type: 'server-started', server: this.logId, slots, connections })
  }

  private async countConnection (socket: Socket) {
    socket.on('error', () => {})
    let closed = false
    socket.once('close', () => { closed = true })
    if (this.openConnections >= this.options.connections) await seePendingCloses()
    if (closed) return
    this.options.log.record({ type: 'connection-opened', server: this.logId })
    if (++this.openConnections > this.options.connections) this.connectionsExceeded++
    socket.once('close', () => {
      this.openConnections--
      this.options.log.record({ type: 'connection-closed', server: this.logId })
    })
  }

  private async serve (req: IncomingMessage, res: ServerResponse) {
    res.on('error', () => {})
    let body: Buffer
    try {
      body = await readBody(req)
    } catch {
      return
    }
    await this.options.gate?.passed()
    if (this.busySlots >= this.options.slots) await seePendingCloses()
    if (req.socket.destroyed || this.closing.signal.aborted) return
    const work = { req, res, body, free: this.takeSlot(req) }
    res.once('close', work.free)
    await this.work(Number(req.headers['x-delay-ms'] ?? 0))
    if (req.socket.destroyed) return
    // Node.js would keep the connection open after the response although the listener is closed.
    if (this.shutdown !== undefined) res.setHeader('connection', 'close')
    res.setHeader('x-server', this.name)
    res.setHeader('x-service', this.options.service)
    const workId = workIdOf(req)
    if (workId !== undefined) res.setHeader('x-work-id', workId)
    const [, kind, argument] = /\/(echo|size|cut|delay|status)(?:\/(\d+))?(?:\?.*)?$/.exec(req.url ?? '') ?? []
    const respond = responders[kind ?? 'plain'] ?? plain
    await respond(work, Number(argument ?? 0), this)
  }

  /** Counts an execution and returns the function that frees its slot. */
  private takeSlot (req: IncomingMessage): () => void {
    const { log, slots } = this.options
    const workId = workIdOf(req)
    this.executions++
    if (workId !== undefined) this.executionsByWorkId.set(workId, this.executionsOf(workId) + 1)
    if (++this.busySlots > slots) this.slotsExceeded++
    log.record({ type: 'request-started', server: this.logId, method: req.method ?? '', ...(workId === undefined ? {} : { workId }) })
    let taken = true
    return () => {
      if (!taken) return
      taken = false
      this.busySlots--
      log.record({ type: 'request-ended', server: this.logId })
    }
  }

  /** Takes the time of a request and `extraMs`. */
  async work (extraMs: number): Promise<void> {
    const ms = this.options.workMs + extraMs
    if (ms > 0) await this.options.clock.sleep(ms, this.closing.signal)
    await this.options.gate?.passed()
  }
}

type Responder = (work: Work, argument: number, server: BackendServerStandIn) => Promise<void>

const plain: Responder = async (work) => {
  finish(work, 200, 'application/json', Buffer.from(JSON.stringify({ workId: workIdOf(work.req) ?? null })))
}

const responders: Readonly<Record<string, Responder>> = {
  plain,
  echo: async work => {
    const { req, body } = work
    const echo = {
      method: req.method,
      url: req.url,
      headers: req.headers,
      bodyBytes: body.length,
      bodySha256: createHash('sha256').update(body).digest('hex'),
      body: body.toString('base64')
    }
    finish(work, 200, 'application/json', Buffer.from(JSON.stringify(echo)))
  },
  size: async (work, bytes) => finish(work, 200, 'application/octet-stream', patternOf(bytes)),
  cut: async (work, bytes) => {
    // The announced length can never be reached, so that the cut is visible to a client that checks it.
    work.res.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': String(bytes + 1) })
    work.res.write(patternOf(bytes), () => work.req.socket.destroy())
    if (bytes === 0) work.req.socket.destroy()
  },
  delay: async (work, ms, server) => {
    await server.work(ms)
    if (!work.req.socket.destroyed) await plain(work, 0, server)
  },
  status: async (work, code) => {
    finish(work, code >= 200 && code <= 599 ? code : 500, 'text/plain', Buffer.from(`status ${code}`))
  }
}

export function resolveBackendServerOptions (options: BackendServerOptions): ResolvedBackendServerOptions {
  return { slots: 8, connections: 64, workMs: 0, gate: PauseGate.create(), ...options }
}

/** Content of a response of the given size; byte i is i modulo 251. */
export function patternOf (bytes: number): Buffer {
  return Buffer.from(Uint8Array.from({ length: bytes }, (_, index) => index % 251))
}

/** The slot is free before the client can see the end of the response. */
function finish ({ res, free }: Work, status: number, contentType: string, data: Buffer) {
  res.writeHead(status, { 'content-type': contentType, 'content-length': String(data.length) })
  free()
  res.end(data)
}

function workIdOf (req: IncomingMessage): string | undefined {
  const value = req.headers['x-work-id']
  return typeof value === 'string' ? value : undefined
}

/**
 * A client may close one connection and use another at once. Both arrive in any
 * order within a turn of the event loop, so the closes are handled first.
 */
async function seePendingCloses () {
  for (let turn = 0; turn < 4; turn++) await new Promise(resolve => setImmediate(resolve))
}
