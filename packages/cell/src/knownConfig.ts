import { isCount, isFiniteNumber, isListOf, isString, recordOf } from '@citronnotch/base/untrusted'
import type { KnownConfig } from './configInForce.js'
import type { CellConfig, ClientAccount, Queue } from './types.js'

/** A SHA-256 digest in hexadecimal. */
const DIGEST_PATTERN = /^[0-9a-f]{64}$/

/**
 * Returns undefined if the value isn't what a daemon tells of its configuration. `hasAccounts`: whether this cell has client
 * accounts. If so, a configuration without them, of a daemon of an earlier build or with other settings, isn't usable: it
 * would let requests in without a key.
 */
export function decodeKnownConfig (value: unknown, hasAccounts: boolean): KnownConfig | undefined {
  const { version, ageMs, config } = recordOf(value)
  if (!isFiniteNumber(version) || !isFiniteNumber(ageMs) || ageMs < 0) return undefined
  if (config === undefined) return { version, ageMs }
  const decoded = decodeConfig(config, hasAccounts)
  return decoded?.version === version ? { version, ageMs, config: decoded } : undefined
}

function decodeConfig (value: unknown, hasAccounts: boolean): CellConfig | undefined {
  const { version, queues, limits, accounts } = recordOf(value)
  const { maxBodyBytes } = recordOf(limits)
  if (!isFiniteNumber(version) || !isListOf(queues, isQueue) || !isFiniteNumber(maxBodyBytes)) return undefined
  const config = { version, queues: queues.map(withPublicFlag), limits: { maxBodyBytes } }
  if (!hasAccounts) return config
  return isListOf(accounts, isAccount) ? { ...config, accounts } : undefined
}

/** A queue of a daemon of an earlier build, which doesn't say whether the queue is public, isn't. */
function withPublicFlag (queue: EarlierQueue): Queue {
  return { ...queue, isPublic: queue.isPublic === true }
}

type EarlierQueue = Omit<Queue, 'isPublic'> & { readonly isPublic?: boolean }

function isQueue (value: unknown): value is EarlierQueue {
  const { name, host, pathPrefix, service, isPublic, advice, ...numbers } = recordOf(value)
  const { decisionMs, perWorkerMs, validityMs } = recordOf(advice)
  return [name, host, pathPrefix, service].every(isString) &&
    [numbers.priority, numbers.maxAttempts, numbers.slackFactor, numbers.targetLatencyMs].every(isFiniteNumber) &&
    (isPublic === undefined || typeof isPublic === 'boolean') &&
    (advice === undefined || [decisionMs, perWorkerMs, validityMs].every(isFiniteNumber))
}

function isAccount (value: unknown): value is ClientAccount {
  const { name, keyDigests, priority, weight, limit } = recordOf(value)
  const { milliCores, memoryMb, accelerators } = recordOf(limit)
  return isString(name) && name !== '' && isListOf(keyDigests, isDigest) && isCount(priority) && isFiniteNumber(weight) && weight > 0 &&
    [milliCores, memoryMb, accelerators].every(isCount)
}

function isDigest (value: unknown): value is string {
  return isString(value) && DIGEST_PATTERN.test(value)
}
