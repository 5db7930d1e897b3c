import { createHash } from 'node:crypto'
import type { ClientAccount } from '../types.js'

/** SHA-256 digest by which a key is kept, sent to other daemons and compared, in hexadecimal. */
export function digestKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** The accounts of one version of the configuration by the digests of their keys; a look-up takes constant time. */
export class AccountIndex {
  private constructor (private readonly accountsByDigest: ReadonlyMap<string, ClientAccount>) {}

  /** A key that several accounts have is that of the first one. */
  static create (accounts: readonly ClientAccount[]): AccountIndex {
    const accountsByDigest = new Map<string, ClientAccount>()
    for (const account of accounts) for (const digest of account.keyDigests) if (!accountsByDigest.has(digest)) accountsByDigest.set(digest, account)
    return new AccountIndex(accountsByDigest)
  }

  /** The account that has the key; undefined if none has. */
  accountOf (key: string): ClientAccount | undefined {
    return this.accountsByDigest.get(digestKey(key))
  }
}
