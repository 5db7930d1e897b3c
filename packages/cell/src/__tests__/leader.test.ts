import test from 'ava'
import { TestCell, createWorkerEntry, createQueue, createStep } from '../testing/index.js'
import type { MemoryWorker } from '../testing/index.js'

const HALF_WORKER = { milliCores: 2_000, memoryMb: 1_000, accelerators: 0 }

/** Creates a cell with one daemon, in which one worker runs a task of 30 s. */
async function createCellWithLongTask () {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 30_000, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(first, [createStep({ need: HALF_WORKER })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  const isRunning = (worker: MemoryWorker) => worker.runningTasks().length > 0
  const busyWorker = cell.workers.all().find(isRunning)
  if (busyWorker === undefined) throw new Error('no worker')
  const otherWorkers = cell.workers.all().filter(worker => worker !== busyWorker)
  return { cell, first, busyWorker, startsElsewhere: (limitMs: number) => cell.advanceUntil(() => otherWorkers.some(isRunning), limitMs) }
}

test('the steps of a job run in order, and the outcome is stored before it is reported', async t => {
  const cell = TestCell.create()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ count: 3 }), createStep({ count: 2, after: [0] })])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(await cell.advanceUntilSettled(daemon.jobs.stateOf(jobId, 1_000)).then(res => res.unwrap()), 'completed')
  t.deepEqual(cell.audit.violations, [])
})

test('a new leader keeps the active runs of a killed leader', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 6_000, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const second = cell.startDaemon('d2')
  const jobId = await cell.submit(first, [createStep({ count: 4 })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  first.kill()
  t.true(await cell.advanceUntil(() => second.leader()?.stateOf(jobId) === 'completed', 12_000))
  t.deepEqual(cell.audit.violations, [])
})

test('a daemon that restarts at the address of the leader takes over without waiting for the lease to expire', async t => {
  const cell = TestCell.create()
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  first.kill()
  const restarted = cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => restarted.leader() !== undefined, 200), 'the daemon does not wait for the lease to expire')
})

test('a start command that is applied late, after its answer was lost, runs no task twice', async t => {
  const cell = TestCell.create()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const lateStarts = new Set<string>()
  for (const worker of cell.workers.all()) {
    worker.fault = command => {
      if (command !== 'start' || lateStarts.size >= 6) return undefined
      lateStarts.add(`${lateStarts.size}`)
      return { kind: 'applied-late', afterMs: 2_500 }
    }
  }
  const jobs = [await cell.submit(daemon, [createStep({ count: 2 })]), await cell.submit(daemon, [createStep({ count: 2, gang: true })])]
  t.true(await cell.advanceUntil(() => jobs.every(jobId => cell.leader()?.stateOf(jobId) === 'completed')))
  await cell.clock.advance(10_000)
  t.deepEqual(cell.audit.violations, [])
})

// The first start command is delayed and its repetition refused. A leader that takes the refusal as proof that the task
// does not run starts the task a second time.
test('a delayed start command may still be applied after its repetition was refused', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1'), createWorkerEntry('w2')], behaviour: () => ({ durationMs: 3_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  let starts = 0
  for (const worker of cell.workers.all()) {
    worker.fault = command => {
      if (command !== 'start') return undefined
      starts++
      if (starts === 1) return { kind: 'applied-late', afterMs: 500 }
      return starts === 2 ? { kind: 'refused', reason: 'no-room' } : undefined
    }
  }
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.violations, [])
})

test('tasks of a worker that is cut off start elsewhere only after its lease has expired', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 30_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ count: 2, need: HALF_WORKER })])
  const [firstWorker, secondWorker] = cell.workers.all()
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  const busyWorker = firstWorker?.runningTasks().length === 0 ? secondWorker : firstWorker
  if (busyWorker === undefined) throw new Error('no worker')
  busyWorker.isCutOff = true
  const otherWorkers = cell.workers.all().filter(worker => worker !== busyWorker)
  t.true(await cell.advanceUntil(() => otherWorkers.some(worker => worker.runningTasks().length > 0), 10_000))
  t.deepEqual(cell.audit.violations, [])
})

