import test from 'ava'
import type { ExecutionContext } from 'ava'
import { TestCell, createStep, createWorkerEntry } from '../testing/index.js'

/** Longest time for which a lasting task may have no run while there is capacity for it, in milliseconds: 6 s after its last run and 3 s on end. */
const MAX_WAIT_MS = 9_000
const RUN_MS = 300
const FILLER_NEED = { milliCores: 4_000, memoryMb: 1_000, accelerators: 0 }

/** A cell with two workers of the label b, one of which is full of a lasting job, and others of another label. */
async function createCell () {
  const cell = TestCell.create({
    workers: [createWorkerEntry('w1', { labels: ['b', 'r1'] }), createWorkerEntry('w2', { labels: ['b', 'r1'] }), createWorkerEntry('w3')],
    behaviour: ({ jobId }) => ({ durationMs: jobId === fillerId ? 100_000 : RUN_MS, end: 'done' })
  })
  const fillerId = cell.newJobId()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.submit(daemon, [createStep({ need: FILLER_NEED, requiredLabel: 'b', longRunning: true })], fillerId)
  await cell.advanceUntil(() => cell.audit.hasStarted(fillerId))
  const free = cell.workers.all().find(worker => worker.entry.labels.includes('b') && worker.runningTasks().length === 0)
  if (free === undefined) throw new Error('no free worker')
  return { cell, daemon, free }
}

async function completesOnceSound (t: ExecutionContext, { cell, daemon, free }: Awaited<ReturnType<typeof createCell>>, step: Parameters<typeof createStep>[0]) {
  free.failsEverything = true
  const jobId = await cell.submit(daemon, [createStep({ requiredLabel: 'b', ...step })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  await cell.clock.advance(RUN_MS + 300)
  free.failsEverything = false
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', MAX_WAIT_MS + RUN_MS))
  t.deepEqual(cell.audit.violations, [])
}

// Guards against LOST: a task that had failed once on the only worker with room waited for one that was full for good (review/4).
test('a task that has failed on the only worker with room starts there again', async t => {
  await completesOnceSound(t, await createCell(), {})
})

// Guards against LOST: a gang that needs more workers than those on which none of its runs has failed never started again.
test('a gang that has failed on a worker that it needs starts there again', async t => {
  await completesOnceSound(t, await createCell(), { count: 2, gang: true })
})

// Guards against LOST: the same, for a task whose run made no progress for a while.
test('a task that has stalled on the only worker with room starts there again', async t => {
  const { cell, daemon, free } = await createCell()
  free.isStalled = true
  const jobId = await cell.submit(daemon, [createStep({ requiredLabel: 'b' })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  t.true(await cell.advanceUntil(() => free.runningTasks().length === 0, 6_000), 'the stalled run is stopped')
  free.isStalled = false
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', MAX_WAIT_MS + RUN_MS))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against the opposite: a task would use up its attempts on a worker that keeps failing, although another has room soon.
test('a task that has failed on a worker waits for another one that gets room shortly', async t => {
  const { cell, daemon, free } = await createCell()
  const [full] = cell.workers.all().filter(worker => worker !== free && worker.entry.labels.includes('b'))
  free.failsEverything = true
  const jobId = await cell.submit(daemon, [createStep({ requiredLabel: 'b' })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  await cell.clock.advance(RUN_MS + 1_000)
  const filler = full?.runningTasks()[0]?.split('.')[0] ?? ''
  await cell.advanceUntilSettled(daemon.jobs.cancel(filler, 2_000))
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 3_000), 'its second run is on the other worker')
  t.deepEqual(cell.audit.violations, [])
})
