import { countOr, isFiniteNumber, recordOf, stringOr } from '@citronnotch/base/untrusted'
import { LEASE_PARTITION, TABLES } from './constants.js'
import type { TakeoverRequest } from './leaderLease.js'
import type { RangeQuery, RowKey, StoredRow } from './ports.js'

/** Row that names the holder of the lease. */
export const LEASE_ROW: RowKey = { table: TABLES.leader, key: 'lease' }
/** Row that counts the renewals of the lease. */
export const RENEWAL_ROW: RowKey = { table: TABLES.leader, key: 'renewal' }

/** Both rows. */
export const LEASE_RANGE: RangeQuery = { table: TABLES.leader, partition: LEASE_PARTITION }

/** Stored value of the lease row. It is written only when the lease changes hands. */
export interface LeaseValue {
  /** Unique per daemon incarnation. */
  readonly holder: string
  readonly peerAddress: string
  readonly epoch: number
  readonly released: boolean
  /** Time on the store's clock until which an earlier holder that was taken for dead may still issue commands; missing if there is none. */
  readonly earlierActiveUntilMs?: number
}

/** Stored value of the renewal row, which the holder writes. */
export interface RenewalValue {
  readonly epoch: number
  /** Number of the renewal within the epoch, starting at 1. */
  readonly count: number
}

/** Both rows as read at one moment; versions are 0 and values empty for rows that don't exist. */
export interface LeaseState {
  readonly value: LeaseValue | undefined
  readonly version: number
  readonly renewal: RenewalValue
  readonly renewalVersion: number
}

/** Whether the lease has changed hands or was renewed since `previous`. A renewal that arrives after a later one doesn't count. */
export function isRenewed (previous: LeaseState | undefined, state: LeaseState): boolean {
  if (previous === undefined || previous.version !== state.version) return true
  return state.renewal.epoch > previous.renewal.epoch || (state.renewal.epoch === previous.renewal.epoch && state.renewal.count > previous.renewal.count)
}

/** Finds both rows among the rows of their partition. */
export function parseState (rows: readonly StoredRow[]): LeaseState {
  const find = ({ key }: RowKey) => rows.find(row => row.key === key && !row.deleted)
  const [lease, renewal] = [find(LEASE_ROW), find(RENEWAL_ROW)]
  const renewalValue = recordOf(renewal?.value)
  return {
    value: lease === undefined ? undefined : parseLease(lease.value),
    version: lease?.version ?? 0,
    renewal: { epoch: countOr(renewalValue.epoch, 0), count: countOr(renewalValue.count, 0) },
    renewalVersion: renewal?.version ?? 0
  }
}

function parseLease (value: unknown): LeaseValue {
  const { holder, peerAddress, epoch, released, earlierActiveUntilMs } = recordOf(value)
  return {
    holder: stringOr(holder, ''),
    peerAddress: stringOr(peerAddress, ''),
    epoch: countOr(epoch, 0),
    released: released === true,
    ...(isFiniteNumber(earlierActiveUntilMs) ? { earlierActiveUntilMs } : {})
  }
}

/** Whether the holder that sent the request still issues no commands. */
export function isCurrent ({ holder, epoch, renewals }: TakeoverRequest, { value, renewal }: LeaseState): boolean {
  if (value?.holder !== holder || value.epoch !== epoch) return false
  return value.released || renewal.epoch !== epoch || renewal.count <= renewals
}
