import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { Audit, GangRegistry, MemoryWorker, createStep, createWorkerEntry } from '../testing/index.js'

const TASK = { jobId: '00000000000000aa', occurrence: 0, step: 0, index: 0 }
const TIMEOUT_MS = 900

function createWorker () {
  const clock = ManualClock.create()
  const audit = Audit.create()
  audit.expectJob(TASK.jobId, { payload: '', steps: [createStep({ gang: true })] })
  const worker = MemoryWorker.create({
    entry: createWorkerEntry('w1'),
    clock,
    audit,
    behaviour: () => ({ durationMs: 500, end: 'done' }),
    needOf: task => audit.needOf(task),
    gangSizeOf: task => audit.gangSizeOf(task),
    gangs: GangRegistry.create()
  })
  const start = (run: number) => worker.client().start({ task: TASK, run, payload: '', fencingToken: 1, leaseUntilMs: 5_000, checkpoint: '', ticket: '' }, TIMEOUT_MS).catch(() => {})
  return { clock, audit, worker, start }
}

for (const isQueued of [true, false]) {
  // Guards against a soak that reports two runs at once: a command that was carried out without power left a run that never ended.
  test(`a command that is held back ${isQueued ? 'by a worker' : 'by the network'} is not carried out while the worker has no power`, async t => {
    const { clock, audit, worker, start } = createWorker()
    start(1)
    await clock.advance(50)
    worker.fault = () => ({ kind: 'applied-late', afterMs: 300, isQueued })
    start(1)
    await clock.advance(50)
    worker.crash()
    await clock.advance(1_000)
    worker.fault = () => undefined
    worker.restart(2)
    start(2)
    await clock.advance(50)
    t.deepEqual(audit.violations, [])
    t.is(worker.runningTasks().length, 1)
  })
}

// Guards against a soak that never holds an answer up across a restart: a crash at the moment at which it leaves must not take it back.
test('an answer that has left arrives while the next incarnation runs', async t => {
  const { clock, worker } = createWorker()
  worker.fault = () => ({ kind: 'answer-late', afterMs: 300, outlivesCrash: true, onLeft: () => worker.restart(2) })
  const answer = worker.client().heartbeat({ fencingToken: 1, acknowledged: 0, waitMs: 0 }, TIMEOUT_MS)
  await clock.advance(200)
  t.is(worker.entry.born, 2)
  await clock.advance(200)
  const res = await answer
  t.is(res.ok && res.val.accepted ? res.val.report.born : undefined, 1)
})
