import test from 'ava'
import { Err } from '@citronnotch/base/result'
import { Failure } from '@citronnotch/base/errors'
import { TestCell, createStep, createWorkerEntry } from '../testing/index.js'

// Guards against LOST: one registry entry whose client can't be created ended the registry loop of every leader, and no job ran.
test('an entry that no client can be created for does not keep the other workers from being used', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')] })
  cell.setRegistry([createWorkerEntry('unusable-0'), createWorkerEntry('w1'), createWorkerEntry('unusable-9')])
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 5_000))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST and DRAIN: an entry that came later stopped the leader in office from seeing changes of the others.
test('an unusable entry that appears later does not hide changes of the other workers', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1'), createWorkerEntry('w2')] })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  cell.setRegistry([createWorkerEntry('unusable-0'), createWorkerEntry('w1'), createWorkerEntry('w2')])
  await cell.clock.advance(1_000)
  cell.setRegistry([createWorkerEntry('unusable-0'), createWorkerEntry('w1', { state: 'draining' }), createWorkerEntry('w2')])
  await cell.clock.advance(2_500)
  const jobId = await cell.submit(daemon, [createStep({ count: 2 })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId), 1_000)
  const [drainingWorker] = cell.workers.all()
  t.deepEqual(drainingWorker?.runningTasks(), [])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 5_000))
})

// Guards against LOST: a failure that nobody had foreseen ended a loop of the leader for good, while it went on leading.
test('the registry is read again after a read that throws', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')] })
  let reads = 0
  cell.beforeRegistryRead = () => {
    if (++reads <= 2) throw new Error('unforeseen')
    return reads === 3 ? Err(Failure.notRun('store-unavailable', 'The store is unavailable.')) : undefined
  }
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 5_000))
})
