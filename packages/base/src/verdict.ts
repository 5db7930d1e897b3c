/**
 * Says whether a request may have been executed.
 *
 * - `not-run`: nothing was executed and nothing will be executed later.
 * - `ran`: it was executed and its whole result is known.
 * - `may-have-run`: the outcome is unknown.
 */
export type Verdict = 'not-run' | 'ran' | 'may-have-run'
