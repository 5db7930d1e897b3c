import test from 'ava'
import { gangOf, coresOf, ofType, placerWith, placesOf, taskOf, workerOf } from './fixtures.js'

test('a gang job that fits only in part starts nothing and holds nothing', t => {
  const placer = placerWith([workerOf('w')])
  placer.enqueue(gangOf('g', 3, { resources: coresOf(8) }))
  t.deepEqual(placer.decide(0, 100).filter(({ type }) => type !== 'park'), [])
  t.is(placer.used('w').cores, 0)
})

test('urgent work preempts the batch task with the shortest run, and only once while it stops', t => {
  const placer = placerWith([workerOf('w1'), workerOf('w2')])
  placer.occupy(taskOf('old', { resources: coresOf(16) }), 'w1', 0)
  placer.occupy(taskOf('young', { resources: coresOf(16) }), 'w2', 50_000)
  placer.enqueue([taskOf('u', { urgent: true, resources: coresOf(4) })])
  t.deepEqual(placer.decide(60_000, 100), [{ type: 'preempt', taskId: 'young', workerId: 'w2', forTaskId: 'u' }])
  t.deepEqual(placer.decide(61_000, 100), [])
  placer.release('young')
  t.deepEqual(placesOf(placer.decide(62_000, 100)), new Map([['u', 'w2']]))
})

test('tasks that can never run are parked with the reason', t => {
  const placer = placerWith([workerOf('w')])
  placer.enqueue([taskOf('big', { resources: coresOf(17) }), taskOf('far', { regions: ['x'] }), ...gangOf('wide', 3, { resources: coresOf(8) })])
  const reasons = new Map(ofType(placer.decide(0, 100), 'park').map(({ taskId, reason }) => [taskId, reason]))
  t.regex(reasons.get('big') ?? '', /large enough/)
  t.regex(reasons.get('far') ?? '', /regions x/)
  t.regex(reasons.get('wide/0') ?? '', /at most 2 places/)
})

test('nothing is parked before a worker is known', t => {
  const placer = placerWith([])
  placer.enqueue([taskOf('a')])
  t.deepEqual(placer.decide(1_000_000, 100), [])
})

test('a worker is suspended after failures of different jobs, gets one probe, and a failed probe doubles the backoff', t => {
  const placer = placerWith([workerOf('w')], { suspendBackoffMs: 1_000 })
  for (const job of ['a', 'b', 'c']) placer.noteFailed('w', job, 0)
  placer.enqueue([taskOf('d/0'), taskOf('e/0')])
  t.true(placer.isSuspended('w', 999))
  t.deepEqual(placer.decide(999, 100), [])
  t.is(placer.decide(1_000, 100).length, 1)
  t.deepEqual(placer.decide(1_000, 100), [])
  placer.noteFailed('w', 'd', 1_100)
  placer.release('d/0')
  t.true(placer.isSuspended('w', 3_099))
  t.is(placer.decide(3_100, 100).length, 1)
  placer.noteStarted('w', 'e')
  t.false(placer.isSuspended('w', 3_200))
})
