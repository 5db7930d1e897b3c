import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import { LeaderLease } from '../leaderLease.js'
import type { TakeoverRequest } from '../leaderLease.js'
import { MemoryStore } from '../testing/index.js'

/** Creates lease holders that share one store; each may have its own clock. */
function createHolders (latencyMs = 5) {
  const clock = ManualClock.create()
  const store = MemoryStore.create({ clock, latencyMs })
  const stopping = new AbortController()
  return {
    clock,
    store,
    stop: () => stopping.abort(),
    start (holder: string, holderClock = clock, fields: Partial<Parameters<typeof LeaderLease.create>[0]> = {}) {
      const epochs: number[] = []
      const lease = LeaderLease.create({ holder, peerAddress: `${holder}:1`, store, unhedgedStore: store, clock: holderClock, log: silentLog, onGained: ({ epoch }) => epochs.push(epoch), onLost: () => {}, ...fields })
      lease.run(stopping.signal).catch(() => {})
      return { lease, epochs }
    }
  }
}

test('the lease of a holder whose VM was suspended expires by the wall clock, since the monotonic clock stops during the suspension', async t => {
  const { clock, start, stop } = createHolders()
  const { lease } = start('a')
  await clock.advance(1_000)
  t.true(lease.isValid())
  clock.stepWallClock(4_000)
  t.false(lease.isValid(), 'the monotonic clock stopped while the VM was suspended')
  stop()
})

test('a candidate whose wall clock steps forward does not take over early', async t => {
  const { clock, start, stop } = createHolders()
  const first = start('a')
  await clock.advance(1_000)
  const second = start('b')
  await clock.advance(700)
  clock.stepWallClock(60_000)
  await clock.advance(1_500)
  t.deepEqual(second.epochs, [])
  t.true(first.lease.isValid())
  stop()
})

test('two holders are never valid at the same time when store calls are refused, applied late or lose their answers', async t => {
  for (let pattern = 0; pattern < 8; pattern++) {
    const { clock, store, start, stop } = createHolders()
    const [first, second] = [start('a'), start('b')]
    let callCount = 0
    store.writeFault = () => {
      const faults = [undefined, { kind: 'answer-lost' }, { kind: 'applied-late', afterMs: 1_700 }, { kind: 'refused' }] as const
      return faults[(callCount++ * (pattern + 3) + pattern) % faults.length]
    }
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 50) {
      await clock.advance(50)
      t.false(first.lease.isValid() && second.lease.isValid(), `pattern ${pattern} at ${elapsedMs} ms`)
    }
    stop()
  }
})

test('a takeover whose answer was lost does not make the lease valid for longer than other candidates wait', async t => {
  const { clock, store, start, stop } = createHolders()
  let sentCount = 0
  store.writeFault = ({ puts }) => {
    const { holder } = puts[0]?.value as { readonly holder: string }
    if (holder !== 'a') return undefined
    return sentCount++ === 0 ? { kind: 'answer-lost' } : { kind: 'refused' }
  }
  const first = start('a')
  await clock.advance(100)
  const second = start('b')
  for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 20) {
    await clock.advance(20)
    t.false(first.lease.isValid() && second.lease.isValid(), `both are valid after ${elapsedMs} ms`)
  }
  t.deepEqual(second.epochs, [2])
  stop()
})

test('a released lease is taken over at the next poll, with a higher epoch', async t => {
  const { clock, start, stop } = createHolders()
  const first = start('a')
  await clock.advance(500)
  const second = start('b')
  await clock.advance(500)
  const released = first.lease.release(0)
  await clock.advance(800)
  await released
  t.deepEqual(second.epochs, [2])
  stop()
})

test('no daemon takes over while the store is unavailable, and the holder resumes its epoch afterwards', async t => {
  const { clock, store, start, stop } = createHolders()
  const [first, second] = [start('a'), start('b')]
  await clock.advance(1_000)
  const holder = first.lease.isValid() ? first : second
  store.isUnavailable = true
  await clock.advance(8_000)
  t.false(first.lease.isValid() || second.lease.isValid())
  store.isUnavailable = false
  await clock.advance(2_500)
  t.true(holder.lease.isValid())
  t.deepEqual([...first.epochs, ...second.epochs], [1])
  stop()
})

test('a holder whose renewal the store refuses is no longer valid when it asks others to take over', async t => {
  const { clock, store, start, stop } = createHolders()
  const wasValidWhenAsked: boolean[] = []
  const first = start('a', clock, {
    findSuccessor: async () => ({
      peerAddress: 'b:1',
      takeOver: async () => {
        wasValidWhenAsked.push(first.lease.isValid())
        return true
      }
    })
  })
  await clock.advance(1_000)
  store.writeFault = () => ({ kind: 'refused' })
  await clock.advance(1_000)
  t.is(wasValidWhenAsked[0], false)
  t.false(first.lease.isValid())
  stop()
})

test('a holder asks others to take over at once, without waiting for its renewal interval, when the store refuses another call', async t => {
  const { clock, store, start, stop } = createHolders()
  let askedAt: number | undefined
  const first = start('a', clock, {
    findSuccessor: async () => {
      askedAt ??= clock.now()
      return undefined
    }
  })
  await clock.advance(1_000)
  store.writeFault = () => ({ kind: 'refused' })
  const refusedAt = clock.now()
  await clock.advance(60)
  first.lease.renewNow()
  await clock.advance(100)
  t.true(askedAt !== undefined && askedAt - refusedAt < 100, 'the next renewal would be up to 0.7 s away')
  stop()
})

