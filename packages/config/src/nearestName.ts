import { closest, distance } from 'fastest-levenshtein'

/** Returns the valid name that `name` most likely misspells, or undefined if none is similar enough. */
export function nearestName (name: string, validNames: readonly string[]): string | undefined {
  if (validNames.length === 0) return undefined
  const candidate = closest(name, validNames)
  // If more than a third of the letters differ, the names are probably unrelated.
  return distance(name, candidate) <= Math.max(1, Math.ceil(name.length / 3)) ? candidate : undefined
}
