import { connect } from 'node:net'
import { Client, Metadata, Server, ServerCredentials, credentials, status } from '@grpc/grpc-js'
import type { MethodDefinition, ServiceDefinition, UntypedServiceImplementation, sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { Failure } from '@citronnotch/base/errors'
import type { ClockBounds } from '@citronnotch/base/remoteClock'
import type { Log } from '@citronnotch/base/logger'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { isSocketAddress, parseAddress } from '@citronnotch/base/utils'
import type { Verdict } from '@citronnotch/base/verdict'
import type { AccountStanding, Requester } from './accounts/index.js'
import type { ExplainSubject, LeaderAnswer } from './explain/index.js'
import { PEER_UNREACHABLE } from './leaderRoute.js'
import type { JobRecord } from './jobRecord.js'
import type { RoomReport } from './jobMemory.js'
import type { AdmittedJob, JobStatus } from './jobService.js'
import type { Peer } from './membership.js'
import { MAX_PEER_CONNECTIONS, PeerListener } from './peerListener.js'
import type { ConfigRequest, SentConfig } from './sentConfig.js'
import type { TakeoverRequest } from './leaderLease.js'

/** Result of a call that one daemon makes on behalf of another. */
export type PeerOutcome<T> =
  | { readonly outcome: T }
  | { readonly failure: { readonly code: string, readonly verdict: Verdict, readonly reason: string } }

export function toPeerOutcome<T> (res: Result<T, Failure>): PeerOutcome<T> {
  if (res.ok) return { outcome: res.val }
  const { code, verdict, reason } = res.val
  return { failure: { code, verdict, reason } }
}

export function fromPeerOutcome<T> (res: Result<PeerOutcome<T>, Failure>): Result<T, Failure> {
  if (res.err) return res
  return 'outcome' in res.val ? Ok(res.val.outcome) : Err(Failure.create(res.val.failure))
}

/** Requests and responses between daemons, by method. */
export interface PeerMethods {
  /** Notifies the leader of a stored job, so that it doesn't have to wait for its next poll. The leader suggests workers for the next job of the service, and tells what it can still take. */
  admitted: { readonly req: AdmittedJob, readonly res: { readonly workerIds?: readonly string[], readonly room?: RoomReport } }
  /** What the leader can still take from a queue; missing when the daemon doesn't lead. */
  room: { readonly req: { readonly queue: string }, readonly res: { readonly room?: RoomReport } }
  /** Admits or cancels a job on behalf of a daemon that can't reach the store. Daemons of an earlier build name no requester. */
  submit: { readonly req: { readonly jobId: string, readonly record: JobRecord, readonly payload: string, readonly requester?: Requester }, readonly res: PeerOutcome<'admitted' | 'known'> }
  cancel: { readonly req: { readonly jobId: string, readonly requester?: Requester }, readonly res: PeerOutcome<'cancelled' | 'unknown'> }
  cancelled: { readonly req: { readonly jobId: string }, readonly res: Record<string, never> }
  /** State and account of a job on the leader; missing when the daemon has no record of the job or doesn't lead. */
  jobState: { readonly req: { readonly jobId: string }, readonly res: Partial<JobStatus> }
  pending: { readonly req: { readonly queue: string }, readonly res: { readonly pending?: number } }
  /** How the client accounts stand; missing when the daemon doesn't lead, or has not loaded its state. */
  accounts: { readonly req: Record<string, never>, readonly res: { readonly accounts?: readonly AccountStanding[] } }
  /** Where a job could start now. */
  explain: { readonly req: ExplainSubject, readonly res: LeaderAnswer }
  /** Configuration that a daemon has in force, with its content if it is later than `version`; empty when it has none. */
  config: { readonly req: ConfigRequest, readonly res: SentConfig }
  /** Daemons that a daemon knows, with itself; empty when it has no configuration, as it is of no use to the asking one then. */
  daemons: { readonly req: Record<string, never>, readonly res: { readonly daemons?: readonly Peer[] } }
  /** Asks a daemon whether it could lead, and in what time it reads the lease; the time is missing when it could not. */
  canTakeOver: { readonly req: Record<string, never>, readonly res: { readonly readTimeMs?: number } }
  /** Asks a daemon to take over from a leader that issues no more commands. */
  takeOver: { readonly req: TakeoverRequest, readonly res: { readonly isTaken: boolean } }
  /** Asks the placement policy service on behalf of the leader; `approved` holds pairs of worker id and ticket. */
  advise: {
    readonly req: { readonly step: string, readonly workerIds: readonly string[], readonly timeoutMs: number }
    readonly res: { readonly approved?: ReadonlyArray<readonly [string, string]>, readonly reason?: string }
  }
}

export type PeerMethod = keyof PeerMethods
export type PeerHandlers = { readonly [M in PeerMethod]: (req: PeerMethods[M]['req']) => PeerMethods[M]['res'] | Promise<PeerMethods[M]['res']> }

const METHODS: readonly PeerMethod[] = ['admitted', 'room', 'submit', 'cancel', 'cancelled', 'jobState', 'pending', 'accounts', 'explain', 'config', 'daemons', 'canTakeOver', 'takeOver', 'advise']
/** Requests that are not carried out once their sender has given up waiting: a cut may hold them up for any time. */
const EXPIRING_METHODS: ReadonlySet<PeerMethod> = new Set<PeerMethod>(['explain', 'submit', 'cancel', 'canTakeOver', 'takeOver', 'advise'])
/** Metadata with the time until which the sender waits for the answer, on the store's clock in milliseconds. */
const WAITS_UNTIL_KEY = 'waits-until-ms'

const NO_METADATA = new Metadata()

/** Bounds of the store's clock, which all daemons read; undefined before the store's first answer. */
export type SharedClock = () => ClockBounds | undefined

/** Maximum size of a request, and of an answer: a configuration with 10,000 accounts takes 2 MB. */
const MAX_MESSAGE_BYTES = 1024 * 1024
const MAX_ANSWER_BYTES = 8 * 1024 * 1024
/** Ping interval and ping timeout: a dead connection is closed within twice this time. */
const KEEPALIVE_MS = 1_000

/** Calls that one daemon may have open at once; further ones wait at the caller. */
const MAX_STREAMS_PER_CONNECTION = 256
/** Memory for what a connection has received and not been read yet, in MiB: a few of the largest messages. */
const MAX_SESSION_MB = 4
/** Time after which a connection without calls is closed, in milliseconds; the next call opens it again. */
const MAX_IDLE_MS = 300_000

const encode = (value: unknown) => Buffer.from(JSON.stringify(value))
const decode = (data: Buffer): unknown => JSON.parse(data.toString('utf8'))

const service: ServiceDefinition = Object.fromEntries(METHODS.map((name): [string, MethodDefinition<unknown, unknown>] => [name, {
  path: `/citronnotch.Cell/${name}`,
  requestStream: false,
  responseStream: false,
  requestSerialize: encode,
  requestDeserialize: decode,
  responseSerialize: encode,
  responseDeserialize: decode
}]))

/** Nothing reads the library's own statistics, which cost time with each call. */
const NO_CHANNELZ = { 'grpc.enable_channelz': 0 } as const

/** gRPC server for calls from other daemons. */
export class PeerServer {
  private constructor (private readonly server: Server, private readonly listener: PeerListener) {}

  /** Rejects when the address can't be bound. */
  static async create (listen: string, handlers: PeerHandlers, sharedClock: SharedClock, log: Log): Promise<PeerServer> {
    const server = new Server({
      'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
      'grpc.max_concurrent_streams': MAX_STREAMS_PER_CONNECTION,
      'grpc-node.max_session_memory': MAX_SESSION_MB,
      'grpc.max_connection_idle_ms': MAX_IDLE_MS,
      ...NO_CHANNELZ
    })
    const implementation: UntypedServiceImplementation = Object.fromEntries(METHODS.map(name => [name, unaryHandler(name, handlers[name] as Handler, sharedClock, log)]))
    server.addService(service, implementation)
    // The library binds addresses itself without a limit of connections.
    const injector = server.createConnectionInjector(ServerCredentials.createInsecure())
    const listener = await PeerListener.create({ address: listen, maxConnections: MAX_PEER_CONNECTIONS, onConnection: socket => injector.injectConnection(socket), now: () => performance.now(), log })
    return new PeerServer(server, listener)
  }

  close (): void {
    this.listener.close()
    this.server.forceShutdown()
  }
}

type Handler = (req: unknown) => unknown

function unaryHandler (name: PeerMethod, handle: Handler, sharedClock: SharedClock, log: Log) {
  return async (call: ServerUnaryCall<unknown, unknown>, callback: sendUnaryData<unknown>) => {
    const lateMs = EXPIRING_METHODS.has(name) ? latenessMs(call.metadata, sharedClock()) : 0
    if (lateMs > 0) {
      log.info('Late peer request ignored.', { method: name, lateMs: Math.round(lateMs) })
      callback({ code: status.DEADLINE_EXCEEDED, details: `${name} came too late` })
      return
    }
    try {
      callback(null, await handle(call.request))
    } catch (err) {
      log.error('Peer request failed.', { method: name, err })
      callback({ code: status.INTERNAL, details: `${name} failed` })
    }
  }
}

/** Time for which the sender has certainly given up, in milliseconds; not above 0 if it may be waiting still. */
function latenessMs (metadata: Metadata, now: ClockBounds | undefined): number {
  const waitsUntilMs = Number(metadata.get(WAITS_UNTIL_KEY)[0] ?? Infinity)
  return now === undefined || !Number.isFinite(waitsUntilMs) ? 0 : now.earliest - waitsUntilMs
}

/** gRPC clients for calls to other daemons, one connection per address. */
export class PeerClients {
  private readonly clients = new Map<string, Client>()
  private isClosed = false

  private constructor (private readonly sharedClock: SharedClock) {}

  static create (sharedClock: SharedClock): PeerClients {
    return new PeerClients(sharedClock)
  }

  call<M extends PeerMethod> (address: string, method: M, req: PeerMethods[M]['req'], timeoutMs: number): Promise<Result<PeerMethods[M]['res'], Failure>> {
    const definition = service[method]
    if (definition === undefined) throw new Error(`peer method ${method} is not defined`)
    // What a daemon still does while it stops must not fail outside of any loop.
    if (this.isClosed) return Promise.resolve(Err(Failure.notRun(PEER_UNREACHABLE, 'This daemon has stopped.')))
    if (!isSocketAddress(address)) return Promise.resolve(Err(Failure.notRun(PEER_UNREACHABLE, 'The daemon has no usable address.')))
    return new Promise(resolve => {
      try {
        this.client(address).makeUnaryRequest<PeerMethods[M]['req'], PeerMethods[M]['res']>(
          definition.path, definition.requestSerialize, definition.responseDeserialize as (data: Buffer) => PeerMethods[M]['res'], req, EXPIRING_METHODS.has(method) ? this.waitsUntil(timeoutMs) : NO_METADATA, { deadline: Date.now() + timeoutMs },
          (err, res) => {
            if (err === null && res !== undefined) resolve(Ok(res))
            else resolve(Err(peerFailure(address, err?.details ?? 'no response')))
          })
      } catch (err) {
        // The client is closed, as this daemon stops.
        resolve(Err(Failure.notRun(PEER_UNREACHABLE, `Daemon at ${address} was not called: ${String(err)}.`)))
      }
    })
  }

  close (): void {
    this.isClosed = true
    for (const client of this.clients.values()) client.close()
  }

  private waitsUntil (timeoutMs: number): Metadata {
    const metadata = new Metadata()
    const now = this.sharedClock()
    if (now !== undefined) metadata.set(WAITS_UNTIL_KEY, String(Math.ceil(now.latest + timeoutMs)))
    return metadata
  }

  private client (address: string): Client {
    let client = this.clients.get(address)
    if (client === undefined) {
      client = new Client(address, credentials.createInsecure(), {
        'grpc.keepalive_time_ms': KEEPALIVE_MS,
        'grpc.keepalive_timeout_ms': KEEPALIVE_MS,
        'grpc.initial_reconnect_backoff_ms': 200,
        'grpc.max_reconnect_backoff_ms': 1_000,
        'grpc.max_receive_message_length': MAX_ANSWER_BYTES,
        'grpc.enable_http_proxy': 0,
        'grpc.service_config_disable_resolution': 1,
        ...NO_CHANNELZ
      })
      this.clients.set(address, client)
    }
    return client
  }
}

/** Resolves with true if a new connection to the address is refused, which is the case when no process listens there. */
export function refusesConnections (address: string, timeoutMs: number): Promise<boolean> {
  if (!isSocketAddress(address)) return Promise.resolve(false)
  return new Promise(resolve => {
    const socket = connect({ ...parseAddress(address), timeout: timeoutMs })
    const settle = (isRefused: boolean) => {
      socket.destroy()
      resolve(isRefused)
    }
    socket.once('connect', () => settle(false))
    socket.once('timeout', () => settle(false))
    socket.once('error', (err: NodeJS.ErrnoException) => settle(err.code === 'ECONNREFUSED'))
  })
}

/** Prefix of the error details that grpc-js gives when a call was never sent because there was no connection. */
const NO_CONNECTION_PREFIX = 'No connection established'

function peerFailure (address: string, details: string): Failure {
  const reason = `Daemon at ${address} did not answer: ${details}.`
  return details.startsWith(NO_CONNECTION_PREFIX) ? Failure.notRun(PEER_UNREACHABLE, reason) : Failure.mayHaveRun('peer-answer-lost', reason)
}
