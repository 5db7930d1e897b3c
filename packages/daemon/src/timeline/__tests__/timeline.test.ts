import test from 'ava'
import { ManualClock } from '../../clock.js'
import { HybridClock, Timeline } from '../index.js'

function fixture (capacity = 100) {
  const clock = ManualClock.create()
  const hlc = HybridClock.create(clock)
  return { clock, hlc, timeline: Timeline.create({ daemonId: 'd1', hlc, capacity }) }
}

test('an event after a message from a daemon with a fast clock is stamped later than the message', t => {
  const { hlc, clock } = fixture()
  const remote = { wallMs: clock.date().getTime() + 60_000, logical: 7 }
  hlc.observe(remote)
  t.deepEqual(hlc.tick(), { wallMs: remote.wallMs, logical: 8 })
})

test('stamps keep growing when the wall clock steps back', t => {
  const { hlc, clock } = fixture()
  const before = hlc.tick()
  clock.stepWallClock(-10_000)
  const after = hlc.tick()
  t.true(after.wallMs === before.wallMs && after.logical > before.logical)
})

test('a reader that falls behind learns how many events were overwritten', t => {
  const { timeline } = fixture(10)
  for (let i = 0; i < 25; i++) timeline.record('task-started', `event ${i}`)
  const page = timeline.page(0, 100)
  t.is(page.dropped, 15)
  t.deepEqual(page.events.map(event => event.seq), [16, 17, 18, 19, 20, 21, 22, 23, 24, 25])
  t.is(timeline.page(page.lastSeq, 100).events.length, 0)
})
