import test from 'ava'
import fc from 'fast-check'
import { CrashPlan, TestCell, createStep, createWorkerEntry } from '../testing/index.js'
import type { StepSpec } from '../types.js'

/** Crashes under one task that the rule allows: three, and fewer than three further starts. */
const MAX_CRASHES = 5
const SOUND_JOBS = 60
const SUBMIT_INTERVAL_MS = 150

async function createCell (workers = 14) {
  const cell = TestCell.create({
    workers: Array.from({ length: workers }, (_, index) => createWorkerEntry(`w${index}`)),
    behaviour: ({ jobId, index }) => ({ durationMs: deadlyJobs.has(jobId) ? 60_000 : 1_500 + 400 * (index % 3), end: 'done' })
  })
  const deadlyJobs = new Set<string>()
  const plan = CrashPlan.create({ cell, isDeadly: name => deadlyJobs.has(name.split('.')[0] ?? '') })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  const submitDeadly = async (fields: Partial<StepSpec> = {}) => {
    const jobId = cell.newJobId()
    deadlyJobs.add(jobId)
    return cell.submit(daemon, [createStep(fields)], jobId)
  }
  const submitSound = (fields: Partial<StepSpec> = {}) => cell.submit(daemon, [createStep({ count: 3, ...fields })])
  const stateOf = (jobId: string) => cell.leader()?.stateOf(jobId)
  return { cell, plan, daemon, submitDeadly, submitSound, stateOf }
}

// Guards against BUDGET: a task that crashed each of its workers was started 18 times in 62 s, and the jobs beside it were lost each time.
test('a task that crashes its workers is given up, and the jobs beside it complete', async t => {
  const { cell, plan, submitDeadly, submitSound, stateOf } = await createCell()
  const deadly = await submitDeadly()
  const sound: string[] = []
  for (let index = 0; index < SOUND_JOBS; index++) {
    sound.push(await submitSound())
    await plan.advanceUntil(() => false, SUBMIT_INTERVAL_MS)
  }
  t.true(await plan.advanceUntil(() => sound.every(jobId => stateOf(jobId) === 'completed'), 40_000), `${sound.filter(jobId => stateOf(jobId) !== 'completed').length} sound jobs have not completed`)
  t.true(await plan.advanceUntil(() => stateOf(deadly) === 'failed', 30_000))
  t.true((plan.crashes.get(`${deadly}.0.0.0`) ?? 0) <= MAX_CRASHES, `${plan.crashes.get(`${deadly}.0.0.0`)} workers have crashed under the task`)
  t.deepEqual(cell.audit.violations, [])
})

const KINDS: ReadonlyArray<Partial<StepSpec>> = [{}, { count: 4 }, { count: 2, gang: true }, { count: 3, gang: true }, { count: 2, longRunning: true }]
const FUZZ_SEED = 37
const FUZZ_RUNS = 25
const SETTLED_WITHIN_MS = 90_000
const SETTLE_POLL_MS = 3_000

