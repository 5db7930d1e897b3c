import type { Verdict } from './verdict.js'

export interface FailureFields {
  /** Stable, machine-readable code such as `store-unavailable`. */
  readonly code: string
  /** Whether the request may have been executed. */
  readonly verdict: Verdict
  /** One sentence for a person. */
  readonly reason: string
  /** What can be done next. */
  readonly hint?: string
}

/** Error that says whether the request it belongs to may have been executed. */
export class Failure extends Error implements FailureFields {
  readonly code: string
  readonly verdict: Verdict
  readonly reason: string
  readonly hint?: string

  private constructor (fields: FailureFields) {
    super(fields.reason)
    this.name = 'Failure'
    this.code = fields.code
    this.verdict = fields.verdict
    this.reason = fields.reason
    if (fields.hint !== undefined) this.hint = fields.hint
  }

  static create (fields: FailureFields): Failure {
    return new Failure(fields)
  }

  /** Failure of a request of which nothing was and nothing will be executed. */
  static notRun (code: string, reason: string, hint?: string): Failure {
    return new Failure({ code, verdict: 'not-run', reason, ...(hint === undefined ? {} : { hint }) })
  }

  /** Failure of a request whose outcome is unknown. */
  static mayHaveRun (code: string, reason: string, hint?: string): Failure {
    return new Failure({ code, verdict: 'may-have-run', reason, ...(hint === undefined ? {} : { hint }) })
  }
}
