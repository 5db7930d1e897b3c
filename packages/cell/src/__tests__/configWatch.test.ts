import { ManualClock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { silentLog } from '@citronnotch/base/logger'
import { Err, Ok } from '@citronnotch/base/result'
import { Stopwatch } from '@citronnotch/base/stopwatch'
import test from 'ava'
import fc from 'fast-check'
import { ConfigInForce } from '../configInForce.js'
import { ConfigWatch } from '../configWatch.js'
import { MemoryMetrics } from '../metrics.js'
import { decodeKnownConfig } from '../knownConfig.js'
import { createOddValues, createQueue, spreadOverFields } from '../testing/index.js'
import { SharedLink } from '../testing/sharedLink.js'
import type { Result } from '@citronnotch/base/result'
import type { ConfigReading } from '../ports.js'
import type { CellConfig } from '../types.js'

const APPLY_WITHIN_MS = 2_500
const READ_TIMEOUT_MS = 900
const WATCH_TIMEOUT_MS = 1_700
const PEER_TIMEOUT_MS = 400
const STORE_TRANSFER_TIMEOUT_MS = 10_000
const PEER_TRANSFER_TIMEOUT_MS = 3_000
const LINK_BYTES_PER_SECOND = 1_250_000
const LOST = Err(Failure.mayHaveRun('store-answer-lost', 'The answer of the store was lost.'))
/** Time within which a daemon answers again once the store answers it, without a sign of that: a read that waits for its timeout, and a retry. */
const ANSWER_AGAIN_WITHIN_MS = 2_000
const AGE_CHECK_MS = 200
const STEP_MS = 50
const FUZZ_SEED = 40
const FUZZ_RUNS = 150

// Guards against CONFIG: a busy leader took answers for lost one after the other, and answered by an old configuration for seconds.
test('a configuration whose watch and reads get no answer is taken from other daemons in time', async t => {
  const cell = createCell({ storeDelayMs: () => Infinity, peerDelayMs: () => 20 })
  cell.storeDelayMs = () => 5
  await cell.clock.advance(200)
  cell.storeDelayMs = () => Infinity
  cell.publish()
  await cell.clock.advance(APPLY_WITHIN_MS)
  t.is(cell.inForce.version(), cell.published())
})

// Guards against CONFIG: whatever the store and the other daemons do, no answer relies on a version older than the bound allows.
test('answers and starts rely on a configuration that was the latest within the bound', async t => {
  await fc.assert(fc.asyncProperty(fc.array(fc.record({
    lengthMs: fc.integer({ min: 200, max: 4_000 }),
    storeDelayMs: fc.constantFrom(5, 300, 850, 1_600, Infinity),
    peerDelayMs: fc.constantFrom(5, 150, 390, Infinity),
    arePeersRefused: fc.boolean(),
    configBytes: fc.constantFrom(0, 0, 500_000, 1_900_000, 6_000_000),
    changes: fc.boolean()
  }), { minLength: 2, maxLength: 6 }), async phases => {
    const cell = createCell({ storeDelayMs: () => 5, peerDelayMs: () => 5 })
    await cell.clock.advance(100)
    for (const { lengthMs, storeDelayMs, peerDelayMs, arePeersRefused, configBytes, changes } of phases) {
      cell.storeDelayMs = () => storeDelayMs
      cell.peerDelayMs = () => peerDelayMs
      cell.arePeersRefused = arePeersRefused
      cell.configBytes = configBytes
      if (changes) cell.publish()
      for (let elapsedMs = 0; elapsedMs < lengthMs; elapsedMs += STEP_MS) {
        const dueVersion = cell.publishedBefore(APPLY_WITHIN_MS)
        cell.watch.mayAnswer().then(mayAnswer => {
          if (mayAnswer && cell.inForce.version() < dueVersion) throw new Error(`answers by ${cell.inForce.version()} when ${dueVersion} is due`)
        }).catch((err: unknown) => cell.violations.push(String(err)))
        await cell.clock.advance(STEP_MS)
        if (cell.watch.isConfirmed() && cell.inForce.version() < cell.publishedBefore(APPLY_WITHIN_MS)) throw new Error(`starts by ${cell.inForce.version()}`)
      }
      if (cell.violations.length > 0) throw new Error(cell.violations[0])
    }
    cell.stop()
  }), { seed: FUZZ_SEED, numRuns: FUZZ_RUNS })
  t.pass()
})

// Guards against CONFIG: daemons that the store refused took it from each other that nobody had a later configuration, without an upper bound.
test('that the others have no later configuration allows neither answers nor starts', async t => {
  const cell = createCell({ storeDelayMs: () => 5, peerDelayMs: () => 5 })
  await cell.clock.advance(100)
  for (const peerDelayMs of [5, Infinity]) {
    cell.storeDelayMs = () => Infinity
    cell.peerDelayMs = () => peerDelayMs
    cell.arePeersRefused = true
    await cell.clock.advance(APPLY_WITHIN_MS)
    for (let elapsedMs = 0; elapsedMs < 4 * APPLY_WITHIN_MS; elapsedMs += STEP_MS) {
      t.false(cell.watch.isConfirmed())
      t.false(await cell.watch.mayAnswer(), 'without waiting')
      await cell.clock.advance(STEP_MS)
    }
    cell.storeDelayMs = () => 5
    await cell.clock.advance(ANSWER_AGAIN_WITHIN_MS)
    t.true(await cell.watch.mayAnswer())
    t.true(cell.watch.isConfirmed())
  }
  cell.stop()
})

// Guards against CONFIG: after a suspension, requests were answered by what had been confirmed before it.
test('what was confirmed before a suspension allows neither answers nor starts after it', async t => {
  const cell = createCell({ storeDelayMs: () => 5, peerDelayMs: () => 5 })
  await cell.clock.advance(100)
  t.true(cell.watch.isConfirmed())
  cell.storeDelayMs = () => Infinity
  // The monotonic clock stands still while the VM is suspended.
  cell.clock.stepWallClock(APPLY_WITHIN_MS)
  t.false(cell.watch.isConfirmed())
  cell.publish()
  const mayAnswer = cell.watch.mayAnswer().then(allowed => [allowed, cell.inForce.version()])
  await cell.clock.advance(STEP_MS)
  t.deepEqual(await mayAnswer, [true, cell.published()])
  cell.stop()
})

// Guards against lost service: after an outage, a daemon refused requests until a read that was sent during it had timed out.
test('a daemon answers soon after an outage of the store', async t => {
  const cell = createCell({ storeDelayMs: () => 5, peerDelayMs: () => 5 })
  await cell.clock.advance(100)
  cell.storeDelayMs = () => Infinity
  cell.arePeersRefused = true
  cell.storeUnavailableMs = 1
  await cell.clock.advance(2 * APPLY_WITHIN_MS)
  t.false(await cell.watch.mayAnswer())
  cell.storeDelayMs = () => 5
  cell.storeUnavailableMs = 0
  await cell.clock.advance(AGE_CHECK_MS + STEP_MS)
  t.true(await cell.watch.mayAnswer())
  cell.stop()
})

// Guards against CONFIG: a read that returns an older version must neither put it in force nor confirm the newer one.
test('an older version is not put in force and confirms nothing', async t => {
  const cell = createCell({ storeDelayMs: () => 5, peerDelayMs: () => Infinity })
  cell.publish()
  await cell.clock.advance(100)
  const version = cell.inForce.version()
  cell.readVersion = () => version - 1
  await cell.clock.advance(2 * APPLY_WITHIN_MS)
  t.is(cell.inForce.version(), version)
  t.false(await cell.watch.mayAnswer())
})

// Guards against lost service and CONFIG: a daemon that the store has never answered does not know the store's clock, and could not tell how old the answers of others are.
test('a daemon that the store has never answered answers by what others have, for as long as their confirmation holds', async t => {
  const cell = createCell({ storeDelayMs: () => Infinity, peerDelayMs: () => 20 })
  cell.isStoreClockKnown = false
  await cell.clock.advance(APPLY_WITHIN_MS)
  t.true(await cell.watch.mayAnswer())
  cell.peerDelayMs = () => Infinity
  await cell.clock.advance(APPLY_WITHIN_MS)
  t.false(await cell.watch.mayAnswer())
  cell.stop()
})

// Guards against CONFIG: a read that found no row confirmed the version that another daemon had given.
test('a read without a configuration confirms nothing', async t => {
  const cell = createCell({ storeDelayMs: () => 5, peerDelayMs: () => Infinity })
  await cell.clock.advance(100)
  const version = cell.inForce.version()
  cell.hasRow = false
  cell.storeFailsWatches = true
  await cell.clock.advance(2 * APPLY_WITHIN_MS)
  t.is(cell.inForce.version(), version)
  t.false(await cell.watch.mayAnswer())
  cell.stop()
})

// Guards against wasted bytes: a large configuration must not travel to a daemon that has no use for it.
test('only a daemon that has an earlier version is sent the configuration', async t => {
  const cell = createCell({ storeDelayMs: () => 5, peerDelayMs: () => 5 })
  await cell.clock.advance(100)
  const version = cell.inForce.version()
  t.is(cell.inForce.known(version - 1)?.config?.version, version)
  for (const theirVersion of [version, version + 1]) {
    t.is(cell.inForce.known(theirVersion)?.version, version)
    t.is(cell.inForce.known(theirVersion)?.config, undefined)
  }
  cell.stop()
})

// Guards against processes that end by themselves, and against CONFIG by a configuration that is not whole.
test('no odd value of another daemon is taken for its configuration', t => {
  const queue = { ...createQueue(), advice: { decisionMs: 1, perWorkerMs: 1, validityMs: 1 } }
  const config = { version: 3, queues: [queue], limits: { maxBodyBytes: 1 } }
  const valid = { version: 3, ageMs: 1, config }
  t.deepEqual(decodeKnownConfig(JSON.parse(JSON.stringify(valid)), false), valid)
  for (const [description, odd] of createOddValues()) {
    if (odd === undefined) continue
    for (const value of spreadOverFields(valid, odd)) t.notThrows(() => decodeKnownConfig(value, false), description)
    for (const value of spreadOverFields(queue, odd)) t.notThrows(() => decodeKnownConfig({ ...valid, config: { ...config, queues: [value] } }, false), description)
    t.is(decodeKnownConfig({ ...valid, config: odd }, false), undefined, description)
    t.is(decodeKnownConfig({ ...valid, ageMs: -1 }, false), undefined, 'an age before which there can be no confirmation')
    t.is(decodeKnownConfig({ ...valid, config: { ...config, queues: [{ ...queue, pathPrefix: 7 }] } }, false), undefined, description)
  }
})

interface Delays {
  /** Time that the store takes to answer; `Infinity`: it doesn't. */
  storeDelayMs: () => number
  peerDelayMs: () => number
}

interface Cell extends Delays {
  readonly clock: ManualClock
  readonly inForce: ConfigInForce
  readonly watch: ConfigWatch
  readonly violations: string[]
  /** Whether the other daemons have the first version only, known to be the latest when they started. */
  arePeersRefused: boolean
  /** Size of the configuration, which the store and the other daemons send over one link. */
  configBytes: number
  storeUnavailableMs: number
  isStoreClockKnown: boolean
  /** Whether a read finds the row of the configuration. */
  hasRow: boolean
  storeFailsWatches: boolean
  /** Version that the store returns. */
  readVersion: () => number
  /** Latest version that was published. */
  published (): number
  /** Latest version that was published at least `ms` ago. */
  publishedBefore (ms: number): number
  publish (): void
  stop (): void
}

function createCell (delays: Delays): Cell {
  const clock = ManualClock.create()
  const abort = new AbortController()
  const link = SharedLink.create(clock, LINK_BYTES_PER_SECOND)
  const publishedAt: number[] = [0]
  // Runs on while the VM is suspended.
  const sinceStart = Stopwatch.start(clock)
  const storeMs = () => sinceStart.elapsedMs()
  const now = () => cell.isStoreClockKnown ? { earliest: storeMs(), latest: storeMs() } : undefined
  const inForce = ConfigInForce.create({ storeClock: now, clock, log: silentLog })
  const cell: Cell = {
    ...delays,
    clock,
    inForce,
    violations: [],
    arePeersRefused: false,
    configBytes: 0,
    storeUnavailableMs: 0,
    isStoreClockKnown: true,
    hasRow: true,
    storeFailsWatches: false,
    published: () => publishedAt.length,
    publishedBefore: ms => publishedAt.filter(at => at + ms <= clock.now()).length,
    publish: () => { publishedAt.push(clock.now()) },
    readVersion: () => publishedAt.length,
    stop: () => abort.abort(),
    watch: ConfigWatch.create({
      inForce,
      directory: {
        readConfig: onBegin => answer(cell.storeDelayMs(), READ_TIMEOUT_MS, 0, onBegin),
        watchConfig: async (version, waitMs, onBegin) => {
          const deadline = clock.now() + waitMs
          while (cell.readVersion() <= version && clock.now() < deadline) await clock.sleep(STEP_MS)
          return answer(cell.storeFailsWatches ? Infinity : cell.storeDelayMs(), WATCH_TIMEOUT_MS, waitMs, onBegin)
        },
        listWorkers: () => Promise.reject(new Error('not used')),
        listWaves: () => Promise.reject(new Error('not used')),
        publishWave: () => Promise.reject(new Error('not used'))
      },
      askPeers: () => [0, 1, 2].map(async () => {
        const delayMs = cell.peerDelayMs()
        await clock.sleep(Math.min(delayMs, PEER_TIMEOUT_MS))
        if (delayMs > PEER_TIMEOUT_MS) return undefined
        const known = () => {
          const config = cell.arePeersRefused ? configOf(1) : configOf(publishedAt.length)
          return { version: config.version, ageMs: cell.arePeersRefused ? clock.now() : 0, config }
        }
        if (cell.configBytes === 0) return known()
        const fetch = async () => {
          const sent = known()
          return await link.transfer(cell.configBytes, PEER_TRANSFER_TIMEOUT_MS) ? sent : undefined
        }
        return { version: known().version, ageMs: known().ageMs, fetch }
      }),
      storeUnavailableMs: () => cell.storeUnavailableMs,
      applyWithinMs: APPLY_WITHIN_MS,
      clock,
      log: silentLog,
      metrics: MemoryMetrics.create()
    })
  }
  async function answer (delayMs: number, timeoutMs: number, waitedMs: number, onBegin?: () => void): Promise<Result<ConfigReading, Failure>> {
    await clock.sleep(Math.min(delayMs, timeoutMs - Math.min(waitedMs, timeoutMs)))
    if (delayMs + waitedMs > timeoutMs) return LOST
    const version = cell.readVersion()
    const reading = { config: cell.hasRow ? configOf(version) : undefined, version, asOfMs: storeMs() }
    onBegin?.()
    if (cell.configBytes > 0 && !await link.transfer(cell.configBytes, STORE_TRANSFER_TIMEOUT_MS)) return LOST
    return Ok(reading)
  }
  for (const run of [cell.watch.run(abort.signal), cell.watch.monitor(abort.signal)]) run.catch((err: unknown) => cell.violations.push(String(err)))
  return cell
}

function configOf (version: number): CellConfig {
  return { version, queues: [createQueue()], limits: { maxBodyBytes: 1 } }
}
