import test from 'ava'
import { Ok } from '@citronnotch/base/result'
import type { AdviceAgent } from '../advice.js'
import { TestCell, createEntry, createQueue, createStep } from '../testing/index.js'
import type { TestCellOptions } from '../testing/index.js'

const POLICY = { decisionMs: 40, perWorkerMs: 1, validityMs: 2_000 }

/** A cell whose queue has a placement policy that allows some workers only. */
function createPolicyCell (isAllowed: (id: string) => boolean, fields: TestCellOptions = {}) {
  const calls: Array<{ readonly step: string, readonly workers: readonly string[] }> = []
  const load = { open: 0, most: 0 }
  const agent: AdviceAgent = {
    name: 'd1',
    approve: async (step, workers) => {
      calls.push({ step, workers })
      load.open++
      load.most = Math.max(load.most, load.open)
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
  await cell.until(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ count: 8 })])
  const seen = new Set<string>()
  t.true(await cell.until(() => {
    for (const worker of cell.workers.all()) if (worker.runningTasks().length > 0) seen.add(worker.entry.id)
    return cell.leader()?.stateOf(jobId) === 'completed'
  }))
  t.deepEqual([...seen], ['w2'])
  t.deepEqual(cell.audit.violations, [])
})

test('an agent gets no more calls at once than its bound allows, however many steps wait', async t => {
  const { cell, load } = createPolicyCell(() => true)
  const daemon = cell.startDaemon('d1')
  await cell.until(() => cell.leader() !== undefined)
  const jobs: string[] = []
  for (let i = 0; i < 30; i++) jobs.push(await cell.submit(daemon, [createStep()]))
  t.true(await cell.until(() => jobs.every(jobId => cell.leader()?.stateOf(jobId) === 'completed'), 30_000))
  t.true(load.most <= 2, `${load.most} calls at once, each of ${POLICY.decisionMs} ms and more`)
})

test('no advice is asked for while no worker has room', async t => {
  const { cell, calls } = createPolicyCell(() => true, { behaviour: () => ({ durationMs: 20_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.until(() => cell.leader() !== undefined)
  const whole = { milliCores: 4_000, memoryMb: 1_000, accelerators: 0 }
  await cell.submit(daemon, [createStep({ count: 2, need: whole })])
  await cell.clock.advance(1_500)
  const before = calls.length
  await cell.submit(daemon, [createStep({ need: whole })])
  await cell.clock.advance(5_000)
  t.is(calls.length, before)
})

test('labels and the limit of tasks on one worker are kept', async t => {
  const cell = TestCell.create({
    workers: [createEntry('w1', { labels: ['a', 'r1'] }), createEntry('w2', { labels: ['b', 'r1'] }), createEntry('w3', { labels: ['b', 'r2'] })],
    behaviour: () => ({ durationMs: 2_000, end: 'done' })
  })
  const daemon = cell.startDaemon('d1')
  await cell.until(() => cell.leader() !== undefined)
  await cell.submit(daemon, [createStep({ count: 3, requiredLabel: 'b', maxPerWorker: 1 })])
  await cell.clock.advance(1_500)
  t.deepEqual(cell.workers.all().map(worker => worker.runningTasks().length), [0, 1, 1])
})

test('a worker that fails the tasks of several jobs is left, and no job fails because of it', async t => {
  const cell = TestCell.create({ queues: [createQueue({ maxAttempts: 3 })], behaviour: () => ({ durationMs: 200, end: 'done' }) })
  const [bad] = cell.workers.all()
  if (bad === undefined) throw new Error('no worker')
  bad.failsEverything = true
  const daemon = cell.startDaemon('d1')
  await cell.until(() => cell.leader() !== undefined)
  const jobs: string[] = []
  for (let i = 0; i < 12; i++) jobs.push(await cell.submit(daemon, [createStep({ count: 2 })]))
  t.true(await cell.until(() => jobs.every(jobId => cell.leader()?.stateOf(jobId) === 'completed'), 30_000))
  t.deepEqual(cell.audit.violations, [])
})

test('a step with a limit of tasks on one worker asks for more workers than those with room for all', async t => {
  const workers = Array.from({ length: 50 }, (_, index) => createEntry(`w${index}`))
  const { cell } = createPolicyCell(() => true, { workers, behaviour: () => ({ durationMs: 20_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.until(() => cell.leader() !== undefined)
  await cell.submit(daemon, [createStep({ count: 50, maxPerWorker: 1, need: { milliCores: 100, memoryMb: 100, accelerators: 0 } })])
  t.true(await cell.until(() => cell.workers.all().every(worker => worker.runningTasks().length === 1), 1_500))
  t.deepEqual(cell.audit.violations, [])
})
