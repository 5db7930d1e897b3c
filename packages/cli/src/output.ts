import type { Answer } from './client.js'

/** Exit codes: the request was served; it was refused and has not run; its outcome is unknown; the call was wrong. */
export const EXIT = { served: 0, refused: 1, unknown: 3, usage: 2 } as const

export interface Outcome {
  readonly code: number
  readonly text: string
}

const HINTS: Readonly<Record<number, string>> = {
  400: 'The job is not valid.',
  404: 'There is no such queue, or the id is not 16 hexadecimal digits.',
  410: 'There is no such job.',
  429: 'The job was not accepted and has not run; try again later.',
  503: 'The request has not run; try again later.',
  504: 'The request may have run; send the same id again.'
}

/** What to print and how to exit for an answer. */
export function outcomeOf ({ status, body }: Answer, served: string): Outcome {
  if (status >= 200 && status < 300) return { code: EXIT.served, text: served }
  const reason = [HINTS[status] ?? `The daemon answered ${status}.`, body.reason ?? body.error].filter(part => part !== undefined).join(' ')
  return { code: status === 504 || status === 502 ? EXIT.unknown : EXIT.refused, text: reason }
}
