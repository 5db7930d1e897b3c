import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import { AccountTerms, CellAccounts } from '../accounts/index.js'
import { AdviceCache } from '../advice.js'
import type { AdviceAgent } from '../advice.js'
import { Dispatcher } from '../dispatcher.js'
import { Job } from '../jobs.js'
import { createAccount, createQueue, createStep } from '../testing/index.js'
import { createSilentLinks } from '../testing/silentWorkers.js'
import type { StepSpec } from '../types.js'

const WORKERS = 400
const AGENTS = 100
const WAITING_STEPS = 500
const CAPACITY = { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 }
const NEED = { milliCores: 8_000, memoryMb: 20_000, accelerators: 0 }
const POLICY = { decisionMs: 20, perWorkerMs: 1, validityMs: 2_500 }
/** Looks at a property of a worker or an agent that a round may take for each worker, agent and waiting step. */
const LOOKS_PER_ITEM = 40

/** Wraps an object so that each property that is read counts as one look. */
function countLooks<T extends object> (target: T, looks: { count: number }): T {
  return new Proxy(target, {
    get (object, name) {
      looks.count++
      const value: unknown = Reflect.get(object, name, object)
      return typeof value === 'function' ? value.bind(object) : value
    },
    set: (object, name, value) => Reflect.set(object, name, value, object)
  })
}

function createJob (number: number, fields: Partial<StepSpec>, account?: string): Job {
  const job = Job.create(number.toString(16).padStart(16, '0'), { queue: 'renewals', service: 'dispatch', ...(account === undefined ? {} : { account }), admittedAtMs: number, spec: { steps: [createStep({ need: NEED, ...fields })] } }, 1)
  job.payload = 'payload'
  return job
}

/** Creates a cell with waiting steps, in which the given numbers of workers and agents are free, and counts the looks of one round; `afterMs` after an earlier one, if given. */
async function countLooksOfRound ({ freeWorkers, freeAgents, step = {}, accounts = 0, afterMs }: { readonly freeWorkers: number, readonly freeAgents: number, readonly step?: Partial<StepSpec>, readonly accounts?: number, readonly afterMs?: number }) {
  const clock = ManualClock.create()
  let clockReadings = 0
  const readClock = clock.now.bind(clock)
  clock.now = () => {
    clockReadings++
    return readClock()
  }
  const looks = { count: 0 }
  const queue = createQueue({ advice: POLICY, slackFactor: 1_000_000 })
  const occupying = createJob(1, { count: WORKERS, need: CAPACITY, longRunning: step.longRunning === true })
  const links = createSilentLinks({ count: WORKERS, capacity: CAPACITY, clock }).map((link, index) => {
    const task = occupying.task({ jobId: occupying.id, occurrence: 0, step: 0, index })
    if (index >= freeWorkers && task !== undefined) link.start(task, 1, '', '')
    return countLooks(link, looks)
  })
  const linksById = new Map(links.map(link => [link.id, link]))
  const calls: string[] = []
  const agents = Array.from({ length: AGENTS }, (_, index): AdviceAgent => countLooks({
    name: `agent-${index}`,
    approve: stepId => {
      calls.push(stepId)
      return new Promise(() => {})
    }
  }, looks))
  const advice = AdviceCache.create({ agents: () => agents, onAnswer: () => {}, clock, log: silentLog })
  const listed = Array.from({ length: accounts }, (_, index) => createAccount(`account-${index}`, { weight: 2, limit: CAPACITY }))
  const cellAccounts = CellAccounts.create({ terms: AccountTerms.create(() => accounts === 0 ? undefined : listed), overage: 0.1, burstJobs: 0, workers: () => links, recordOf: () => undefined })
  const dispatcher = Dispatcher.create({
    epoch: 1, accounts: cellAccounts, workers: () => links, worker: id => linksById.get(id), queue: () => queue, advice, useObstacle: () => undefined, isSuspect: () => false, requestPayload: () => {}, isProcessorFull: () => false, isProcessorOverloaded: () => false, clock, onExhausted: () => {}, onStart: () => {}
  })
  // Long calls keep all agents busy except those that stay free.
  for (let busy = 0; busy < AGENTS - freeAgents; busy++) {
    const [busyStep] = [...createJob(10_000 + busy, {}).liveSteps()]
    if (busyStep !== undefined) advice.request(busyStep, { ...POLICY, decisionMs: 90, perWorkerMs: 0 }, links.slice(0, 1))
  }
  const jobs = Array.from({ length: WAITING_STEPS }, (_, index) => createJob(100 + index, { count: 3, ...step }, listed[index % accounts]?.name))
  for (const job of jobs) cellAccounts.jobAdded(job)
  if (afterMs !== undefined) {
    dispatcher.runRound(jobs)
    await clock.advance(afterMs)
  }
  calls.length = 0
  looks.count = 0
  clockReadings = 0
  dispatcher.runRound(jobs)
  return { looks: looks.count, clockReadings, calls: calls.length, started: jobs.reduce((sum, job) => sum + [...job.runs()].length, 0) }
}

