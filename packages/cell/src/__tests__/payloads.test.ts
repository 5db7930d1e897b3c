import test from 'ava'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import { TABLES } from '../constants.js'
import { admissionPartitionOf } from '../jobs.js'
import { encodeJob, termsOf } from '../jobRecord.js'
import { TestCell, createStep } from '../testing/index.js'

/** Time for which no job may wait beside free workers, in milliseconds. */
const MAX_WAIT_MS = 3_000
/** More jobs of one partition than payloads are read at a time. */
const JOBS_OF_A_PARTITION = 20

/** A cell whose leader learns of a job from the store alone, as after a change of leaders. Returns once it is read. */
async function createCell (prepare: (cell: TestCell) => void) {
  const cell = TestCell.create()
  const steps = [createStep()]
  const queue = cell.queue()
  cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader()?.pendingOf(queue.name) !== undefined)
  const admit = (jobId: string) => {
    const payload = `payload of ${jobId}`
    cell.audit.expectJob(jobId, { payload, steps })
    const partition = admissionPartitionOf(jobId)
    cell.store.put(TABLES.jobs, partition, jobId, encodeJob({ queue: queue.name, service: queue.service, terms: termsOf(queue), spec: { steps }, admittedAtMs: cell.clock.date().getTime() }))
    cell.store.put(TABLES.payloads, partition, jobId, { payload })
    return jobId
  }
  const areRead = (jobIds: readonly string[]) => cell.advanceUntil(() => jobIds.every(jobId => cell.leader()?.stateOf(jobId) !== undefined))
  prepare(cell)
  return { cell, admit, areRead }
}

/** By its kind, what happens to the first read of payloads. */
const FAULTS: Readonly<Record<string, (cell: TestCell) => void>> = {
  'finds no row': cell => {
    const range = cell.store.range.bind(cell.store)
    let reads = 0
    cell.store.range = (query, timeoutMs) => query.table === TABLES.payloads && reads++ === 0 ? Promise.resolve(Ok({ rows: [], hasMore: false, version: 0 })) : range(query, timeoutMs)
  },
  throws: cell => {
    let reads = 0
    cell.beforeLeaderCall = async (_daemon, table) => {
      if (table === TABLES.payloads && reads++ === 0) throw new Error('unforeseen')
    }
  }
}

for (const [fault, prepare] of Object.entries(FAULTS)) {
  // Guards against LOST: a leader asked for the payload of a job once, so that the job waited until the next change of leaders.
  test(`a job starts although the first read of its payload ${fault}`, async t => {
    const { cell, admit, areRead } = await createCell(prepare)
    const jobId = admit(cell.newJobId())
    t.true(await areRead([jobId]))
    t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId), MAX_WAIT_MS))
    t.deepEqual(cell.audit.violations, [])
  })
}

// Guards against LOST: reads of a partition that does not answer were repeated until it did, and kept the payloads of all other jobs from being read.
test('jobs of a partition that does not answer do not keep the payloads of others from being read', async t => {
  let isAnswering = false
  const ofPartition = (index: number) => (64 * index).toString(16).padStart(16, '0')
  const partition = admissionPartitionOf(ofPartition(0))
  const { cell, admit, areRead } = await createCell(({ store, clock }) => {
    const range = store.range.bind(store)
    store.range = async (query, timeoutMs) => {
      if (isAnswering || query.table !== TABLES.payloads || query.partition !== partition) return range(query, timeoutMs)
      await clock.sleep(timeoutMs)
      return Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
    }
  })
  const unread = Array.from({ length: JOBS_OF_A_PARTITION }, (_, index) => admit(ofPartition(index)))
  const other = admit('0000000000000001')
  t.true(await areRead([...unread, other]))
  const since = cell.clock.now()
  const hasStarted = await cell.advanceUntil(() => cell.audit.hasStarted(other), MAX_WAIT_MS)
  t.log(`after ${cell.clock.now() - since} ms`)
  t.true(hasStarted)
  isAnswering = true
  t.true(await cell.advanceUntil(() => unread.every(jobId => cell.audit.hasStarted(jobId))))
  t.deepEqual(cell.audit.violations, [])
})
