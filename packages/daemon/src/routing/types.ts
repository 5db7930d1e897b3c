import type { Readable } from 'node:stream'
import type { Result } from '@citronnotch/protocol'
import type { Failure } from '../errors.js'
import type { Member } from '../membership/types.js'

/** A caller's request to a service. */
export interface ServiceRequest {
  readonly requestId: string
  readonly service: string
  readonly team: string
  readonly method: string
  /** Path and query below the service. */
  readonly path: string
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Buffer
  /** Monotonic time in milliseconds at which the caller's deadline passes. */
  readonly deadline: number
  readonly idempotencyKey?: string
  /** Identity of the caller for concurrency limits, such as its IP address. */
  readonly caller?: string
  /** Aborts when the caller has gone away. */
  readonly signal: AbortSignal
}

/** Head of a backend server's answer, and its body as it arrives. An error of the stream means that the answer is cut. */
export interface ServiceResponse {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Readable
  readonly workerId: string
}

/** One replica of a service, on a worker of an owned shard. */
export interface ServiceEndpoint {
  readonly service: string
  readonly taskId: string
  readonly workerId: string
  readonly address: string
  /** Leaving endpoints get no new requests. */
  readonly leaving: boolean
}

/** Free room of a service in one shard, as gossip shows it. */
export interface ServiceRoom {
  readonly shardId: string
  readonly service: string
  readonly backendServers: number
  readonly freeSlots: number
  readonly queuedRequests: number
}

/** Room of a service together with the owner of its shard. */
export interface OwnedRoom extends ServiceRoom {
  readonly owner: Member
  /** True when this daemon owns the shard. */
  readonly local: boolean
}

/** Limits of a service, from the configuration in force. */
export interface ResolvedServiceConfig {
  /** Requests at one backend server at the same time. */
  readonly slots: number
  /** Connections to one backend server. */
  readonly connections: number
  /** Methods that may be repeated, beside GET, HEAD and OPTIONS. */
  readonly idempotentMethods: readonly string[]
  readonly timeoutMs: number
  /** Requests that may wait in one shard. */
  readonly queueLength: number
  readonly maxWaitMs: number
}

/** Entry side: takes callers' requests to the owner of a shard with a free backend server. */
export interface RequestRouter {
  /** Fails with a verdict; a failure after the head shows as an error of the body stream. */
  handle (req: ServiceRequest): Promise<Result<ServiceResponse, Failure>>
  /** Resolves when no request is in flight. */
  drained (): Promise<void>
}

/** Owner side: forwards requests to the backend servers of owned shards, within their slots. */
export interface BackendPool {
  /** Replaces the endpoints of a shard; an endpoint that is gone finishes what it has in flight. */
  setEndpoints (shardId: string, endpoints: readonly ServiceEndpoint[]): void
  /** The shard is no longer owned: queued requests fail as not run, requests in flight finish. */
  dropShard (shardId: string): void
  /** Requests in flight at each backend server's address. */
  inFlight (shardId: string): ReadonlyMap<string, number>
  /** Slots that a former owner may still use, by address. `all` limits every endpoint to a share of its slots. */
  setReserved (shardId: string, reserved: { readonly byAddress: ReadonlyMap<string, number>, readonly halveAll: boolean }): void
  forward (shardId: string, req: ServiceRequest): Promise<Result<ServiceResponse, Failure>>
  room (): readonly ServiceRoom[]
  drained (): Promise<void>
}
