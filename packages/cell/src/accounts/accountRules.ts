import type { Job, Step } from '../jobs.js'
import type { TurnCandidate, VisitOptions } from './accountTurns.js'

/** What scheduling rounds ask about client accounts. */
export interface AccountRules {
  /** Whether the cell has accounts. */
  areInUse (): boolean
  /** Number of tasks of a step that may start now by the limit of its account, at most `wanted`; a gang starts whole or not at all. */
  startable (step: Step, wanted: number): number
  /** Whether a job came beyond the rate that its account is owed; `unixMs` is the time now. */
  isExcess (job: Job, unixMs: number): boolean
  /** The same as far as the job has been classed; undefined if it has not been. Changes nothing. */
  knownExcess (job: Job): boolean | undefined
  /**
   * Visits candidates in their order, but among those of the same rank in turns by account. Those for which there is no
   * room take no turn and stay in their order.
   */
  visitInTurns<C extends TurnCandidate> (candidates: readonly C[], options: VisitOptions<C>): void
}

/** Rules of a cell without accounts. */
export const NO_ACCOUNTS: AccountRules = {
  areInUse: () => false,
  startable: (_step, wanted) => wanted,
  isExcess: () => false,
  knownExcess: () => false,
  visitInTurns: (candidates, { visit }) => {
    for (const candidate of candidates) visit(candidate)
  }
}
