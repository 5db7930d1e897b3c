import type { Result } from '@citronnotch/protocol'
import type { Failure } from '../errors.js'

/** A row of the table service. `version` grows with every write and never repeats, also after a delete. */
export interface Row<T = unknown> {
  readonly table: string
  readonly key: string
  readonly version: number
  readonly value: T
}

/** One write of a transaction. */
export interface RowWrite {
  readonly table: string
  readonly key: string
  /** Version that the row must have; 0 means absent, undefined means any. */
  readonly ifVersion?: number
  /** New JSON value; null deletes the row. Ignored when `check` is set. */
  readonly value: unknown
  /** Only checks `ifVersion`. */
  readonly check?: boolean
}

/** A row whose version was not the expected one; `version` is 0 when it is absent. */
export interface RowConflict {
  readonly table: string
  readonly key: string
  readonly version: number
}

/** Outcome of a transaction that the table service answered. */
export type TransactOutcome =
  | { readonly committed: true, readonly versions: readonly number[] }
  | { readonly committed: false, readonly conflicts: readonly RowConflict[] }

export interface ScanOptions {
  /** Only keys with this prefix. */
  readonly prefix: string
  /** Only keys after this one. */
  readonly after?: string
  /** @default 1000 */
  readonly limit?: number
}

/**
 * The platform's transactional table service. Every method fails with verdict
 * `not-run` when the service certainly did nothing (refused, over the rate, down),
 * and with `may-have-run` when its answer was lost.
 */
export interface TableService {
  /** Applies all writes or none; at most 100 rows. */
  transact (writes: readonly RowWrite[]): Promise<Result<TransactOutcome, Failure>>
  /** Returns the rows that exist, in the order of the keys. */
  read (keys: ReadonlyArray<{ readonly table: string, readonly key: string }>): Promise<Result<readonly Row[], Failure>>
  /** Returns rows ordered by key. */
  scan (table: string, options: ScanOptions): Promise<Result<readonly Row[], Failure>>
}

/** The platform's object store. */
export interface ObjectStore {
  put (key: string, data: Buffer): Promise<Result<void, Failure>>
  /** Returns undefined when there is no such object. */
  get (key: string): Promise<Result<Buffer | undefined, Failure>>
  delete (key: string): Promise<Result<void, Failure>>
}

/** A VM as the platform's lagging list shows it. */
export interface Vm {
  readonly id: string
  readonly role: 'worker' | 'entry'
  /** `ip:port` of the VM's interface. */
  readonly address: string
  readonly region: string
  readonly failureDomain: string
  readonly rack: string
  readonly state: 'live' | 'leaving'
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** The platform's list of live and leaving VMs. */
export interface VmList {
  /** Lists the VMs of one failure domain, or of the cell. */
  list (failureDomain?: string): Promise<Result<readonly Vm[], Failure>>
}

/** Groups independent conditional writes of many callers into few transactions. */
export interface GroupCommit {
  /**
   * Commits `writes` as one unit: all or none, apart from the other units of the same transaction.
   * A conflict is reported only to the unit that caused it.
   */
  commit (writes: readonly RowWrite[]): Promise<Result<TransactOutcome, Failure>>
}

/** Everything that the platform offers. */
export interface Platform {
  readonly tables: TableService
  readonly groupCommit: GroupCommit
  readonly objects: ObjectStore
  readonly vms: VmList
  /** False after a failed call to the table service, until one succeeds. */
  storeReachable (): boolean
  close (): Promise<void>
}