const MAX_CLOCK_READINGS = 10
const LIMIT = LOOKS_PER_ITEM * (WORKERS + AGENTS + WAITING_STEPS)

// Guards against SHORT: with a backlog, rounds that looked at every worker for every waiting step took the processor from heartbeats, starts and commits.
test('backlog in a full cell: a scheduling round does not look at each worker for each waiting step', async t => {
  const { looks, started } = await countLooksOfRound({ freeWorkers: 0, freeAgents: AGENTS })
  t.is(started, 0)
  t.true(looks <= LIMIT, `${looks} looks, at most ${LIMIT} are allowed`)
})

// Guards against SHORT: the same for gangs, which plan all of their members.
test('backlog of gangs in a full cell: a scheduling round does not look at each worker for each waiting gang', async t => {
  const { looks, started } = await countLooksOfRound({ freeWorkers: 0, freeAgents: AGENTS, step: { gang: true, count: 20 } })
  t.is(started, 0)
  t.true(looks <= LIMIT, `${looks} looks, at most ${LIMIT} are allowed`)
})

// Guards against SHORT (issue 78): each round looked for a worker to keep free for each lasting step that waits, which took it 0.2 s in a cell full of lasting tasks.
test('backlog of lasting steps in a cell full of lasting tasks: a scheduling round does not look at each worker for each waiting step', async t => {
  const { looks, started } = await countLooksOfRound({ freeWorkers: 0, freeAgents: 0, step: { longRunning: true }, afterMs: 3_000 })
  t.is(started, 0)
  t.true(looks <= LIMIT, `${looks} looks, at most ${LIMIT} are allowed`)
})

// Guards against SHORT: with slow placement advice, each waiting step looked at all agents and all workers in each round.
test('backlog behind busy advice agents: a scheduling round does not look at each agent or worker for each waiting step', async t => {
  const { looks, calls } = await countLooksOfRound({ freeWorkers: WORKERS, freeAgents: 0 })
  t.is(calls, 0, 'no agent can take a call')
  t.true(looks <= LIMIT, `${looks} looks, at most ${LIMIT} are allowed`)
})

// Guards against SHORT: a round read the clock for each worker and ticket, about 1,500 times; on some VMs a reading takes a microsecond and more.
test('backlog: a scheduling round does not read the clock for each worker or waiting step', async t => {
  for (const freeWorkers of [0, WORKERS]) {
    const { clockReadings } = await countLooksOfRound({ freeWorkers, freeAgents: 0 })
    t.true(clockReadings <= MAX_CLOCK_READINGS, `${clockReadings} readings with ${freeWorkers} free workers`)
  }
})

// Guards against SHORT: limits and turns of accounts that looked at each worker for each waiting step.
test('backlog of twenty accounts: a scheduling round does not look at each agent or worker for each waiting step', async t => {
  for (const cell of [{ freeWorkers: 0 }, { freeWorkers: WORKERS }, { freeWorkers: 0, step: { gang: true } }]) {
    const { looks, clockReadings } = await countLooksOfRound({ ...cell, freeAgents: 0, accounts: 20 })
    t.true(looks <= LIMIT, `${looks} looks, at most ${LIMIT} are allowed`)
    t.true(clockReadings <= MAX_CLOCK_READINGS, `${clockReadings} readings`)
  }
})

test('advice is requested for as many steps as agents are free', async t => {
  const { calls } = await countLooksOfRound({ freeWorkers: WORKERS, freeAgents: 7 })
  t.true(calls >= 7, `${calls} calls by 7 free agents`)
})
