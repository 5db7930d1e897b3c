import type { Queue } from '../types.js'
import type { AccountIndex } from './accountIndex.js'

/** On whose behalf a request is made. */
export interface Requester {
  /** Name of the client account; missing if the request is of none. */
  readonly account?: string
  /** Whether the jobs of all accounts are visible, as in a cell without accounts. */
  readonly seesAllJobs: boolean
}

/** The requester in a cell without accounts. */
export const EVERYONE: Requester = { seesAllJobs: true }

/** A requester without a key, for whom only jobs without an account exist. */
const ANONYMOUS: Requester = { seesAllJobs: false }

/**
 * The requester that sends a key, if any, with a request to a queue; `accounts` is undefined in a cell without accounts.
 * Returns undefined if the queue requires a key of some account and this is none.
 */
export function requesterOf (accounts: AccountIndex | undefined, { isPublic }: Queue, key: string | undefined): Requester | undefined {
  if (accounts === undefined) return EVERYONE
  const account = key === undefined ? undefined : accounts.accountOf(key)
  if (account !== undefined) return { account: account.name, seesAllJobs: false }
  return isPublic ? ANONYMOUS : undefined
}

/** Whether a job exists for a requester; `account` is that of the job, undefined if it was stored without one. */
export function maySee (requester: Requester, account: string | undefined): boolean {
  return requester.seesAllJobs || account === undefined || account === requester.account
}
