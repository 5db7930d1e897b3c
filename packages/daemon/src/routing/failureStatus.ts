import type { Failure } from '../errors.js'

/** HTTP status of failures of requests to services, by code; 503 for other refusals and 504 for unknown outcomes. */
const STATUS: Readonly<Record<string, number>> = {
  'idempotency-key-reused': 422,
  'response-not-stored': 409,
  'still-running': 409,
  'team-limit': 429,
  'caller-limit': 429,
  'body-too-large': 413,
  'invalid-request': 400,
  'invalid-frame': 502,
  'deadline-exceeded': 504,
  'backend-lost': 502,
  'response-truncated': 502
}

export function failureStatus ({ code, verdict }: Pick<Failure, 'code' | 'verdict'>): number {
  return STATUS[code] ?? (verdict === 'not-run' ? 503 : 504)
}
