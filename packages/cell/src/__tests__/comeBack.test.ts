import test from 'ava'
import { comeBackAfterMs } from '../comeBack.js'

test('refused callers of a long outage: the time to come back grows with the outage and is bounded', t => {
  const early = () => 0
  t.is(comeBackAfterMs(0, early), 1_000)
  t.is(comeBackAfterMs(1_600, early), 1_600)
  t.is(comeBackAfterMs(60_000, early), 2_000)
})

test('refused callers of a long outage: they are spread over a quarter of the time', t => {
  const times = Array.from({ length: 100 }, (_, index) => comeBackAfterMs(4_000, () => index / 100))
  t.is(Math.min(...times), 2_000)
  t.true(Math.max(...times) <= 2_500)
  t.true(new Set(times).size > 90)
})
