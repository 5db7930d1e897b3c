import test from 'ava'
import { decodeJob, encodeJob, termsOf } from '../jobRecord.js'
import { TestCell, createOddValues, createQueue, createStep } from '../testing/index.js'
import type { JobRecord } from '../jobRecord.js'

const QUEUE = createQueue({ name: 'statements', maxAttempts: 3 })
const ADVICE = { decisionMs: 20, perWorkerMs: 1, validityMs: 2_500 }

/** Returns a cell whose next daemon doesn't know the queue of the job that is running. */
async function createCellAfterRestart ({ end }: { readonly end: 'done' | 'failed' }) {
  const cell = TestCell.create({ queues: [QUEUE], behaviour: () => ({ durationMs: 500, end }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(first, [createStep(), createStep({ after: [0] }), createStep({ after: [1] })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  first.kill()
  cell.publishQueues([createQueue()])
  cell.startDaemon('d2')
  return { cell, jobId }
}

// Guards against LOST: daemons that started after a queue had been dropped from the configuration never started its jobs' remaining steps.
test('jobs of a dropped queue are completed by daemons that have never seen the queue', async t => {
  const { cell, jobId } = await createCellAfterRestart({ end: 'done' })
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 30_000))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against tasks that are started without end: the number of attempts is the dropped queue's.
test('a job of a dropped queue fails after as many attempts as the queue allowed', async t => {
  const { cell, jobId } = await createCellAfterRestart({ end: 'failed' })
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'failed', 30_000))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST: the terms must survive the store, and odd ones must not make the job unreadable.
test('the row of a job keeps the terms of its queue, and is read without them if they are odd', t => {
  for (const queue of [QUEUE, createQueue({ advice: ADVICE })]) {
    const record: JobRecord = { queue: queue.name, service: queue.service, terms: termsOf(queue), spec: { steps: [createStep()] }, admittedAtMs: 1 }
    const stored = JSON.parse(JSON.stringify(encodeJob(record)))
    t.deepEqual(decodeJob(stored), record)
    for (const [description, odd] of createOddValues()) {
      const { terms, ...others } = record
      if (!Array.isArray(odd)) t.deepEqual(decodeJob({ ...stored, terms: odd }), others, description)
    }
    for (const odd of [[], [1, 2, 3], [0, 3, 2, null], [0, 3, 2, 'x']]) t.is(decodeJob({ ...stored, terms: odd })?.terms, undefined)
  }
})
