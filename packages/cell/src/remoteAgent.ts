import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { AdviceAgent } from './advice.js'
import type { PeerClients } from './peers.js'

/** Allowance for the network round trip of an advice call to another daemon, in milliseconds. */
const ADVICE_ROUND_TRIP_MS = 200

/** Creates an agent that asks the placement policy service through another daemon. */
export function createRemoteAgent (name: string, address: string, peerClients: PeerClients): AdviceAgent {
  return {
    name,
    approve: async (step, workerIds, timeoutMs) => {
      const res = await peerClients.call(address, 'advise', { step, workerIds, timeoutMs }, timeoutMs + ADVICE_ROUND_TRIP_MS)
      if (res.err) return res
      const { approved, reason } = res.val
      return approved === undefined ? Err(Failure.mayHaveRun('advice-failed', reason ?? 'The daemon gave no advice.')) : Ok(new Map(approved))
    }
  }
}