// Guards against BUDGET and against jobs that are lost with it: neither may depend on how many tasks crash their workers, of what kind they are, and when the leader changes.
test('any set of tasks that crash their workers is given up within the bound, and no sound job is given up or waits without end', async t => {
  await fc.assert(fc.asyncProperty(fc.record({
    deadly: fc.array(fc.constantFrom(...KINDS), { minLength: 1, maxLength: 4 }),
    sound: fc.array(fc.constantFrom(...KINDS), { minLength: 10, maxLength: 25 }),
    leaderKilledAfterMs: fc.option(fc.integer({ min: 500, max: 20_000 })),
    otherCrashes: fc.array(fc.tuple(fc.integer({ min: 0, max: 13 }), fc.integer({ min: 0, max: 15 })), { maxLength: 4 })
  }), async ({ deadly, sound, leaderKilledAfterMs, otherCrashes }) => {
    const { cell, plan, submitDeadly, submitSound } = await createCell()
    const [first] = cell.daemons
    const second = cell.startDaemon('d2')
    const stateOf = async (jobId: string) => (await cell.advanceUntilSettled(second.jobs.stateOf(jobId, 1_000))).unwrapOr('unknown')
    const deadlyJobs: string[] = []
    const soundJobs: Array<{ readonly id: string, readonly isLasting: boolean }> = []
    for (const fields of deadly) deadlyJobs.push(await submitDeadly(fields))
    const startedAt = cell.clock.now()
    const crashAt = [...otherCrashes].map(([worker, second]) => ({ worker: `w${worker}`, atMs: 1_000 * second }))
    const play = (ms: number) => plan.advanceUntil(() => {
      const elapsedMs = cell.clock.now() - startedAt
      for (const crash of crashAt.splice(0)) if (crash.atMs <= elapsedMs) plan.crash(crash.worker); else crashAt.push(crash)
      if (leaderKilledAfterMs !== null && elapsedMs >= leaderKilledAfterMs) first?.kill()
      return false
    }, ms)
    for (const fields of sound) {
      soundJobs.push({ id: await submitSound({ count: 1, ...fields }), isLasting: fields.longRunning === true })
      await play(SUBMIT_INTERVAL_MS)
    }
    const expected = [...soundJobs.map(({ id, isLasting }) => [id, isLasting ? 'active' : 'completed'] as const), ...deadlyJobs.map(id => [id, 'failed'] as const)]
    const findWrong = async () => {
      for (const [id, state] of expected) {
        const actual = await stateOf(id)
        if (actual !== state) return `job ${id} is ${actual}, not ${state}`
      }
      return undefined
    }
    const deadline = cell.clock.now() + SETTLED_WITHIN_MS
    do await play(SETTLE_POLL_MS); while (await findWrong() !== undefined && cell.clock.now() < deadline)
    const wrong = await findWrong()
    if (wrong !== undefined) throw new Error(wrong)
    for (const [task, crashes] of plan.crashes) if (crashes > MAX_CRASHES) throw new Error(`${crashes} workers have crashed under ${task}`)
    if (cell.audit.violations.length > 0) throw new Error(cell.audit.violations.join('\n'))
    for (const daemon of cell.daemons) daemon.kill()
  }), { seed: FUZZ_SEED, numRuns: FUZZ_RUNS, endOnFailure: true, includeErrorInReport: true })
  t.pass()
})

// Guards against jobs that are given up without cause: a worker that leaves by plan or is cut off has not crashed.
test('a worker that restarts after it has drained, or that was cut off, convicts no task', async t => {
  const { cell, daemon } = await createCell(2)
  const lasting = await cell.submit(daemon, [createStep({ longRunning: true })])
  const [first, second] = cell.workers.all()
  if (first === undefined || second === undefined) return t.fail('no workers')
  const hostOf = () => [first, second].find(worker => worker.runningTasks().length > 0)
  for (let round = 0; round < 10; round++) {
    t.true(await cell.advanceUntil(() => hostOf() !== undefined))
    const host = hostOf()
    if (host === undefined) return
    if (round % 2 === 0) {
      cell.setRegistry(cell.workers.all().map(({ entry }) => entry === host.entry ? { ...entry, state: 'draining' } : entry))
      await cell.clock.advance(1_000)
      host.restart(host.entry.born + 1)
      cell.setRegistry(cell.workers.all().map(({ entry }) => entry))
    } else {
      host.isCutOff = true
      await cell.clock.advance(8_000)
      host.isCutOff = false
    }
    await cell.clock.advance(8_000)
  }
  t.is(cell.leader()?.stateOf(lasting), 'active')
  t.true(await cell.advanceUntil(() => first.runningTasks().length + second.runningTasks().length === 1))
})

// Guards against jobs that are given up without cause: all workers of a rack may lose power at the same moment.
test('a rack that loses power twice convicts no task', async t => {
  const { cell, plan, submitSound } = await createCell(6)
  const jobs: string[] = []
  for (let index = 0; index < 8; index++) jobs.push(await submitSound())
  for (let outage = 0; outage < 2; outage++) {
    await plan.advanceUntil(() => false, 900)
    for (const { entry } of cell.workers.all()) plan.crash(entry.id)
    await plan.advanceUntil(() => false, 7_000)
  }
  t.true(await plan.advanceUntil(() => jobs.every(jobId => cell.leader()?.stateOf(jobId) === 'completed'), 40_000))
  t.deepEqual(cell.audit.violations, [])
})
