import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { Ok } from '@citronnotch/base/result'
import type { AdviceAgent } from '../advice.js'
import { TestCell, createAccount, createQueue, createStep, createWorkerEntry, requesterFor } from '../testing/index.js'
import type { TestClock } from '../testing/index.js'
import type { ClientAccount, Queue, Schedule } from '../types.js'

const WORKERS = 20
const AGENTS = 8
const WORK_MS = 500
const LONG_POLICY = { decisionMs: 340, perWorkerMs: 4.9, validityMs: 2_500 }
const SHORT_POLICY = { decisionMs: 11, perWorkerMs: 0.16, validityMs: 2_500 }
const SHORT = createQueue({ name: 'status', pathPrefix: '/status/', priority: 0, slackFactor: 1.5, advice: SHORT_POLICY })
const LONG = createQueue({ name: 'review', pathPrefix: '/review/', priority: 1, targetLatencyMs: 1_200, advice: LONG_POLICY })
const SLOW_LONG = createQueue({ name: 'audit', pathPrefix: '/audit/', priority: 2, targetLatencyMs: 1_200, advice: LONG_POLICY })
/** Time in which late jobs start that take one second of all workers, or of all agents: a twentieth of both is their share. */
const LATE_BOUND_MS = 20_000
/** Time after which jobs without an objective have their part in the share of late jobs, in milliseconds. */
const UNTIMED_OVERDUE_MS = 15_000
const LOAD_MS = 45_000
const TICK_MS = 50
/** Time by which the jobs of this test are too late to count. */
const USELESS_AFTER_MS = 8_000

/** The placement policy service as one VM sees it: approves each worker, one call after another. */
function createAgent (name: string, clock: TestClock, policyOf: (jobId: string) => typeof LONG_POLICY): AdviceAgent {
  let freeAt = 0
  return {
    name,
    approve: async (step, workerIds) => {
      const { decisionMs, perWorkerMs } = policyOf(step.split('.')[0] ?? '')
      freeAt = Math.max(freeAt, clock.now()) + decisionMs + perWorkerMs * workerIds.length
      await clock.sleep(freeAt - clock.now())
      return Ok(new Map(workerIds.map(id => [id, `${step}/${id}`])))
    }
  }
}

interface Sender {
  readonly queue: Queue
  readonly account?: ClientAccount
  readonly schedule?: Schedule
}

interface SteadySender extends Sender {
  /** A long call that names all workers takes 0.44 s of an agent. */
  readonly jobsPerSecond: number
}

interface SentJob {
  readonly jobId: string
  readonly sentAt: number
}

/** A cell with room for ten times its load, whose agents are busy with long calls for a steady sender. */
async function createCellWithBusyAgents ({ steady, accounts, shedsLoad }: { readonly steady: SteadySender, readonly accounts?: readonly ClientAccount[], readonly shedsLoad: boolean }) {
  const clock = ManualClock.create()
  const policies = new Map<string, typeof LONG_POLICY>()
  const cell = TestCell.create({
    clock,
    shedsLoad,
    ...(accounts === undefined ? {} : { accounts }),
    queues: [SHORT, LONG, SLOW_LONG],
    agents: Array.from({ length: AGENTS }, (_, index) => createAgent(`agent-${index}`, clock, jobId => policies.get(jobId) ?? SHORT_POLICY)),
    workers: Array.from({ length: WORKERS }, (_, index) => createWorkerEntry(`w${index}`, { capacity: { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 } })),
    behaviour: () => ({ durationMs: WORK_MS, end: 'done' })
  })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await clock.advance(2_000)
  const send = ({ queue, account, schedule }: Sender): SentJob => {
    const jobId = cell.newJobId()
    const spec = { payload: jobId, steps: [createStep({ count: 3, estimateMs: WORK_MS })], ...(schedule === undefined ? {} : { schedule }) }
    policies.set(jobId, queue.advice ?? SHORT_POLICY)
    cell.audit.expectJob(jobId, spec, account?.name)
    daemon.jobs.submit(jobId, queue, spec, 3_000, requesterFor(account)).catch((err: unknown) => cell.audit.violations.push(String(err)))
    return { jobId, sentAt: clock.now() }
  }
  /** Plays the steady load, calls `onTick` with the time since its beginning, and returns how long each watched job has waited for its start. */
  const play = async (watched: readonly SentJob[], onTick: (ms: number) => void): Promise<readonly number[]> => {
    const waits = new Map<string, number>()
    for (let ms = 0; ms < LOAD_MS; ms += TICK_MS) {
      if (Math.floor(ms * steady.jobsPerSecond / 1_000) !== Math.floor((ms - TICK_MS) * steady.jobsPerSecond / 1_000)) send(steady)
      onTick(ms)
      await clock.advance(TICK_MS)
      for (const { jobId, sentAt } of watched) if (!waits.has(jobId) && cell.audit.hasStarted(jobId)) waits.set(jobId, clock.now() - sentAt)
      if (ms > 5_000 && waits.size === watched.length) break
    }
    daemon.kill()
    return watched.map(({ jobId }) => waits.get(jobId) ?? Infinity)
  }
  return { cell, send, play }
}

