import test from 'ava'
import { TestCell, createStep, createWorkerEntry } from '../testing/index.js'

/** Creates a cell in which one worker runs a task of the given duration and then announces that it leaves in 4 s. */
async function createCellWithLeavingWorker (durationMs: number) {
  const entries = [createWorkerEntry('w1'), createWorkerEntry('w2')]
  const cell = TestCell.create({ workers: entries, behaviour: () => ({ durationMs, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep({ estimateMs: durationMs })])
  await cell.advanceUntil(() => cell.workers.all().some(worker => worker.runningTasks().length > 0))
  const leaving = cell.workers.all().find(worker => worker.runningTasks().length > 0)
  const other = cell.workers.all().find(worker => worker !== leaving)
  if (leaving === undefined || other === undefined) throw new Error('no worker')
  cell.setRegistry(entries.map(entry => entry.id === leaving.entry.id ? { ...entry, state: 'draining', leavesInMs: 4_000 } : entry))
  return { cell, jobId, leaving, other }
}

// Pattern: workers are taken away at short notice. A run that stays until its worker leaves is lost, and its task starts
// elsewhere only when the lease has expired, 5 s later.
test('a run that can not finish before its worker leaves is moved at once', async t => {
  const { cell, leaving, other } = await createCellWithLeavingWorker(9_000)
  t.true(await cell.advanceUntil(() => other.runningTasks().length > 0, 1_500))
  t.deepEqual(leaving.runningTasks(), [])
  await cell.clock.advance(12_000)
  t.deepEqual(cell.audit.violations, [])
})

test('a run that finishes before its worker leaves stays there', async t => {
  const { cell, jobId, other } = await createCellWithLeavingWorker(2_500)
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 3_500))
  t.deepEqual(other.runningTasks(), [])
  t.deepEqual(cell.audit.violations, [])
})
