import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import test from 'ava'
import { TestCell, createQueue, createStep, createWorkerEntry } from '../testing/index.js'

const URGENT = createQueue({ name: 'urgent', pathPrefix: '/urgent/', priority: 0, slackFactor: 1.5, targetLatencyMs: 500 })
const BATCH = createQueue({ name: 'batch', pathPrefix: '/batch/', priority: 2, slackFactor: 4, targetLatencyMs: 3_000 })
const TASK_MS = 1_000
const BATCH_STEP = createStep({ estimateMs: TASK_MS })
/** More than the only worker can start at once, so that urgent work waits all the time. */
const URGENT_STEP = createStep({ count: 8, estimateMs: 60_000, need: { milliCores: 1_000, memoryMb: 1_000, accelerators: 0 } })
const BATCH_OBJECTIVE_MS = 4 * TASK_MS + 3_000

/** Creates a cell in which urgent work waits, and submits a batch job to it. */
async function createBusyCell () {
  const cell = TestCell.create({ queues: [BATCH, URGENT], workers: [createWorkerEntry('w1', { capacity: { milliCores: 4_000, memoryMb: 16_000, accelerators: 0 } }), createWorkerEntry('w2', { labels: ['b', 'r1'] })], behaviour: task => ({ durationMs: task.jobId === jobId ? 60_000 : TASK_MS, end: 'done' }) })
  const jobId = cell.newJobId()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  cell.isProcessorFull = true
  const spec = { payload: jobId, steps: [{ ...URGENT_STEP, requiredLabel: 'a' }] }
  cell.audit.expectJob(jobId, spec)
  await cell.advanceUntilSettled(daemon.jobs.submit(jobId, URGENT, spec, 3_000))
  const batchId = await cell.submit(daemon, [{ ...BATCH_STEP, requiredLabel: 'b' }])
  const hasStarted = () => cell.workers.all().some(worker => worker.runningTasks().some(task => task.startsWith(batchId)))
  return { cell, batchId, hasStarted }
}

// Guards against too little service of urgent classes at scale (issue 50): a leader without processor time spent it on starts of batch work.
test('leader without processor time: work that can wait is put off while more urgent work waits, and still on time', async t => {
  const { cell, batchId, hasStarted } = await createBusyCell()
  await cell.clock.advance(1_000)
  t.false(hasStarted())
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(batchId) === 'completed', BATCH_OBJECTIVE_MS - 1_000))
})

test('work that was put off starts as soon as there is processor time', async t => {
  const { cell, hasStarted } = await createBusyCell()
  await cell.clock.advance(1_000)
  cell.isProcessorFull = false
  t.true(await cell.advanceUntil(hasStarted, 500))
})

// Guards against SHORT (issue 53): after an outage a leader without processor time started jobs that were late already, and those that had just arrived became late by little.
test('backlog after an outage, leader without processor time: late jobs wait while others are on time, and go on after that', async t => {
  const cell = TestCell.create({ queues: [BATCH, URGENT], workers: [createWorkerEntry('w1'), createWorkerEntry('w2', { labels: ['b', 'r1'] })], behaviour: ({ step }) => ({ durationMs: step === 0 ? TASK_MS : 60_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  // Nothing starts while the registry can't be read.
  cell.beforeRegistryRead = () => Err(Failure.notRun('store-refused', 'The store refuses the call.'))
  await cell.clock.advance(3_000)
  const late = await cell.submit(daemon, [{ ...BATCH_STEP, requiredLabel: 'b' }])
  await cell.clock.advance(BATCH_OBJECTIVE_MS)
  cell.isProcessorFull = true
  const onTimeId = cell.newJobId()
  const spec = { payload: onTimeId, steps: [{ ...URGENT_STEP, requiredLabel: 'a' }] }
  cell.audit.expectJob(onTimeId, spec)
  await cell.advanceUntilSettled(daemon.jobs.submit(onTimeId, URGENT, spec, 3_000))
  cell.beforeRegistryRead = () => undefined
  await cell.clock.advance(TASK_MS)
  t.true(cell.audit.hasStarted(onTimeId))
  t.false(cell.audit.hasStarted(late))
  cell.isProcessorFull = false
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(late), 500))
})

// Guards against SHORT (issue 53): under a leader that was busy all the time, batch work that could wait for some seconds more was started before the most urgent class was on time again.
test('overloaded leader: work of the lowest priority is put off for as long as it can wait', async t => {
  const { cell, hasStarted } = await createBusyCell()
  cell.isProcessorOverloaded = true
  await cell.clock.advance(BATCH_OBJECTIVE_MS - 4 * TASK_MS)
  t.false(hasStarted())
  t.true(await cell.advanceUntil(hasStarted, 2 * TASK_MS))
})
