import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import test from 'ava'
import { DRAIN_MS, TestCell, createStep, createWorkerEntry } from '../testing/index.js'

const REGISTRY_READ_MS = 1_000
/** Time after which a read of the registry without an answer fails. */
const READ_TIMEOUT_MS = 900
const OUTAGE_MS = 4_000
/** Time within which a task starts when the registry can be read again: one interval of reads and one of scheduling. */
const RESUME_WITHIN_MS = 400

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

// Guards against late jobs: after an outage of the store, starts waited for a read that was sent during the outage to time out.
test('tasks start soon after the registry can be read again, however long the reads before it wait for an answer', async t => {
  for (const lateMs of [0, 150, 300, 450, 600, 750]) {
    const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 300, end: 'done' }) })
    const daemon = cell.startDaemon('d1')
    await cell.advanceUntil(() => cell.leader() !== undefined)
    await cell.clock.advance(REGISTRY_READ_MS)
    cell.beforeRegistryRead = async () => {
      await cell.clock.sleep(READ_TIMEOUT_MS)
      return Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
    }
    await cell.clock.advance(OUTAGE_MS + lateMs)
    const jobId = await cell.submit(daemon, [createStep()])
    t.false(cell.audit.hasStarted(jobId))
    cell.beforeRegistryRead = () => undefined
    await cell.clock.advance(RESUME_WITHIN_MS)
    t.true(cell.audit.hasStarted(jobId), `outage of ${OUTAGE_MS + lateMs} ms`)
  }
})
