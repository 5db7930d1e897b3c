import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { ConfigIssue } from './types.js'
import { createIssue, toConfigIssues } from './issues.js'
import { mergeConfigFolder } from './merge.js'
import type { MergedConfig } from './merge.js'
import { nearestName } from './nearestName.js'
import { cellConfigSchema } from './schema.js'
import type { ResolvedCellConfig } from './schema.js'

/** Limit on the total size of a folder, because it is stored in one table row and sent to peers in one message. */
export const MAX_FOLDER_BYTES = 256 * 1024

export interface CheckedConfig {
  readonly config: ResolvedCellConfig
  readonly merged: MergedConfig
}

/** Merges the files of a folder (content by file name) and validates the result. */
export function checkConfig (files: Readonly<Record<string, string>>): Result<CheckedConfig, readonly ConfigIssue[]> {
  const folderIssues = checkFiles(files)
  if (folderIssues.length > 0) return Err(folderIssues)
  const merged = mergeConfigFolder(files)
  const parsed = cellConfigSchema.safeParse(merged.value)
  const schemaIssues = parsed.success ? [] : parsed.error.issues.flatMap(issue => toConfigIssues(issue, merged))
  const issues = [...merged.issues, ...schemaIssues]
  if (!parsed.success || issues.length > 0) return Err(issues)
  const referenceIssues = checkReferences(parsed.data, merged)
  return referenceIssues.length > 0 ? Err(referenceIssues) : Ok({ config: deepFreeze(parsed.data), merged })
}

/** True for the name of a YAML file without a folder part; only such files belong to a configuration. */
export function isConfigFile (file: string): boolean {
  return /^[^/\\]+\.ya?ml$/.test(file)
}

function checkFiles (files: Readonly<Record<string, string>>): readonly ConfigIssue[] {
  const names = Object.keys(files)
  if (names.length === 0) return [{ file: '', line: 0, path: '', reason: 'contains no configuration files', allowed: 'at least one .yaml file' }]
  const invalidNames = names.filter(file => !isConfigFile(file))
  if (invalidNames.length > 0) {
    return invalidNames.map(file => ({ file, line: 0, path: '', reason: 'is not a configuration file', allowed: 'file names that end in .yaml or .yml, without folders' }))
  }
  const bytes = names.reduce((sum, file) => sum + Buffer.byteLength(files[file] ?? ''), 0)
  if (bytes > MAX_FOLDER_BYTES) {
    return [{ file: '', line: 0, path: '', reason: `has ${bytes} bytes of configuration`, allowed: `at most ${MAX_FOLDER_BYTES} bytes` }]
  }
  return []
}

/** Checks what the schema can't express: references to other parts of the configuration and constraints between values. */
function checkReferences (config: ResolvedCellConfig, merged: MergedConfig): readonly ConfigIssue[] {
  const issues: ConfigIssue[] = []
  const teams = Object.keys(config.teams)
  for (const [name, { region }] of Object.entries(config.failureDomains)) {
    if (!config.regions.includes(region)) {
      issues.push(createIssue(merged, ['failureDomains', name, 'region'], {
        reason: `is "${region}", which is not a region`,
        allowed: config.regions.join(', '),
        nearest: nearestName(region, config.regions)
      }))
    }
  }
  if (Object.keys(config.failureDomains).length === 0) {
    issues.push(createIssue(merged, ['failureDomains'], { reason: 'is empty', allowed: 'at least one failure domain' }))
  }
  config.regions.forEach((region, index) => {
    if (config.regions.indexOf(region) !== index) {
      issues.push(createIssue(merged, ['regions', String(index)], { reason: `repeats region "${region}"`, allowed: 'each region once' }))
    }
  })
  for (const [name, service] of Object.entries(config.services)) {
    if (service.team !== undefined && !teams.includes(service.team)) {
      issues.push(createIssue(merged, ['services', name, 'team'], {
        reason: `is "${service.team}", which is not a team`,
        allowed: teams.join(', '),
        nearest: nearestName(service.team, teams)
      }))
    }
    // A connection carries one request at a time, so slots beyond the number of connections can't be used.
    if (service.slots > service.connections) {
      issues.push(createIssue(merged, ['services', name, 'slots'], {
        reason: `is ${service.slots}, more than the service's connections`,
        allowed: `at most ${service.connections}`
      }))
    }
  }
  return issues
}

function deepFreeze<T> (value: T): T {
  if (typeof value === 'object' && value !== null) {
    Object.values(value).forEach(deepFreeze)
    Object.freeze(value)
  }
  return value
}
