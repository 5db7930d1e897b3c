import type { ConfigIssue } from './types.js'
import { z } from 'zod'
import type { MergedConfig } from './merge.js'
import { nearestName } from './nearestName.js'
import { cellConfigSchema } from './schema.js'

/** Formats an issue as one line of text: file, line, path, reason, allowed values, nearest valid name. */
export function formatIssue (issue: ConfigIssue): string {
  const location = issue.file === '' ? 'folder' : `${issue.file}:${issue.line}`
  const subject = issue.path === '' ? '' : `${issue.path} `
  const allowed = issue.allowed === undefined ? '' : `; allowed: ${issue.allowed}`
  const nearest = issue.nearest === undefined ? '' : `; did you mean "${issue.nearest}"?`
  return `${location}: ${subject}${issue.reason}${allowed}${nearest}`
}

/** Converts a zod issue into issues with file and line: one for each unrecognized key, otherwise one. */
export function toConfigIssues (issue: z.core.$ZodIssue, merged: MergedConfig): readonly ConfigIssue[] {
  const path = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    const allowedKeys = allowedKeysAt(path)
    return issue.keys.map(key => createIssue(merged, [...path, key], {
      reason: 'is not a known setting',
      allowed: allowedKeys.join(', '),
      nearest: nearestName(key, allowedKeys)
    }))
  }
  if (issue.code === 'invalid_key') {
    const keyIssue = issue.issues[0]
    return [createIssue(merged, path, { reason: 'is not a valid name', allowed: keyIssue?.message })]
  }
  return [createIssue(merged, path, describeSchemaIssue(issue, valueAt(merged.value, path)))]
}

interface IssueDescription { readonly reason: string, readonly allowed?: string | undefined, readonly nearest?: string | undefined }

/** Creates an issue at the line of the value at `path`, or of the nearest enclosing map or list if it is absent. */
export function createIssue (merged: MergedConfig, path: readonly string[], description: IssueDescription): ConfigIssue {
  const { file, line } = locate(merged, path)
  return {
    file,
    line,
    path: formatPath(path),
    reason: description.reason,
    ...(description.allowed === undefined ? {} : { allowed: description.allowed }),
    ...(description.nearest === undefined ? {} : { nearest: description.nearest })
  }
}

function describeSchemaIssue (issue: z.core.$ZodIssue, value: unknown): IssueDescription {
  const unitSuffix = 'origin' in issue && issue.origin === 'array' ? ' entries' : issue.code !== 'custom' && 'origin' in issue && issue.origin === 'string' ? ' characters' : ''
  if (value === undefined) return { reason: 'is missing', allowed: 'expected' in issue ? describeType(String(issue.expected)) : undefined }
  switch (issue.code) {
    case 'invalid_type':
      return { reason: `is ${JSON.stringify(value)}`, allowed: describeType(issue.expected) }
    case 'too_small':
      return { reason: `is ${JSON.stringify(value)}`, allowed: `${issue.inclusive === false ? 'more than' : 'at least'} ${issue.minimum}${unitSuffix}` }
    case 'too_big':
      return { reason: `is ${JSON.stringify(value)}`, allowed: `${issue.inclusive === false ? 'less than' : 'at most'} ${issue.maximum}${unitSuffix}` }
    case 'invalid_value':
      return { reason: `is ${JSON.stringify(value)}`, allowed: issue.values.join(', ') }
    default:
      return { reason: `is ${JSON.stringify(value)}`, allowed: issue.message }
  }
}

const TYPE_DESCRIPTIONS: Readonly<Record<string, string>> = {
  string: 'text',
  int: 'a whole number',
  number: 'a number',
  boolean: 'true or false',
  array: 'a list',
  object: 'a map',
  record: 'a map'
}

function describeType (type: string): string {
  return TYPE_DESCRIPTIONS[type] ?? type
}

/** Returns the keys that the schema allows in the map at `path`. */
function allowedKeysAt (path: readonly string[]): readonly string[] {
  let schema: z.core.$ZodType = cellConfigSchema
  for (const key of path) {
    schema = unwrap(schema)
    if (schema instanceof z.ZodObject) schema = (schema.shape as Record<string, z.core.$ZodType>)[key] ?? schema
    else if (schema instanceof z.ZodRecord) schema = schema.valueType as z.core.$ZodType
  }
  schema = unwrap(schema)
  return schema instanceof z.ZodObject ? Object.keys(schema.shape as object) : []
}

function unwrap (schema: z.core.$ZodType): z.core.$ZodType {
  while (schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault || schema instanceof z.ZodOptional) {
    schema = schema.unwrap() as z.core.$ZodType
  }
  return schema
}

function locate (merged: MergedConfig, path: readonly string[]): { readonly file: string, readonly line: number } {
  let node = merged.root
  let location = node.history[0] ?? { file: '', line: 0 }
  for (const name of path) {
    const child = node.children.get(name)
    const lastAssignment = child?.history.at(-1)
    if (child === undefined || lastAssignment === undefined) {
      const entryLine = node.entryLines[Number(name)]
      return { file: location.file, line: entryLine ?? location.line }
    }
    node = child
    location = lastAssignment
  }
  return { file: location.file, line: location.line }
}

function valueAt (value: unknown, path: readonly string[]): unknown {
  let current = value
  for (const key of path) {
    if (typeof current !== 'object' || current === null || !Object.hasOwn(current, key)) return undefined
    current = (current as Record<string, unknown>)[key]
  }
  return current
}

function formatPath (path: readonly string[]): string {
  return path.join('.')
}
