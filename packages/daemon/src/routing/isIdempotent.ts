import type { ResolvedServiceConfig } from './types.js'

const IDEMPOTENT = new Set(['GET', 'HEAD', 'OPTIONS'])

/** True when a request with this method may be repeated. */
export function isIdempotent (method: string, { idempotentMethods }: Pick<ResolvedServiceConfig, 'idempotentMethods'>): boolean {
  return IDEMPOTENT.has(method) || idempotentMethods.includes(method)
}
