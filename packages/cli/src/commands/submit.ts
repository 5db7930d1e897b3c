import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { QueueClient } from '../client.js'
import { toCommandResult } from '../output.js'
import type { CommandResult } from '../output.js'

/** Submits the job described in a JSON file. Submission is idempotent by id, so it is safe to repeat with the same id. */
export async function submit (client: QueueClient, file: string, id = randomBytes(8).toString('hex')): Promise<CommandResult> {
  return toCommandResult(await client.send('POST', id, readFileSync(file, 'utf8')), id)
}
