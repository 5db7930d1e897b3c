import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { ConfigIssue } from './types.js'
import { createIssue, issuesOf } from './issues.js'
import { mergeConfigFolder } from './merge.js'
import type { MergedConfig } from './merge.js'
import { nearestName } from './nearestName.js'
import { cellConfigSchema } from './schema.js'
import type { ResolvedCellConfig } from './schema.js'

/** Largest folder; it is kept in one table row and sent to peers in one message. */
export const MAX_FOLDER_BYTES = 256 * 1024

export interface CheckedConfig {
  readonly config: ResolvedCellConfig
  readonly merged: MergedConfig
}

/** Merges and checks a folder. */
export function checkConfig (files: Readonly<Record<string, string>>): Result<CheckedConfig, readonly ConfigIssue[]> {
  const folderIssues = checkFolder(files)
  if (folderIssues.length > 0) return Err(folderIssues)
  const merged = mergeConfigFolder(files)
  const parsed = cellConfigSchema.safeParse(merged.value)
  const schemaIssues = parsed.success ? [] : parsed.error.issues.flatMap(issue => issuesOf(issue, merged))
  const issues = [...merged.issues, ...schemaIssues]
  if (!parsed.success || issues.length > 0) return Err(issues)
  const references = checkReferences(parsed.data, merged)
  return references.length > 0 ? Err(references) : Ok({ config: deepFreeze(parsed.data), merged })
}

/** True for the names of files that belong to a configuration. */
export function isConfigFile (file: string): boolean {
  return /^[^/\\]+\.ya?ml$/.test(file)
}

function checkFolder (files: Readonly<Record<string, string>>): readonly ConfigIssue[] {
  const names = Object.keys(files)
  if (names.length === 0) return [{ file: '', line: 0, path: '', reason: 'contains no configuration files', allowed: 'at least one .yaml file' }]
  const badNames = names.filter(file => !isConfigFile(file))
  if (badNames.length > 0) {
    return badNames.map(file => ({ file, line: 0, path: '', reason: 'is not a configuration file', allowed: 'file names that end in .yaml or .yml, without folders' }))
  }
  const bytes = names.reduce((sum, file) => sum + Buffer.byteLength(files[file] ?? ''), 0)
  if (bytes > MAX_FOLDER_BYTES) {
    return [{ file: '', line: 0, path: '', reason: `has ${bytes} bytes of configuration`, allowed: `at most ${MAX_FOLDER_BYTES} bytes` }]
  }
  return []
}

/** Checks names that refer to other parts of the configuration, and values that must agree. */
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
    // Each connection carries one request at a time.
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