test('a new leader restarts the tasks of a lost worker when the stored lease expires', async t => {
  const { cell, first, busyWorker, startsElsewhere } = await createCellWithLongTask()
  busyWorker.isCutOff = true
  // A waiting heartbeat is answered up to 0.8 s later, the next one fails after 1.9 s, the lease expiry is due in the roster 0.5 s later, and the roster is checked every 0.7 s.
  await cell.clock.advance(4_000)
  first.kill()
  cell.startDaemon('d1')
  // The lease of 5 s was last extended with that heartbeat. Without the stored expiry, the new leader would wait until 9.3 s after the worker was cut off.
  t.true(await startsElsewhere(2_500))
  t.deepEqual(cell.audit.violations, [])
})

// If the leader extends the leases of a recovered worker while the roster still holds the old expiry, a new leader relies
// on that expiry and starts the task a second time.
test('the leases of a recovered worker are not extended until the roster lists it again', async t => {
  const { cell, first, busyWorker } = await createCellWithLongTask()
  busyWorker.isCutOff = true
  await cell.clock.advance(3_200)
  // The leader can renew its lease but can't store the roster.
  cell.store.writeFault = ({ puts }) => puts.some(({ key }) => key === 'roster') ? { kind: 'refused' } : undefined
  busyWorker.isCutOff = false
  await cell.clock.advance(500)
  first.kill()
  cell.store.writeFault = () => undefined
  busyWorker.isCutOff = true
  const second = cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => second.leader() !== undefined))
  await cell.clock.advance(8_000)
  t.deepEqual(cell.audit.violations, [], 'the new leader relies on the stored expiry of the leases')
})

test('a second takeover within the lease still waits for a worker that the registry no longer lists', async t => {
  const { cell, first, busyWorker, startsElsewhere } = await createCellWithLongTask()
  busyWorker.isCutOff = true
  cell.setRegistry([createWorkerEntry('w1'), createWorkerEntry('w2')].filter(({ id }) => id !== busyWorker.entry.id))
  first.kill()
  const second = cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => second.leader()?.pendingOf('renewals') !== undefined))
  await cell.clock.advance(1_200)
  second.kill()
  cell.startDaemon('d1')
  // The first takeover stored that the lease expires 5.35 s after that takeover. Without the stored expiry, the second takeover would wait the full time again.
  t.true(await startsElsewhere(4_900))
  t.deepEqual(cell.audit.violations, [])
})

test('a worker lost long before a takeover does not delay it, and gets tasks again after it has recovered', async t => {
  const cell = TestCell.create()
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const other = cell.startDaemon('d2')
  const [, lostWorker] = cell.workers.all()
  if (lostWorker === undefined) throw new Error('no worker')
  await cell.clock.advance(1_000)
  lostWorker.isCutOff = true
  // Covers the lease of 5 s on a clock that is 2% slow, the call that finds the worker lost, and the next roster update.
  await cell.clock.advance(9_000)
  first.kill()
  const jobId = await cell.submit(other, [createStep()])
  cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId), 2_000))
  lostWorker.isCutOff = false
  await cell.clock.advance(3_000)
  for (let i = 0; i < 8; i++) await cell.submit(other, [createStep()])
  t.true(await cell.advanceUntil(() => lostWorker.runningTasks().length > 0, 3_000), 'the recovered worker gets tasks')
  t.deepEqual(cell.audit.violations, [])
})

