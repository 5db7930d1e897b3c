import test from 'ava'
import { TABLES } from '../constants.js'
import { leaderPartitionName, leaderPartitionOf } from '../jobs.js'
import { TestCell, createStep } from '../testing/index.js'

const TASKS = 4
/** Time after its last run within which a lasting task must run again (RULES, LOST), beside the change of the leader. */
const RESTART_WITHIN_MS = 6_000 + 12_000

/** Returns a cell with a lasting job whose tasks end soon after each start, with all starts counted. */
async function createCellWithEndingTasks (end: 'done' | 'failed') {
  const starts = { count: 0 }
  const cell = TestCell.create({
    behaviour: () => {
      starts.count++
      return { durationMs: 50, end }
    }
  })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ count: TASKS, longRunning: true })])
  const progressBytes = () => JSON.stringify(cell.store.get(TABLES.progress, leaderPartitionName(leaderPartitionOf(jobId)), jobId)?.value).length
  return { cell, daemon, starts, progressBytes }
}

// Guards against LOST: the stored progress outgrew the largest row of the store, and then no job's progress was stored any more.
test('the stored progress of a lasting job does not grow with the number of its failed runs', async t => {
  const { cell, starts, progressBytes } = await createCellWithEndingTasks('failed')
  await cell.advanceUntil(() => starts.count >= 20 * TASKS, 120_000)
  const earlierBytes = progressBytes()
  t.true(await cell.advanceUntil(() => starts.count >= 200 * TASKS, 600_000))
  t.true(progressBytes() < 1.5 * earlierBytes, `${earlierBytes} to ${progressBytes()} bytes`)
  t.deepEqual(cell.audit.violations, [])
})

for (const end of ['done', 'failed'] as const) {
  // Guards against LOST: a worker refuses a run whose number isn't higher than that of one that has ended there.
  test(`a new leader numbers the runs of a lasting task after those of its predecessor, however many have ended as ${end}`, async t => {
    const { cell, daemon, starts } = await createCellWithEndingTasks(end)
    t.true(await cell.advanceUntil(() => starts.count >= 1_100 * TASKS, 3_000_000))
    daemon.kill()
    cell.startDaemon('d2')
    const before = starts.count
    t.true(await cell.advanceUntil(() => starts.count >= before + 3 * TASKS, RESTART_WITHIN_MS))
    t.deepEqual(cell.audit.violations, [])
  })
}
