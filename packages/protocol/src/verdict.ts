/**
 * Says whether a request may have been executed.
 *
 * - `not-run`: nothing was executed and nothing will be executed later.
 * - `ran`: it was executed and its whole result is known.
 * - `may-have-run`: the outcome is unknown.
 */
export type Verdict = 'not-run' | 'ran' | 'may-have-run'

/** Response header that carries the verdict of a request. */
export const VERDICT_HEADER = 'citronnotch-verdict'

/** JSON body of every refusal on the callers' and operators' interfaces. */
export interface Refusal {
  /** Stable, machine-readable code such as `quota-exceeded`. */
  readonly error: string
  readonly verdict: Verdict
  /** One sentence for a person. */
  readonly reason: string
  /** What the caller can do next. */
  readonly hint?: string
}