test('a new leader does not start the tasks of an unreachable worker before its lease has expired', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 30_000, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  cell.startDaemon('d2')
  const jobId = await cell.submit(first, [createStep({ count: 2, need: HALF_WORKER })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  const busyWorker = cell.workers.all().find(worker => worker.runningTasks().length > 0)
  if (busyWorker === undefined) throw new Error('no worker')
  busyWorker.isCutOff = true
  cell.setRegistry([createWorkerEntry('w1'), createWorkerEntry('w2')].filter(({ id }) => id !== busyWorker.entry.id))
  first.kill()
  const otherWorkers = cell.workers.all().filter(worker => worker !== busyWorker)
  t.true(await cell.advanceUntil(() => otherWorkers.some(worker => worker.runningTasks().length > 0), 15_000))
  t.deepEqual(cell.audit.violations, [])
})

test('a worker that restarts with the same id gets fencing tokens above those of its earlier incarnation', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')] })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const [worker] = cell.workers.all()
  if (worker === undefined) throw new Error('no worker')
  let isStartDelayed = true
  worker.fault = command => command === 'start' && isStartDelayed ? { kind: 'applied-late', afterMs: 4_000 } : undefined
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.clock.advance(100)
  worker.restart(2)
  cell.setRegistry([createWorkerEntry('w1', { born: 2 })])
  isStartDelayed = false
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  await cell.clock.advance(6_000)
  t.deepEqual(cell.audit.violations, [], 'the late start command for the earlier incarnation is fenced')
})

test('a cancelled job stops and is reported as cancelled by every daemon, also after a takeover', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 60_000, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const second = cell.startDaemon('d2')
  const jobId = await cell.submit(first, [createStep({ count: 2 })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  t.is((await cell.advanceUntilSettled(second.jobs.cancel(jobId, 2_000))).unwrap(), 'cancelled')
  t.true(await cell.advanceUntil(() => cell.workers.all().every(worker => worker.runningTasks().length === 0), 2_000))
  first.kill()
  t.is((await cell.advanceUntilSettled(second.jobs.stateOf(jobId, 2_000))).unwrap(), 'cancelled')
  t.deepEqual(cell.audit.violations, [])
})

test('a task that always fails is retried up to maxAttempts, counted across a takeover', async t => {
  let failures = 0
  const cell = TestCell.create({
    queues: [createQueue({ maxAttempts: 3 })],
    behaviour: () => {
      failures++
      return { durationMs: 300, end: 'failed' }
    }
  })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const second = cell.startDaemon('d2')
  const jobId = await cell.submit(first, [createStep()])
  await cell.advanceUntil(() => failures === 2)
  await cell.clock.advance(320)
  first.kill()
  t.true(await cell.advanceUntil(() => second.leader()?.stateOf(jobId) === 'failed', 15_000))
  t.is(failures, 3)
})

test('a finished run is acknowledged to the worker only after it is stored', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')] })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(first, [createStep({ count: 2 })])
  t.true(await cell.advanceUntil(() => cell.workers.all()[0]?.runningTasks().length === 2))
  cell.store.writeFault = tx => tx.puts.some(({ table }) => table === 'progress') ? { kind: 'refused' } : undefined
  await cell.clock.advance(2_000)
  t.is(cell.leader()?.stateOf(jobId), 'active', 'an outcome that is not stored is not reported')
  first.kill()
  cell.store.writeFault = () => undefined
  const second = cell.startDaemon('d2')
  t.true(await cell.advanceUntil(() => second.leader()?.stateOf(jobId) === 'completed', 15_000), 'the worker reports the finished runs again')
  t.deepEqual(cell.audit.violations, [])
})

test('the members of a gang start all together or not at all, and never beyond capacity', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1'), createWorkerEntry('w2')] })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const batchJob = await cell.submit(daemon, [createStep({ count: 3, need: HALF_WORKER })])
  const gangJob = await cell.submit(daemon, [createStep({ count: 4, gang: true, need: HALF_WORKER })])
  t.true(await cell.advanceUntil(() => [batchJob, gangJob].every(jobId => cell.leader()?.stateOf(jobId) === 'completed')))
  t.deepEqual(cell.audit.violations, [])
})

test('tasks on a worker where no run makes progress are moved to another worker', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 1_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const [stalledWorker] = cell.workers.all()
  if (stalledWorker === undefined) throw new Error('no worker')
  stalledWorker.isStalled = true
  const jobId = await cell.submit(daemon, [createStep({ count: 4, need: HALF_WORKER })])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 15_000))
  t.deepEqual(cell.audit.violations, [])
})

