import test from 'ava'
import { retryAfterMs } from '../retryAfter.js'

test('retry delay of refused callers: grows with the duration of the outage and is bounded', t => {
  const noJitter = () => 0
  t.is(retryAfterMs(0, noJitter), 1_000)
  t.is(retryAfterMs(1_600, noJitter), 1_600)
  t.is(retryAfterMs(60_000, noJitter), 2_000)
})

test('retry delay of refused callers: jitter adds up to a quarter, so that callers do not all retry at once', t => {
  const times = Array.from({ length: 100 }, (_, index) => retryAfterMs(4_000, () => index / 100))
  t.is(Math.min(...times), 2_000)
  t.true(Math.max(...times) <= 2_500)
  t.true(new Set(times).size > 90)
})
