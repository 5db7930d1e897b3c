import test from 'ava'
import { TestCell, createEntry, createStep } from '../testing/index.js'

test('leases are extended while an end can not be stored', async t => {
  const cell = TestCell.create({ workers: [createEntry('w1')], behaviour: ({ index }) => ({ durationMs: index === 0 ? 300 : 9_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.until(() => cell.leader() !== undefined)
  cell.store.writeFault = tx => tx.puts.some(({ table }) => table === 'progress') ? { kind: 'refused' } : undefined
  const jobId = await cell.submit(daemon, [createStep({ count: 2 })])
  await cell.clock.advance(8_000)
  t.deepEqual(cell.workers.all()[0]?.runningTasks(), [`${jobId}.0.0.1`], 'its lease of 5 s has been extended')
  cell.store.writeFault = () => undefined
  t.true(await cell.until(() => cell.leader()?.stateOf(jobId) === 'completed', 2_500))
  t.deepEqual(cell.audit.violations, [])
})

test('an end shortly after another one is seen without a pause', async t => {
  const cell = TestCell.create({ workers: [createEntry('w1')], behaviour: ({ index }) => ({ durationMs: 300 + 60 * index, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.until(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ count: 4 })])
  await cell.until(() => cell.audit.hasStarted(jobId))
  t.true(await cell.until(() => cell.leader()?.stateOf(jobId) === 'completed', 600), 'the last task ends 480 ms after its start')
})
