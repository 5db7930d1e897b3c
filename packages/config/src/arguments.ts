const SHIELD = '\u0001'

/**
 * Protects numeric arguments from cac, which turns them into numbers: `007` would become 7, and a
 * token of 20 digits would lose some of them. Undone by `unshieldNumbers`.
 */
export function shieldNumbers (argv: readonly string[]): string[] {
  return argv.map(arg => {
    const at = arg.startsWith('--') ? arg.indexOf('=') + 1 : 0
    if (arg.startsWith('--') && at === 0) return arg
    const value = arg.slice(at)
    return value !== '' && Number.isFinite(Number(value)) && (at > 0 || !arg.startsWith('-'))
      ? `${arg.slice(0, at)}${SHIELD}${value}`
      : arg
  })
}

/** Restores the arguments in what cac parsed. */
export function unshieldNumbers<T> (value: T): T {
  if (typeof value === 'string') return value.replaceAll(SHIELD, '') as T
  if (Array.isArray(value)) return value.map(unshieldNumbers) as T
  return value
}
