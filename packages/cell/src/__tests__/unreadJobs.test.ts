import test from 'ava'
import { TABLES, TOKENS_PER_EPOCH } from '../constants.js'
import { admissionPartitionOf } from '../jobs.js'
import { encodeJob, termsOf } from '../jobRecord.js'
import { latestExpiryMs } from '../workerLink.js'
import { TestCell, createStep, createWorkerEntry } from '../testing/index.js'

/** Time for which no job may wait beside free workers, in milliseconds. */
const MAX_WAIT_MS = 3_000
const SHORT_RUN_MS = 100
const LONG_RUN_MS = 60_000

/** Time after which the lease on a run has expired for certain, in milliseconds. */
const LEASE_EXPIRED_MS = latestExpiryMs(5_000)

/** A cell whose second leader leads. `runUnread` runs a job on w1, of a leader before it, that it reads only afterwards. */
async function createCell (earlierRunMs: number) {
  const cell = TestCell.create({
    workers: [createWorkerEntry('w1'), createWorkerEntry('w2')],
    behaviour: (_task, run) => run === 1 ? { durationMs: earlierRunMs, end: 'failed' } : { durationMs: 500, end: 'done' }
  })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  first.kill()
  cell.startDaemon('d2')
  await cell.advanceUntil(() => cell.leader()?.pendingOf(cell.queue().name) !== undefined)
  await cell.clock.advance(2_000)
  const changes = cell.store.changes.bind(cell.store)
  let reads = 0
  let failures = 0
  cell.store.changes = (table, version, waitMs) => {
    if (table !== TABLES.jobs) return changes(table, version, waitMs)
    reads++
    if (failures === 0) return changes(table, version, waitMs)
    failures--
    throw new Error('unforeseen')
  }
  const runUnread = async () => {
    const readsBefore = reads
    await cell.advanceUntil(() => reads > readsBefore)
    const jobId = cell.newJobId()
    const steps = [createStep()]
    const payload = `payload of ${jobId}`
    cell.audit.expectJob(jobId, { payload, steps })
    const worker = cell.workers.all()[0]?.client()
    const start = { task: { jobId, occurrence: 0, step: 0, index: 0 }, run: 1, payload, fencingToken: 2 * TOKENS_PER_EPOCH + 1, leaseUntilMs: cell.clock.now() + 5_000, checkpoint: '', ticket: '' }
    const queue = cell.queue()
    const partition = admissionPartitionOf(jobId)
    cell.store.put(TABLES.jobs, partition, jobId, encodeJob({ queue: queue.name, service: queue.service, terms: termsOf(queue), spec: { steps }, admittedAtMs: cell.clock.date().getTime() }))
    cell.store.put(TABLES.payloads, partition, jobId, { payload })
    const res = worker === undefined ? undefined : await cell.advanceUntilSettled(worker.start(start, 1_000))
    if (res?.ok !== true || !res.val.accepted) throw new Error('the worker has not taken the run')
    return jobId
  }
  return {
    cell,
    runUnread,
    failReads: (count: number) => { failures = count },
    haveReadsFailed: () => failures === 0
  }
}

// Guards against LOST: a job whose run a worker had listed before the leader read it was never started again, once a read of the changes had thrown.
test('a job whose end is listed before the leader reads it is started again after a read of the changes has thrown', async t => {
  const { cell, runUnread, failReads, haveReadsFailed } = await createCell(SHORT_RUN_MS)
  const jobId = await runUnread()
  failReads(2)
  t.true(await cell.advanceUntil(haveReadsFailed))
  t.is(cell.audit.startsOf(jobId).length, 1)
  t.true(await cell.advanceUntil(() => cell.audit.startsOf(jobId).length === 2, MAX_WAIT_MS))
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.violations, [])
})

/** By what becomes of the worker that lists the run. */
const FATES: Readonly<Record<string, (cell: TestCell) => void>> = {
  'is cut off for good': ({ workers }) => { for (const worker of workers.all().slice(0, 1)) worker.isCutOff = true },
  'is gone': cell => {
    cell.workers.all()[0]?.crash()
    cell.setRegistry([createWorkerEntry('w2')])
  },
  'restarts under its id': cell => {
    cell.workers.all()[0]?.restart(2)
    cell.setRegistry([createWorkerEntry('w1', { born: 2 }), createWorkerEntry('w2')])
  },
  'has refused to stop it until then': () => {}
}

for (const [fate, apply] of Object.entries(FATES)) {
  // Guards against LOST: a job is not started while a run that was listed before it was read may be on a worker, and must be after that.
  test(`a job whose run is listed before the leader reads it is started again although its worker ${fate}`, async t => {
    const { cell, runUnread, failReads, haveReadsFailed } = await createCell(LONG_RUN_MS)
    const [worker] = cell.workers.all()
    let stops = 0
    if (worker !== undefined) {
      worker.fault = command => {
        if (command !== 'stop') return undefined
        stops++
        return { kind: 'refused', reason: 'unhealthy' }
      }
    }
    const jobId = await runUnread()
    failReads(2)
    t.true(await cell.advanceUntil(() => stops > 0 && haveReadsFailed()))
    await cell.clock.advance(MAX_WAIT_MS)
    t.is(cell.audit.startsOf(jobId).length, 1)
    if (worker !== undefined) worker.fault = () => undefined
    apply(cell)
    const since = cell.clock.now()
    const isStartedAgain = await cell.advanceUntil(() => cell.audit.startsOf(jobId).length === 2, LEASE_EXPIRED_MS + MAX_WAIT_MS)
    t.log(`after ${cell.clock.now() - since} ms`)
    t.true(isStartedAgain)
    t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
    t.deepEqual(cell.audit.violations, [])
  })
}
