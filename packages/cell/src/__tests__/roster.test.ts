import { ManualClock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import test from 'ava'
import { Roster } from '../roster.js'
import { MemoryStore, createWorkerEntry } from '../testing/index.js'

test('no run may be started on a worker once its removal is sent, and an unanswered removal is sent again', async t => {
  const clock = ManualClock.create()
  const store = MemoryStore.create({ clock })
  store.put('leader', 'leader-0', 'epoch', { epoch: 1 })
  const roster = Roster.create({ store, epochVersion: () => 1, log: silentLog })
  const settle = async <T>(promise: Promise<T>) => {
    await clock.advance(2_000)
    return promise
  }
  const both = [createWorkerEntry('w1'), createWorkerEntry('w2')]
  t.true(await settle(roster.store(both)))
  t.true(roster.hasActive(createWorkerEntry('w2')))

  store.writeFault = () => ({ kind: 'answer-lost' })
  const removal = roster.store([createWorkerEntry('w1')])
  t.false(roster.hasActive(createWorkerEntry('w2')), 'the row may lose the worker at any moment')
  t.false(await settle(removal))
  store.writeFault = () => undefined
  await settle(roster.store([createWorkerEntry('w1')]))
  t.true(await settle(roster.store([createWorkerEntry('w1')])))
  t.false(await settle(roster.store([createWorkerEntry('w1')])), 'the row already has these members')
  t.true(await settle(roster.store(both)), 'a worker that is ready again is stored before it is used')
  t.true(roster.hasActive(createWorkerEntry('w2')))
})
