import type { Resources } from '../workers/index.js'

/** Resources as integers (millicores, MiB, accelerators), so that sums return exactly to zero. */
export interface Vector {
  cores: number
  memory: number
  accelerators: number
}

// Absorbs binary rounding such as 2.01 * 1000 = 2009.9999999999998.
const ROUNDING = 1e-6

/** Rounds up, so that a task is never counted smaller than declared. */
export function demandOf (resources: Resources): Readonly<Vector> {
  return {
    cores: Math.ceil(resources.cores * 1000 - ROUNDING),
    memory: Math.ceil(resources.memoryMb - ROUNDING),
    accelerators: Math.ceil(resources.accelerators - ROUNDING)
  }
}

/** Rounds down, so that a worker is never counted larger than it is. */
export function capacityOf (resources: Resources): Readonly<Vector> {
  return {
    cores: Math.floor(resources.cores * 1000 + ROUNDING),
    memory: Math.floor(resources.memoryMb + ROUNDING),
    accelerators: Math.floor(resources.accelerators + ROUNDING)
  }
}

export function toResources (vector: Readonly<Vector>): Resources {
  return { cores: vector.cores / 1000, memoryMb: vector.memory, accelerators: vector.accelerators }
}

export function zero (): Vector {
  return { cores: 0, memory: 0, accelerators: 0 }
}

/** Adds `times` times `amount` to `target` in place. */
export function add (target: Vector, amount: Readonly<Vector>, times = 1): void {
  target.cores += amount.cores * times
  target.memory += amount.memory * times
  target.accelerators += amount.accelerators * times
}

export function fits (demand: Readonly<Vector>, available: Readonly<Vector>): boolean {
  return demand.cores <= available.cores && demand.memory <= available.memory && demand.accelerators <= available.accelerators
}

/** Number of times that `demand` fits into `available`. */
export function timesThatFit (demand: Readonly<Vector>, available: Readonly<Vector>): number {
  if (!fits(demand, available)) return 0
  return Math.min(
    demand.cores > 0 ? Math.floor(available.cores / demand.cores) : Infinity,
    demand.memory > 0 ? Math.floor(available.memory / demand.memory) : Infinity,
    demand.accelerators > 0 ? Math.floor(available.accelerators / demand.accelerators) : Infinity
  )
}

/** Largest fraction of `total` that `used` takes in any resource. */
export function dominantShare (used: Readonly<Vector>, total: Readonly<Vector>): number {
  return Math.max(
    total.cores > 0 ? used.cores / total.cores : 0,
    total.memory > 0 ? used.memory / total.memory : 0,
    total.accelerators > 0 ? used.accelerators / total.accelerators : 0
  )
}
