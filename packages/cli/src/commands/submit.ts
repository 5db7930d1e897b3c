import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { QueueClient } from '../client.js'
import { EXIT_CODES, toCommandResult } from '../output.js'
import type { CommandResult } from '../output.js'

/** Submits the job described in a JSON file. Submission is idempotent by id, so it is safe to repeat with the same id. */
export async function submit (client: QueueClient, file: string, id = randomBytes(8).toString('hex')): Promise<CommandResult> {
  const body = readJob(file)
  if (body instanceof Error) return { exitCode: EXIT_CODES.usage, text: `Nothing was sent: ${body.message}` }
  return toCommandResult(await client.send('POST', id, body), id)
}

function readJob (file: string): string | Error {
  try {
    return readFileSync(file, 'utf8')
  } catch (err) {
    return err instanceof Error ? err : new Error(String(err))
  }
}
