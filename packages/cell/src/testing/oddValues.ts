/** Nesting that overflows the stack of a reader that descends into the value. */
const DEEP_LEVELS = 30_000

/**
 * Values that another writer may leave in a row, with a name each: of the wrong type, very deeply nested, with numbers out
 * of range, or with fields that make a conversion to text or to a number fail.
 */
export function createOddValues (): ReadonlyArray<readonly [string, unknown]> {
  return [
    ['nothing', undefined],
    ['null', null],
    ['a number', 5],
    ['a text', 'odd'],
    ['a list', [1, [2]]],
    ['an empty object', {}],
    ['too large a number', Number.POSITIVE_INFINITY],
    ['a number beyond exact ones', 1e308],
    ['a negative number', -1e308],
    ['deeply nested lists', JSON.parse(`${'['.repeat(DEEP_LEVELS)}${']'.repeat(DEEP_LEVELS)}`)],
    ['deeply nested objects', JSON.parse(`${'{"a":'.repeat(DEEP_LEVELS)}1${'}'.repeat(DEEP_LEVELS)}`)],
    ['an object that has no text', { toString: 5, valueOf: 5 }],
    ['fields of a prototype', JSON.parse('{"__proto__": {"count": 1}, "constructor": 1, "hasOwnProperty": 2}')]
  ]
}

/** The value itself, and objects in which one of the named fields of a valid object has the value. */
export function spreadOverFields (valid: Readonly<Record<string, unknown>>, value: unknown): readonly unknown[] {
  return [value, ...Object.keys(valid).map(name => ({ ...valid, [name]: value }))]
}
