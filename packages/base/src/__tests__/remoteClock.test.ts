import test from 'ava'
import { ManualClock } from '../clock.js'
import { RemoteClock } from '../remoteClock.js'
import { Stopwatch } from '../stopwatch.js'

/** A clock whose server read 5,000 ms while a request was under way for 40 ms. */
async function createClock () {
  const clock = ManualClock.create()
  const remote = RemoteClock.create(clock)
  const sent = Stopwatch.start(clock)
  await clock.advance(40)
  remote.observe(5_000, sent)
  return { clock, remote }
}

test('a reading is bounded by the times at which its request was sent and answered', async t => {
  const { clock, remote } = await createClock()
  await clock.advance(100)
  t.deepEqual(remote.now(), { earliest: 5_100, latest: 5_140 })
})

test('a suspension of the VM makes no bound on the latest time too early', async t => {
  const { clock, remote } = await createClock()
  // The monotonic clock stands still while the VM is suspended.
  clock.stepWallClock(3_000)
  t.deepEqual(remote.now(), { earliest: 5_000, latest: 8_040 })
})

test('an answer that was overtaken does not replace a newer reading', async t => {
  const { clock, remote } = await createClock()
  const early = Stopwatch.start(clock)
  await clock.advance(50)
  const late = Stopwatch.start(clock)
  await clock.advance(10)
  remote.observe(5_070, late)
  remote.observe(5_030, early)
  t.deepEqual(remote.now(), { earliest: 5_070, latest: 5_080 })
})
