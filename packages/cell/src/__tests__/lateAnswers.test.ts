import test from 'ava'
import { TestCell, createStep, createWorkerEntry } from '../testing/index.js'
import type { CommandFault, MemoryWorker } from '../testing/index.js'

const SMALL = { milliCores: 2_000, memoryMb: 16_000, accelerators: 0 }
/** Time within which a task starts elsewhere once its worker does not answer: the lease, and the wait for late answers. */
const RESTART_MS = 10_000

/** A cell whose tasks start on w1, the worker with less free capacity, while it can be reached. */
async function createCell (durationMs: number) {
  const cell = TestCell.create({
    workers: [createWorkerEntry('w1', { capacity: SMALL }), createWorkerEntry('w2')], behaviour: () => ({ durationMs, end: 'done' })
  })
  const [worker, other] = cell.workers.all()
  if (worker === undefined || other === undefined) throw new Error('no workers')
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  return { cell, worker, other, daemon }
}

function answerLate (worker: MemoryWorker, afterMs: number) {
  worker.fault = (): CommandFault => ({ kind: 'answer-late', afterMs })
}

// Guards against TWICE: answers that came later than 0.9 s were thrown away, so that a task was started again although its worker had listed its end.
test('a task whose end is listed in answers that come late is not started again', async t => {
  const { cell, worker, daemon } = await createCell(2_000)
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  answerLate(worker, 2_500)
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 6_000))
  await cell.clock.advance(RESTART_MS)
  t.deepEqual(cell.audit.violations, [])
})

// Guards against TWICE: the task was started again when its lease had ended, while the answer that lists its end was on its way.
test('a task is not started again while a late report from before the end of its lease may arrive', async t => {
  const { cell, worker, daemon } = await createCell(3_600)
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  answerLate(worker, 2_200)
  await cell.clock.advance(3_000)
  answerLate(worker, 3_500)
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', RESTART_MS))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST: waiting for late answers must end.
test('a task on a worker that does not answer is started elsewhere in time', async t => {
  const { cell, worker, other, daemon } = await createCell(60_000)
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  await cell.clock.advance(3_000)
  worker.isCutOff = true
  t.true(await cell.advanceUntil(() => other.runningTasks().length === 1, RESTART_MS))
  t.deepEqual(cell.audit.violations, [])
})
