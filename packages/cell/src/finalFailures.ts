import type { Failure } from '@citronnotch/base/errors'
import { TRANSACTION_REJECTED } from './constants.js'

/** Code of the failure of a submission under the id of another account's job. */
export const ID_OF_OTHER_ACCOUNT = 'id-of-other-account'

const FINAL_CODES: ReadonlySet<string> = new Set([TRANSACTION_REJECTED, ID_OF_OTHER_ACCOUNT])

/** Whether the store has been reached and no further attempt, by whichever daemon, can have another result. */
export function isFinalFailure ({ code }: Failure): boolean {
  return FINAL_CODES.has(code)
}
