import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { ConfigIssue } from './types.js'
import { findNode, mergeConfigFolder, mergedToValue } from './merge.js'
import type { Assignment } from './merge.js'
import { nearestName } from './nearestName.js'
import { cellConfigSchema } from './schema.js'

export interface ValueExplanation {
  readonly path: string
  readonly value: unknown
  /** `default` if no file sets the value or the last assignment removes it. */
  readonly source: 'file' | 'default'
  /** All assignments to the value in merge order; the last one takes effect. */
  readonly history: readonly Assignment[]
}

/** Returns the value at a dotted path and the assignments that the files make to it, in merge order. */
export function explainValue (files: Readonly<Record<string, string>>, path: string): Result<ValueExplanation, ConfigIssue> {
  const merged = mergeConfigFolder(files)
  const keys = path.split('.').filter(key => key !== '')
  const node = findNode(merged.root, keys)
  const parsed = cellConfigSchema.safeParse(merged.value)
  const effectiveConfig = parsed.success ? parsed.data : merged.value
  const history = node?.history ?? []
  const mergedValue = node === undefined ? undefined : mergedToValue(node)
  const value = valueAt(effectiveConfig, keys)
  if (value === undefined && history.length === 0) return Err(createUnknownPathIssue(effectiveConfig, keys, path))
  return Ok({ path: keys.join('.'), value, source: mergedValue === undefined ? 'default' : 'file', history })
}

function createUnknownPathIssue (effectiveConfig: unknown, keys: readonly string[], path: string): ConfigIssue {
  let current: unknown = effectiveConfig
  for (const key of keys) {
    const next = valueAt(current, [key])
    if (next === undefined) {
      const availableKeys = typeof current === 'object' && current !== null ? Object.keys(current) : []
      const nearest = nearestName(key, availableKeys)
      return {
        file: '',
        line: 0,
        path,
        reason: `is not set: there is no "${key}"`,
        ...(availableKeys.length > 0 ? { allowed: availableKeys.join(', ') } : {}),
        ...(nearest === undefined ? {} : { nearest })
      }
    }
    current = next
  }
  return { file: '', line: 0, path, reason: 'is not set' }
}

function valueAt (value: unknown, keys: readonly string[]): unknown {
  let current = value
  for (const key of keys) {
    if (typeof current !== 'object' || current === null || !Object.hasOwn(current, key)) return undefined
    current = (current as Record<string, unknown>)[key]
  }
  return current
}
