import { ManualClock } from '@citronnotch/base/clock'
import { LogFactory } from '@citronnotch/base/logger'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { Readiness } from '../readiness.js'

const APPLY_WITHIN_MS = 2_500
/** Interval of the checks, and some more. */
const CHECKED_WITHIN_MS = 500

/** Returns a daemon's readiness with what it depends on, which tests set. */
function createDaemon (t: ExecutionContext) {
  const clock = ManualClock.create()
  const state = { hasConfig: true, isConfirmed: true, isStoreUnavailable: false }
  const readiness = Readiness.create({
    hasConfig: () => state.hasConfig,
    isConfigConfirmed: () => state.isConfirmed,
    isStoreUnavailable: () => state.isStoreUnavailable,
    applyWithinMs: APPLY_WITHIN_MS,
    clock,
    log: LogFactory.create({ levels: { '*': 'fatal' } }).for('daemon')
  })
  const stopping = new AbortController()
  readiness.run(stopping.signal).catch((err: unknown) => t.fail(String(err)))
  t.teardown(() => stopping.abort())
  return { state, readiness, advance: (ms: number) => clock.advance(ms) }
}

// Guards against LOST: load balancers sent callers to a daemon that could answer nothing.
test('a daemon is not ready without a configuration, without the store, or while its configuration stays old', async t => {
  const { state, readiness, advance } = createDaemon(t)
  await advance(CHECKED_WITHIN_MS)
  t.true(readiness.isReady())
  for (const [field, value] of [['hasConfig', false], ['isStoreUnavailable', true]] as const) {
    state[field] = value
    t.false(readiness.isReady(), `${field}, at once`)
    state[field] = !value
    t.true(readiness.isReady(), `${field}, over`)
  }
  state.isConfirmed = false
  await advance(APPLY_WITHIN_MS + CHECKED_WITHIN_MS)
  t.false(readiness.isReady(), 'stays old')
  state.isConfirmed = true
  await advance(APPLY_WITHIN_MS + CHECKED_WITHIN_MS)
  t.true(readiness.isReady(), 'stays confirmed')
})

// Guards against a zone without daemons: a short outage must not take all of them out of the rotation.
test('a configuration that is old for a short time, or now and then, leaves a daemon ready', async t => {
  const { state, readiness, advance } = createDaemon(t)
  for (let i = 0; i < 5; i++) {
    state.isConfirmed = false
    await advance(APPLY_WITHIN_MS - CHECKED_WITHIN_MS)
    t.true(readiness.isReady(), 'old')
    state.isConfirmed = true
    await advance(CHECKED_WITHIN_MS)
    t.true(readiness.isReady(), 'confirmed')
  }
})

// Guards against a daemon that enters and leaves the rotation again and again.
test('single confirmations do not make a daemon ready again', async t => {
  const { state, readiness, advance } = createDaemon(t)
  state.isConfirmed = false
  await advance(APPLY_WITHIN_MS + CHECKED_WITHIN_MS)
  for (let i = 0; i < 5; i++) {
    state.isConfirmed = true
    // A confirmation holds for 0.8 of the time.
    await advance(0.8 * APPLY_WITHIN_MS)
    t.false(readiness.isReady(), 'confirmed once')
    state.isConfirmed = false
    await advance(CHECKED_WITHIN_MS)
    t.false(readiness.isReady(), 'old again')
  }
})

// Guards against a cell without daemons after an outage of the store, which makes the configuration of all of them old.
test('a daemon is ready as soon as the store is back, however long it was away', async t => {
  const { state, readiness, advance } = createDaemon(t)
  state.isStoreUnavailable = true
  state.isConfirmed = false
  await advance(10 * APPLY_WITHIN_MS)
  t.false(readiness.isReady())
  state.isStoreUnavailable = false
  t.true(readiness.isReady())
  await advance(CHECKED_WITHIN_MS)
  t.true(readiness.isReady(), 'while it reads the configuration again')
  state.isConfirmed = true
  await advance(APPLY_WITHIN_MS)
  t.true(readiness.isReady())
})
