import test from 'ava'
import { createRestartCell, createStep, createWorkerEntry } from '../testing/index.js'

const LONG_RUN_MS = 4_000
/** Time until a start that was sent to a worker's former incarnation can't be running any more: the longest delay, the longest lease, and 2 s for the takeover or the round after it. */
const NOTHING_LEFT_MS = 12_000 + 6_400 + 2_000

const createCell = (durationMs = LONG_RUN_MS) => createRestartCell({ durationMs })

// Guards against TWICE: the leader took a restart of the worker as proof that an unanswered start had not been executed.
test('an unanswered start that the next incarnation of a worker executes is not repeated on another worker', async t => {
  const { cell, worker, daemon, register } = await createCell()
  worker.fault = command => command === 'start' ? { kind: 'applied-late', afterMs: 400 } : undefined
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.clock.advance(200)
  worker.restart(2)
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId), 1_000)
  worker.fault = () => undefined
  register(2)
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against TWICE: the answer to a start does not say which incarnation of the worker has executed it.
test('a start that the next incarnation of a worker answers is not repeated on another worker', async t => {
  const { cell, worker, daemon, register } = await createCell()
  worker.restart(2)
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId), 200), 'the leader does not know of the restart yet')
  register(2)
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against TWICE: a new leader took the restart of a worker as proof that nothing of its predecessor runs there.
test('a new leader does not repeat a start that the next incarnation of an unreachable worker has executed', async t => {
  const { cell, worker, other, daemon, register } = await createCell(60_000)
  worker.restart(2)
  const jobId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId), 200))
  worker.isCutOff = true
  register(2)
  daemon.kill()
  cell.startDaemon('d2')
  await cell.clock.advance(2_200 + NOTHING_LEFT_MS)
  t.deepEqual(worker.runningTasks(), [], 'the lease of the worker has expired')
  t.deepEqual(cell.audit.violations, [])
  t.deepEqual(other.runningTasks(), [`${jobId}.0.0.0`], 'the task is started elsewhere once no run of it can be left')
})

// Guards against LOST: a start that the next incarnation has not received must not keep its task waiting.
test('a start that no incarnation has executed is repeated once the next one is adopted', async t => {
  const { cell, worker, daemon, register } = await createCell(500)
  worker.isCutOff = true
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.clock.advance(300)
  worker.restart(2)
  worker.fault = command => command === 'start' ? { kind: 'refused', reason: 'unhealthy' } : undefined
  worker.isCutOff = false
  register(2)
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 5_000))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST: the starts that are kept for the next incarnation must not wait for one that never comes.
test('the unanswered starts of a worker that restarts and then disappears are repeated on another worker', async t => {
  const { cell, worker, daemon } = await createCell(500)
  worker.fault = command => command === 'start' ? { kind: 'applied-late', afterMs: 60_000 } : undefined
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.clock.advance(100)
  worker.restart(2)
  await cell.clock.advance(300)
  cell.setRegistry([createWorkerEntry('w2')])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', NOTHING_LEFT_MS))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against TWICE: the acknowledgement of the earlier incarnation's finished runs, whose numbers begin anew, made the
// next one forget a run that was done before the leader had read it.
test('a run that is done on the next incarnation before the leader knows of it is not started again', async t => {
  const { cell, worker, daemon, register } = await createCell(100)
  const firstId = await cell.submit(daemon, [createStep()])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(firstId) === 'completed'))
  await cell.clock.advance(1_000)
  worker.isCutOff = true
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.clock.advance(2_100)
  worker.restart(2)
  // The new incarnation receives a repetition of the start before the next heartbeat.
  let hasStarted = false
  worker.fault = command => {
    if (command === 'start') hasStarted = true
    return command === 'hold' && !hasStarted ? { kind: 'refused', reason: 'unhealthy' } : undefined
  }
  worker.isCutOff = false
  t.true(await cell.advanceUntil(() => cell.audit.isDone({ jobId, occurrence: 0, step: 0, index: 0 }), 3_000))
  register(2)
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.violations, [])
})
