import type { QueueClient } from '../client.js'
import { toCommandResult } from '../output.js'
import type { CommandResult } from '../output.js'

const FINAL_STATES: ReadonlySet<unknown> = new Set(['completed', 'failed', 'cancelled'])
const POLL_INTERVAL_MS = 500

export async function show (client: QueueClient, id: string): Promise<CommandResult> {
  const response = await client.send('GET', id)
  return toCommandResult(response, String(response.body.state))
}

/** Polls until the job has ended or the daemon rejects the request with a status below 500, such as 410 for an unknown job. */
export async function wait (client: QueueClient, id: string): Promise<CommandResult> {
  for (;;) {
    const response = await client.send('GET', id)
    const isDone = response.status === 200 ? FINAL_STATES.has(response.body.state) : response.status < 500
    if (isDone) return toCommandResult(response, String(response.body.state))
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

/** Reports the number of jobs in the queue that have no started task. */
export async function pending (client: QueueClient): Promise<CommandResult> {
  const response = await client.send('GET', '')
  return toCommandResult(response, String(response.body.pending))
}
