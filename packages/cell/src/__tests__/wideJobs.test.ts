import test from 'ava'
import { MAX_FINISHED_RUNS_LISTED, TABLES } from '../constants.js'
import { leaderPartitionName, leaderPartitionOf } from '../jobs.js'
import { TestCell, createQueue, createStep, createWorkerEntry } from '../testing/index.js'

/** The platform's `row_bytes`, in bytes of the value before base64. */
const ROW_BYTES = 65_536

const URGENT = createQueue({ name: 'urgent', priority: 0 })
const BULK = createQueue({ name: 'bulk', priority: 1, pathPrefix: '/bulk/' })

/** A cell whose store rejects rows that are too large, as the platform's does. */
function createCell () {
  const workers = ['w1', 'w2'].map(id => createWorkerEntry(id, { capacity: { milliCores: 100_000, memoryMb: 100_000, accelerators: 0 } }))
  const cell = TestCell.create({ workers, queues: [BULK, URGENT], behaviour: () => ({ durationMs: 50, end: 'done' }) })
  cell.store.writeFault = tx => tx.puts.some(({ value }) => JSON.stringify(value).length > ROW_BYTES) ? { kind: 'rejected' } : undefined
  const daemon = cell.startDaemon('d1')
  const progressRows = (jobId: string) => cell.store.keys(TABLES.progress, leaderPartitionName(leaderPartitionOf(jobId))).filter(key => key.startsWith(jobId))
  return { cell, daemon, progressRows }
}

// Guards against LOST (issue 58, review/8): the progress of a job of 7 steps of 10,000 tasks outgrew its row, and no end of any job was acknowledged.
test('a job of 70,000 tasks does not keep other jobs from ending', async t => {
  const { cell, daemon } = createCell()
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const steps = Array.from({ length: 7 }, (_, step) => createStep({ count: 10_000, after: step === 0 ? [] : [step - 1] }))
  const wide = await cell.submit(daemon, steps)
  await cell.advanceUntil(() => cell.audit.startsOf(wide).length > 20)
  const small: string[] = []
  for (let index = 0; index < 8; index++) {
    await cell.clock.advance(1_000)
    small.push(await cell.submit(daemon, [createStep()], cell.newJobId(), URGENT))
  }
  await cell.clock.advance(1_500)
  t.deepEqual(small.map(jobId => cell.leader()?.stateOf(jobId)), small.map(() => 'completed'))
  t.true(cell.audit.startsOf(wide).length > 100)
  // A worker lists no more ends than this, so that it isn't used any more once as many wait.
  t.true(cell.workers.all().every(worker => worker.endedTasks().length < MAX_FINISHED_RUNS_LISTED))
  t.deepEqual(cell.audit.violations, [])
})

test('a job of several rows goes on under a new leader, and its rows are removed after its end', async t => {
  const { cell, daemon, progressRows } = createCell()
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const wide = await cell.submit(daemon, [createStep({ count: 4_000 }), createStep({ count: 40, after: [0] })])
  await cell.advanceUntil(() => cell.audit.startsOf(wide).length > 1_500)
  t.true(progressRows(wide).length > 1)
  daemon.kill()
  cell.startDaemon('d2')
  await cell.advanceUntil(() => cell.leader()?.stateOf(wide) === 'completed', 30_000)
  t.is(cell.audit.startsOf(wide).length, 4_040)
  t.deepEqual(cell.audit.violations, [])
  await cell.clock.advance(10_000)
  t.deepEqual(progressRows(wide).filter(key => key !== wide), [])
})

test('a job whose progress was stored in one row by an earlier version goes on, in several rows', async t => {
  const { cell, daemon, progressRows } = createCell()
  daemon.kill()
  const jobId = cell.newJobId()
  const steps = [createStep({ count: 200 }), createStep({ count: 200, after: [0] })]
  cell.audit.expectJob(jobId, { payload: `payload of ${jobId}`, steps })
  for (let index = 0; index < 200; index++) cell.audit.recordFinish('w9', { jobId, occurrence: 0, step: 0, index }, 1, 'done')
  const second = cell.startDaemon('d2')
  cell.store.put(TABLES.progress, leaderPartitionName(leaderPartitionOf(jobId)), jobId, { occurrences: { 0: [{ done: '1'.repeat(200) }, { done: '0'.repeat(100) + '1'.repeat(100) }] } })
  await cell.submit(second, steps, jobId)
  await cell.advanceUntil(() => progressRows(jobId).length > 2)
  second.kill()
  cell.startDaemon('d3')
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 30_000))
  t.is(cell.audit.startsOf(jobId).length, 100)
  t.deepEqual(cell.audit.violations, [])
})
