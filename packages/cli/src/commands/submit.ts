import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { QueueClient } from '../client.js'
import { outcomeOf } from '../output.js'
import type { Outcome } from '../output.js'

/** Submits the job in a JSON file; the same id is the same job, so a repetition is safe. */
export async function submit (client: QueueClient, file: string, id = randomBytes(8).toString('hex')): Promise<Outcome> {
  return outcomeOf(await client.send('POST', id, readFileSync(file, 'utf8')), id)
}
