import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { ConfigIssue } from './types.js'
import { findNode, mergeConfigFolder, toValue } from './merge.js'
import type { Assignment } from './merge.js'
import { nearestName } from './nearestName.js'
import { cellConfigSchema } from './schema.js'

export interface ValueExplanation {
  readonly path: string
  readonly value: unknown
  /** `default` when no file sets the value, or the last one removes it. */
  readonly source: 'file' | 'default'
  /** All statements about the value, in the order of the merge; the last is in force. */
  readonly history: readonly Assignment[]
}

/** Tells which value a dotted path has, and which files set it in which order. */
export function explainValue (files: Readonly<Record<string, string>>, path: string): Result<ValueExplanation, ConfigIssue> {
  const merged = mergeConfigFolder(files)
  const keys = path.split('.').filter(key => key !== '')
  const node = findNode(merged.root, keys)
  const parsed = cellConfigSchema.safeParse(merged.value)
  const complete = parsed.success ? parsed.data : merged.value
  const history = node?.history ?? []
  const ownValue = node === undefined ? undefined : toValue(node)
  const value = descend(complete, keys)
  if (value === undefined && history.length === 0) return Err(unknownPath(complete, keys, path))
  return Ok({ path: keys.join('.'), value, source: ownValue === undefined ? 'default' : 'file', history })
}

function unknownPath (complete: unknown, keys: readonly string[], path: string): ConfigIssue {
  let at: unknown = complete
  for (const key of keys) {
    const next = descend(at, [key])
    if (next === undefined) {
      const known = typeof at === 'object' && at !== null ? Object.keys(at) : []
      const nearest = nearestName(key, known)
      return {
        file: '',
        line: 0,
        path,
        reason: `is not set: there is no "${key}"`,
        ...(known.length > 0 ? { allowed: known.join(', ') } : {}),
        ...(nearest === undefined ? {} : { nearest })
      }
    }
    at = next
  }
  return { file: '', line: 0, path, reason: 'is not set' }
}

function descend (value: unknown, keys: readonly string[]): unknown {
  let at = value
  for (const key of keys) {
    if (typeof at !== 'object' || at === null || !Object.hasOwn(at, key)) return undefined
    at = (at as Record<string, unknown>)[key]
  }
  return at
}
