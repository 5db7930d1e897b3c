const MAX_STRING_LENGTH = 64 * 1024
const MAX_ELEMENTS = 20_000

/** Returns what is wrong with a received message, or undefined. Numbers must be finite and not negative. */
export function checkMessage (message: unknown, name = 'message'): string | undefined {
  if (typeof message === 'number') return Number.isFinite(message) && message >= 0 ? undefined : `${name} is not a finite, non-negative number`
  if (typeof message === 'string') return message.length <= MAX_STRING_LENGTH ? undefined : `${name} is longer than ${MAX_STRING_LENGTH} characters`
  if (message instanceof Uint8Array || typeof message !== 'object' || message === null) return undefined
  if (Array.isArray(message) && message.length > MAX_ELEMENTS) return `${name} has more than ${MAX_ELEMENTS} elements`
  for (const [key, value] of Object.entries(message)) {
    const fault = checkMessage(value, `${name}.${key}`)
    if (fault !== undefined) return fault
  }
  return undefined
}
