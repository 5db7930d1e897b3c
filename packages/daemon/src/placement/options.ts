import type { Resources } from '../workers/index.js'
import type { PlacerOptions } from './types.js'

/** Options with every default filled in. */
export interface ResolvedPlacerOptions {
  readonly teamShares: Readonly<Record<string, number>>
  readonly teamQuotas: Readonly<Record<string, Partial<Resources>>>
  readonly packingWeight: number
  readonly gangReserveAfterMs: number
  readonly suspendAfterFailures: number
  readonly suspendBackoffMs: number
  readonly suspendBackoffMaxMs: number
  readonly returnShareAfterMs: number
  readonly parkAfterMs: number
}

export function resolvePlacerOptions (options: PlacerOptions = {}): ResolvedPlacerOptions {
  return {
    teamShares: options.teamShares ?? {},
    teamQuotas: options.teamQuotas ?? {},
    packingWeight: Math.min(1, Math.max(0, options.packingWeight ?? 0.5)),
    gangReserveAfterMs: options.gangReserveAfterMs ?? 5_000,
    suspendAfterFailures: Math.max(1, options.suspendAfterFailures ?? 3),
    suspendBackoffMs: options.suspendBackoffMs ?? 10_000,
    suspendBackoffMaxMs: options.suspendBackoffMaxMs ?? 600_000,
    returnShareAfterMs: options.returnShareAfterMs ?? 3_000,
    parkAfterMs: options.parkAfterMs ?? 5_000
  }
}
