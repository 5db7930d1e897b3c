import { createHash } from 'node:crypto'

/** Longest name of an account in logs and metrics, in characters: names come from another program. */
const MAX_LABEL_LENGTH = 60
/** Characters of the digest that tell apart long names with the same beginning. */
const DIGEST_LENGTH = 8

/** Name of an account for logs and metrics, cut if it is long. */
export function accountLabel (name: string): string {
  if (name.length <= MAX_LABEL_LENGTH) return name
  return `${name.slice(0, MAX_LABEL_LENGTH - DIGEST_LENGTH - 1)}…${createHash('sha256').update(name).digest('hex').slice(0, DIGEST_LENGTH)}`
}
