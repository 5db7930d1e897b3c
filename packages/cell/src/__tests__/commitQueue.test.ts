import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import { CommitQueue } from '../commitQueue.js'
import { Job } from '../jobs.js'
import type { JobProgress, StoredProgress } from '../storedProgress.js'
import { MemoryStore, createStep } from '../testing/index.js'

const PARTITION = 'leader-0'

function createCommitQueue (prepare: (store: MemoryStore) => void = () => {}) {
  const clock = ManualClock.create()
  const store = MemoryStore.create({ clock })
  prepare(store)
  store.put('leader', PARTITION, 'epoch', { epoch: 1 })
  const epochVersion = store.get('leader', PARTITION, 'epoch')?.version ?? 0
  const stopping = new AbortController()
  let isDeposed = false
  const rejected: string[] = []
  const commits = CommitQueue.create({ store, partition: PARTITION, epochVersion: () => epochVersion, mayIssueCommands: () => true, onDeposed: () => { isDeposed = true }, onEarlierProgress: (row, value) => row.job.restore((value as { readonly occurrences: JobProgress }).occurrences, row.progressVersion), onRejected: job => rejected.push(job.id), onRefused: () => {}, clock, log: silentLog })
  const run = () => { commits.run(stopping.signal).catch(() => {}) }
  run()
  const job = Job.create('00000000000000aa', { queue: 'q', service: 's', admittedAtMs: 0, spec: { steps: [createStep({ count: 2 })] } }, 1)
  const finish = (index: number) => {
    const task = job.task({ jobId: job.id, occurrence: 0, step: 0, index })
    if (task !== undefined) task.step.markDone(task)
  }
  const stored = () => store.get('progress', PARTITION, job.id)?.value as StoredProgress | undefined
  return { clock, store, commits, job, finish, stored, isDeposed: () => isDeposed, rejected, restart: run, stop: () => stopping.abort() }
}

test('a transaction that is applied late does not undo a later one', async t => {
  const { clock, store, commits, job, finish, stored, stop } = createCommitQueue()
  let sent = 0
  store.writeFault = () => sent++ === 0 ? { kind: 'applied-late', afterMs: 3_000 } : undefined
  finish(0)
  commits.stage(job).catch(() => {})
  await clock.advance(2_000)
  finish(1)
  commits.stage(job).catch(() => {})
  await clock.advance(4_000)
  t.deepEqual(stored(), { occurrences: { 0: [{ done: '11' }] } })
  stop()
})

test('a transaction whose answer was lost is recognised as applied and not retried forever', async t => {
  const { clock, store, commits, job, finish, stop } = createCommitQueue()
  let sent = 0
  store.writeFault = () => sent++ === 0 ? { kind: 'answer-lost' } : undefined
  finish(0)
  let isStored = false
  commits.stage(job).then(() => { isStored = true }).catch(() => {})
  await clock.advance(3_000)
  t.true(isStored)
  t.is(commits.size(), 0)
  stop()
})

// Guards against LOST: a job whose progress the store can't take kept the progress of all other jobs from being stored.
test('a job whose progress the store rejects does not keep the others from being stored, and is stored once it is accepted', async t => {
  const { clock, store, commits, job, stored, stop } = createCommitQueue()
  const others = Array.from({ length: 60 }, (_, index) => Job.create(`00000000000001${(16 + index).toString(16)}`, job.record, 1))
  const areStored: string[] = []
  store.writeFault = tx => tx.puts.some(({ key }) => key === job.id) ? { kind: 'rejected' } : undefined
  for (const staged of [...others.slice(0, 20), job, ...others.slice(20)]) commits.stage(staged).then(() => areStored.push(staged.id)).catch(() => {})
  await clock.advance(2_000)
  t.deepEqual([...areStored].sort(), others.map(({ id }) => id))
  t.is(stored(), undefined)
  store.writeFault = () => undefined
  await clock.advance(6_000)
  t.true(areStored.includes(job.id))
  stop()
})

// Guards against LOST (issue 78): a batch that did not fit through the link within the timeout was sent again and again in full.
test('rows that do not fit through the link in one transaction are stored in several', async t => {
  const { clock, store, commits, job, stop } = createCommitQueue()
  const fittingRows = 10
  store.writeFault = tx => tx.puts.length > fittingRows ? { kind: 'applied-late', afterMs: 1e9 } : undefined
  const jobs = Array.from({ length: 60 }, (_, index) => Job.create(`00000000000001${(16 + index).toString(16)}`, job.record, 1))
  let stored = 0
  for (const staged of jobs) commits.stage(staged).then(() => stored++).catch(() => {})
  await clock.advance(20_000)
  t.is(stored, jobs.length)
  const { length } = store.committedTransactions
  store.writeFault = () => undefined
  for (const staged of jobs) commits.enqueue(staged)
  await clock.advance(1_000)
  t.true(store.committedTransactions.length - length <= 5, 'larger ones are tried again')
  stop()
})

// Guards against TWICE (issue 58): a row of an earlier leader that was not read was taken for an own one and overwritten.
test('a progress row of an earlier leader is continued, not overwritten', async t => {
  const { clock, commits, job, finish, stored, stop } = createCommitQueue(store => store.put('progress', PARTITION, '00000000000000aa', { occurrences: { 0: [{ done: '10' }] } }))
  finish(1)
  commits.stage(job).catch(() => {})
  await clock.advance(2_000)
  t.deepEqual(stored(), { occurrences: { 0: [{ done: '11' }] } })
  stop()
})

test('a deposed leader stores nothing', async t => {
  const { clock, store, commits, job, finish, stored, isDeposed, stop } = createCommitQueue()
  store.put('leader', PARTITION, 'epoch', { epoch: 2 })
  finish(0)
  commits.stage(job).catch(() => {})
  await clock.advance(1_000)
  t.true(isDeposed())
  t.is(stored(), undefined)
  stop()
})

// Guards against SHORT (issue 53): outcomes queued behind the rows of starts, one transaction after another.
test('outcomes go into the next transaction, however many starts were queued before them', async t => {
  const { clock, commits, job, stop } = createCommitQueue()
  const others = Array.from({ length: 200 }, (_, index) => Job.create(`00000000000001${(16 + index).toString(16)}`, job.record, 1))
  for (const other of others) commits.enqueue(other, 'start')
  await clock.advance(40)
  job.outcome = 'completed'
  let isStored = false
  commits.stage(job).then(() => { isStored = true }).catch(() => {})
  await clock.advance(20)
  t.true(isStored)
  stop()
})

// Guards against LOST: what waited for rows in the second half of a batch waited for good, once the first half had thrown.
test('the rows of a rejected batch are stored although storing some of them throws', async t => {
  const { clock, store, commits, job, stop, restart } = createCommitQueue()
  const others = Array.from({ length: 3 }, (_, index) => Job.create(`00000000000001${16 + index}`, job.record, 1))
  const jobs = [job, ...others]
  const areStored: string[] = []
  let sent = 0
  store.writeFault = () => {
    sent++
    if (sent === 1) return { kind: 'rejected' }
    if (sent === 2) throw new Error('unforeseen')
    return undefined
  }
  for (const staged of jobs) commits.stage(staged).then(() => areStored.push(staged.id)).catch(() => {})
  await clock.advance(1_000)
  restart()
  await clock.advance(1_000)
  t.deepEqual([...areStored].sort(), jobs.map(({ id }) => id).sort())
  stop()
})
