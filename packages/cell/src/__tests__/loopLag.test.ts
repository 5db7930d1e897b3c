import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { LoopLag } from '../loopLag.js'

/** A clock whose timers fire late, as those of a busy process do. */
function createLateClock () {
  const clock = ManualClock.create()
  const late = { ms: 0 }
  const after = clock.after.bind(clock)
  clock.after = (ms, callback) => after(ms + late.ms, callback)
  return { clock, late }
}

// Guards against SHORT (issue 53): work that can wait was put off from 85% of the processor on, when messages had waited for tens of milliseconds already.
test('the lag is high while messages wait for the loop, and not any more soon after', async t => {
  const { clock, late } = createLateClock()
  const lag = LoopLag.create(clock)
  lag.start()
  await clock.advance(1_000)
  t.false(lag.isHigh())
  late.ms = 30
  await clock.advance(1_500)
  t.is(Math.round(lag.meanMs()), 30)
  t.true(lag.isHigh())
  late.ms = 0
  await clock.advance(600)
  t.false(lag.isHigh())
  lag.stop()
})
