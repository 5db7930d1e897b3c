/**
 * Readers of values of unknown shape, such as rows that another program may have written. They never throw: unlike
 * `String` and `Number`, they call no method of the value and don't descend into it.
 */

/** The value if it is an object with named fields, otherwise an empty one. */
export function recordOf (value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Readonly<Record<string, unknown>> : {}
}

export function stringOr<T> (value: unknown, fallback: T): string | T {
  return typeof value === 'string' ? value : fallback
}

export function finiteOr<T> (value: unknown, fallback: T): number | T {
  return isFiniteNumber(value) ? value : fallback
}

export function isFiniteNumber (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}

/** Whether the value is a whole number of at least 0 that is exact. */
export function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

export function countOr<T> (value: unknown, fallback: T): number | T {
  return isCount(value) ? value : fallback
}

export function isListOf<T> (value: unknown, isElement: (element: unknown) => element is T): value is readonly T[] {
  return Array.isArray(value) && value.every(isElement)
}

export function isString (value: unknown): value is string {
  return typeof value === 'string'
}
