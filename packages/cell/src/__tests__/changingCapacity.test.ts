import test from 'ava'
import { TestCell, createStep, createWorkerEntry } from '../testing/index.js'

const WHOLE = { milliCores: 4_000, memoryMb: 16_000, accelerators: 0 }
const QUARTER = { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 }
/** Time within which the leader has read the registry again. */
const REGISTRY_READ_MS = 1_000

async function createCell (durationMs: number) {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1', { capacity: WHOLE })], behaviour: () => ({ durationMs, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(REGISTRY_READ_MS)
  const [worker] = cell.workers.all()
  if (worker === undefined) throw new Error('no worker')
  const changeCapacity = async (capacity: typeof WHOLE) => {
    worker.entry = { ...worker.entry, capacity }
    cell.setRegistry([worker.entry])
    await cell.clock.advance(REGISTRY_READ_MS)
  }
  return { cell, daemon, worker, changeCapacity }
}

// Guards against LIMIT: what runs on a worker may exceed a capacity that has shrunk, and nothing more may start there until it fits.
test('nothing starts on a worker whose capacity has shrunk below what runs there', async t => {
  const { cell, daemon, worker, changeCapacity } = await createCell(4_000)
  await cell.submit(daemon, [createStep({ count: 3, need: QUARTER })])
  await cell.advanceUntil(() => worker.runningTasks().length === 3)
  await changeCapacity({ ...WHOLE, milliCores: 2_000 })
  const later = await cell.submit(daemon, [createStep({ count: 3, need: QUARTER })])
  await cell.clock.advance(1_000)
  t.is(worker.runningTasks().length, 3)
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(later), 3_000))
  t.is(worker.runningTasks().length, 2, 'as many as fit')
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LIMIT after a takeover: a new leader counts the same capacity.
test('a new leader starts nothing on a worker whose capacity has shrunk below what runs there', async t => {
  const { cell, daemon, worker, changeCapacity } = await createCell(20_000)
  await cell.submit(daemon, [createStep({ count: 3, need: QUARTER })])
  await cell.advanceUntil(() => worker.runningTasks().length === 3)
  await changeCapacity({ ...WHOLE, milliCores: 3_000 })
  await cell.submit(daemon, [createStep({ need: QUARTER })])
  daemon.kill()
  cell.startDaemon('d2')
  await cell.clock.advance(10_000)
  t.is(worker.runningTasks().length, 3)
  t.deepEqual(cell.audit.violations, [])
})

test('room that has grown again is used at once', async t => {
  const { cell, daemon, worker, changeCapacity } = await createCell(10_000)
  await changeCapacity({ ...WHOLE, milliCores: 1_000 })
  await cell.submit(daemon, [createStep({ count: 4, need: QUARTER })])
  await cell.clock.advance(1_000)
  t.is(worker.runningTasks().length, 1)
  await changeCapacity(WHOLE)
  t.is(worker.runningTasks().length, 4)
  t.deepEqual(cell.audit.violations, [])
})
