import type { Failure } from '@citronnotch/base/errors'
import type { ClockBounds } from '@citronnotch/base/remoteClock'
import type { Result } from '@citronnotch/base/result'
import type { CellConfig, MaintenanceWave, TaskId, WorkerEntry, WorkerReport, WorkerVm } from './types.js'

/** Key of a row. Rows of one partition can be changed in one transaction, across tables. */
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
  /** Versions that rows must have; 0 means that the row doesn't exist. */
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
  /** Newest version in the store at the moment of the read. */
  readonly version: number
}

export type ChangesOutcome =
  | { readonly kind: 'changes', readonly rows: readonly StoredRow[], readonly version: number }
  /** The store no longer has the history after the requested version. */
  | { readonly kind: 'history-lost' }

/**
 * Transactional rows. A failure says `not-run` when the call certainly did nothing and will do nothing;
 * after `may-have-run` a transaction can still be applied later if its expectations hold then.
 */
export interface RowStore {
  transact (tx: Transaction, timeoutMs: number): Promise<Result<TransactionOutcome, Failure>>
  range (query: RangeQuery, timeoutMs: number): Promise<Result<RangePage, Failure>>
  /** Waits up to `waitMs` for a change of the table after `version`. */
  changes (table: string, version: number, waitMs: number): Promise<Result<ChangesOutcome, Failure>>
  /** Bounds of the store's steady clock now; undefined before its first answer. */
  clockMs (): ClockBounds | undefined
}

/** The configuration and the workers, as the platform publishes them. */
export interface Directory {
  readConfig (): Promise<Result<{ readonly config: CellConfig | undefined, readonly version: number }, Failure>>
  /** Waits up to `waitMs` for a newer configuration; undefined when there is none. */
  watchConfig (version: number, waitMs: number): Promise<Result<{ readonly config: CellConfig | undefined, readonly version: number } | 'history-lost', Failure>>
  listWorkers (): Promise<Result<readonly WorkerEntry[], Failure>>
  listWaves (): Promise<Result<readonly MaintenanceWave[], Failure>>
  /** Tells the operator how far a wave is. */
  publishWave (wave: number, state: WaveState): Promise<Result<void, Failure>>
}

export type WaveState = 'active' | 'completed'

export interface MaintenanceOrder {
  readonly vmId: string
  readonly wave: number
  /** Unique for each life of a daemon. */
  readonly holder: string
  readonly fencingToken: number
}

export type MaintenanceOutcome =
  /** The maintenance has begun, or was already done for this wave. */
  | 'accepted'
  /** The VM isn't up, or its worker is leaving. */
  | 'busy'
  | 'fenced'
  /** The VM doesn't exist or isn't part of the wave. */
  | 'not-in-wave'

/** The VMs of the workers. An order without an answer may have been carried out; it can be repeated. */
export interface VmService {
  list (): Promise<Result<readonly WorkerVm[], Failure>>
  startMaintenance (order: MaintenanceOrder): Promise<Result<MaintenanceOutcome, Failure>>
  close (): Promise<void>
}

export type RefusalReason =
  /** The worker has seen a higher fencing token. */
  | 'fenced'
  /** This run, or a higher one, has already ended or been stopped there. */
  | 'stale-run'
  | 'lease-passed'
  | 'no-room'
  | 'ticket-invalid'
  | 'other-life'
  | 'unhealthy'
  | 'invalid'

export type CommandOutcome =
  | { readonly accepted: true, readonly clockMs: number }
  | { readonly accepted: false, readonly reason: RefusalReason }

export type HoldOutcome =
  | { readonly accepted: true, readonly report: WorkerReport }
  | { readonly accepted: false, readonly reason: RefusalReason }

export interface HoldCommand {
  readonly fencingToken: number
  /** Ends up to this sequence number are stored and may be forgotten. */
  readonly acknowledged: number
  /** New end of the lease on everything that runs there, on the worker's clock; undefined leaves it as it is. */
  readonly leaseUntilMs?: number
  /** Time to wait for the end of a run, in milliseconds. */
  readonly waitMs: number
}

export interface StartCommand {
  readonly task: TaskId
  readonly run: number
  readonly payload: string
  readonly fencingToken: number
  /** End of the worker's lease, on the worker's clock. A start that arrives later is refused. */
  readonly leaseUntilMs: number
  readonly checkpoint: string
  /** Permission of the placement policy service; empty when the queue has none. */
  readonly ticket: string
}

export interface StopCommand {
  readonly task: TaskId
  readonly run: number
  readonly fencingToken: number
}

/** Client of one life of a worker. Without an answer a command can be executed seconds later. */
export interface WorkerClient {
  hold (cmd: HoldCommand, timeoutMs: number): Promise<Result<HoldOutcome, Failure>>
  start (cmd: StartCommand, timeoutMs: number): Promise<Result<CommandOutcome, Failure>>
  stop (cmd: StopCommand, timeoutMs: number): Promise<Result<CommandOutcome, Failure>>
  close (): Promise<void>
}

export interface WorkerClients {
  create (entry: WorkerEntry): WorkerClient
}

/** Workers that may run a step, each with the ticket to show at the start. */
export type Approvals = ReadonlyMap<string, string>

/** The placement policy service. It serves one call at a time for each calling VM. */
export interface PolicyService {
  approve (step: string, workerIds: readonly string[], timeoutMs: number): Promise<Result<Approvals, Failure>>
  close (): Promise<void>
}
