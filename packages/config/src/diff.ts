import type { ConfigChange } from './types.js'
import type { ResolvedCellConfig } from './schema.js'

/** Lists the values that differ, ordered by path. Lists are compared as a whole. */
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

/** One line for a person, such as `teams.press.share: 1 -> 2`. */
export function formatChange (change: ConfigChange): string {
  if (change.from === undefined) return `${change.path}: added, ${JSON.stringify(change.to)}`
  if (change.to === undefined) return `${change.path}: removed, was ${JSON.stringify(change.from)}`
  return `${change.path}: ${JSON.stringify(change.from)} -> ${JSON.stringify(change.to)}`
}

function flatten (value: unknown, path = '', out = new Map<string, unknown>()): Map<string, unknown> {
  if (value === undefined) return out
  const isMap = typeof value === 'object' && value !== null && !Array.isArray(value)
  const entries = isMap ? Object.entries(value) : []
  // An empty map is a value of its own; otherwise adding or removing it would not show.
  if (entries.length === 0) out.set(path, value)
  for (const [key, child] of entries) flatten(child, path === '' ? key : `${path}.${key}`, out)
  return out
}
