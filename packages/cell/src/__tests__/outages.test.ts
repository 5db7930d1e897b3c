import { ManualClock } from '@citronnotch/base/clock'
import test from 'ava'
import { CrashRecord } from '../crashRecord.js'
import { OUTAGE_WINDOW_MS, Outages } from '../outages.js'
import { createWorkerEntry } from '../testing/index.js'

/** `perDomain` workers in each of three failure domains, each of them one rack. */
function createOutages (perDomain: number) {
  const clock = ManualClock.create()
  const workers = ['a', 'b', 'c'].flatMap(zone => Array.from({ length: perDomain }, (_, index) => createWorkerEntry(`${zone}${index}`, { zone, labels: ['k', `r-${zone}`] })))
  const silent = new Set<string>()
  const outages = Outages.create<string>({ workers: () => workers.map(worker => ({ ...worker, isSilent: silent.has(worker.id) })), clock })
  const crash = (id: string) => {
    const worker = workers.find(other => other.id === id)
    return worker === undefined ? [] : outages.record({ worker, charges: [id] }).filter(({ domain }) => domain.startsWith('zone')).map(({ domain, crashes }) => [domain, crashes.flatMap(({ charges }) => charges)])
  }
  return { clock, outages, workers, silent, crash }
}

test('three quarters of the workers of a failure domain that crash within the window are an outage, with those that crashed first', t => {
  const { crash } = createOutages(8)
  for (const id of ['a0', 'a1', 'b0', 'a2', 'a3', 'a4']) t.deepEqual(crash(id), [])
  t.deepEqual(crash('a5'), [['zone a', ['a0', 'a1', 'a2', 'a3', 'a4', 'a5']]])
})

// Guards against BUDGET: many crashes all over the cell may be those of many tasks.
test('crashes all over the cell, of few workers, of one again and again, or far apart are no outage', async t => {
  const { crash, clock } = createOutages(8)
  for (let index = 0; index < 5; index++) for (const zone of ['a', 'b', 'c']) t.deepEqual(crash(`${zone}${index}`), [])
  for (let index = 0; index < 8; index++) t.deepEqual(crash('a0'), [])
  await clock.advance(OUTAGE_WINDOW_MS)
  t.deepEqual(crash('a5'), [])
  const few = createOutages(3)
  for (let index = 0; index < 3; index++) t.deepEqual(few.crash(`a${index}`), [])
})

// Guards against BUDGET: a storm of guilty tasks may take down most workers of a small rack.
test('crashes of most workers of a domain beside many others are no outage', t => {
  const { crash } = createOutages(8)
  for (const id of ['b0', 'b1', 'c0', 'a0', 'a1', 'a2', 'a3', 'a4', 'a5', 'a6']) t.deepEqual(crash(id), [])
})

test('a crash may be of an outage while as many workers of its domain as it takes have crashed or are silent', t => {
  const { crash, outages, silent, workers: [worker] } = createOutages(8)
  if (worker === undefined) return t.fail()
  crash('a0')
  t.false(outages.mayHaveOutage(worker))
  for (const id of ['a0', 'a1', 'a2', 'a3', 'a4']) silent.add(id)
  t.false(outages.mayHaveOutage(worker))
  silent.add('a5')
  t.true(outages.mayHaveOutage(worker))
})

test('a run that an outage has ended does not count against its task until it has crashes of its own', t => {
  const record = CrashRecord.create()
  for (const run of [1, 2, 3, 4, 5, 6]) {
    record.add(run, false, 'w')
    record.excuse(run, 'w')
  }
  t.deepEqual([record.count(), record.isSuspect(), record.isExhausted(), record.hasRecord()], [0, false, false, true])
  t.deepEqual(record.runs().outage, [1, 2, 3])
  record.add(7, false, 'w')
  t.false(record.isExhausted())
  record.add(8, false, 'w')
  t.true(record.isExhausted(), 'two starts have followed the third crash')
})

test('a run of a gang is excused when the crashes under all of its members are', t => {
  const record = CrashRecord.create()
  record.add(1, false, '0 w0')
  record.add(1, false, '1 w1')
  record.excuse(1, '0 w0')
  t.is(record.count(), 1)
  record.excuse(1, '1 w1')
  t.is(record.count(), 0)
})
