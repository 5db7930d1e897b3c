import { TestCell, createWorkerEntry } from './testCell.js'
import type { TestCellOptions } from './testCell.js'

const SMALL = { milliCores: 2_000, memoryMb: 16_000, accelerators: 0 }

/** A cell whose tasks start on w1, the worker with less free capacity, while it can be reached. `register` shows an incarnation of w1 in the registry. */
export async function createRestartCell ({ durationMs, ...options }: { readonly durationMs: number } & TestCellOptions) {
  const entries = (born: number) => [createWorkerEntry('w1', { capacity: SMALL, born }), createWorkerEntry('w2')]
  const cell = TestCell.create({ workers: entries(1), behaviour: () => ({ durationMs, end: 'done' }), ...options })
  const [worker, other] = cell.workers.all()
  if (worker === undefined || other === undefined) throw new Error('no workers')
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  return { cell, worker, other, daemon, register: (born: number) => cell.setRegistry(entries(born)) }
}
