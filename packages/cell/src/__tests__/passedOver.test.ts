import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { Ok } from '@citronnotch/base/result'
import type { AdviceAgent } from '../advice.js'
import { TestCell, createAccount, createQueue, createStep, createWorkerEntry, requesterFor } from '../testing/index.js'
import type { TestClock } from '../testing/index.js'
import type { ClientAccount, JobSpec, Queue, StepSpec } from '../types.js'

const AGENTS = 8
const POLICY = { decisionMs: 340, perWorkerMs: 4.9, validityMs: 2_500 }
const REVIEW = createQueue({ name: 'review', pathPrefix: '/review/', priority: 1, targetLatencyMs: 1_200, advice: POLICY })
const AUDIT = createQueue({ name: 'audit', pathPrefix: '/audit/', priority: 2, targetLatencyMs: 1_200, advice: POLICY })
const PLAIN = createQueue({ name: 'plain', pathPrefix: '/plain/', priority: 0 })
const LOAD_MS = 45_000
const TICK_MS = 50
const WORK_MS = 500
const BOUND_MS = 25_000

/** The placement policy service as one VM sees it: approves each worker, one call after another. */
function createAgent (name: string, clock: TestClock, onCall: (step: string, callMs: number) => void): AdviceAgent {
  let freeAt = 0
  return {
    name,
    approve: async (step, workerIds) => {
      const callMs = POLICY.decisionMs + POLICY.perWorkerMs * workerIds.length
      onCall(step, callMs)
      freeAt = Math.max(freeAt, clock.now()) + callMs
      await clock.sleep(freeAt - clock.now())
      return Ok(new Map(workerIds.map(id => [id, `${step}/${id}`])))
    }
  }
}

interface CellSettings {
  readonly accounts?: readonly ClientAccount[]
  readonly shedsLoad?: boolean
  readonly workers?: number
  readonly durationMs?: number
}

async function createCell ({ accounts, shedsLoad = false, workers = 20, durationMs = WORK_MS }: CellSettings) {
  const clock = ManualClock.create()
  /** Time of agents by job, in milliseconds. */
  const callMs = new Map<string, number>()
  const noteCall = (step: string, ms: number) => {
    const jobId = step.split('.')[0] ?? ''
    callMs.set(jobId, (callMs.get(jobId) ?? 0) + ms)
  }
  const cell = TestCell.create({
    clock,
    shedsLoad,
    ...(accounts === undefined ? {} : { accounts }),
    queues: [REVIEW, AUDIT, PLAIN],
    agents: Array.from({ length: AGENTS }, (_, index) => createAgent(`agent-${index}`, clock, noteCall)),
    workers: Array.from({ length: workers }, (_, index) => createWorkerEntry(`w${index}`, { capacity: { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 } })),
    behaviour: () => ({ durationMs, end: 'done' })
  })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await clock.advance(2_000)
  const send = (queue: Queue, step: Partial<StepSpec>, { account, schedule }: { readonly account?: ClientAccount, readonly schedule?: JobSpec['schedule'] } = {}): string => {
    const jobId = cell.newJobId()
    const spec = { payload: jobId, steps: [createStep({ count: 3, estimateMs: durationMs, ...step })], ...(schedule === undefined ? {} : { schedule }) }
    cell.audit.expectJob(jobId, spec, account?.name)
    daemon.jobs.submit(jobId, queue, spec, 3_000, requesterFor(account)).catch((err: unknown) => cell.audit.violations.push(String(err)))
    return jobId
  }
  /** Sends `load` at a rate and, at a time since the beginning, one job that is watched; returns how long that has waited for its start. */
  const play = async (jobsPerSecond: number, load: () => void, watchedAt: number, watch: () => string) => {
    let watched: string | undefined
    for (let ms = 0; ms < LOAD_MS; ms += TICK_MS) {
      if (Math.floor(ms * jobsPerSecond / 1_000) !== Math.floor((ms - TICK_MS) * jobsPerSecond / 1_000)) load()
      if (ms === watchedAt) watched = watch()
      await clock.advance(TICK_MS)
      if (watched !== undefined && cell.audit.hasStarted(watched)) return ms - watchedAt
    }
    return Infinity
  }
  return { cell, clock, daemon, send, play, callMs }
}

const kinds: ReadonlyArray<readonly [string, (unixMs: number) => Parameters<Awaited<ReturnType<typeof createCell>>['send']>[1], (unixMs: number) => JobSpec['schedule'] | undefined]> = [
  ['service', () => ({ count: 1, longRunning: true }), () => undefined],
  ['scheduled job', () => ({ count: 1 }), unixMs => ({ firstRunMs: unixMs, intervalMs: 600_000, repetitions: 1 })]
]

for (const [kind, stepOf, scheduleOf] of kinds) {
  // Guards against LOST (issue 75): jobs without an objective are never late, so that no share is theirs.
  test(`a ${kind} of the lowest priority starts while jobs on time keep the agents busy, in a cell that sheds no load`, async t => {
    const { cell, clock, daemon, send, play } = await createCell({})
    const waitedMs = await play(12, () => send(REVIEW, {}), 5_000, () => {
      const unixMs = clock.date().getTime()
      return send(AUDIT, stepOf(unixMs), { schedule: scheduleOf(unixMs) })
    })
    daemon.kill()
    t.true(waitedMs <= BOUND_MS, `${waitedMs}`)
    t.deepEqual(cell.audit.violations, [])
  })

  test(`a ${kind} beyond what its account is owed starts while owed jobs of others keep the agents busy`, async t => {
    const [loud, quiet] = [createAccount('loud', { weight: 1 }), createAccount('quiet', { weight: 100 })]
    const { cell, clock, daemon, send, play } = await createCell({ accounts: [loud, quiet], shedsLoad: true })
    const waitedMs = await play(12, () => send(REVIEW, {}, { account: quiet }), 5_000, () => {
      const unixMs = clock.date().getTime()
      for (let job = 0; job < 40; job++) send(PLAIN, {}, { account: loud })
      return send(AUDIT, stepOf(unixMs), { account: loud, schedule: scheduleOf(unixMs) })
    })
    daemon.kill()
    t.true(waitedMs <= BOUND_MS, `${waitedMs}`)
    t.deepEqual(cell.audit.violations, [])
  })
}

for (const [name, step] of [['gang', { count: 8, gang: true }], ['task', { count: 1, need: { milliCores: 8_000, memoryMb: 1_000, accelerators: 0 } }]] as const) {
  for (const shedsLoad of [false, true]) {
    // Guards against LOST (issue 75): small tasks of the same account take what its limit leaves, one by one.
    test.failing(`a ${name} that takes all of its account's limit starts beside small tasks of the account, in a cell that sheds ${shedsLoad ? 'load' : 'no load'}`, async t => {
      const account = createAccount('limited', { weight: 100, limit: { milliCores: 8_000, memoryMb: 0, accelerators: 0 } })
      const { daemon, send, play } = await createCell({ accounts: [account], shedsLoad, durationMs: 4_000 })
      const waitedMs = await play(1, () => send(PLAIN, { count: 1, estimateMs: 500 }, { account }), 5_000, () => send(PLAIN, { ...step, estimateMs: 500 }, { account }))
      daemon.kill()
      t.true(waitedMs <= BOUND_MS, `${waitedMs}`)
    })
  }
}
