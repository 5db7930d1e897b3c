import test from 'ava'
import { HopTimes } from '../hopTimes.js'

test('the first passage of a station counts, and the last one where all tasks have to be there', t => {
  const hops = HopTimes.create('0000000000000001', 1_000)
  hops?.note('known', 1_010)
  hops?.note('sent', 1_020)
  hops?.note('known', 1_030)
  hops?.note('sent', 1_040)
  t.deepEqual(hops?.sinceAdmissionMs(), { known: 10, sent: 40 })
})

test('one job in eight is followed', t => {
  const ids = Array.from({ length: 64 }, (_, index) => index.toString(16).padStart(4, '0').padEnd(16, '0'))
  t.is(ids.filter(id => HopTimes.create(id, 0) !== undefined).length, 8)
})
