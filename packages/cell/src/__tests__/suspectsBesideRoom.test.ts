import test from 'ava'
import { CrashPlan, TestCell, createStep, createWorkerEntry } from '../testing/index.js'
import type { StepSpec, WorkerEntry } from '../types.js'

const SOUND_MS = 3_000
/** Longer than any wait that is checked here. */
const LONG_MS = 100_000
const SMALL = { milliCores: 500, memoryMb: 500, accelerators: 0 }
const WHOLE = { milliCores: 4_000, memoryMb: 1_000, accelerators: 0 }
/** Time in which a leader learns of a restart and adopts the worker, in milliseconds. */
const ADOPTION_MS = 800
/** Time for which the rule lets a job wait beside free workers, and a margin. */
const STARTED_WITHIN_MS = 4_000
const COMPLETED_WITHIN_MS = 60_000

async function createCell (workers: readonly WorkerEntry[]) {
  const longJobs = new Set<string>()
  const withoutLabels = new Set<string>()
  const cell = TestCell.create({ workers, behaviour: ({ jobId }) => ({ durationMs: longJobs.has(jobId) ? LONG_MS : SOUND_MS, end: 'done' }) })
  const plan = CrashPlan.create({ cell, isDeadly: () => false })
  let daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await cell.clock.advance(1_000)
  const submit = (fields: Partial<StepSpec> = {}) => cell.submit(daemon, [createStep({ need: SMALL, ...fields })])
  const submitLong = async (fields: Partial<StepSpec> = {}) => {
    const jobId = cell.newJobId()
    longJobs.add(jobId)
    return cell.submit(daemon, [createStep({ need: SMALL, ...fields })], jobId)
  }
  const workersOf = (jobId: string) => cell.workers.all().filter(worker => worker.runningTasks().some(task => task.startsWith(jobId)))
  /** Crashes the first worker under a job, which comes back without its labels. */
  const crashOnce = async (jobId: string) => {
    await cell.advanceUntil(() => workersOf(jobId).length > 0, 10_000)
    await cell.clock.advance(300)
    const [worker] = workersOf(jobId)
    if (worker === undefined) throw new Error('the job has not started')
    worker.crash()
    await cell.clock.advance(1_000)
    worker.restart(worker.entry.born + 1)
    withoutLabels.add(worker.entry.id)
    cell.setRegistry(cell.workers.all().map(({ entry }) => withoutLabels.has(entry.id) ? { ...entry, labels: NO_LABELS } : entry))
    await cell.clock.advance(ADOPTION_MS)
  }
  const replaceLeader = async () => {
    daemon.crash()
    daemon = cell.startDaemon('d2')
    await cell.advanceUntil(() => cell.leader() !== undefined)
    await cell.clock.advance(ADOPTION_MS)
  }
  return { cell, plan, submit, submitLong, workersOf, crashOnce, replaceLeader, isCompleted: (jobId: string) => cell.leader()?.stateOf(jobId) === 'completed' }
}

const createWorkers = (count: number) => Array.from({ length: count }, (_, index) => createWorkerEntry(`w${index}`))

/** Label of the workers until they crash: they come back without it, so that the tasks that need it have fewer workers. */
const LABEL = 'r1'
const NO_LABELS: readonly string[] = []

for (const [kind, fields] of [['task', {}], ['gang', { count: 2, gang: true }]] as const) {
  // Guards against LOST: a suspect waited without end, or for ten seconds, for a worker without other work where each has a lasting task and most of the room is free.
  test(`a ${kind} under which a worker has crashed starts soon where each worker has a lasting task`, async t => {
    const { cell, submit, submitLong, workersOf, crashOnce } = await createCell(createWorkers(6))
    await submitLong({ count: 6, maxPerWorker: 1, requiredLabel: LABEL, longRunning: true })
    await cell.clock.advance(2_000)
    const jobId = await submit({ requiredLabel: LABEL, ...fields })
    await crashOnce(jobId)
    const isStarted = await cell.advanceUntil(() => workersOf(jobId).length > 0, STARTED_WITHIN_MS)
    const isStartedLater = isStarted || await cell.advanceUntil(() => workersOf(jobId).length > 0, COMPLETED_WITHIN_MS)
    t.deepEqual(cell.audit.violations, [])
    t.true(isStarted, isStartedLater ? 'started late' : 'never started')
  })
}

