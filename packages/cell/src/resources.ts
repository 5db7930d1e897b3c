import type { ResourceVector } from './types.js'

export const NO_RESOURCES: ResourceVector = { milliCores: 0, memoryMb: 0, accelerators: 0 }

export function add (a: ResourceVector, b: ResourceVector): ResourceVector {
  return { milliCores: a.milliCores + b.milliCores, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators }
}

export function subtract (a: ResourceVector, b: ResourceVector): ResourceVector {
  return { milliCores: a.milliCores - b.milliCores, memoryMb: a.memoryMb - b.memoryMb, accelerators: a.accelerators - b.accelerators }
}

export function multiply ({ milliCores, memoryMb, accelerators }: ResourceVector, factor: number): ResourceVector {
  return { milliCores: milliCores * factor, memoryMb: memoryMb * factor, accelerators: accelerators * factor }
}

export function fits (need: ResourceVector, free: ResourceVector): boolean {
  return need.milliCores <= free.milliCores && need.memoryMb <= free.memoryMb && need.accelerators <= free.accelerators
}

/** Number of tasks with the same need that fit into the free capacity; Infinity when they need nothing. */
export function maxTasksThatFit (need: ResourceVector, free: ResourceVector): number {
  return Math.max(0, Math.min(
    quotient(free.milliCores, need.milliCores),
    quotient(free.memoryMb, need.memoryMb),
    quotient(free.accelerators, need.accelerators)
  ))
}

function quotient (free: number, need: number): number {
  return need === 0 ? Infinity : Math.floor(free / need)
}

/** Largest share that an amount is of a total, over the resources that the total has. */
export function dominantShare (amount: ResourceVector, total: ResourceVector): number {
  return Math.max(shareOf(amount.milliCores, total.milliCores), shareOf(amount.memoryMb, total.memoryMb), shareOf(amount.accelerators, total.accelerators))
}

function shareOf (amount: number, total: number): number {
  return total === 0 ? 0 : amount / total
}
