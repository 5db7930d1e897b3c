import test from 'ava'
import { TABLES } from '../constants.js'
import type { AdmittedJob } from '../jobService.js'
import { admissionPartitionOf, leaderPartitionName, leaderPartitionOf } from '../jobs.js'
import { decodeJob, termsOf } from '../jobRecord.js'
import type { JobRecord } from '../jobRecord.js'
import { TestCell, createQueue, createStep } from '../testing/index.js'

/** Time after which the rows of an ended job have been moved, in milliseconds. */
const MOVED_AFTER_MS = 8_000

/** A cell in which a job has ended under d1 and its rows are gone, with the notice of its admission. d2 leads next. */
async function createCellWithEndedJob () {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 20, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(first, [createStep()])
  const row = cell.store.get(TABLES.jobs, admissionPartitionOf(jobId), jobId)
  const record = decodeJob(row?.value)
  if (row === undefined || record === undefined) throw new Error('the job was not stored')
  const notice: AdmittedJob = { jobId, record, payload: `payload of ${jobId}`, version: row.version }
  await cell.clock.advance(MOVED_AFTER_MS)
  cell.store.remove(TABLES.progress, leaderPartitionName(leaderPartitionOf(jobId)), jobId)
  first.kill()
  const second = cell.startDaemon('d2')
  await cell.advanceUntil(() => second.leader() !== undefined)
  return { cell, second, notice }
}

for (const [when, delayMs] of [['loads its state', 0], ['has loaded its state', 1_000]] as const) {
  // Guards against TWICE (issue 58, review/6): a notice that came 12 s late, after two takeovers, made a leader run ended jobs again.
  test(`a late notice of the admission of an ended job has no effect on a leader that ${when}`, async t => {
    const { cell, second, notice } = await createCellWithEndedJob()
    await cell.clock.advance(delayMs)
    second.leader()?.admitted(notice)
    await cell.clock.advance(5_000)
    t.deepEqual(cell.audit.violations, [])
    t.is(cell.audit.startsOf(notice.jobId).length, 1)
  })
}

const ADVICE = { decisionMs: 16, perWorkerMs: 0.23, validityMs: 2_500 }

for (const [age, transitMs, starts] of [['fresh', 0, 1], ['expired', 3_000, 0]] as const) {
  // Guards against starts that are refused (issue 58): the time that a notice took was in no age, so its old tickets counted as fresh.
  test(`tickets are ${age} that come with a notice which took ${transitMs} ms`, async t => {
    const queue = createQueue({ advice: ADVICE })
    const cell = TestCell.create({ queues: [queue], behaviour: () => ({ durationMs: 20, end: 'done' }) })
    const daemon = cell.startDaemon('d1')
    await cell.advanceUntil(() => daemon.leader()?.pendingOf(queue.name) === 0)
    await cell.clock.advance(1_000)
    const jobId = cell.newJobId()
    const steps = [createStep()]
    const payload = `payload of ${jobId}`
    cell.audit.expectJob(jobId, { payload, steps })
    const record: JobRecord = { queue: queue.name, service: queue.service, terms: termsOf(queue), spec: { steps }, admittedAtMs: 0 }
    daemon.leader()?.admitted({
      jobId,
      record,
      payload,
      version: Infinity,
      answers: [{ step: 0, workerIds: ['w1'], approved: [['w1', 'ticket']], ageMs: 50 }],
      sentByMs: (cell.store.clockMs()?.latest ?? 0) - transitMs
    })
    await cell.clock.advance(1_000)
    t.is(cell.audit.startsOf(jobId).length, starts)
  })
}
