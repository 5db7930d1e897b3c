import type { QueueClient } from '../client.js'
import { outcomeOf } from '../output.js'
import type { Outcome } from '../output.js'

export async function cancel (client: QueueClient, id: string): Promise<Outcome> {
  return outcomeOf(await client.send('DELETE', id), `${id} cancelled`)
}
