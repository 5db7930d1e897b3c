import { closest, distance } from 'fastest-levenshtein'

/** Returns the known name that `name` is most likely a misspelling of, if there is one. */
export function nearestName (name: string, known: readonly string[]): string | undefined {
  if (known.length === 0) return undefined
  const candidate = closest(name, known)
  // More than a third of the letters wrong suggests unrelated names.
  return distance(name, candidate) <= Math.max(1, Math.ceil(name.length / 3)) ? candidate : undefined
}
