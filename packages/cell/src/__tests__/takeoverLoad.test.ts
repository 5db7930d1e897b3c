import test from 'ava'
import { CallWindow, LOAD_WINDOW } from '../callWindow.js'
import { TABLES } from '../constants.js'
import { encodeJob } from '../jobRecord.js'
import { admissionPartitionOf, leaderPartitionName, leaderPartitionOf } from '../jobs.js'
import { TestCell, createJob, createWorkerEntry, createStep } from '../testing/index.js'

/** 2 Mbit/s. */
const NARROW_BYTES_PER_SECOND = 250_000
/** 10 Mbit/s. */
const REGIONAL_BYTES_PER_SECOND = 1_250_000

test('takeover with a large backlog over a narrow link: loading the state does not delay the lease renewals, so that one epoch is enough', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], minPayloadLength: 4_000, behaviour: () => ({ durationMs: 60_000, end: 'done' }) })
  const first = cell.startDaemon('a')
  t.true(await cell.advanceUntil(() => first.leader()?.pendingOf('renewals') !== undefined))
  for (let i = 0; i < 600; i++) await cell.submit(first, [createStep({ count: 4 })])
  first.kill()
  const second = cell.startDaemon('b', 'b:1', NARROW_BYTES_PER_SECOND)
  const isLoaded = () => second.leader()?.pendingOf('renewals') !== undefined
  // The live state takes two seconds to transfer, in addition to the takeover itself.
  t.true(await cell.advanceUntil(isLoaded, 8_000), 'the state is not loaded')
  for (let elapsedMs = 0; elapsedMs < 5_000; elapsedMs += 100) {
    await cell.clock.advance(100)
    t.true(second.lease.isValid(), `the lease has expired ${elapsedMs} ms after the state was loaded`)
  }
  t.is(cell.store.get('leader', 'lease', 'lease')?.value && (cell.store.get('leader', 'lease', 'lease')?.value as { epoch: number }).epoch, 2)
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST: a leader read the same changes of jobs again and again, more of them each time, as they took longer to transfer than a read may.
test('a leader finds the jobs that others have admitted although their rows do not fit through its link within the time of one read', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 60_000, end: 'done' }) })
  const daemon = cell.startDaemon('a', 'a:1', REGIONAL_BYTES_PER_SECOND)
  t.true(await cell.advanceUntil(() => daemon.leader()?.pendingOf('renewals') !== undefined))
  // 1,500 rows of 1.1 KB, 2.4 MB on the wire, take 1.9 s.
  const ids = Array.from({ length: 1_500 }, () => cell.newJobId())
  for (const jobId of ids) cell.store.put(TABLES.jobs, admissionPartitionOf(jobId), jobId, encodeJob(createJob({ jobId, steps: Array.from({ length: 10 }, () => createStep()) }).record))
  const known = () => ids.filter(id => daemon.leader()?.stateOf(id) !== undefined).length
  await cell.advanceUntil(() => known() === ids.length, 20_000)
  t.is(known(), ids.length)
  t.is(cell.store.get('leader', 'lease', 'lease')?.value && (cell.store.get('leader', 'lease', 'lease')?.value as { epoch: number }).epoch, 1)
})

// Guards against LOST: the reads of a new leader were repeated while they filled its link, so that all of them failed, again and again.
test('takeover with large progress rows over a narrow link: the state is loaded within twice the time of its transfer', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 60_000, end: 'done' }) })
  putJobsWithProgress(cell, 2_000, 5_000)
  const daemon = cell.startDaemon('a', 'a:1', REGIONAL_BYTES_PER_SECOND)
  // 17 MB on the wire take 14 s.
  t.true(await cell.advanceUntil(() => daemon.leader()?.pendingOf('renewals') !== undefined, 28_000))
})

test('takeover with a large backlog: ended jobs are not loaded, and a repeated submission of one is still recognised', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 50, end: 'done' }) })
  const daemon = cell.startDaemon('a')
  t.true(await cell.advanceUntil(() => daemon.leader()?.pendingOf('renewals') !== undefined))
  const ids: string[] = []
  for (let i = 0; i < 40; i++) ids.push(await cell.submit(daemon, [createStep()]))
  const stateOf = async (id: string) => (await cell.advanceUntilSettled(daemon.jobs.stateOf(id, 3_000))).unwrap()
  t.true(await cell.advanceUntil(() => ids.every(id => cell.store.get('ended', admissionPartitionOf(id), id) !== undefined)), 'the jobs are not moved to the ended table')
  for (const id of ids) {
    const partition = admissionPartitionOf(id)
    t.is(cell.store.get('jobs', partition, id), undefined)
    t.is(cell.store.get('payloads', partition, id), undefined)
  }
  daemon.kill()
  const second = cell.startDaemon('b')
  t.true(await cell.advanceUntil(() => second.leader()?.pendingOf('renewals') !== undefined))
  const [id] = ids as [string]
  t.is(await stateOf(id), 'completed')
  const repeated = await cell.advanceUntilSettled(second.jobs.submit(id, cell.queue(), { payload: `payload of ${id}`, steps: [createStep()] }, 3_000))
  t.is(repeated.unwrap(), 'known')
  await cell.clock.advance(2_000)
  t.deepEqual(cell.audit.violations, [])
})

test('takeover over a congested link: slow answers to the reads of one window halve the window only once, and fast answers let it grow again', t => {
  const window = CallWindow.create(LOAD_WINDOW)
  const before = window.size()
  for (let i = 0; i < before; i++) window.recordSent()
  t.false(window.hasCapacity())
  for (let i = 0; i < before; i++) window.recordAnswer(true, 2_000)
  t.is(window.size(), before / 2, 'slow answers to reads of one window halve it once')
  for (let i = 0; i < 4; i++) {
    window.recordSent()
    window.recordAnswer(true, 20)
  }
  t.is(window.size(), before / 2 + 4)
  window.recordSent()
  window.recordAnswer(false, 4_000)
  t.true(window.size() < before / 2)
})

/** Puts live jobs of one task into the store, each with a progress row of about `progressBytes`. */
function putJobsWithProgress (cell: TestCell, count: number, progressBytes: number) {
  for (let i = 0; i < count; i++) {
    const jobId = cell.newJobId()
    cell.store.put(TABLES.jobs, admissionPartitionOf(jobId), jobId, encodeJob(createJob({ jobId, steps: [createStep()] }).record))
    cell.store.put(TABLES.progress, leaderPartitionName(leaderPartitionOf(jobId)), jobId, { occurrences: { 0: [{ done: '0', checkpoints: { 0: '.'.repeat(progressBytes) } }] } })
  }
}
