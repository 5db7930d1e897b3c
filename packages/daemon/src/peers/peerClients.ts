import { isIP } from 'node:net'
import { Client, credentials, Metadata, status } from '@grpc/grpc-js'
import type { ServiceError } from '@grpc/grpc-js'
import { Err, Ok, peerService } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { Log } from '../logger.js'
import type { ServiceRequest, ServiceResponse } from '../routing/types.js'
import { checkMessage } from './checkMessage.js'
import { MAX_MESSAGE_BYTES, PEER_CALL_TIMEOUT_MS, PEER_CONNECT_TIMEOUT_MS, PEER_IDLE_MS, VERDICT_GRACE_MS } from './constants.js'
import { openRoute } from './openRoute.js'
import type {
  FetchConfigResponse, NotifyPartRequestProps, NotifyPartResponse, PartStatusRequestProps, PartStatusResponse,
  PeerState, PeerStateProps, SupersededRequestProps, SupersededResponse
} from './types.js'

export interface PeerClientsOptions {
  readonly clock: Clock
  readonly log: Log
  /**
   * Deadline of every call but `route`, in milliseconds.
   * @default 2000
   */
  readonly callTimeoutMs?: number
  /**
   * Time to establish a connection for `route`, in milliseconds.
   * @default 1000
   */
  readonly connectTimeoutMs?: number
  /**
   * Time past a request's deadline for which the owner's own verdict is awaited, in milliseconds.
   * @default 100
   */
  readonly verdictGraceMs?: number
}

export interface RouteOptions {
  readonly entryRegion: string
  readonly idempotent: boolean
}

interface Entry { readonly client: Client, lastUsed: number, calls: number }

/** Calls to other daemons, over one connection to each address. Calls to one peer don't wait for another. */
export class PeerClients {
  private readonly entries = new Map<string, Entry>()

  private constructor (private readonly options: PeerClientsOptions) {}

  static create (options: PeerClientsOptions): PeerClients {
    return new PeerClients(options)
  }

  exchange (address: string, state: PeerStateProps): Promise<Result<PeerState, Failure>> {
    return this.unary(address, peerService.exchange, state)
  }

  fetchConfig (address: string, aboveVersion: number): Promise<Result<FetchConfigResponse, Failure>> {
    return this.unary(address, peerService.fetchConfig, { aboveVersion })
  }

  notifyPart (address: string, req: NotifyPartRequestProps): Promise<Result<NotifyPartResponse, Failure>> {
    return this.unary(address, peerService.notifyPart, req)
  }

  partStatus (address: string, req: PartStatusRequestProps): Promise<Result<PartStatusResponse, Failure>> {
    return this.unary(address, peerService.partStatus, req)
  }

  superseded (address: string, req: SupersededRequestProps): Promise<Result<SupersededResponse, Failure>> {
    return this.unary(address, peerService.superseded, req)
  }

  /** Forwards a request to the owner of a shard; fails with `not-run` when the request was not handed over completely. */
  async route (address: string, shardId: string, req: ServiceRequest, options: RouteOptions): Promise<Result<ServiceResponse, Failure>> {
    const { clock } = this.options
    const entry = this.entry(address)
    if (entry === undefined) return Err(invalidAddress(address))
    entry.calls++
    const release = () => { entry.calls-- }
    const connectMs = Math.min(this.options.connectTimeoutMs ?? PEER_CONNECT_TIMEOUT_MS, req.deadline - clock.now())
    const connected = await ready(entry.client, connectMs)
    if (!connected || req.signal.aborted) {
      release()
      return Err(Failure.notRun('owner-unreachable', `No connection to the shard's owner at ${address}`))
    }
    return await openRoute(entry.client, shardId, req, {
      ...options,
      clock,
      graceMs: this.options.verdictGraceMs ?? VERDICT_GRACE_MS,
      onClosed: release
    })
  }

  /** Closes all connections; running calls fail. */
  close (): void {
    for (const { client } of this.entries.values()) client.close()
    this.entries.clear()
  }

  private async unary<Req, Res> (
    address: string,
    method: { path: string, requestSerialize: (value: Req) => Buffer, responseDeserialize: (data: Buffer) => Res },
    req: Req
  ): Promise<Result<Res, Failure>> {
    const entry = this.entry(address)
    if (entry === undefined) return Err(invalidAddress(address))
    const deadline = new Date(Date.now() + (this.options.callTimeoutMs ?? PEER_CALL_TIMEOUT_MS))
    entry.calls++
    const result = await new Promise<Result<Res, Failure>>(resolve => {
      entry.client.makeUnaryRequest(
        method.path, method.requestSerialize, method.responseDeserialize, req, new Metadata(), { deadline },
        (err, res) => resolve(err ? Err(toFailure(err, address)) : Ok(res!))
      )
    })
    entry.calls--
    const fault = result.ok ? checkMessage(result.val) : undefined
    return fault === undefined ? result : Err(Failure.mayHaveRun('peer-invalid', `Peer ${address} sent an invalid message: ${fault}`))
  }

  private entry (address: string): Entry | undefined {
    const now = this.options.clock.now()
    const known = this.entries.get(address)
    if (known !== undefined) {
      known.lastUsed = now
      return known
    }
    if (!isNumericAddress(address)) return undefined
    this.closeIdle(now)
    const entry: Entry = { client: connect(address), lastUsed: now, calls: 0 }
    this.entries.set(address, entry)
    return entry
  }

  private closeIdle (now: number) {
    for (const [address, entry] of this.entries) {
      if (entry.calls > 0 || now - entry.lastUsed < PEER_IDLE_MS) continue
      entry.client.close()
      this.entries.delete(address)
    }
  }
}

function connect (address: string): Client {
  return new Client(address, credentials.createInsecure(), {
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
    'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
    'grpc.enable_http_proxy': 0,
    // Retries are decided by verdict in the router, never by the library.
    'grpc.enable_retries': 0,
    'grpc.service_config_disable_resolution': 1,
    // The library's default of up to 120 s would keep a restarted peer unreachable for minutes.
    'grpc.initial_reconnect_backoff_ms': 100,
    'grpc.max_reconnect_backoff_ms': 2_000,
    // Finds a peer whose VM has vanished without closing its connections.
    'grpc.keepalive_time_ms': 5_000,
    'grpc.keepalive_timeout_ms': 2_000,
    'grpc.use_local_subchannel_pool': 1
  })
}

function ready (client: Client, timeoutMs: number): Promise<boolean> {
  return new Promise(resolve => client.waitForReady(Date.now() + timeoutMs, err => resolve(!err)))
}

function toFailure (err: ServiceError, address: string): Failure {
  const reason = `Call to peer ${address} failed: ${err.details || err.message}`
  return err.code === status.INVALID_ARGUMENT || err.code === status.UNIMPLEMENTED
    ? Failure.notRun('peer-refused', reason)
    : Failure.mayHaveRun('peer-unreachable', reason)
}

function invalidAddress (address: string): Failure {
  return Failure.notRun('peer-address-invalid', `"${address}" is not a numeric ip:port address`)
}

function isNumericAddress (address: string): boolean {
  const at = address.lastIndexOf(':')
  const port = Number(address.slice(at + 1))
  return isIP(address.slice(0, at).replace(/^\[(.*)\]$/, '$1')) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536
}
