import { checkConfig, diffConfig, formatChange, formatIssue } from '@citronnotch/config'
import type { ConfigChange, ConfigIssue, ConfigSummary, ConfigVersion, ConfigWarning } from '@citronnotch/protocol'
import { Failure } from '../errors.js'
import { summaryOf } from './rows.js'

/** Why a configuration was not accepted, or may not have been. */
export type ConfigFailure =
  /** The folder has faults, or warnings that the operator hasn't accepted. */
  | { readonly type: 'invalid', readonly failure: Failure, readonly issues: readonly ConfigIssue[], readonly warnings: readonly ConfigWarning[] }
  /** Another version than the expected one is current. */
  | { readonly type: 'conflict', readonly failure: Failure, readonly current: ConfigSummary, readonly changes: readonly ConfigChange[] }
  /** The table service did not take the change. */
  | { readonly type: 'unavailable', readonly failure: Failure }
  /** The table service's response was lost and the outcome can't be read. */
  | { readonly type: 'unknown', readonly failure: Failure, readonly changeId: string }

const SHOWN_CHANGES = 5

export function invalid (issues: readonly ConfigIssue[], warnings: readonly ConfigWarning[]): ConfigFailure {
  const first = issues[0]
  const failure = first === undefined
    ? Failure.notRun('config-warnings', `the configuration would break running work: ${warnings.map(({ path, reason }) => `${path}: ${reason}`).join('; ')}`,
      'apply again and accept the warnings if this is intended')
    : Failure.notRun('config-invalid', `the configuration has ${issues.length} fault(s), the first is ${formatIssue(first)}`,
      'correct the folder; `citronnotch config check <folder>` lists all faults')
  return { type: 'invalid', failure, issues, warnings }
}

/** Tells the operator who changed what since the version that was expected. */
export function conflict (expectedVersion: number, current: ConfigSummary, expected?: ConfigVersion, content?: ConfigVersion): ConfigFailure {
  const changes = content === undefined ? [] : changesBetween(expected, content)
  const shown = changes.slice(0, SHOWN_CHANGES).map(formatChange)
  const more = changes.length > SHOWN_CHANGES ? [`and ${changes.length - SHOWN_CHANGES} more`] : []
  const what = shown.length === 0 ? '' : `; since version ${expectedVersion}: ${[...shown, ...more].join(', ')}`
  const reason = current.version === 0
    ? `version ${expectedVersion} was expected, but the cell has no configuration`
    : `version ${expectedVersion} was expected, but version ${current.version} by ${current.author}, accepted at ${current.acceptedAt}, is current${what}`
  return {
    type: 'conflict',
    failure: Failure.notRun('config-conflict', reason, 'look at the difference with `citronnotch config diff <folder>`, then apply again'),
    current: summaryOf(current),
    changes
  }
}

export function unavailable (cause: Failure): ConfigFailure {
  return {
    type: 'unavailable',
    failure: Failure.notRun(cause.code, `the table service did not take the change: ${cause.reason}`, 'the configuration in force is unchanged; apply again later')
  }
}

export function unknown (changeId: string, version: number, cause: Failure): ConfigFailure {
  return {
    type: 'unknown',
    changeId,
    failure: Failure.mayHaveRun('config-outcome-unknown',
      `the table service's response to change ${changeId} was lost and can't be read back: ${cause.reason}`,
      `run \`citronnotch config history\` once the table service answers: the change was accepted if version ${version} is yours; ` +
      'until then, a repeat of the same change can\'t be accepted twice')
  }
}

function changesBetween (from: ConfigVersion | undefined, to: ConfigVersion): readonly ConfigChange[] {
  const before = from === undefined ? undefined : checkConfig(from.files)
  const after = checkConfig(to.files)
  if (before?.err === true || after.err) return []
  return diffConfig(before?.val.config, after.val.config)
}
