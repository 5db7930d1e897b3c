import { Failure } from '@citronnotch/base/errors'
import { Err } from '@citronnotch/base/result'
import test from 'ava'
import { TABLES } from '../constants.js'
import { CONFIG_APPLY_MS, TestCell, createQueue, createStep, createWorkerEntry } from '../testing/index.js'
import type { TestDaemon } from '../testing/index.js'

const OTHER_SERVICE = 'archive'
const MOVED_QUEUE = createQueue({ service: OTHER_SERVICE })
const REFUSED = Err(Failure.notRun('store-refused', 'The store refuses the call.'))
/** Time that a slow store takes to answer. */
const SLOW_MS = 850
/** Time after which a read without an answer fails. */
const READ_TIMEOUT_MS = 900
/** Time within which a task starts: an interval of scheduling and one of refreshes. */
const START_WITHIN_MS = 1_000

// Guards against ROUTE: a leader that held its lease but could learn of no change started tasks at the service of the version before.
test('a leader starts nothing once its configuration may be outdated, and goes on with other work', async t => {
  const { cell, leader, other } = await createCell(CONFIG_APPLY_MS + START_WITHIN_MS)
  const running = await cell.submit(other, [createStep()])
  await cell.advanceUntil(() => cell.audit.hasStarted(running))
  cell.beforeConfigRead = daemon => daemon === leader.name ? REFUSED : undefined
  cell.arePeersReachable = false
  cell.publishQueues([MOVED_QUEUE])
  await cell.clock.advance(CONFIG_APPLY_MS)
  const late = await cell.submit(other, [createStep()])
  await cell.clock.advance(CONFIG_APPLY_MS)
  t.is(cell.leader(), leader.leader(), 'its lease is valid')
  t.deepEqual(cell.audit.startsOf(late), [])
  t.is(cell.leader()?.stateOf(running), 'completed')
  cell.arePeersReachable = true
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(late) === 'completed'))
  t.deepEqual(cell.audit.startsOf(late), ['w2'])
  t.deepEqual(cell.audit.violations, [])
})

// Guards against CONFIG: a leader that had not heard of a change yet placed a job that was admitted after it at the service of the version before.
test('a leader places no job by a configuration older than the one that admitted it', async t => {
  const { cell, leader, other } = await createCell()
  cell.beforeConfigRead = daemon => daemon === leader.name ? REFUSED : undefined
  cell.arePeersReachable = false
  cell.publishQueues([MOVED_QUEUE])
  await cell.advanceUntil(() => other.config.version() === 2)
  const jobId = await cell.submit(other, [createStep()])
  await cell.clock.advance(CONFIG_APPLY_MS / 2)
  t.deepEqual(cell.audit.startsOf(jobId), [])
  cell.arePeersReachable = true
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.startsOf(jobId), ['w2'])
  t.deepEqual(cell.audit.violations, [])
})

// Guards against CONFIG: a start that waited for its row was sent at the service that its queue had before it was moved.
test('a start that had to wait is not sent at a service that its queue has left', async t => {
  const { cell, other } = await createCell()
  cell.store.writeFault = tx => tx.puts.some(({ table }) => table === TABLES.progress) ? { kind: 'refused' } : undefined
  // Starts wait for their rows only from the first refusal on.
  await cell.submit(other, [createStep()])
  await cell.clock.advance(START_WITHIN_MS)
  const jobId = await cell.submit(other, [createStep()])
  await cell.clock.advance(START_WITHIN_MS)
  cell.publishQueues([MOVED_QUEUE])
  await cell.clock.advance(START_WITHIN_MS)
  cell.store.writeFault = () => undefined
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.startsOf(jobId), ['w2'])
  t.deepEqual(cell.audit.violations, [])
})

// Guards against jobs that wait: a row with a version that nobody has must not hold up its job, or the others, for long.
test('a job that names a version that does not exist is held only until the leader has looked for it', async t => {
  const { cell, other } = await createCell()
  cell.admittedByVersion = 1e9
  const jobId = await cell.submit(other, [createStep()])
  cell.admittedByVersion = undefined
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId)))
  const next = await cell.submit(other, [createStep()])
  t.true(await cell.advanceUntil(() => cell.audit.hasStarted(next)))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against ROUTE: a leader that had read no configuration yet started tasks at the service that the queue had when they were admitted.
test('a leader without a configuration starts nothing', async t => {
  const { cell, leader, other } = await createCell()
  const jobId = await cell.submit(leader, [createStep(), createStep({ after: [0] })])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  cell.beforeConfigRead = () => REFUSED
  cell.arePeersReachable = false
  leader.kill()
  other.kill()
  cell.publishQueues([MOVED_QUEUE])
  const successor = cell.startDaemon('d3')
  t.true(await cell.advanceUntil(() => cell.leader() === successor.leader()))
  await cell.clock.advance(3 * CONFIG_APPLY_MS)
  t.deepEqual(cell.audit.startsOf(jobId), ['w1'])
  cell.beforeConfigRead = () => undefined
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.startsOf(jobId), ['w1', 'w2'])
  t.deepEqual(cell.audit.violations, [])
})

// Guards against jobs that wait: a slow store must not hold up starts, and an outage of the configuration not for longer than it lasts.
test('tasks start while the store answers slowly, within the bound of a confirmation, and soon after it can be read again', async t => {
  const { cell, other } = await createCell()
  const startsWithin = async () => {
    const jobId = await cell.submit(other, [createStep()])
    await cell.clock.advance(START_WITHIN_MS)
    return { jobId, hasStarted: cell.audit.hasStarted(jobId) }
  }
  cell.beforeConfigRead = async () => {
    await cell.clock.sleep(SLOW_MS)
    return undefined
  }
  for (let elapsedMs = 0; elapsedMs < 8 * CONFIG_APPLY_MS; elapsedMs += START_WITHIN_MS) t.true((await startsWithin()).hasStarted, `slow, after ${elapsedMs} ms`)
  const faults = {
    silent: async () => {
      await cell.clock.sleep(READ_TIMEOUT_MS)
      return REFUSED
    },
    refused: () => REFUSED
  }
  for (const [name, fault] of Object.entries(faults)) {
    cell.beforeConfigRead = () => undefined
    await cell.clock.advance(START_WITHIN_MS)
    cell.beforeConfigRead = fault
    t.true((await startsWithin()).hasStarted, `${name}, within the bound`)
    await cell.clock.advance(2 * CONFIG_APPLY_MS)
    const { jobId, hasStarted } = await startsWithin()
    t.false(hasStarted, `${name}, beyond the bound`)
    cell.beforeConfigRead = () => undefined
    await cell.clock.advance(2 * START_WITHIN_MS)
    t.true(cell.audit.hasStarted(jobId), `after ${name}`)
  }
  t.deepEqual(cell.audit.violations, [])
})

/** Returns a cell of two daemons, the first of which leads, with a worker of each service. */
async function createCell (runMs = 500): Promise<{ readonly cell: TestCell, readonly leader: TestDaemon, readonly other: TestDaemon }> {
  const cell = TestCell.create({ workers: [createWorkerEntry('w1'), createWorkerEntry('w2', { service: OTHER_SERVICE })], behaviour: () => ({ durationMs: runMs, end: 'done' }) })
  const leader = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const other = cell.startDaemon('d2')
  await cell.clock.advance(START_WITHIN_MS)
  return { cell, leader, other }
}