// Guards against LOST (issue 75): jobs of an account that had sent far more than it was owed waited for agents beside idle ones until others sent nothing more.
test('late jobs beyond what their account is owed start within their share of the cell while long calls of others keep agents busy', async t => {
  const [loud, quiet] = [createAccount('loud', { weight: 2 }), createAccount('quiet', { weight: 100 })]
  const { cell, send, play } = await createCellWithBusyAgents({ shedsLoad: true, accounts: [loud, quiet], steady: { queue: LONG, account: quiet, jobsPerSecond: 12 } })
  const watched: SentJob[] = []
  const waits = await play(watched, ms => {
    if (ms >= 2_000 && ms < 4_000) for (let job = 0; job < 5; job++) watched.push(send({ queue: SHORT, account: loud }))
  })
  t.is(waits.length, 200)
  const late = waits.filter(ms => ms > USELESS_AFTER_MS + LATE_BOUND_MS)
  t.is(late.length, 0, `${late.length} of ${waits.length} wait for longer; the longest wait is ${Math.max(...waits)} ms`)
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST (issue 75): in a cell that does not shed load, jobs that were late had their first start 100 s after their admission, when the traffic had ended.
test('late jobs start within their share of a cell that sheds no load while jobs on time keep the agents busy', async t => {
  const { cell, send, play } = await createCellWithBusyAgents({ shedsLoad: false, steady: { queue: LONG, jobsPerSecond: 9 } })
  const watched: SentJob[] = []
  const waits = await play(watched, ms => {
    if (ms >= 2_000 && ms < 4_000 && ms % 200 === 0) watched.push(send({ queue: SLOW_LONG }))
  })
  t.is(waits.length, 10)
  const late = waits.filter(ms => ms > USELESS_AFTER_MS + LATE_BOUND_MS)
  t.is(late.length, 0, `${late.length} of ${waits.length} wait for longer; the longest wait is ${Math.max(...waits)} ms`)
  t.deepEqual(cell.audit.violations, [])
})

// Guards against LOST (issue 75): jobs without an objective never count as late, so that those beyond what their account is owed have no share of the cell.
test('scheduled jobs beyond what their account is owed start within the share of late jobs while long calls of others keep agents busy', async t => {
  const [loud, quiet] = [createAccount('loud', { weight: 2 }), createAccount('quiet', { weight: 100 })]
  const { cell, send, play } = await createCellWithBusyAgents({ shedsLoad: true, accounts: [loud, quiet], steady: { queue: LONG, account: quiet, jobsPerSecond: 12 } })
  const watched: SentJob[] = []
  const waits = await play(watched, ms => {
    if (ms >= 2_000 && ms < 4_000) for (let job = 0; job < 5; job++) watched.push(send({ queue: SHORT, account: loud, schedule: { firstRunMs: cell.clock.date().getTime(), intervalMs: 3_600_000, repetitions: 1 } }))
  })
  t.is(waits.length, 200)
  const late = waits.filter(ms => ms > UNTIMED_OVERDUE_MS + LATE_BOUND_MS)
  t.is(late.length, 0, `${late.length} of ${waits.length} wait for longer; the longest wait is ${Math.max(...waits)} ms`)
  t.deepEqual(cell.audit.violations, [])
})
