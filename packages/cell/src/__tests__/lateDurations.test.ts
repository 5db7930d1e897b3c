import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { TestCell, createQueue, createStep, createWorkerEntry } from '../testing/index.js'

const WORKERS = 4
const CORES = 4 * WORKERS
const WORK_MS = 500
const TICK_MS = 25
const LOAD_MS = 40_000
const ON_TIME = createQueue({ name: 'on-time', pathPrefix: '/on-time/', priority: 0, targetLatencyMs: 10_000 })
const LATE = createQueue({ name: 'late', pathPrefix: '/late/', priority: 2 })

// Guards against a share by callers' estimates alone, of which a tenth of the duration is within their error.
test('late jobs get a twentieth of a full cell that sheds no load although they take ten times as long as estimated', async t => {
  const clock = ManualClock.create()
  const cell = TestCell.create({ clock, queues: [ON_TIME, LATE], workers: Array.from({ length: WORKERS }, (_, index) => createWorkerEntry(`w${index}`)), behaviour: () => ({ durationMs: WORK_MS, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await clock.advance(2_000)
  const send = (queue: typeof LATE, estimateMs: number): string => {
    const jobId = cell.newJobId()
    const spec = { payload: jobId, steps: [createStep({ estimateMs })] }
    cell.audit.expectJob(jobId, spec)
    daemon.jobs.submit(jobId, queue, spec, 3_000).catch((err: unknown) => cell.audit.violations.push(String(err)))
    return jobId
  }
  for (let job = 0; job < 2 * CORES; job++) send(ON_TIME, WORK_MS)
  const late = Array.from({ length: 600 }, () => send(LATE, WORK_MS / 10))
  const started = () => late.filter(jobId => cell.audit.hasStarted(jobId)).length
  let before = 0
  for (let ms = 0; ms < LOAD_MS; ms += TICK_MS) {
    // A little more than the cell bears.
    if (ms % 50 === 0) for (let job = 0; job < (ms % 100 === 0 ? 2 : 1); job++) send(ON_TIME, WORK_MS)
    if (ms % 200 === 0) send(ON_TIME, WORK_MS)
    if (ms === LOAD_MS / 2) before = started()
    await clock.advance(TICK_MS)
  }
  daemon.kill()
  const share = (started() - before) * WORK_MS / (CORES * LOAD_MS / 2)
  t.log(`${before} before, then ${share} of the cell`)
  t.true(share > 0 && share <= 0.08, `${share}`)
  t.deepEqual(cell.audit.violations, [])
})
