import test from 'ava'
import { isCount } from '@citronnotch/base/untrusted'
import { TABLES } from '../constants.js'
import { admissionPartitionName, admissionPartitionOf, leaderPartitionName, leaderPartitionOf } from '../jobs.js'
import { TestCell, createOddValues, createStep, createWorkerEntry, spreadOverFields } from '../testing/index.js'

const JOB_ID = 'ffffffffffff0000'
const STEP = { count: 1, need: { milliCores: 1, memoryMb: 1, accelerators: 0 } }
const JOB = { queue: 'renewals', service: 'dispatch', steps: [STEP], schedule: { firstRunMs: 0, intervalMs: 0, repetitions: 1 }, admittedAtMs: 1 }
const STEP_PROGRESS = { done: '0', failed: { 0: [1] }, checkpoints: { 0: 'c' } }
const MEMBER = { id: 'w1', born: 1, lapsesAtMs: 1, jobs: [JOB_ID] }

/** Rows that a daemon reads, each with a valid value. */
const rows: ReadonlyArray<{ readonly name: string, readonly table: string, readonly partition: string, readonly key: string, readonly valid: Readonly<Record<string, unknown>>, readonly wrap?: (value: unknown) => unknown }> = [
  { name: 'job', table: TABLES.jobs, partition: admissionPartitionOf(JOB_ID), key: JOB_ID, valid: JOB },
  { name: 'step of a job', table: TABLES.jobs, partition: admissionPartitionOf(JOB_ID), key: JOB_ID, valid: STEP, wrap: step => ({ ...JOB, steps: [step] }) },
  { name: 'job of another key', table: TABLES.jobs, partition: admissionPartitionName(0), key: 'not a job', valid: JOB },
  { name: 'progress', table: TABLES.progress, partition: leaderPartitionName(leaderPartitionOf(JOB_ID)), key: JOB_ID, valid: { occurrences: { 0: [STEP_PROGRESS] } } },
  { name: 'progress of a step', table: TABLES.progress, partition: leaderPartitionName(leaderPartitionOf(JOB_ID)), key: JOB_ID, valid: STEP_PROGRESS, wrap: step => ({ occurrences: { 0: [step] } }) },
  { name: 'progress of no job', table: TABLES.progress, partition: leaderPartitionName(0), key: 'not a job', valid: { outcome: 'completed', endedAtMs: 1 } },
  { name: 'ended job', table: TABLES.ended, partition: admissionPartitionOf(JOB_ID), key: JOB_ID, valid: { outcome: 'completed', endedAtMs: 1 } },
  { name: 'roster', table: TABLES.leader, partition: leaderPartitionName(0), key: 'roster', valid: { workers: [MEMBER] } },
  { name: 'roster member', table: TABLES.leader, partition: leaderPartitionName(0), key: 'roster', valid: MEMBER, wrap: member => ({ workers: [member] }) },
  { name: 'epoch', table: TABLES.leader, partition: leaderPartitionName(0), key: 'epoch', valid: { epoch: 0 } },
  { name: 'lease', table: TABLES.leader, partition: 'lease', key: 'lease', valid: { holder: 'h', peerAddress: '', epoch: 0, released: true } },
  { name: 'renewal', table: TABLES.leader, partition: 'lease', key: 'renewal', valid: { epoch: 0, count: 0 } }
]

// Guards against LOST and against processes that end by themselves: one unreadable row kept a leader from loading its state.
for (const { name, table, partition, key, valid, wrap = (value: unknown) => value } of rows) {
  for (const [description, odd] of createOddValues()) {
    // A higher epoch is a valid one, of a later leader.
    if (name === 'epoch' && isCount(odd)) continue
    test(`${name} rows with ${description} do not keep other jobs from being run`, async t => {
      for (const value of spreadOverFields(valid, odd)) {
        const cell = TestCell.create()
        cell.audit.expectJob(JOB_ID, { payload: '', steps: [] })
        cell.store.putOdd(table, partition, key, wrap(value))
        const daemon = cell.startDaemon('d1')
        t.true(await cell.advanceUntil(() => cell.leader()?.pendingOf('renewals') !== undefined, 8_000))
        const jobId = await cell.submit(daemon, [createStep()])
        t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', 12_000))
        const state = await cell.advanceUntilSettled(daemon.jobs.stateOf(JOB_ID, 1_000))
        t.true(state.ok)
        t.deepEqual(cell.audit.violations.filter(violation => !violation.startsWith(JOB_ID)), [])
      }
    })
  }
}

// Guards against TWICE: a copy of a worker's entry under another id made the leader believe that the worker had been replaced.
test('an entry of another writer with the address of a worker does not prove that the worker has been replaced', async t => {
  const cell = TestCell.create({ behaviour: () => ({ durationMs: 3_000, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const jobId = await cell.submit(daemon, [createStep()])
  await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
  const [busy, idle] = cell.workers.all()[0]?.runningTasks().length === 1 ? ['w1', 'w2'] as const : ['w2', 'w1'] as const
  const { address } = createWorkerEntry(busy)
  cell.setRegistry([createWorkerEntry('copy-0', { address, born: 99 }), createWorkerEntry(idle)])
  await cell.clock.advance(1_500)
  cell.setRegistry([createWorkerEntry(busy), createWorkerEntry(idle)])
  t.true(await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed'))
  t.deepEqual(cell.audit.violations, [])
})