// Pattern: the store answers every call, but slowly. Renewals that wait for each other let the lease expire, and a
// successor that can't use the store any sooner makes it worse.
test('the holder stays valid while every answer of the store takes 1.2 s', async t => {
  const { clock, start, stop } = createHolders(1_200)
  const first = start('a')
  const second = start('b', clock, { findSuccessor: async () => undefined })
  await clock.advance(6_000)
  const holder = first.lease.isValid() ? first : second
  for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 50) {
    await clock.advance(50)
    t.true(holder.lease.isValid(), `after ${elapsedMs} ms`)
  }
  t.is(first.epochs.length + second.epochs.length, 1)
  stop()
})

test('a candidate that is asked to take over while it reads the lease gains it once', async t => {
  const { clock, start, stop } = createHolders(400)
  const first = start('a')
  await clock.advance(1_000)
  const second = start('b')
  await clock.advance(3_100)
  const released = first.lease.release(0)
  const taken = second.lease.takeOverFrom({ holder: 'a', epoch: 1, renewals: 100 })
  await clock.advance(5_000)
  await Promise.all([released, taken])
  t.deepEqual(second.epochs, [2])
  stop()
})

// Pattern: a rolling restart reaches the holder while the store is silent for all. A successor could not load its state.
test('a holder that is told to stop keeps the lease until another daemon can use the store', async t => {
  const { clock, store, start, stop } = createHolders()
  let isSuccessorAble = false
  const first = start('a', clock, {
    findSuccessor: async () => isSuccessorAble ? { peerAddress: 'b:1', takeOver: req => second.lease.takeOverFrom(req) } : undefined
  })
  await clock.advance(1_000)
  const second = start('b')
  await clock.advance(1_000)
  store.isUnavailable = true
  const released = first.lease.release(4_000)
  await clock.advance(1_200)
  t.true(first.lease.isValid())
  store.isUnavailable = false
  isSuccessorAble = true
  await clock.advance(3_000)
  await released
  t.false(first.lease.isValid())
  t.deepEqual(second.epochs, [2])
  stop()
})

test('a holder whose request to take over is not confirmed issues no commands until a later renewal is acknowledged', async t => {
  const { clock, store, start, stop } = createHolders()
  const first = start('a', clock, { findSuccessor: async () => ({ peerAddress: 'b:1', takeOver: async () => false }) })
  await clock.advance(1_000)
  t.true(first.lease.isValid())
  store.writeFault = () => ({ kind: 'refused' })
  const transferred = first.lease.transferLeadership()
  await clock.advance(100)
  await transferred
  t.false(first.lease.isValid(), 'the takeover may still be applied')
  store.writeFault = () => undefined
  await clock.advance(1_000)
  t.true(first.lease.isValid())
  stop()
})

// Pattern: the process of the leader is killed while the other daemons run. Waiting for the end of its lease leaves the
// cell without a leader for two seconds.
test('a candidate takes over at once when connections to the holder are refused, and not otherwise', async t => {
  for (const isRefused of [true, false]) {
    const { clock, start, stop } = createHolders()
    const first = start('a')
    await clock.advance(1_000)
    const second = start('b', clock, { refusesConnections: async address => isRefused && address === 'a:1' })
    await clock.advance(500)
    const checked = second.lease.checkHolder('a:1')
    await clock.advance(100)
    await checked
    t.deepEqual(second.epochs, isRefused ? [2] : [])
    await clock.advance(1_000)
    t.is(first.lease.isValid(), !isRefused)
    stop()
  }
})

// Pattern: the store loses a third of its answers. Each lost renewal runs into its timeout although later ones succeed.
test('a holder that loses some answers does not ask others to take over', async t => {
  const { clock, store, start, stop } = createHolders()
  let asked = 0
  const first = start('a', clock, {
    findSuccessor: async () => {
      asked++
      return undefined
    }
  })
  await clock.advance(1_000)
  let sent = 0
  store.writeFault = () => sent++ % 3 === 0 ? { kind: 'answer-lost' } : undefined
  await clock.advance(10_000)
  t.true(first.lease.isValid())
  t.is(asked, 0)
  stop()
})

// Guards against two leaders that both take themselves for the only one (issue 58): a request that a cut held up deposed a live holder.
test('a request to take over that arrives after a later renewal, or in a later epoch of the same holder, has no effect', async t => {
  const { clock, start, stop } = createHolders()
  const requests: TakeoverRequest[] = []
  const first = start('a', clock, {
    findSuccessor: async () => ({
      peerAddress: 'b:1',
      takeOver: async req => {
        requests.push(req)
        return false
      }
    })
  })
  await clock.advance(1_000)
  const second = start('b')
  await clock.advance(1_000)
  await first.lease.transferLeadership()
  await clock.advance(1_000)
  t.true(first.lease.isValid())
  const [req] = requests
  if (req === undefined) throw new Error('no request')
  const late = second.lease.takeOverFrom(req)
  await clock.advance(500)
  t.false(await late)
  const ofEarlierEpoch = second.lease.takeOverFrom({ ...req, epoch: req.epoch - 1, renewals: 100 })
  await clock.advance(500)
  t.false(await ofEarlierEpoch)
  t.deepEqual(second.epochs, [])
  t.true(first.lease.isValid())
  stop()
})
