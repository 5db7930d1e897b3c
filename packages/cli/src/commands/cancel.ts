import type { QueueClient } from '../client.js'
import { toCommandResult } from '../output.js'
import type { CommandResult } from '../output.js'

export async function cancel (client: QueueClient, id: string): Promise<CommandResult> {
  return toCommandResult(await client.send('DELETE', id), `${id} cancelled`)
}
