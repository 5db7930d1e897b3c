import type { QueueClient } from '../client.js'
import { outcomeOf } from '../output.js'
import type { Outcome } from '../output.js'

const FINAL: ReadonlySet<unknown> = new Set(['completed', 'failed', 'cancelled'])
const POLL_MS = 500

export async function show (client: QueueClient, id: string): Promise<Outcome> {
  const answer = await client.send('GET', id)
  return outcomeOf(answer, String(answer.body.state))
}

/** Resolves once the job has ended, or is unknown. */
export async function wait (client: QueueClient, id: string): Promise<Outcome> {
  for (;;) {
    const answer = await client.send('GET', id)
    const isFinal = answer.status === 200 ? FINAL.has(answer.body.state) : answer.status < 500
    if (isFinal) return outcomeOf(answer, String(answer.body.state))
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}

/** Number of jobs of the queue of which no task has started. */
export async function pending (client: QueueClient): Promise<Outcome> {
  const answer = await client.send('GET', '')
  return outcomeOf(answer, String(answer.body.pending))
}