// Guards against LOST: suspects with long runs held all places for tasks that must run alone, and another one waited until they ended.
test('a task under which a worker has crashed does not wait for long suspects beside free workers', async t => {
  const { cell, submit, submitLong, workersOf, crashOnce } = await createCell(createWorkers(6))
  for (let index = 0; index < 4; index++) {
    const long = await submitLong()
    await crashOnce(long)
    t.true(await cell.advanceUntil(() => workersOf(long).length > 0, COMPLETED_WITHIN_MS))
  }
  const jobId = await submit()
  await crashOnce(jobId)
  const isStarted = await cell.advanceUntil(() => workersOf(jobId).length > 0, STARTED_WITHIN_MS)
  const isStartedLater = isStarted || await cell.advanceUntil(() => workersOf(jobId).length > 0, COMPLETED_WITHIN_MS)
  t.true(isStarted, isStartedLater ? 'started late' : 'never started')
})

// Guards against LOST: after the crash of one worker, the other tasks of a step waited for the end of long runs on sound workers.
test('the waiting tasks of a step do not wait for its long runs on other workers after a crash', async t => {
  const { cell, submitLong, crashOnce } = await createCell(createWorkers(4))
  const jobId = await submitLong({ count: 4, need: WHOLE })
  const runs = () => cell.workers.all().reduce((sum, worker) => sum + worker.runningTasks().filter(task => task.startsWith(jobId)).length, 0)
  t.true(await cell.advanceUntil(() => runs() === 4, 5_000))
  await crashOnce(jobId)
  t.true(await cell.advanceUntil(() => runs() === 4, COMPLETED_WITHIN_MS))
})

// Guards against jobs that are given up without cause: two of many workers on one rack are lost at the same moment, three times.
test('three losses of two workers at the same moment convict no task', async t => {
  const { cell, plan, submit, workersOf, isCompleted } = await createCell(createWorkers(24))
  const jobs = [await submit(), await submit({ requiredLabel: 'r1' })]
  for (let outage = 0; outage < 3; outage++) {
    t.true(await plan.advanceUntil(() => jobs.every(jobId => workersOf(jobId).length > 0), 20_000))
    await plan.advanceUntil(() => false, 500)
    for (const { entry } of jobs.flatMap(workersOf)) plan.crash(entry.id)
  }
  await plan.advanceUntil(() => jobs.every(isCompleted), COMPLETED_WITHIN_MS)
  t.deepEqual(jobs.map(jobId => cell.leader()?.stateOf(jobId)), ['completed', 'completed'])
})

// Guards against LOST: a new leader took the runs of a step that it had found for ones beside which nothing may start, as a worker had crashed under another one.
test('other work starts beside the sound runs of a step under suspicion after a change of leaders', async t => {
  const { cell, submit, submitLong, workersOf, crashOnce, replaceLeader } = await createCell(createWorkers(6))
  const wide = await submitLong({ count: 6, maxPerWorker: 1, requiredLabel: LABEL })
  t.true(await cell.advanceUntil(() => workersOf(wide).length === 6, 5_000))
  await crashOnce(wide)
  await replaceLeader()
  const jobId = await submit({ requiredLabel: LABEL })
  const isStarted = await cell.advanceUntil(() => workersOf(jobId).length > 0, STARTED_WITHIN_MS)
  const isStartedLater = isStarted || await cell.advanceUntil(() => workersOf(jobId).length > 0, COMPLETED_WITHIN_MS)
  t.true(isStarted, isStartedLater ? 'started late' : 'never started')
})
