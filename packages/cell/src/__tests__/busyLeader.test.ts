import { createHash } from 'node:crypto'
import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { Ok } from '@citronnotch/base/result'
import type { AdviceAgent } from '../advice.js'
import type { PolicyService } from '../ports.js'
import { BusyLoop, TestCell, createQueue, createStep, createWorkerEntry } from '../testing/index.js'
import type { CarryCall } from '../testing/index.js'

const ZONE_MS = 0.9
const REGION_MS = 20
const REGIONS = ['a', 'b', 'c']
const WORKERS = 36
const AGENTS = 9
const POLICY = { decisionMs: 16, perWorkerMs: 0.23, validityMs: 2_500 }
const URGENT = createQueue({ priority: 0, slackFactor: 1.5, targetLatencyMs: 500, advice: POLICY })
const BATCH = createQueue({ name: 'statements', pathPrefix: '/statements/', priority: 2, slackFactor: 4, targetLatencyMs: 3_000, advice: { decisionMs: 140, perWorkerMs: 2, validityMs: 2_500 } })
const WORK_MS = 800
/** Objective of an urgent job whose estimate is right, for its end at the worker. */
const OBJECTIVE_MS = 1.5 * (WORK_MS + POLICY.decisionMs + 30 * POLICY.perWorkerMs) + 500
const URGENT_STEP = createStep({ count: 3, estimateMs: WORK_MS, need: { milliCores: 7_900, memoryMb: 23_000, accelerators: 0 } })
const BATCH_STEP = createStep({ count: 15, estimateMs: 3_400, need: { milliCores: 2_000, memoryMb: 5_000, accelerators: 0 } })
const URGENT_INTERVAL_MS = 160
const BATCH_INTERVAL_MS = 1_000
const LOAD_MS = 8_000
/** The policy approves one worker in this many for a step. */
const APPROVED_INTERVAL = 2
/** Largest logarithm by which the work of a task differs from its estimate. */
const UNEVENNESS = 0.7
/** Processor time of a message, which fills the leader's processor under this load. */
const MESSAGE_MS = 4
const BUSY_SHARE = 0.9
/** Share of the urgent jobs that users expect in time on a calm day. */
const IN_TIME_SHARE = 0.85

function oneWayMs (zone: string): number {
  return zone === 'a' ? ZONE_MS : REGION_MS
}

/** Work of one task of an urgent job; the tasks of a job differ as those of callers do. */
function urgentMs (jobId: string, index: number): number {
  const share = Number.parseInt(createHash('sha1').update(`${jobId}.${index}`).digest('hex').slice(0, 8), 16) / 2 ** 32
  return WORK_MS * Math.exp(UNEVENNESS * (2 * share - 1))
}

/** The placement policy service as one VM sees it: answers one call after another, and approves a share of the workers for each step. */
function createPolicyService (clock: ManualClock): PolicyService {
  let freeAt = 0
  return {
    approve: async (step, workerIds) => {
      freeAt = Math.max(freeAt, clock.now()) + POLICY.decisionMs + POLICY.perWorkerMs * workerIds.length
      await clock.sleep(freeAt - clock.now())
      const jobNumber = Number.parseInt(step.slice(12, 16), 16)
      return Ok(new Map(workerIds.filter(id => (Number(id.slice(1)) + jobNumber) % APPROVED_INTERVAL === 0).map(id => [id, `${step}/${id}`])))
    },
    close: async () => {}
  }
}

/** Plays urgent jobs from three regions beside batch work, under a leader in region `a` whose loop takes `messageMs` a message. */
async function playBusyLeader (messageMs: number) {
  const clock = ManualClock.create()
  const loop = BusyLoop.create({ clock, messageMs })
  const carryCall: CarryCall = (target, call) => loop.call('zone' in target ? oneWayMs(target.zone) : ZONE_MS, call)
  const agents = Array.from({ length: AGENTS }, (_, index): AdviceAgent => {
    const service = createPolicyService(clock)
    return { name: `agent-${index}`, approve: (step, workerIds, timeoutMs) => loop.call(oneWayMs(REGIONS[index % REGIONS.length] ?? ''), () => service.approve(step, workerIds, timeoutMs)) }
  })
  const starts = new Map<string, number>()
  const cell = TestCell.create({
    clock,
    carryCall,
    agents,
    policyServiceOf: () => createPolicyService(clock),
    queues: [URGENT, BATCH],
    workers: Array.from({ length: WORKERS }, (_, index) => createWorkerEntry(`w${index}`, { zone: REGIONS[index % REGIONS.length] ?? '', capacity: { milliCores: 32_000, memoryMb: 128_000, accelerators: 0 } })),
    behaviour: ({ jobId, index }) => {
      starts.set(jobId, clock.now())
      return { durationMs: batchIds.has(jobId) ? 3_400 : urgentMs(jobId, index), end: 'done' }
    }
  })
  const batchIds = new Set<string>()
  const urgent = new Map<string, number>()
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await clock.advance(2_000)
  const submit = (queue: typeof URGENT, steps: Parameters<TestCell['submit']>[1]) => {
    const jobId = cell.newJobId()
    const spec = { payload: jobId, steps }
    cell.audit.expectJob(jobId, spec)
    if (queue === BATCH) batchIds.add(jobId)
    else urgent.set(jobId, clock.now())
    daemon.jobs.submit(jobId, queue, spec, 3_000).catch((err: unknown) => cell.audit.violations.push(String(err)))
  }
  const loadStartedAt = clock.now()
  const usedBefore = loop.usedMs()
  for (let ms = 0; ms < LOAD_MS; ms += 20) {
    if (ms % URGENT_INTERVAL_MS === 0) submit(URGENT, [URGENT_STEP])
    if (ms % BATCH_INTERVAL_MS === 0) submit(BATCH, [BATCH_STEP])
    await clock.advance(20)
  }
  const busyShare = (loop.usedMs() - usedBefore) / (clock.now() - loadStartedAt)
  await clock.advance(3_000)
  daemon.kill()
  const endsMs = [...urgent].map(([jobId, submittedAt]) => (starts.get(jobId) ?? Infinity) - submittedAt + Math.max(...[0, 1, 2].map(index => urgentMs(jobId, index)))).sort((a, b) => a - b)
  const startsMs = [...urgent].map(([jobId, submittedAt]) => Math.round((starts.get(jobId) ?? Infinity) - submittedAt)).sort((a, b) => a - b)
  return { inTime: endsMs.filter(ms => ms <= OBJECTIVE_MS).length / endsMs.length, busyShare, startsMs, violations: cell.audit.violations }
}

// Guards against SHORT (issue 53): on its way a short job waited for the leader's busy loop at its row, its advice call and twice for a round; 0.72 were in time before.
test('urgent jobs of three regions are in time under a leader whose processor is nearly full', async t => {
  const { inTime, busyShare, startsMs, violations } = await playBusyLeader(MESSAGE_MS)
  t.true(busyShare >= BUSY_SHARE, `busy for ${busyShare}`)
  t.true(inTime >= IN_TIME_SHARE, `${inTime} in time, first starts after ${startsMs.join(' ')} ms`)
  t.deepEqual(violations, [])
})
