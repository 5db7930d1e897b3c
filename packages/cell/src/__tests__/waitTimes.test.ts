import test from 'ava'
import { WaitTimes } from '../waitTimes.js'

test('the time from one note to the next counts for the cause of the first, and a start begins anew', t => {
  const waitTimes = WaitTimes.create()
  t.deepEqual(waitTimes.take(50), {})
  waitTimes.note('payload', 100)
  waitTimes.note('room', 130)
  waitTimes.note('tickets', 170.4)
  waitTimes.note('room', 270)
  t.deepEqual(waitTimes.take(300), { payload: 30, room: 70, tickets: 100 })
  t.deepEqual(waitTimes.take(400), {})
})
