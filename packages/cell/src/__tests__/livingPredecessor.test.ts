import test from 'ava'
import { TestCell, createStep } from '../testing/index.js'

/** Interval between two admissions through the old leader, in milliseconds. */
const SUBMIT_INTERVAL_MS = 4
const JOBS = 200
const SHORT_TASK_MS = 20
const SLOW_CALL_MS = 150

/**
 * A cell whose leader d1 admits and runs short jobs while d2, which takes d1 for dead, takes over. The calls of d2 to the
 * targets in `slow`, tables or `workers`, take `SLOW_CALL_MS` longer.
 */
async function createCellWithLivingPredecessor (slow: readonly string[]) {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: SHORT_TASK_MS, end: 'done' }) })
  const first = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const second = cell.startDaemon('d2')
  await cell.clock.advance(1_000)
  cell.refusesConnections = () => true
  let isTakenOver = false
  second.lease.checkHolder('d1:1').then(() => { isTakenOver = true }).catch(() => {})
  cell.beforeLeaderCall = async (daemon, target) => { if (daemon === 'd2' && slow.includes(target)) await cell.clock.sleep(SLOW_CALL_MS) }
  const jobIds: string[] = []
  for (let index = 0; index < JOBS; index++) {
    const jobId = cell.newJobId()
    cell.audit.expectJob(jobId, { payload: `payload of ${jobId}`, steps: [createStep()] })
    jobIds.push(jobId)
    first.jobs.submit(jobId, cell.queue(), { payload: `payload of ${jobId}`, steps: [createStep()] }, 3_000).catch(() => {})
    await cell.clock.advance(SUBMIT_INTERVAL_MS)
  }
  return { cell, second, jobIds, isTakenOver: () => isTakenOver }
}

for (const slow of [[], ['workers'], ['workers', 'jobs'], ['workers', 'leader'], ['workers', 'progress'], ['workers', 'leader', 'progress']]) {
  // Guards against TWICE (issue 58, review/7): the new leader acknowledged ends of jobs that it had not read, and ran these jobs again.
  test(`jobs that the earlier leader runs during an early takeover run once; slow calls: ${slow.join(', ') || 'none'}`, async t => {
    const { cell, second, jobIds, isTakenOver } = await createCellWithLivingPredecessor(slow)
    await cell.clock.advance(10_000)
    t.true(isTakenOver())
    t.not(second.leader(), undefined)
    t.deepEqual(cell.audit.violations, [])
    const states = await Promise.all(jobIds.map(jobId => cell.advanceUntilSettled(second.jobs.stateOf(jobId, 1_000))))
    t.true(states.every(state => state.ok && state.val === 'completed'))
  })
}
