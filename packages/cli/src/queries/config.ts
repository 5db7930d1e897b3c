import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { checkConfig, diffConfig, explainValue, formatChange, formatIssue, isConfigFile } from '@citronnotch/config'
import { EXIT_CODES } from '../output.js'
import type { CommandResult } from '../output.js'

/** Checks a configuration folder. Each issue is printed with its file, line and, for a mistyped name, the nearest valid name. */
export function checkFolder (folder: string): CommandResult {
  const checked = checkConfig(readFolder(folder))
  if (checked.err) return { exitCode: EXIT_CODES.rejected, text: checked.val.map(formatIssue).join('\n') }
  return { exitCode: EXIT_CODES.success, text: `The configuration of cell ${checked.val.config.cell} is valid.` }
}

/** Prints the value at a dotted path and the assignments that the files make to it, in merge order. */
export function explainPath (folder: string, path: string): CommandResult {
  const explained = explainValue(readFolder(folder), path)
  if (explained.err) return { exitCode: EXIT_CODES.rejected, text: formatIssue(explained.val) }
  const { value, source, history } = explained.val
  const lines = history.map(({ file, line, kind, value: assignedValue }) => `  ${file}:${line} ${kind}${assignedValue === undefined ? '' : ` ${JSON.stringify(assignedValue)}`}`)
  return { exitCode: EXIT_CODES.success, text: [`${path} = ${JSON.stringify(value)} (${source})`, ...lines].join('\n') }
}

/** Lists the values that differ between two configuration folders; both must be valid. */
export function diffFolders (before: string, after: string): CommandResult {
  const [beforeResult, afterResult] = [checkConfig(readFolder(before)), checkConfig(readFolder(after))]
  const issues = [beforeResult, afterResult].flatMap(result => result.err ? result.val : [])
  if (beforeResult.err || afterResult.err) return { exitCode: EXIT_CODES.rejected, text: issues.map(formatIssue).join('\n') }
  const changes = diffConfig(beforeResult.val.config, afterResult.val.config)
  return { exitCode: EXIT_CODES.success, text: changes.length === 0 ? 'The configurations are the same.' : changes.map(formatChange).join('\n') }
}

function readFolder (folder: string): Readonly<Record<string, string>> {
  const files = readdirSync(folder).filter(isConfigFile).sort()
  return Object.fromEntries(files.map(file => [file, readFileSync(join(folder, file), 'utf8')]))
}