test('a leader pauses while the store is unavailable, and resumes its epoch afterwards', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 2_000, end: 'done' }) })
  const first = cell.startDaemon('d1')
  cell.startDaemon('d2')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(first, [createStep({ count: 4 })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  const leaderBeforeOutage = cell.leader()
  cell.store.isUnavailable = true
  await cell.clock.advance(4_000)
  t.is(cell.leader(), undefined, 'no daemon may send commands')
  cell.store.isUnavailable = false
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 8_000))
  t.is(cell.leader(), leaderBeforeOutage)
  t.deepEqual(cell.audit.violations, [])
})

test('jobs whose admission was not announced are found, also after the store has lost its history', async t => {
  const cell = TestCell.create()
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const leader = cell.leader()
  if (leader === undefined) throw new Error('no leader')
  leader.admitted = () => []
  const jobs = [await cell.submit(first, [createStep()])]
  cell.store.loseHistory()
  jobs.push(await cell.submit(first, [createStep()]))
  t.true(await cell.advanceUntil(() => jobs.every(jobId => leader.stateOf(jobId) === 'completed'), 5_000))
})

test('a job admitted after a takeover does not wait for unreachable workers of the earlier leader', async t => {
  const cell = TestCell.create()
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const other = cell.startDaemon('d2')
  const [, lostWorker] = cell.workers.all()
  if (lostWorker === undefined) throw new Error('no worker')
  await cell.clock.advance(1_000)
  first.kill()
  lostWorker.isCutOff = true
  cell.setRegistry([createWorkerEntry('w1')])
  // Delays the write of the epoch until after the lease is gained.
  let isRefused = true
  cell.store.writeFault = tx => isRefused && tx.puts.some(({ key }) => key === 'epoch') ? { kind: 'refused' } : undefined
  const restarted = cell.startDaemon('d1')
  await cell.advanceUntil(() => restarted.leader() !== undefined)
  const jobId = await cell.submit(other, [createStep()])
  isRefused = false
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId), 2_000))
  t.deepEqual(cell.audit.violations, [])
})

test('a draining worker without runs does not delay a takeover', async t => {
  const cell = TestCell.create()
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const other = cell.startDaemon('d2')
  const [, drainingWorker] = cell.workers.all()
  if (drainingWorker === undefined) throw new Error('no worker')
  await cell.clock.advance(1_000)
  cell.setRegistry([createWorkerEntry('w1'), createWorkerEntry('w2', { state: 'draining' })])
  await cell.clock.advance(2_000)
  first.kill()
  drainingWorker.isCutOff = true
  cell.setRegistry([createWorkerEntry('w1')])
  const jobId = await cell.submit(other, [createStep()])
  cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId), 2_000))
  t.deepEqual(cell.audit.violations, [])
})

test('a draining worker with active runs delays a takeover until its lease has expired', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 30_000, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(first, [createStep({ count: 2, need: { milliCores: 4_000, memoryMb: 1, accelerators: 0 } })])
  await cell.advanceUntil(() => cell.workers.all().every(worker => worker.runningTasks().length === 1))
  cell.setRegistry([createWorkerEntry('w1'), createWorkerEntry('w2', { state: 'draining' })])
  await cell.clock.advance(2_000)
  first.kill()
  const drainingWorker = cell.workers.all()[1]
  if (drainingWorker === undefined) throw new Error('no worker')
  drainingWorker.isCutOff = true
  cell.setRegistry([createWorkerEntry('w1')])
  cell.startDaemon('d1')
  await cell.clock.advance(9_000)
  t.deepEqual(cell.audit.violations, [], `no task of ${jobId} runs twice`)
})

