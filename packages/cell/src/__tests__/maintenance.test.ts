import { ManualClock } from '@citronnotch/base/clock'
import test from 'ava'
import { MemoryVms, TestCell, createWorkerEntry, createStep } from '../testing/index.js'

const WORKERS = { 'vm-1': 'w1', 'vm-2': 'w2', 'vm-3': 'w3' }
const WAVE = { number: 7, vmIds: Object.keys(WORKERS), durationMs: 30_000, maxConcurrent: 1 }
const entries = Object.values(WORKERS).map(id => createWorkerEntry(id))

function createCell () {
  const clock = ManualClock.create()
  const vms = MemoryVms.create(clock, 2_000, WORKERS)
  const cell = TestCell.create({ clock, workers: entries, vms, behaviour: () => ({ durationMs: 60_000, end: 'done' }) })
  cell.maintenanceWaves = [WAVE]
  return { cell, vms }
}

test('each VM of a wave is maintained once, at most the allowed number at a time, and then the wave is completed', async t => {
  const { cell, vms } = createCell()
  cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => cell.publishedWaveStates.includes('7 completed'), 30_000))
  t.true(WAVE.vmIds.every(id => vms.hasHadMaintenance(id, 7)))
  t.is(vms.peakDownCount, 1)
  t.deepEqual(cell.publishedWaveStates, ['7 active', '7 completed'])
})

test('an order whose answer was lost is treated as applied, and is sent again', async t => {
  const { cell, vms } = createCell()
  let lostAnswers = 0
  vms.shouldLoseAnswer = () => lostAnswers++ < 4
  cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => cell.publishedWaveStates.includes('7 completed'), 40_000))
  t.is(vms.peakDownCount, 1)
  t.true(WAVE.vmIds.every(id => vms.hasHadMaintenance(id, 7)))
})

test('a new leader gives no order until those of its predecessor have arrived, and uses a higher fencing token', async t => {
  const { cell, vms } = createCell()
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => vms.orders.length > 0)
  const ordersBefore = vms.orders.length
  const killedAt = cell.clock.now()
  first.kill()
  cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => vms.orders.length > ordersBefore))
  t.true(cell.clock.now() - killedAt >= 3_000)
  t.true((vms.orders[ordersBefore]?.fencingToken ?? 0) > (vms.orders[0]?.fencingToken ?? 0))
  t.not(vms.orders[ordersBefore]?.holder, vms.orders[0]?.holder)
  t.true(await cell.advanceUntil(() => cell.publishedWaveStates.includes('7 completed'), 40_000))
  t.is(vms.peakDownCount, 1)
})

test('an idle VM is maintained first, and one whose tasks must stay available waits', async t => {
  const { cell, vms } = createCell()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.submit(daemon, [createStep({ count: 2, longRunning: true, maxPerWorker: 1, maxUnavailable: 1, need: { milliCores: 3_000, memoryMb: 1, accelerators: 0 } })])
  await cell.advanceUntil(() => cell.workers.all().filter(worker => worker.runningTasks().length > 0).length === 2)
  const idleWorkerId = cell.workers.all().find(worker => worker.runningTasks().length === 0)?.entry.id
  await cell.advanceUntil(() => vms.orders.length > 0)
  t.is(vms.orders[0]?.vmId, Object.entries(WORKERS).find(([, worker]) => worker === idleWorkerId)?.[0])
  // No run reaches 100 percent here, so all tasks count as unavailable and none may be interrupted.
  await cell.clock.advance(20_000)
  t.is(new Set(vms.orders.map(({ vmId }) => vmId)).size, 1)
})
