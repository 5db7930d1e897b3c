import { ManualClock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import test from 'ava'
import { Roster } from '../roster.js'
import { MemoryStore, createEntry } from '../testing/index.js'

test('nothing may be started on a worker from the moment its removal is sent, and a removal without an answer is repeated', async t => {
  const clock = ManualClock.create()
  const store = MemoryStore.create({ clock })
  store.put('leader', 'leader-0', 'epoch', { epoch: 1 })
  const roster = Roster.create({ store, epochVersion: () => 1, log: silentLog })
  const finish = async <T>(promise: Promise<T>) => {
    await clock.advance(2_000)
    return promise
  }
  const both = [createEntry('w1'), createEntry('w2')]
  t.true(await finish(roster.store(both)))
  t.true(roster.has(createEntry('w2')))

  store.writeFault = () => ({ kind: 'answer-lost' })
  const removal = roster.store([createEntry('w1')])
  t.false(roster.has(createEntry('w2')), 'the row may lose it at any moment')
  t.false(await finish(removal))
  store.writeFault = () => undefined
  await finish(roster.store([createEntry('w1')]))
  t.true(await finish(roster.store([createEntry('w1')])))
  t.false(await finish(roster.store([createEntry('w1')])), 'nothing is left to write')
  t.true(await finish(roster.store(both)), 'a worker that is ready again is entered first')
  t.true(roster.has(createEntry('w2')))
})
