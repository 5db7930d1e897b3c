import type { ConfigIssue } from './types.js'
import { z } from 'zod'
import type { MergedConfig } from './merge.js'
import { nearestName } from './nearestName.js'
import { cellConfigSchema } from './schema.js'

/** One line for a person: file, line, path, reason, allowed values, nearest name. */
export function formatIssue (issue: ConfigIssue): string {
  const place = issue.file === '' ? 'folder' : `${issue.file}:${issue.line}`
  const subject = issue.path === '' ? '' : `${issue.path} `
  const allowed = issue.allowed === undefined ? '' : `; allowed: ${issue.allowed}`
  const nearest = issue.nearest === undefined ? '' : `; did you mean "${issue.nearest}"?`
  return `${place}: ${subject}${issue.reason}${allowed}${nearest}`
}

/** Turns one issue of zod into issues with file and line. */
export function issuesOf (issue: z.core.$ZodIssue, merged: MergedConfig): readonly ConfigIssue[] {
  const path = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    const known = knownKeys(path)
    return issue.keys.map(key => createIssue(merged, [...path, key], {
      reason: 'is not a known setting',
      allowed: known.join(', '),
      nearest: nearestName(key, known)
    }))
  }
  if (issue.code === 'invalid_key') {
    const inner = issue.issues[0]
    return [createIssue(merged, path, { reason: 'is not a valid name', allowed: inner?.message })]
  }
  return [createIssue(merged, path, describe(issue, valueAt(merged.value, path)))]
}

interface Description { readonly reason: string, readonly allowed?: string | undefined, readonly nearest?: string | undefined }

/** Creates an issue at the line of the value, or of its nearest enclosing map. */
export function createIssue (merged: MergedConfig, path: readonly string[], text: Description): ConfigIssue {
  const { file, line } = locate(merged, path)
  return {
    file,
    line,
    path: formatPath(path),
    reason: text.reason,
    ...(text.allowed === undefined ? {} : { allowed: text.allowed }),
    ...(text.nearest === undefined ? {} : { nearest: text.nearest })
  }
}

function describe (issue: z.core.$ZodIssue, value: unknown): Description {
  const bound = 'origin' in issue && issue.origin === 'array' ? ' entries' : issue.code !== 'custom' && 'origin' in issue && issue.origin === 'string' ? ' characters' : ''
  if (value === undefined) return { reason: 'is missing', allowed: 'expected' in issue ? expectedText(String(issue.expected)) : undefined }
  switch (issue.code) {
    case 'invalid_type':
      return { reason: `is ${JSON.stringify(value)}`, allowed: expectedText(issue.expected) }
    case 'too_small':
      return { reason: `is ${JSON.stringify(value)}`, allowed: `${issue.inclusive === false ? 'more than' : 'at least'} ${issue.minimum}${bound}` }
    case 'too_big':
      return { reason: `is ${JSON.stringify(value)}`, allowed: `${issue.inclusive === false ? 'less than' : 'at most'} ${issue.maximum}${bound}` }
    case 'invalid_value':
      return { reason: `is ${JSON.stringify(value)}`, allowed: issue.values.join(', ') }
    default:
      return { reason: `is ${JSON.stringify(value)}`, allowed: issue.message }
  }
}

const EXPECTED: Readonly<Record<string, string>> = {
  string: 'text',
  int: 'a whole number',
  number: 'a number',
  boolean: 'true or false',
  array: 'a list',
  object: 'a map',
  record: 'a map'
}

function expectedText (expected: string): string {
  return EXPECTED[expected] ?? expected
}

/** Names that the schema allows in the map at `path`. */
function knownKeys (path: readonly string[]): readonly string[] {
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
  let place = node.history[0] ?? { file: '', line: 0 }
  for (const name of path) {
    const child = node.children.get(name)
    const last = child?.history.at(-1)
    if (child === undefined || last === undefined) {
      const entryLine = node.entryLines[Number(name)]
      return { file: place.file, line: entryLine ?? place.line }
    }
    node = child
    place = last
  }
  return { file: place.file, line: place.line }
}

function valueAt (value: unknown, path: readonly string[]): unknown {
  let at = value
  for (const key of path) {
    if (typeof at !== 'object' || at === null || !Object.hasOwn(at, key)) return undefined
    at = (at as Record<string, unknown>)[key]
  }
  return at
}

function formatPath (path: readonly string[]): string {
  return path.join('.')
}
