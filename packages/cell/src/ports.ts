import type { Failure } from '@citronnotch/base/errors'
import type { ClockBounds } from '@citronnotch/base/remoteClock'
import type { Result } from '@citronnotch/base/result'
import type { CellConfig, MaintenanceWave, TaskId, WorkerEntry, WorkerReport, WorkerVm } from './types.js'

/** Key of a row. One transaction can change rows of several tables if they are in the same partition. */
export interface RowKey {
  readonly table: string
  readonly key: string
}

export interface StoredRow extends RowKey {
  readonly partition: string
  /** Grows with every write to the store and is never reused. */
  readonly version: number
  /** JSON value; undefined when the row was deleted or can't be decoded. */
  readonly value: unknown
  readonly deleted: boolean
}

export interface Transaction {
  readonly partition: string
  /** Versions that rows must have for the transaction to commit; 0 means that the row must not exist. */
  readonly expect: ReadonlyArray<RowKey & { readonly version: number }>
  readonly puts: ReadonlyArray<RowKey & { readonly value: unknown }>
  readonly removes: readonly RowKey[]
}

export type TransactionOutcome =
  | { readonly committed: true, readonly version: number }
  | { readonly committed: false, readonly current: readonly StoredRow[] }

export interface RangeQuery {
  readonly table: string
  readonly partition: string
  /** First key. */
  readonly from?: string
  /** First key after the range. */
  readonly to?: string
  readonly limit?: number
}

export interface RangePage {
  readonly rows: readonly StoredRow[]
  readonly hasMore: boolean
  /** Latest version in the store at the time of the read. */
  readonly version: number
  /** Time of the read on the store's monotonic clock, in milliseconds; undefined when the store doesn't tell. */
  readonly atMs?: number | undefined
}

export type ChangesOutcome =
  /** `atMs`: time of the answer on the store's monotonic clock, in milliseconds. */
  | { readonly kind: 'changes', readonly rows: readonly StoredRow[], readonly version: number, readonly atMs?: number | undefined }
  /** The store no longer keeps the changes since the requested version. */
  | { readonly kind: 'history-lost' }

/**
 * Store of transactional rows. A failure with the verdict `not-run` guarantees that the call had and will have no
 * effect. After `may-have-run`, a transaction may still be applied later if its expected versions match then.
 */
export interface RowStore {
  /** A transaction that the store can't take, such as one with too large a row, fails with the code `TRANSACTION_REJECTED`. */
  transact (tx: Transaction, timeoutMs: number): Promise<Result<TransactionOutcome, Failure>>
  range (query: RangeQuery, timeoutMs: number): Promise<Result<RangePage, Failure>>
  /** Returns the changes of the table after `version`; waits up to `waitMs` for the first one. */
  changes (table: string, version: number, waitMs: number): Promise<Result<ChangesOutcome, Failure>>
  /** Bounds of the store's monotonic clock at this moment; undefined before the store's first answer. */
  clockMs (): ClockBounds | undefined
}

/** The configuration as read from the store. */
export interface ConfigReading {
  /** Undefined when there is none, or none that is newer. */
  readonly config: CellConfig | undefined
  /** Latest version in the store at the time of the read. */
  readonly version: number
  /** Time of the read on the store's monotonic clock, in milliseconds; undefined when the store doesn't tell. */
  readonly asOfMs: number | undefined
}

/** The configuration, workers and maintenance waves that the platform publishes. */
export interface Directory {
  /** `onBegin` is called once the answer begins to arrive, after this has returned; the rest can take some seconds. */
  readConfig (onBegin?: () => void): Promise<Result<ConfigReading, Failure>>
  /** Waits up to `waitMs` for a newer configuration. `onBegin` as above. */
  watchConfig (version: number, waitMs: number, onBegin?: () => void): Promise<Result<ConfigReading | 'history-lost', Failure>>
  listWorkers (): Promise<Result<readonly WorkerEntry[], Failure>>
  listWaves (): Promise<Result<readonly MaintenanceWave[], Failure>>
  /** Publishes the state of a wave for the operator. */
  publishWave (wave: number, state: WaveState): Promise<Result<void, Failure>>
}

export type WaveState = 'active' | 'completed'

export interface MaintenanceOrder {
  readonly vmId: string
  readonly wave: number
  /** Unique id of one incarnation of a daemon. */
  readonly holder: string
  readonly fencingToken: number
}

export type MaintenanceOutcome =
  /** The maintenance has begun, or was already done in this wave. */
  | 'accepted'
  /** The VM isn't up, or its worker is draining. */
  | 'busy'
  | 'fenced'
  /** The VM doesn't exist or isn't part of the wave. */
  | 'not-in-wave'

/** Lists and maintains the VMs of the workers. An unanswered order may have taken effect and can be sent again. */
export interface VmService {
  list (): Promise<Result<readonly WorkerVm[], Failure>>
  startMaintenance (order: MaintenanceOrder): Promise<Result<MaintenanceOutcome, Failure>>
  close (): Promise<void>
}

export type RefusalReason =
  /** The worker has seen a higher fencing token. */
  | 'fenced'
  /** This run of the task, or one with a higher number, has already finished or been stopped on the worker. */
  | 'stale-run'
  | 'lease-passed'
  | 'no-room'
  | 'ticket-invalid'
  /** Another incarnation of the worker answered. */
  | 'other-life'
  | 'unhealthy'
  | 'invalid'

export type CommandOutcome =
  | { readonly accepted: true, readonly clockMs: number }
  | { readonly accepted: false, readonly reason: RefusalReason }

export type HeartbeatOutcome =
  | { readonly accepted: true, readonly report: WorkerReport }
  | { readonly accepted: false, readonly reason: RefusalReason }

export interface HeartbeatCommand {
  readonly fencingToken: number
  /** Finished runs up to this sequence number are stored, and the worker may forget them. */
  readonly acknowledged: number
  /** New expiry of the lease on all runs of the worker, on the worker's clock; undefined leaves the lease unchanged. */
  readonly leaseUntilMs?: number
  /** Time for which the worker may wait for a finished run before it answers, in milliseconds. */
  readonly waitMs: number
}

export interface StartCommand {
  readonly task: TaskId
  readonly run: number
  readonly payload: string
  readonly fencingToken: number
  /** Expiry of the lease, on the worker's clock. The worker refuses a start that arrives later. */
  readonly leaseUntilMs: number
  readonly checkpoint: string
  /** Ticket from the placement policy service; empty when the queue uses none. */
  readonly ticket: string
}

export interface StopCommand {
  readonly task: TaskId
  readonly run: number
  readonly fencingToken: number
}

/** Client of one incarnation of a worker. The worker can execute an unanswered command seconds later. */
export interface WorkerClient {
  heartbeat (cmd: HeartbeatCommand, timeoutMs: number): Promise<Result<HeartbeatOutcome, Failure>>
  start (cmd: StartCommand, timeoutMs: number): Promise<Result<CommandOutcome, Failure>>
  stop (cmd: StopCommand, timeoutMs: number): Promise<Result<CommandOutcome, Failure>>
  close (): Promise<void>
}

export interface WorkerClients {
  create (entry: WorkerEntry): WorkerClient
}

/** Tickets of the workers that may run a step, by worker id. A start must carry the worker's ticket. */
export type Approvals = ReadonlyMap<string, string>

/** The placement policy service. It handles one call at a time from each calling VM. */
export interface PolicyService {
  approve (step: string, workerIds: readonly string[], timeoutMs: number): Promise<Result<Approvals, Failure>>
  close (): Promise<void>
}
