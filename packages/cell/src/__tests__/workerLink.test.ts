import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { TestCell, createJob, createWorkerEntry, createStep } from '../testing/index.js'
import { createSilentLinks } from '../testing/silentWorkers.js'

test('leases are extended while the store refuses the result of a finished run', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: ({ index }) => ({ durationMs: index === 0 ? 300 : 9_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ count: 2 })])
  t.true(await cell.advanceUntil(() => cell.workers.all()[0]?.runningTasks().length === 2))
  cell.store.writeFault = tx => tx.puts.some(({ table }) => table === 'progress') ? { kind: 'refused' } : undefined
  await cell.clock.advance(8_000)
  t.deepEqual(cell.workers.all()[0]?.runningTasks(), [`${jobId}.0.0.1`], 'the 5 s lease has been extended')
  cell.store.writeFault = () => undefined
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 2_500))
  t.deepEqual(cell.audit.violations, [])
})

test('runs that finish shortly after one another are all processed without delay', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: ({ index }) => ({ durationMs: 300 + 60 * index, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ count: 4 })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 600), 'the last task finishes 480 ms after its start')
})

test('a heartbeat whose answer is lost does not delay new work on the worker', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 200, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(2_000)
  const [worker] = cell.workers.all()
  if (worker === undefined) throw new Error('no worker')
  let heartbeats = 0
  worker.fault = command => command === 'hold' && heartbeats++ === 0 ? { kind: 'applied-late', afterMs: 5_000 } : undefined
  await cell.advanceUntil(() => heartbeats > 0)
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 1_300), 'the heartbeat is sent again after 0.95 s')
  await cell.clock.advance(6_000)
  t.deepEqual(cell.audit.violations, [])
})

// Guards against needless adoptions: each of several unanswered starts raised the fencing token, so that the answers under the tokens before adopted nothing.
test('starts that are not answered raise the fencing token once', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 60_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  const [worker] = cell.workers.all()
  if (worker === undefined) throw new Error('no worker')
  const tokens = new Set<number>()
  worker.fault = (command, _task, token) => {
    tokens.add(token)
    return command === 'start' ? { kind: 'answer-lost' } : undefined
  }
  const jobId = await cell.submit(daemon, [createStep({ count: 2 })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  t.true(await cell.advanceUntil(() => tokens.size > 1, 4_000))
  await cell.clock.advance(2_000)
  t.is(tokens.size, 2)
  t.deepEqual(cell.audit.violations, [])
})

// Guards against TWICE: a start is repeated for up to 3.6 s, and its lease can begin when a suspended leader resumes; another leader may have been elected by then.
test('a start is not repeated once the leader may issue no more commands', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')] })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  const [worker] = cell.workers.all()
  if (worker === undefined) throw new Error('no worker')
  const sentWhileLeading: boolean[] = []
  worker.fault = command => {
    if (command !== 'start') return undefined
    sentWhileLeading.push(daemon.lease.isValid())
    return { kind: 'applied-late', afterMs: 60_000 }
  }
  await cell.submit(daemon, [createStep()])
  cell.store.writeFault = ({ partition }) => partition === 'lease' ? { kind: 'refused' } : undefined
  await cell.clock.advance(5_000)
  t.true(sentWhileLeading.length > 2, 'it is repeated while the lease is valid')
  t.false(sentWhileLeading.includes(false))
})

// Guards against LOST (issue 58): an end that could not be stored kept those before it on the worker's list, which shows 500.
test('ends are acknowledged up to the first one that is not stored', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: ({ index }) => ({ durationMs: 100 + 20 * index, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const [worker] = cell.workers.all()
  if (worker === undefined) throw new Error('no worker')
  const stored = await cell.submit(daemon, [createStep()])
  const rejected = await cell.submit(daemon, [createStep({ count: 2 })])
  cell.store.writeFault = tx => tx.puts.some(({ table, key }) => table === 'progress' && key.startsWith(rejected)) ? { kind: 'rejected' } : undefined
  await cell.advanceUntil(() => cell.audit.startsOf(rejected).length === 2)
  await cell.clock.advance(2_000)
  t.is(cell.leader()?.stateOf(stored), 'completed')
  t.deepEqual(worker.endedTasks().map(task => task.split('.')[0]), [rejected, rejected])
})

// Guards against LOST: the end of a run whose start had thrown when it was sent again was held back for good, and all ends of the worker behind it.
test('ends are applied although the repetition of a start has thrown', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: (_task, run) => ({ durationMs: 2_000, end: run === 1 ? 'failed' : 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  const [worker] = cell.workers.all()
  if (worker === undefined) throw new Error('no worker')
  let sent = 0
  worker.fault = command => {
    if (command !== 'start' || ++sent > 2) return undefined
    if (sent === 1) return { kind: 'answer-lost' }
    throw new Error('unforeseen')
  }
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => sent === 2))
  const other = await cell.submit(daemon, [createStep()])
  await cell.clock.advance(2_500)
  t.true(await cell.advanceUntil(() => [jobId, other].every(id => cell.audit.startsOf(id).length === 2), 3_000))
  t.true(await cell.advanceUntil(() => [jobId, other].every(id => cell.leader()?.stateOf(id) === 'completed'), 6_000))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST: a stop that had thrown was not repeated, so that the task of a run that made no progress never ran elsewhere.
test('a run that makes no progress is stopped although a stop has thrown', async t => {
  const cell = TestCell.create()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  let stops = 0
  for (const worker of cell.workers.all()) {
    worker.fault = command => {
      if (command === 'stop' && stops++ === 0) throw new Error('unforeseen')
      return undefined
    }
  }
  for (const worker of cell.workers.all()) worker.isStalled = true
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => stops === 1))
  for (const worker of cell.workers.all()) worker.isStalled = worker.runningTasks().length > 0
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 3_000))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST: a start that could not be recorded was never sent nor given up, so that its task and its room waited for good.
test('a start that throws while it is recorded is withdrawn', async t => {
  const clock = ManualClock.create()
  const withdrawn: number[] = []
  const events = { startPlanned: async () => { throw new Error('unforeseen') }, startRefused: (_link: unknown, { number }: { readonly number: number }) => withdrawn.push(number) }
  const [link] = createSilentLinks({ count: 1, capacity: createWorkerEntry('w0').capacity, clock, events: events as never })
  const task = createJob({ jobId: '00000000000000aa', steps: [createStep()] }).task({ jobId: '00000000000000aa', occurrence: 0, step: 0, index: 0 })
  if (link === undefined || task === undefined) throw new Error('there is no link or no task')
  link.start(task, 1, 'payload', '')
  await clock.advance(10)
  t.deepEqual(withdrawn, [1])
  t.is(link.runs.size, 0)
  t.true(task.isWaiting())
})
