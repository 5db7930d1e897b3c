import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { checkConfig, diffConfig, explainValue, formatChange, formatIssue, isConfigFile } from '@citronnotch/config'
import { EXIT } from '../output.js'
import type { Outcome } from '../output.js'

/** Checks a configuration folder; names file, line and nearest known name of each fault. */
export function checkFolder (folder: string): Outcome {
  const checked = checkConfig(readFolder(folder))
  if (checked.err) return { code: EXIT.refused, text: checked.val.map(formatIssue).join('\n') }
  return { code: EXIT.served, text: `The configuration of cell ${checked.val.config.cell} is valid.` }
}

/** Tells which value a dotted path has, and which files set it in which order. */
export function explainPath (folder: string, path: string): Outcome {
  const explained = explainValue(readFolder(folder), path)
  if (explained.err) return { code: EXIT.refused, text: formatIssue(explained.val) }
  const { value, source, history } = explained.val
  const lines = history.map(({ file, line, kind, value: set }) => `  ${file}:${line} ${kind}${set === undefined ? '' : ` ${JSON.stringify(set)}`}`)
  return { code: EXIT.served, text: [`${path} = ${JSON.stringify(value)} (${source})`, ...lines].join('\n') }
}

/** Lists the values that differ between two folders. */
export function diffFolders (before: string, after: string): Outcome {
  const [from, to] = [checkConfig(readFolder(before)), checkConfig(readFolder(after))]
  const issues = [from, to].flatMap(each => each.err ? each.val : [])
  if (from.err || to.err) return { code: EXIT.refused, text: issues.map(formatIssue).join('\n') }
  const changes = diffConfig(from.val.config, to.val.config)
  return { code: EXIT.served, text: changes.length === 0 ? 'The configurations are the same.' : changes.map(formatChange).join('\n') }
}

function readFolder (folder: string): Readonly<Record<string, string>> {
  const files = readdirSync(folder).filter(isConfigFile).sort()
  return Object.fromEntries(files.map(file => [file, readFileSync(join(folder, file), 'utf8')]))
}
