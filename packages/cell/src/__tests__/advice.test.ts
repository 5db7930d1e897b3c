import test from 'ava'
import { Ok } from '@citronnotch/base/result'
import type { AdviceAgent } from '../advice.js'
import { TestCell, createWorkerEntry, createQueue, createStep } from '../testing/index.js'
import type { TestCellOptions } from '../testing/index.js'

const POLICY = { decisionMs: 40, perWorkerMs: 1, validityMs: 2_000 }

/** Creates a cell whose queue has a placement policy that allows only some workers. */
function createPolicyCell (isAllowed: (id: string) => boolean, fields: TestCellOptions = {}) {
  const calls: Array<{ readonly step: string, readonly workers: readonly string[] }> = []
  const load = { open: 0, peak: 0 }
  const agent: AdviceAgent = {
    name: 'd1',
    approve: async (step, workers) => {
      calls.push({ step, workers })
      load.open++
      load.peak = Math.max(load.peak, load.open)
      await cell.clock.sleep(POLICY.decisionMs + POLICY.perWorkerMs * workers.length)
      load.open--
      return Ok(new Map(workers.filter(isAllowed).map(id => [id, `ticket of ${id}`])))
    }
  }
  const cell = TestCell.create({ queues: [createQueue({ advice: POLICY })], agents: [agent], ...fields })
  return { cell, calls, load }
}

test('tasks start only on workers that the policy allows', async t => {
  const { cell } = createPolicyCell(id => id === 'w2')
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ count: 8 })])
  const usedWorkers = new Set<string>()
  t.true(await cell.advanceUntil(() => {
    for (const worker of cell.workers.all()) if (worker.runningTasks().length > 0) usedWorkers.add(worker.entry.id)
    return cell.leader()?.stateOf(jobId) === 'completed'
  }))
  t.deepEqual([...usedWorkers], ['w2'])
  t.deepEqual(cell.audit.violations, [])
})

test('an agent gets at most two concurrent calls, however many steps wait', async t => {
  const { cell, load } = createPolicyCell(() => true)
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobs: string[] = []
  for (let i = 0; i < 30; i++) jobs.push(await cell.submit(daemon, [createStep()]))
  t.true(await cell.advanceUntil(() => jobs.every(jobId => cell.leader()?.stateOf(jobId) === 'completed'), 30_000))
  t.true(load.peak <= 2, `${load.peak} concurrent calls, each of ${POLICY.decisionMs} ms and more`)
})

test('no advice is requested while no worker has free capacity', async t => {
  const { cell, calls } = createPolicyCell(() => true, { behaviour: () => ({ durationMs: 20_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const wholeWorker = { milliCores: 4_000, memoryMb: 1_000, accelerators: 0 }
  await cell.submit(daemon, [createStep({ count: 2, need: wholeWorker })])
  await cell.clock.advance(1_500)
  const callsBefore = calls.length
  await cell.submit(daemon, [createStep({ need: wholeWorker })])
  await cell.clock.advance(5_000)
  t.is(calls.length, callsBefore)
})

test('placement respects required labels and the limit of tasks per worker', async t => {
  const cell = TestCell.create({
    workers: [createWorkerEntry('w1', { labels: ['a', 'r1'] }), createWorkerEntry('w2', { labels: ['b', 'r1'] }), createWorkerEntry('w3', { labels: ['b', 'r2'] })],
    behaviour: () => ({ durationMs: 2_000, end: 'done' })
  })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.submit(daemon, [createStep({ count: 3, requiredLabel: 'b', maxPerWorker: 1 })])
  await cell.clock.advance(1_500)
  t.deepEqual(cell.workers.all().map(worker => worker.runningTasks().length), [0, 1, 1])
})

test('a worker that fails the tasks of several jobs is avoided, so that no job fails because of it', async t => {
  const cell = TestCell.create({ queues: [createQueue({ maxAttempts: 3 })], behaviour: () => ({ durationMs: 200, end: 'done' }) })
  const [failingWorker] = cell.workers.all()
  if (failingWorker === undefined) throw new Error('no worker')
  failingWorker.failsEverything = true
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobs: string[] = []
  for (let i = 0; i < 12; i++) jobs.push(await cell.submit(daemon, [createStep({ count: 2 })]))
  t.true(await cell.advanceUntil(() => jobs.every(jobId => cell.leader()?.stateOf(jobId) === 'completed'), 30_000))
  t.deepEqual(cell.audit.violations, [])
})

test('a step with a limit of tasks per worker requests tickets for more workers than capacity alone would require', async t => {
  const workers = Array.from({ length: 50 }, (_, index) => createWorkerEntry(`w${index}`))
  const { cell } = createPolicyCell(() => true, { workers, behaviour: () => ({ durationMs: 20_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.submit(daemon, [createStep({ count: 50, maxPerWorker: 1, need: { milliCores: 100, memoryMb: 100, accelerators: 0 } })])
  t.true(await cell.advanceUntil(() => cell.workers.all().every(worker => worker.runningTasks().length === 1), 1_500))
  t.deepEqual(cell.audit.violations, [])
})
