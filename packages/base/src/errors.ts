import type { Verdict } from './verdict.js'

export interface FailureFields {
  /** Stable, machine-readable code such as `store-unavailable`. */
  readonly code: string
  /** Whether the request may have been executed. */
  readonly verdict: Verdict
  /** Human-readable description, one sentence. */
  readonly reason: string
  /** Suggested next action. */
  readonly hint?: string
  /** Time after which the same request may succeed, in milliseconds. */
  readonly retryAfterMs?: number
}

/** Error of a request, with a verdict on whether the request may have been executed. */
export class Failure extends Error implements FailureFields {
  readonly code: string
  readonly verdict: Verdict
  readonly reason: string
  readonly hint?: string
  readonly retryAfterMs?: number

  private constructor (fields: FailureFields) {
    super(fields.reason)
    this.name = 'Failure'
    this.code = fields.code
    this.verdict = fields.verdict
    this.reason = fields.reason
    if (fields.hint !== undefined) this.hint = fields.hint
    if (fields.retryAfterMs !== undefined) this.retryAfterMs = fields.retryAfterMs
  }

  static create (fields: FailureFields): Failure {
    return new Failure(fields)
  }

  /** Failure of a request that was not executed and will not be executed later. */
  static notRun (code: string, reason: string, hint?: string): Failure {
    return new Failure({ code, verdict: 'not-run', reason, ...(hint === undefined ? {} : { hint }) })
  }

  /** Failure of a request that may have been executed. */
  static mayHaveRun (code: string, reason: string, hint?: string): Failure {
    return new Failure({ code, verdict: 'may-have-run', reason, ...(hint === undefined ? {} : { hint }) })
  }
}
