import test from 'ava'
import { Failure } from '@citronnotch/base/errors'
import { ManualClock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import { Err, Ok } from '@citronnotch/base/result'
import { AdviceCache, expectedCallMs } from '../advice.js'
import type { AdviceAgent } from '../advice.js'
import { Job } from '../jobs.js'
import type { Step } from '../jobs.js'
import { createStep } from '../testing/index.js'
import { createSilentLinks } from '../testing/silentWorkers.js'
import type { AdvicePolicy } from '../types.js'

const ROUND_INTERVAL_MS = 20
const WORKERS = 30
const LONG: AdvicePolicy = { decisionMs: 390, perWorkerMs: 5.6, validityMs: 2_500 }
const SHORT: AdvicePolicy = { decisionMs: 16, perWorkerMs: 0.23, validityMs: 2_500 }
const LONG_CALL_MS = expectedCallMs(LONG, WORKERS)
/** Time after which a leader has seen that no short calls are asked for, in milliseconds. */
const QUIET_MS = 12_000
/** Share of the agents that long calls may use in any case. */
const LONG_SHARE = 0.6
const POOLS = [7, 42, 97]
/** Numbers of workers in two short calls whose expected durations don't cancel out exactly if they are taken off in the order in which they were added. */
const UNEVEN_CALLS = [20, 24]

/** Agents that answer one call after another, and steps that wait for one. Short calls go first, as those of urgent queues do, unless long ones are said to. */
function createPool ({ agents: count, failing = 0, failures = {}, longFirst = false }: { readonly agents: number, readonly failing?: number, readonly failures?: { throws?: boolean }, readonly longFirst?: boolean }) {
  const clock = ManualClock.create()
  const links = createSilentLinks({ count: WORKERS, capacity: { milliCores: 8_000, memoryMb: 64_000, accelerators: 0 }, clock })
  const open = { long: 0, total: 0 }
  const peak = { long: 0 }
  const asked = { long: 0 }
  const waitsMs: number[] = []
  const waiting: { long: Step[], short: Array<{ readonly step: Step, readonly since: number }> } = { long: [], short: [] }
  let jobs = 0
  const agents = Array.from({ length: count }, (_, index): AdviceAgent => {
    let freeAt = 0
    return {
      name: `agent-${index}`,
      approve: async (step, workerIds) => {
        if (failures.throws === true) throw new Error('The connection is in an unexpected state.')
        if (index < failing) return Err(Failure.notRun('refused', 'The daemon refuses connections.'))
        const isLong = longIds.has(step.split('.')[0] ?? '')
        freeAt = Math.max(freeAt, clock.now()) + expectedCallMs(isLong ? LONG : SHORT, workerIds.length)
        open.total++
        if (isLong) peak.long = Math.max(peak.long, ++open.long)
        await clock.sleep(freeAt - clock.now())
        open.total--
        if (isLong) open.long--
        return Ok(new Map())
      }
    }
  })
  const longIds = new Set<string>()
  const cache = AdviceCache.create({ agents: () => agents, onAnswer: () => {}, clock, log: silentLog })
  const createWaitingStep = (): Step => {
    const job = Job.create((++jobs).toString(16).padStart(16, '0'), { queue: 'renewals', service: 'dispatch', admittedAtMs: 0, spec: { steps: [createStep()] } }, 1)
    const [step] = [...job.liveSteps()]
    if (step === undefined) throw new Error('no step')
    return step
  }
  const addLong = (calls: number) => {
    for (let i = 0; i < calls; i++) {
      const step = createWaitingStep()
      longIds.add(step.job.id)
      waiting.long.push(step)
    }
  }
  const addShort = (calls: number) => {
    for (let i = 0; i < calls; i++) waiting.short.push({ step: createWaitingStep(), since: clock.now() })
  }
  const requestShort = (now: number) => {
    while (waiting.short.length > 0 && cache.hasFreeAgent(SHORT, now)) {
      const next = waiting.short.shift()
      if (next === undefined) break
      cache.request(next.step, SHORT, links)
      waitsMs.push(now - next.since)
    }
  }
  const requestLong = (now: number) => {
    while (waiting.long.length > 0 && cache.hasFreeAgent(LONG, now)) {
      const next = waiting.long.shift()
      if (next === undefined) break
      cache.request(next, LONG, links)
      asked.long++
    }
  }
  const runRound = () => {
    for (const request of longFirst ? [requestLong, requestShort] : [requestShort, requestLong]) request(clock.now())
  }
  /** Runs rounds for this time, each after `before`. */
  const run = async (ms: number, before: () => void = () => {}) => {
    for (const until = clock.now() + ms; clock.now() < until;) {
      before()
      runRound()
      await clock.advance(ROUND_INTERVAL_MS)
    }
  }
  /** Makes short calls that name these numbers of workers, and lets them end. */
  const callShort = async (named: readonly number[]) => {
    for (const workers of named) cache.request(createWaitingStep(), SHORT, links.slice(0, workers))
    await clock.advance(1_000)
  }
  /** Keeps enough long calls waiting for all agents. */
  const refillLong = () => addLong(Math.max(0, 2 * count - waiting.long.length))
  return { clock, cache, open, peak, asked, waiting, waitsMs, addLong, addShort, callShort, refillLong, run, runRound }
}

/** Random numbers from 0 to 1, always the same. */
function createRandom (): () => number {
  let state = 1
  return () => {
    state = (state * 48_271) % 2_147_483_647
    return state / 2_147_483_647
  }
}

/** Number of arrivals in one round of a Poisson process. */
function countArrivals (perSecond: number, random: () => number): number {
  const limit = Math.exp(-perSecond * ROUND_INTERVAL_MS / 1_000)
  let count = 0
  for (let product = random(); product > limit; product *= random()) count++
  return count
}

// Guards against LOST (issue 75): jobs with long calls waited for up to 100 s while 40% of the agents were idle.
test('a backlog of long calls uses nearly all agents while no short ones are asked for', async t => {
  for (const agents of POOLS) {
    const { addLong, run, runRound, open, waiting } = createPool({ agents })
    await run(QUIET_MS)
    const callsPerAgent = 10
    addLong(callsPerAgent * (agents - 1))
    await run(3 * LONG_CALL_MS)
    runRound()
    t.true(open.long >= agents - 1, `${open.long} of ${agents} agents have a long call`)
    // A call starts with the round after the end of the one before it.
    await run((callsPerAgent - 3) * (LONG_CALL_MS + ROUND_INTERVAL_MS))
    t.is(waiting.long.length, 0, `${agents} agents`)
  }
})

// Guards against a cap that stays as it was when a call last started or ended: with all calls under way nothing looks at it again.
test('the agents kept for short calls are released by time alone', async t => {
  const { addLong, clock, cache, open, runRound } = createPool({ agents: 7 })
  addLong(20)
  runRound()
  t.is(open.long, Math.floor(LONG_SHARE * 7), 'a new leader does not know yet what short calls need')
  t.false(cache.hasFreeAgent(LONG, clock.now()))
  t.true(cache.hasFreeAgent(LONG, clock.now() + QUIET_MS))
  t.true(cache.hasFreeAgent(SHORT, clock.now() + QUIET_MS))
})

// Guards against long calls that take the agents which short calls use all the time.
test('beside a backlog of long calls, short calls find an agent at once', async t => {
  for (const agents of POOLS) {
    const { run, addShort, refillLong, waitsMs, peak } = createPool({ agents })
    const random = createRandom()
    await run(30_000, () => {
      refillLong()
      addShort(countArrivals(agents, random))
    })
    const atOnce = waitsMs.filter(ms => ms === 0).length / waitsMs.length
    t.true(atOnce >= 0.98, `${agents} agents: ${atOnce} of ${waitsMs.length} short calls`)
    t.true(Math.max(...waitsMs) <= LONG_CALL_MS + ROUND_INTERVAL_MS, `${agents} agents: up to ${Math.max(...waitsMs)} ms`)
    t.true(peak.long >= Math.floor(LONG_SHARE * agents), `${agents} agents: ${peak.long} long calls`)
  }
})

// Guards against a burst of urgent jobs that waits for one long call after another because short calls needed no agents before it.
test('a burst of short calls after a quiet spell finds agents within the time of one long call', async t => {
  for (const agents of [2, ...POOLS]) {
    const { run, addShort, refillLong, runRound, waiting, waitsMs, open } = createPool({ agents })
    await run(30_000, refillLong)
    runRound()
    t.is(open.long, agents - 1)
    addShort(2 * agents)
    runRound()
    t.true(waitsMs.length > 0, `${agents} agents: none at once`)
    await run(LONG_CALL_MS + ROUND_INTERVAL_MS, refillLong)
    t.is(waiting.short.length, 0, `${agents} agents`)
    // The next burst of this size finds at once what this one needed.
    await run(3_000, refillLong)
    const before = waitsMs.length
    addShort(Math.ceil((1 - LONG_SHARE) * agents))
    runRound()
    t.is(waitsMs.length - before, Math.ceil((1 - LONG_SHARE) * agents), `${agents} agents: second burst`)
  }
})

// Guards against long calls that are starved by short ones.
test('long calls keep their share of the agents however many short ones are asked for', async t => {
  for (const agents of [1, 2, ...POOLS]) {
    const { run, addShort, refillLong, waiting, asked } = createPool({ agents, longFirst: true })
    const share = Math.max(1, Math.floor(LONG_SHARE * agents))
    const refill = () => {
      refillLong()
      addShort(2 * agents - waiting.short.length)
    }
    await run(10_000, refill)
    const before = asked.long
    await run(10_000, refill)
    // A long call may wait behind the short ones that its agent has accepted.
    const expected = share * 10_000 / (LONG_CALL_MS + 5 * ROUND_INTERVAL_MS)
    t.true(asked.long - before >= expected, `${agents} agents: ${asked.long - before} long calls in 10 s, ${expected} expected`)
  }
})

// Guards against agents that are kept for calls that have ended: durations added and taken off in another order left 1e-15 ms.
test('once all short calls have ended, they keep one agent', async t => {
  const { callShort, addLong, run, runRound, open } = createPool({ agents: 7 })
  await callShort(UNEVEN_CALLS)
  t.is(open.total, 0)
  await run(QUIET_MS)
  addLong(7)
  runRound()
  t.is(open.long, 6)
})

// Guards against an agent that looks busy for good: gangs then get one call at a time, and excess work none, beside idle agents.
test('once all its calls have ended, an agent does not count as busy', async t => {
  const { cache, callShort, clock, open } = createPool({ agents: 1 })
  await callShort(UNEVEN_CALLS)
  t.is(open.total, 0)
  t.false(cache.areAgentsScarce(clock.now()))
})

// Guards against agents that count as kept for short calls although they can't be asked.
test('an agent that works is kept for short calls while others fail', async t => {
  const { run, addShort, refillLong, cache, clock, waitsMs } = createPool({ agents: 7, failing: 3 })
  await run(30_000, refillLong)
  const before = waitsMs.length
  addShort(3)
  await run(LONG_CALL_MS + ROUND_INTERVAL_MS, refillLong)
  t.is(waitsMs.length - before, 3)
  await run(QUIET_MS, refillLong)
  const free: boolean[] = []
  await run(30_000, () => {
    refillLong()
    free.push(cache.hasFreeAgent(SHORT, clock.now()))
  })
  // Those that fail count again for a moment each time that they are asked again.
  t.true(free.filter(Boolean).length >= free.length / 2, `in ${free.filter(Boolean).length} of ${free.length} rounds`)
})

// Guards against agents that count as busy for good, so that no step that needs advice starts.
test('an agent whose call has thrown is asked again', async t => {
  const failures = { throws: true }
  const { run, addShort, waiting, cache, clock } = createPool({ agents: 2, failures })
  addShort(2)
  await run(1_000)
  failures.throws = false
  await run(2_000)
  t.true(cache.hasFreeAgent(SHORT, clock.now()))
  t.true(cache.hasFreeAgent(LONG, clock.now()))
  t.is(waiting.short.length, 0)
  t.deepEqual(cache.load(), { agents: 2, busy: 0, pendingCalls: 0 })
})
