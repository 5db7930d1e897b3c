import test from 'ava'
import { TestCell, createWorkerEntry, createStep } from '../testing/index.js'

const HALF_WORKER = { milliCores: 2_000, memoryMb: 1_000, accelerators: 0 }

test('tasks on idle capacity take no processor time from others and avoid workers that run tasks with a latency target', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 20_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const latencyJob = await cell.submit(daemon, [createStep({ need: HALF_WORKER, longRunning: true, latencyTargetMs: 50 })])
  await cell.advanceUntil(() => cell.audit.hasStarted(latencyJob))
  await cell.submit(daemon, [createStep({ count: 3, need: { ...HALF_WORKER, milliCores: 3_000 }, usesIdleCapacity: true })])
  await cell.clock.advance(1_000)
  const [latencyWorker, otherWorker] = [...cell.workers.all()].sort((a, b) => Number(isOn(b.runningTasks(), latencyJob)) - Number(isOn(a.runningTasks(), latencyJob)))
  t.is(latencyWorker?.runningTasks().length, 1)
  t.is(otherWorker?.runningTasks().length, 3)
  t.deepEqual(cell.audit.violations, [])
})

test('a task with a latency target displaces tasks on idle capacity from its worker', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 20_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const idleCapacityJob = await cell.submit(daemon, [createStep({ count: 2, usesIdleCapacity: true })])
  await cell.advanceUntil(() => cell.audit.hasStarted(idleCapacityJob))
  const latencyJob = await cell.submit(daemon, [createStep({ need: HALF_WORKER, longRunning: true, latencyTargetMs: 50 })])
  await cell.clock.advance(1_000)
  const [worker] = cell.workers.all()
  t.deepEqual(worker?.runningTasks().map(task => task.split('.')[0]), [latencyJob])
  t.deepEqual(cell.audit.violations, [])
})

function isOn (tasks: readonly string[], jobId: string): boolean {
  return tasks.some(task => task.startsWith(jobId))
}
