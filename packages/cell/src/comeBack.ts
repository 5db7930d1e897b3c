/** Shortest and longest time after which a refused caller is told to come back, in milliseconds. */
const SHORTEST_MS = 1_000
const LONGEST_MS = 2_000
/** Part of the time by which callers are spread, so that they don't all return at the same moment. */
const SPREAD = 0.25

/**
 * When a caller that was refused during an outage should come back, in milliseconds. An outage that has lasted is
 * likely to last as long again, while a caller has only a few tries.
 */
export function comeBackAfterMs (awayMs: number, random: () => number): number {
  const expected = Math.min(LONGEST_MS, Math.max(SHORTEST_MS, awayMs))
  return Math.round(expected * (1 + SPREAD * random()))
}