// A worker lists a finished run before the new leader has added the due occurrence. A leader that finds no task for the
// run acknowledges it without storing it, and starts the task again.
test('a scheduled run that finishes during a takeover is not started again', async t => {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1')], behaviour: () => ({ durationMs: 300, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = cell.newJobId()
  const spec = { payload: 'payload', steps: [createStep()], schedule: { firstRunMs: cell.clock.date().getTime() + 1_000, intervalMs: 1_000, repetitions: 1 } }
  cell.audit.expectJob(jobId, spec)
  await cell.advanceUntilSettled(first.jobs.submit(jobId, cell.queue(), spec, 3_000))
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId)))
  first.kill()
  const second = cell.startDaemon('d2')
  t.true(await cell.advanceUntil(() => second.leader()?.stateOf(jobId) === 'completed'))
  await cell.clock.advance(3_000)
  t.deepEqual(cell.audit.violations, [])
})

// Pattern: workers leave with runs on them shortly before a takeover. A successor that waits for their leases holds up
// every job of the cell for seconds.
test('a worker that left with runs before a takeover holds up only the jobs that may run there', async t => {
  const [w1, w2, w3] = [createWorkerEntry('w1'), createWorkerEntry('w2'), createWorkerEntry('w3')]
  const cell = TestCell.create({ workers: [w1, w2, w3], behaviour: () => ({ durationMs: 30_000, end: 'done' }) })
  cell.setRegistry([w1, w2])
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const wholeWorker = createStep({ need: { milliCores: 4_000, memoryMb: 1, accelerators: 0 } })
  for (let i = 0; i < 2; i++) await cell.submit(first, [wholeWorker])
  await cell.advanceUntil(() => cell.workers.all().filter(worker => worker.runningTasks().length > 0).length === 2)
  const waitingId = await cell.submit(first, [wholeWorker])
  cell.setRegistry([{ ...w1, state: 'draining' }, w2])
  await cell.clock.advance(1_500)
  const [leavingWorker, , newWorker] = cell.workers.all()
  if (leavingWorker === undefined) throw new Error('no worker')
  leavingWorker.isCutOff = true
  cell.setRegistry([w2, w3])
  first.kill()
  cell.startDaemon('d1')
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(waitingId), 1_500), 'the lease on the worker that left ends 3 s later')
  t.deepEqual(newWorker?.runningTasks(), [`${waitingId}.0.0.0`])
  await cell.clock.advance(9_000)
  t.deepEqual(cell.audit.violations, [])
})

// A refused connection is only a sign that the leader is dead. If it is alive, its commands must be fenced at the
// workers before its successor starts anything.
test('a takeover from a leader that is still alive runs no task twice', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 400, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const second = cell.startDaemon('d2')
  await cell.clock.advance(1_000)
  cell.refusesConnections = () => true
  const jobIds: string[] = []
  for (let i = 0; i < 6; i++) jobIds.push(await cell.submit(first, [createStep({ count: 3 }), createStep({ count: 2, after: [0] })]))
  const checked = second.lease.checkHolder('d1:1')
  for (let i = 0; i < 6; i++) jobIds.push(await cell.submit(first, [createStep({ count: 3 }), createStep({ count: 2, after: [0] })]))
  await cell.advanceUntilSettled(checked)
  t.true(await cell.advanceUntil(() => jobIds.every(jobId => second.leader()?.stateOf(jobId) === 'completed'), 15_000))
  t.deepEqual(cell.audit.violations, [])
})

test('after a takeover from a leader that may be alive, a task of an unreachable worker waits until that leader can not have extended its lease', async t => {
  const { cell, first, busyWorker, startsElsewhere } = await createCellWithLongTask()
  const second = cell.startDaemon('d2')
  await cell.clock.advance(1_000)
  cell.refusesConnections = () => true
  busyWorker.isCutOff = true
  await cell.advanceUntilSettled(second.lease.checkHolder('d1:1'))
  first.kill()
  t.false(await startsElsewhere(7_000), 'a lease of 5 s that is extended up to 2 s after the takeover')
  t.true(await startsElsewhere(1_500))
})
