/**
 * Whether a request may have been executed.
 *
 * - `not-run`: it was not executed and will not be executed later.
 * - `ran`: it was executed and its complete result is known.
 * - `may-have-run`: the outcome is unknown.
 */
export type Verdict = 'not-run' | 'ran' | 'may-have-run'
