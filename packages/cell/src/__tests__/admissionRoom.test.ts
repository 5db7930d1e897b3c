import test from 'ava'
import { CELL_FULL, QUEUE_FULL } from '../admissionRoom.js'
import { jobBytes } from '../jobMemory.js'
import { JOB_TOO_LARGE } from '../jobService.js'
import { TestCell, createJob, createQueue, createStep } from '../testing/index.js'
import type { TestDaemon } from '../testing/index.js'
import type { JobSpec, Queue } from '../types.js'

const BUDGET_MB = 1
const BUDGET_BYTES = BUDGET_MB * 1024 * 1024
const FLOOD_JOBS = 400
const QUEUES = ['flood', 'other', 'third'].map(name => createQueue({ name, pathPrefix: `/${name}/` }))
const [FLOOD, OTHER, THIRD] = QUEUES as [Queue, Queue, Queue]

/** A cell with so little memory for jobs that some hundred fill it. */
async function createCell (daemons = 2, durationMs = 200) {
  const cell = TestCell.create({ queues: QUEUES, jobMemoryMb: BUDGET_MB, behaviour: () => ({ durationMs, end: 'done' }) })
  const started = Array.from({ length: daemons }, (_, index) => cell.startDaemon(`d${index + 1}`))
  await cell.advanceUntil(() => cell.leader()?.pendingOf(FLOOD.name) === 0)
  return { cell, daemons: started, first: started[0] as TestDaemon }
}

async function submit (cell: TestCell, daemon: TestDaemon, queue: Queue, spec: Omit<JobSpec, 'payload'> = { steps: [createStep()] }, jobId = cell.newJobId()) {
  cell.audit.expectJob(jobId, { payload: '', ...spec })
  return { jobId, res: await cell.advanceUntilSettled(daemon.jobs.submit(jobId, queue, { payload: '', ...spec }, 3_000)) }
}

async function flood (cell: TestCell, daemons: readonly TestDaemon[], queue: Queue, jobs = FLOOD_JOBS) {
  const codes: string[] = []
  const accepted: string[] = []
  const retryAfterMs: number[] = []
  await Promise.all(Array.from({ length: jobs }, async (_, index) => {
    const jobId = cell.newJobId()
    cell.audit.expectJob(jobId, { payload: '', steps: [createStep()] })
    const res = await daemons[index % daemons.length]?.jobs.submit(jobId, queue, { payload: '', steps: [createStep()] }, 3_000)
    if (res === undefined) return
    if (res.ok) accepted.push(jobId)
    else {
      codes.push(res.val.code)
      retryAfterMs.push(res.val.retryAfterMs ?? 0)
    }
  }).concat(cell.clock.advance(1_000)))
  return { codes, accepted, retryAfterMs }
}

// Guards against LOST (issue 58, review/9): daemons accepted more jobs than a leader could hold, and each leader ended by its heap.
test('a flood of one queue is refused beyond its share, and leaves the others their room', async t => {
  const { cell, daemons, first } = await createCell()
  const { codes, accepted, retryAfterMs } = await flood(cell, daemons, FLOOD)
  t.true(accepted.length > 50 && codes.length > 200)
  t.deepEqual([...new Set(codes)], [QUEUE_FULL])
  t.true(retryAfterMs.every(ms => ms >= 1_000))
  t.true((cell.leader()?.roomFor(OTHER.name)?.cellBytes ?? 0) >= BUDGET_BYTES / 2 - 10_000)
  t.true((await submit(cell, first, OTHER)).res.ok)
})

test('a full cell refuses every queue, and takes jobs again once others have ended', async t => {
  const { cell, daemons, first } = await createCell(2, 2_000)
  for (const queue of QUEUES) await flood(cell, daemons, queue)
  const { res: refusal } = await submit(cell, first, THIRD)
  t.true(refusal.err && [CELL_FULL, QUEUE_FULL].includes(refusal.val.code) && refusal.val.verdict === 'not-run')
  t.true((cell.leader()?.roomFor(THIRD.name)?.cellBytes ?? 0) > -BUDGET_BYTES / 10)
  const waitMs = refusal.err ? refusal.val.retryAfterMs ?? 0 : 0
  await cell.clock.advance(waitMs)
  t.true((await submit(cell, first, THIRD)).res.ok)
  t.deepEqual(cell.audit.violations, [])
})

test('a repeated request for a job that was accepted is not refused, however full the cell is', async t => {
  const { cell, daemons, first } = await createCell()
  const { jobId } = await submit(cell, first, FLOOD)
  await flood(cell, daemons, FLOOD)
  const { res } = await submit(cell, first, FLOOD, { steps: [createStep()] }, jobId)
  t.true(res.ok && res.val === 'known')
})

test('daemons that can not ask the leader admit no more than it can hold together', async t => {
  const { cell, daemons } = await createCell(4)
  cell.arePeersReachable = false
  cell.leader = () => undefined
  const accepted = (await Promise.all([flood(cell, daemons, FLOOD), flood(cell, daemons, OTHER), flood(cell, daemons, THIRD)])).flatMap(result => result.accepted)
  t.true(accepted.length > 100)
  const { record } = createJob({ jobId: '00000000000000aa', steps: [createStep()] })
  t.true(accepted.length * jobBytes(record, 0) <= BUDGET_BYTES)
})

for (const [what, spec] of [
  ['of many steps that overlap', { steps: Array.from({ length: 100 }, () => createStep()), schedule: { firstRunMs: 0, intervalMs: 1, repetitions: 1_000 } }]
] as const) {
  test(`a job ${what} that no leader can hold is refused for good`, async t => {
    const { cell, first } = await createCell()
    const { res } = await submit(cell, first, FLOOD, spec)
    t.true(res.err && res.val.code === JOB_TOO_LARGE && res.val.verdict === 'not-run')
  })
}
