import type { ResourceVector } from './types.js'

export const NO_RESOURCES: ResourceVector = { milliCores: 0, memoryMb: 0, accelerators: 0 }

export function add (a: ResourceVector, b: ResourceVector): ResourceVector {
  return { milliCores: a.milliCores + b.milliCores, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators }
}

export function subtract (a: ResourceVector, b: ResourceVector): ResourceVector {
  return { milliCores: a.milliCores - b.milliCores, memoryMb: a.memoryMb - b.memoryMb, accelerators: a.accelerators - b.accelerators }
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
