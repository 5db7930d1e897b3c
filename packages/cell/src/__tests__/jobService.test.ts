import test from 'ava'
import { TestCell, createQueue, createStep } from '../testing/index.js'

const spec = { payload: 'p', steps: [createStep()] }

test('submitting an id again does not create a second job, at any daemon or after a lost answer', async t => {
  const cell = TestCell.create()
  const [first, second] = [cell.startDaemon('d1'), cell.startDaemon('d2')]
  const jobId = cell.newJobId()
  let sent = 0
  cell.store.writeFault = tx => tx.puts.some(({ key }) => key === jobId) && sent++ === 0 ? { kind: 'answer-lost' } : undefined
  const res = await cell.advanceUntilSettled(first.jobs.submit(jobId, createQueue(), spec, 3_000))
  t.true(res.ok)
  t.is((await cell.advanceUntilSettled(second.jobs.submit(jobId, createQueue(), spec, 3_000))).unwrap(), 'known')
  t.is(cell.store.committedTransactions.filter(tx => tx.puts.some(({ table, key }) => table === 'jobs' && key === jobId)).length, 1)
})

test('a submission that the store applies after the job has ended does not start the job again', async t => {
  const cell = TestCell.create()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = cell.newJobId()
  let sent = 0
  cell.store.writeFault = tx => tx.puts.some(({ table, key }) => table === 'jobs' && key === jobId) && sent++ === 0
    ? { kind: 'applied-late', afterMs: 15_000 }
    : undefined
  cell.audit.expectJob(jobId, spec)
  t.true((await cell.advanceUntilSettled(daemon.jobs.submit(jobId, createQueue(), spec, 3_000))).ok)
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  await cell.clock.advance(20_000)
  t.is(cell.leader()?.stateOf(jobId), 'completed')
  t.deepEqual(cell.audit.violations, [])
})

test('a failed submission has the verdict not-run only if no attempt can take effect', async t => {
  const cell = TestCell.create()
  const daemon = cell.startDaemon('d1')
  cell.store.writeFault = () => ({ kind: 'refused' })
  const refused = await cell.advanceUntilSettled(daemon.jobs.submit(cell.newJobId(), createQueue(), spec, 1_000))
  t.is(refused.err && refused.val.verdict, 'not-run')
  cell.store.writeFault = () => ({ kind: 'answer-lost' })
  const lost = await cell.advanceUntilSettled(daemon.jobs.submit(cell.newJobId(), createQueue(), spec, 1_000))
  t.is(lost.err && lost.val.verdict, 'may-have-run')
})

// Guards against a submission that is sent again and again although the store can never take it.
test('a submission that the store rejects fails at once, with the verdict not-run', async t => {
  const cell = TestCell.create()
  const daemon = cell.startDaemon('d1')
  let sent = 0
  cell.store.writeFault = tx => {
    if (!tx.puts.some(({ table }) => table === 'jobs')) return undefined
    sent++
    return { kind: 'rejected' }
  }
  const rejected = await cell.advanceUntilSettled(daemon.jobs.submit(cell.newJobId(), createQueue(), spec, 3_000))
  t.is(rejected.err && rejected.val.code, 'store-rejected')
  t.is(rejected.err && rejected.val.verdict, 'not-run')
  t.is(sent, 1)
})

test('a job that was never submitted is unknown and cannot be cancelled', async t => {
  const cell = TestCell.create()
  const daemon = cell.startDaemon('d1')
  t.is((await cell.advanceUntilSettled(daemon.jobs.stateOf(cell.newJobId(), 1_000))).unwrap(), undefined)
  t.is((await cell.advanceUntilSettled(daemon.jobs.cancel(cell.newJobId(), 1_000))).unwrap(), 'unknown')
})

test('pendingOf counts the jobs of a queue that have started no task', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 60_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  for (let i = 0; i < 5; i++) await cell.submit(daemon, [createStep({ need: { milliCores: 4_000, memoryMb: 1, accelerators: 0 } })])
  await cell.clock.advance(1_000)
  t.is((await cell.advanceUntilSettled(daemon.jobs.pendingOf(createQueue()))).unwrap(), 3)
})

test('a job that completed before its cancellation is never reported as cancelled, even while its outcome is not stored', async t => {
  const cell = TestCell.create()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId)))
  cell.store.writeFault = tx => tx.puts.some(({ table }) => table === 'progress') ? { kind: 'refused' } : undefined
  await cell.clock.advance(1_000)
  const reportedStates = new Set<string | undefined>()
  const res = await cell.advanceUntilSettled(daemon.jobs.cancel(jobId, 3_000))
  t.is(res.unwrap(), 'cancelled')
  reportedStates.add(cell.leader()?.stateOf(jobId))
  cell.store.writeFault = () => undefined
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual([...reportedStates], ['active'])
})

test('a stored cancellation that no leader has processed yet is not reported as an outcome', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 3_000, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(first, [createStep()])
  await cell.clock.advance(500)
  first.kill()
  const second = cell.startDaemon('d2')
  t.is((await cell.advanceUntilSettled(second.jobs.cancel(jobId, 3_000))).unwrap(), 'cancelled')
  t.is((await cell.advanceUntilSettled(second.jobs.stateOf(jobId, 3_000))).unwrap(), 'active')
  t.true(await cell.advanceUntil(() => second.leader()?.stateOf(jobId) === 'cancelled'))
  t.is((await cell.advanceUntilSettled(second.jobs.stateOf(jobId, 3_000))).unwrap(), 'cancelled')
})
