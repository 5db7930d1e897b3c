import type { ConfigChange } from './types.js'
import type { ResolvedCellConfig } from './schema.js'

/** Lists the values that differ, sorted by path. A list counts as one value. */
export function diffConfig (from: ResolvedCellConfig | undefined, to: ResolvedCellConfig | undefined): readonly ConfigChange[] {
  const before = flatten(from)
  const after = flatten(to)
  const paths = [...new Set([...before.keys(), ...after.keys()])].sort()
  return paths
    .filter(path => JSON.stringify(before.get(path)) !== JSON.stringify(after.get(path)))
    .map(path => ({
      path,
      ...(before.has(path) ? { from: before.get(path) } : {}),
      ...(after.has(path) ? { to: after.get(path) } : {})
    }))
}

/** Formats a change as one line of text, such as `teams.press.share: 1 -> 2`. */
export function formatChange (change: ConfigChange): string {
  if (change.from === undefined) return `${change.path}: added, ${JSON.stringify(change.to)}`
  if (change.to === undefined) return `${change.path}: removed, was ${JSON.stringify(change.from)}`
  return `${change.path}: ${JSON.stringify(change.from)} -> ${JSON.stringify(change.to)}`
}

function flatten (value: unknown, path = '', valuesByPath = new Map<string, unknown>()): Map<string, unknown> {
  if (value === undefined) return valuesByPath
  const isMap = typeof value === 'object' && value !== null && !Array.isArray(value)
  const entries = isMap ? Object.entries(value) : []
  // An empty map is recorded as a value; otherwise the diff would not show that one was added or removed.
  if (entries.length === 0) valuesByPath.set(path, value)
  for (const [key, child] of entries) flatten(child, path === '' ? key : `${path}.${key}`, valuesByPath)
  return valuesByPath
}
