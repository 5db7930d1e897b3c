import test from 'ava'
import { ManualClock } from '../clock.js'
import { RemoteClock } from '../remoteClock.js'
import { Stopwatch } from '../stopwatch.js'

/** Creates a remote clock with one reading of 5,000 ms, from a request that took 40 ms. */
async function createClock () {
  const clock = ManualClock.create()
  const remote = RemoteClock.create(clock)
  const sinceRequest = Stopwatch.start(clock)
  await clock.advance(40)
  remote.observe(5_000, sinceRequest)
  return { clock, remote }
}

test('a reading is bounded by the times at which its request was sent and answered', async t => {
  const { clock, remote } = await createClock()
  await clock.advance(100)
  t.deepEqual(remote.now(), { earliest: 5_100, latest: 5_140 })
})

test('a suspension of the VM, during which its monotonic clock stops, does not make the upper bound too early', async t => {
  const { clock, remote } = await createClock()
  // The monotonic clock stands still while the VM is suspended.
  clock.stepWallClock(3_000)
  t.deepEqual(remote.now(), { earliest: 5_000, latest: 8_040 })
})

test('a late response to an older request does not replace a newer reading', async t => {
  const { clock, remote } = await createClock()
  const olderRequest = Stopwatch.start(clock)
  await clock.advance(50)
  const newerRequest = Stopwatch.start(clock)
  await clock.advance(10)
  remote.observe(5_070, newerRequest)
  remote.observe(5_030, olderRequest)
  t.deepEqual(remote.now(), { earliest: 5_070, latest: 5_080 })
})
