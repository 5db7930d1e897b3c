import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import { Ok } from '@citronnotch/base/result'
import { AdviceCache } from '../advice.js'
import type { AdviceAgent } from '../advice.js'
import { Dispatcher } from '../dispatcher.js'
import { Job } from '../jobs.js'
import type { StepSpec } from '../types.js'
import { createQueue, createStep } from '../testing/index.js'
import { createSilentLinks } from '../testing/silentWorkers.js'

const WORKERS = 8
const ROUND_INTERVAL_MS = 20
const POLICY = { decisionMs: 390, perWorkerMs: 5.6, validityMs: 2_500 }
const QUEUE = createQueue({ advice: POLICY })
const CAPACITY = { milliCores: 8_000, memoryMb: 32_000, accelerators: 0 }
/** Time in which the policy service answers, and rounds use the answer, in milliseconds. */
const ANSWERED_WITHIN_MS = 600
/** Time for which no job may wait beside free workers, in milliseconds. */
const MAX_WAIT_MS = 3_000

/** A cell in which `busy` workers have other work, and a gang under which two workers have crashed has tickets for these only. */
function createCell (busy: number) {
  const clock = ManualClock.create()
  const links = createSilentLinks({ count: WORKERS, capacity: CAPACITY, clock })
  const linkOf = (id: string) => links.find(link => link.id === id)
  const agents = Array.from({ length: 4 }, (_, index): AdviceAgent => ({
    name: `agent-${index}`,
    approve: async (_step, workerIds) => {
      await clock.sleep(POLICY.decisionMs + POLICY.perWorkerMs * workerIds.length)
      return Ok(new Map(workerIds.map(id => [id, `ticket of ${id}`])))
    }
  }))
  const advice = AdviceCache.create({ agents: () => agents, onAnswer: () => {}, clock, log: silentLog })
  const dispatcher = Dispatcher.create({
    epoch: 1, workers: () => links, worker: linkOf, queue: () => QUEUE, advice, useObstacle: () => undefined, isSuspect: () => false, requestPayload: () => {}, isProcessorFull: () => false, isProcessorOverloaded: () => false, clock, onExhausted: () => {}, onStart: () => {}
  })
  const createJob = (jobId: string, fields: Partial<StepSpec>) => {
    const job = Job.create(jobId, { queue: QUEUE.name, service: QUEUE.service, admittedAtMs: clock.date().getTime(), spec: { steps: [createStep(fields)] } }, 1)
    job.payload = 'payload'
    const step = [...job.liveSteps()][0]
    const task = step?.task(0)
    if (step === undefined || task === undefined) throw new Error('the job has no task')
    return { job, step, task }
  }
  const busyIds = links.slice(0, busy).map(({ id }) => id)
  const others = links.slice(0, busy).map((link, index) => link.start(createJob(`000000000000010${index}`, {}).task, 1, 'payload', '').id.jobId)
  const { job, step, task } = createJob('00000000000000aa', { count: 2, gang: true })
  for (const run of [1, 2]) step.recordCrash(task, run, true)
  advice.addAnswers(step, POLICY, { workerIds: busyIds, approved: busyIds.map(id => [id, `ticket of ${id}`]) }, clock.now(), linkOf)
  const workersOf = () => [...job.runs()].map(({ worker }) => worker)
  /** Plays rounds until the gang has started, and returns after how many milliseconds. */
  const playUntilStarted = async () => {
    const since = clock.now()
    while (workersOf().length === 0 && clock.now() - since < 20_000) {
      dispatcher.runRound([job])
      await clock.advance(ROUND_INTERVAL_MS)
    }
    return clock.now() - since
  }
  const haveCompany = () => workersOf().some(worker => [...worker.runs.values()].some(({ id }) => others.includes(id.jobId)))
  return { playUntilStarted, haveCompany }
}

// Guards against LOST: a gang that must run alone had tickets for workers with other work, asked for no further ones, and started beside that work once its patience was over.
test('a gang that must run alone asks for tickets of the workers without other work', async t => {
  const { playUntilStarted, haveCompany } = createCell(3)
  const tookMs = await playUntilStarted()
  t.log(`after ${tookMs} ms`)
  t.false(haveCompany())
  t.true(tookMs <= ANSWERED_WITHIN_MS, `started after ${tookMs} ms`)
})

// Guards against LOST: a gang that must run alone may not wait for longer where each worker has other work and most of the room is free.
test('a gang that must run alone starts beside other work if there is no worker without', async t => {
  const tookMs = await createCell(WORKERS).playUntilStarted()
  t.log(`after ${tookMs} ms`)
  t.true(tookMs <= MAX_WAIT_MS, `started after ${tookMs} ms`)
})
