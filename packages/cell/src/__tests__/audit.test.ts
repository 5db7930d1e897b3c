import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { Audit, MemoryWorker, createStep, createWorkerEntry } from '../testing/index.js'
import type { StepSpec } from '../types.js'

const JOB_ID = '00000000000000aa'
const SHORT_TASK = { jobId: JOB_ID, occurrence: 0, step: 0, index: 0 }
const LONG_TASK = { jobId: JOB_ID, occurrence: 0, step: 0, index: 1 }
const SHORT_MS = 300
const LEASE_MS = 2_000
const TIMEOUT_MS = 900

function createWorkers (fields: Partial<StepSpec> = {}) {
  const clock = ManualClock.create()
  const audit = Audit.create()
  audit.expectJob(JOB_ID, { payload: '', steps: [createStep({ count: 2, ...fields })] })
  const [first, second] = ['w1', 'w2'].map(id => MemoryWorker.create({
    entry: createWorkerEntry(id), clock, audit, behaviour: ({ index }) => ({ durationMs: index === 0 ? SHORT_MS : 60_000, end: 'done' }), needOf: task => audit.needOf(task)
  })) as [MemoryWorker, MemoryWorker]
  const start = async (worker: MemoryWorker, task: typeof SHORT_TASK, run: number) => {
    const started = worker.client().start({ task, run, payload: '', fencingToken: 1, leaseUntilMs: worker.clockMs() + LEASE_MS, checkpoint: '', ticket: '' }, TIMEOUT_MS)
    await clock.advance(50)
    await started
  }
  const acknowledge = async (worker: MemoryWorker, sequence: number) => {
    const answered = worker.client().heartbeat({ fencingToken: 1, acknowledged: sequence, waitMs: 0 }, TIMEOUT_MS)
    await clock.advance(50)
    await answered
  }
  return { clock, audit, first, second, start, acknowledge }
}

test('a start after an end that was acknowledged under the lease is a violation', async t => {
  const { clock, audit, first, second, start, acknowledge } = createWorkers()
  await start(first, SHORT_TASK, 1)
  await clock.advance(SHORT_MS)
  await acknowledge(first, 1)
  await clock.advance(LEASE_MS)
  await start(second, SHORT_TASK, 2)
  t.deepEqual(audit.violations, [`${JOB_ID}.0.0.0 run 2 started on w2 after it was done`])
})

test('a start after an end under a lease that is still running is a violation at once', async t => {
  const { clock, audit, first, second, start } = createWorkers()
  await start(first, SHORT_TASK, 1)
  await clock.advance(SHORT_MS)
  await start(second, SHORT_TASK, 2)
  t.deepEqual(audit.violations, [`${JOB_ID}.0.0.0 run 2 started on w2 after it was done`])
})

test('a start after an end whose lease has passed on an idle worker counts apart, once the end is acknowledged', async t => {
  const { clock, audit, first, second, start, acknowledge } = createWorkers()
  await start(first, SHORT_TASK, 1)
  await clock.advance(LEASE_MS + SHORT_MS)
  await start(second, SHORT_TASK, 2)
  t.deepEqual(audit.startsAfterIdleLapse, [], 'the end may never be acknowledged')
  await acknowledge(first, 1)
  t.deepEqual(audit.startsAfterIdleLapse, [`${JOB_ID}.0.0.0 run 2 started on w2`])
  t.deepEqual(audit.violations, [])
})

test('a start after an end is allowed if the lease has passed and killed another run', async t => {
  const { clock, audit, first, second, start, acknowledge } = createWorkers()
  await start(first, SHORT_TASK, 1)
  await start(first, LONG_TASK, 1)
  await clock.advance(LEASE_MS + SHORT_MS)
  await start(second, SHORT_TASK, 2)
  await acknowledge(first, 2)
  t.deepEqual([audit.violations, audit.startsAfterIdleLapse], [[], []])
})

test('a copy of a speculative task may start within a second after an end is acknowledged', async t => {
  const { clock, audit, first, second, start, acknowledge } = createWorkers({ speculative: true })
  await start(first, SHORT_TASK, 1)
  await clock.advance(SHORT_MS)
  await acknowledge(first, 1)
  await start(second, SHORT_TASK, 2)
  t.deepEqual(audit.violations, [])
  await clock.advance(1_000)
  await start(first, SHORT_TASK, 3)
  t.deepEqual(audit.violations, [`${JOB_ID}.0.0.0 run 3 started on w1 after it was done`])
})

test('a start more than a second after the job was shown as completed is a violation', async t => {
  const { clock, audit, first, start } = createWorkers()
  audit.recordCompleted(JOB_ID, clock.now())
  await clock.advance(1_100)
  await start(first, SHORT_TASK, 1)
  t.deepEqual(audit.violations, [`${JOB_ID}.0.0.0 run 1 started on w1 after its job was shown as completed`])
})

// Guards against a stand-in whose lease ends sooner than a worker's: a start that is refused as old has extended it.
test('a refused start extends the lease of the other runs', async t => {
  const { clock, first, start } = createWorkers()
  await start(first, SHORT_TASK, 1)
  await start(first, LONG_TASK, 1)
  await clock.advance(LEASE_MS - 500)
  await start(first, SHORT_TASK, 1)
  await clock.advance(LEASE_MS - 500)
  t.is(first.runningTasks().length, 1)
})
