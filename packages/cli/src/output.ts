import type { QueueResponse } from './client.js'

/**
 * Exit codes. `success`: the command succeeded. `rejected`: the request was refused and has not run, or a configuration
 * is invalid. `unknownOutcome`: the request may have run. `usage`: the command line is invalid.
 */
export const EXIT_CODES = { success: 0, rejected: 1, unknownOutcome: 3, usage: 2 } as const

export interface CommandResult {
  readonly exitCode: number
  readonly text: string
}

const STATUS_HINTS: Readonly<Record<number, string>> = {
  400: 'The job is not valid.',
  404: 'There is no such queue, or the id is not 16 hexadecimal digits.',
  410: 'There is no such job.',
  429: 'The job was not accepted and has not run; try again later.',
  500: 'The daemon failed; the request may have run.',
  503: 'The request has not run; try again later.',
  504: 'The request may have run; send the same id again.'
}

const STATUSES_OF_UNKNOWN_OUTCOME: ReadonlySet<number> = new Set([500, 502, 504])

/** Maps a response to the text to print and the exit code; `successText` is printed for a 2xx status. */
export function toCommandResult ({ status, body }: QueueResponse, successText: string): CommandResult {
  if (status >= 200 && status < 300) return { exitCode: EXIT_CODES.success, text: successText }
  const text = [STATUS_HINTS[status] ?? `The daemon responded with status ${status}.`, body.reason ?? body.error].filter(part => part !== undefined).join(' ')
  return { exitCode: STATUSES_OF_UNKNOWN_OUTCOME.has(status) ? EXIT_CODES.unknownOutcome : EXIT_CODES.rejected, text }
}
