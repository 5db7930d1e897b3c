import test from 'ava'
import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import { TABLES } from '../constants.js'
import { admissionPartitionOf } from '../jobs.js'
import { encodeJob, termsOf } from '../jobRecord.js'
import { TestCell, createStep } from '../testing/index.js'

const BUDGET_MB = 0.25
const BUDGET_BYTES = BUDGET_MB * 1024 * 1024
const JOBS = 400
const TASK_MS = 100

/** A cell in whose store a version without a limit has left many more jobs than a leader has memory for. */
function createFullCell () {
  const cell = TestCell.create({ jobMemoryMb: BUDGET_MB, behaviour: () => ({ durationMs: TASK_MS, end: 'done' }) })
  const steps = [createStep()]
  const queue = cell.queue()
  const jobIds = Array.from({ length: JOBS }, () => cell.newJobId())
  for (const jobId of jobIds) {
    const payload = `payload of ${jobId}`
    cell.audit.expectJob(jobId, { payload, steps })
    const partition = admissionPartitionOf(jobId)
    cell.store.put(TABLES.jobs, partition, jobId, encodeJob({ queue: queue.name, service: queue.service, terms: termsOf(queue), spec: { steps }, admittedAtMs: 0 }))
    cell.store.put(TABLES.payloads, partition, jobId, { payload })
  }
  return { cell, jobIds }
}

// Guards against LOST (issue 58, review/9): jobs that were accepted before ended each leader that read them.
test('a leader holds no more jobs than it has memory for, and runs all in the end, also under a successor', async t => {
  const { cell, jobIds } = createFullCell()
  const first = cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => cell.leader()?.pendingOf(cell.queue().name) !== undefined))
  const freeBytes = () => cell.leader()?.roomFor(cell.queue().name)?.cellBytes ?? 0
  t.true(freeBytes() >= -0.3 * BUDGET_BYTES)
  t.true((cell.leader()?.pendingOf(cell.queue().name) ?? 0) > JOBS - 20)
  await cell.clock.advance(3_000)
  first.kill()
  cell.startDaemon('d2')
  const last = jobIds[JOBS - 1] ?? ''
  t.false(cell.audit.hasStarted(last))
  t.true(await cell.advanceUntil(() => jobIds.every(jobId => cell.audit.isDone({ jobId, occurrence: 0, step: 0, index: 0 })), 40_000))
  t.true(freeBytes() >= -0.3 * BUDGET_BYTES)
  t.deepEqual(cell.audit.violations, [])
})

test('a job that waits in the store is shown as queued, and can be cancelled', async t => {
  const { cell, jobIds } = createFullCell()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader()?.pendingOf(cell.queue().name) !== undefined)
  const last = jobIds[JOBS - 1] ?? ''
  t.is(cell.leader()?.stateOf(last), 'queued')
  const cancelled = await cell.advanceUntilSettled(daemon.jobs.cancel(last, 3_000))
  t.true(cancelled.ok && cancelled.val === 'cancelled')
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(last) === 'cancelled', 5_000))
  t.false(cell.audit.hasStarted(last))
})

// Guards against LOST: the first jobs that wait in the store were read until their partition answered, and no others meanwhile.
test('jobs of a partition that does not answer do not keep others from being loaded', async t => {
  const { cell, jobIds } = createFullCell()
  const isDone = (jobId: string) => cell.audit.isDone({ jobId, occurrence: 0, step: 0, index: 0 })
  cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => cell.leader()?.pendingOf(cell.queue().name) !== undefined))
  const partition = admissionPartitionOf(jobIds[JOBS - 1] ?? '')
  let isAnswering = false
  const range = cell.store.range.bind(cell.store)
  cell.store.range = async (query, timeoutMs) => {
    if (isAnswering || query.partition !== partition) return range(query, timeoutMs)
    await cell.clock.sleep(timeoutMs)
    return Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
  }
  const others = jobIds.filter(jobId => admissionPartitionOf(jobId) !== partition)
  const since = cell.clock.now()
  const areDone = await cell.advanceUntil(() => others.every(isDone), 40_000)
  t.log(`after ${cell.clock.now() - since} ms, ${others.filter(jobId => !isDone(jobId)).length} of ${others.length} wait`)
  t.true(areDone)
  isAnswering = true
  t.true(await cell.advanceUntil(() => jobIds.every(isDone), 20_000))
  t.deepEqual(cell.audit.violations, [])
})
