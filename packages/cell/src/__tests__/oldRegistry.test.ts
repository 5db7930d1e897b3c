import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import test from 'ava'
import { DRAIN_MS, TestCell, createStep, createWorkerEntry } from '../testing/index.js'

const REGISTRY_READ_MS = 1_000

// Guards against DRAIN: a leader whose reads of the registry failed went on starting tasks on workers that had begun to drain.
test('a leader that can not read the worker registry starts nothing once a worker may have been draining for too long', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 300, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(REGISTRY_READ_MS)
  cell.beforeRegistryRead = () => Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
  cell.setRegistry([createWorkerEntry('w1', { state: 'draining' })])
  const before = await cell.submit(daemon, [createStep()])
  await cell.clock.advance(DRAIN_MS)
  t.true(cell.audit.hasStarted(before), 'a single failed read holds up nothing')
  const after = await cell.submit(daemon, [createStep()])
  await cell.clock.advance(DRAIN_MS)
  t.false(cell.audit.hasStarted(after))
  cell.beforeRegistryRead = () => undefined
  cell.setRegistry([createWorkerEntry('w1'), createWorkerEntry('w2')])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(after) === 'completed'))
  t.deepEqual(cell.audit.violations, [])
})
