import { ManualClock } from '@citronnotch/base/clock'
import test from 'ava'
import { Job } from '../jobs.js'
import { MemoryMetrics } from '../metrics.js'
import { Durations } from '../room/durations.js'
import { Forecast } from '../room/forecast.js'
import { startCostMsOf } from '../room/jobCost.js'
import { LateShare, lateJobOf } from '../room/lateShare.js'
import type { LateJob } from '../room/lateShare.js'
import { LoadShedding } from '../room/loadShedding.js'
import { WaitingPlan, compareJobs, standingOf } from '../room/waitingPlan.js'
import { createSilentLinks } from '../testing/silentWorkers.js'
import { TestCell, createQueue, createStep, createWorkerEntry } from '../testing/index.js'
import type { JobRecord } from '../jobRecord.js'
import type { Schedule, StepSpec } from '../types.js'

const QUEUE = createQueue({ name: 'batch', pathPrefix: '/batch/', priority: 1, slackFactor: 2, targetLatencyMs: 1_000 })
const SHORT = createQueue({ name: 'short', pathPrefix: '/short/', priority: 0, slackFactor: 1.5, targetLatencyMs: 500 })
const CELL = { milliCores: 10_000, memoryMb: 100_000, accelerators: 0 }

let nextId = 1
function createQueuedJob (queue: typeof QUEUE, admittedAtMs: number, fields: Partial<StepSpec>, more: Pick<JobRecord, 'account'> & { readonly schedule?: Schedule, readonly steps?: readonly StepSpec[] } = {}) {
  const { name, service } = queue
  const { account, schedule, steps = [createStep(fields)] } = more
  const spec = { steps, ...(schedule === undefined ? {} : { schedule }) }
  return { queue, job: Job.create((nextId++).toString(16).padStart(16, '0'), { queue: name, service, admittedAtMs, ...(account === undefined ? {} : { account }), spec }, 1) }
}

function createPlan (jobs: ReadonlyArray<ReturnType<typeof createQueuedJob>>, unixMs: number, isExcess: (job: Job) => boolean = () => false) {
  const plan = WaitingPlan.create({ durations: Durations.create(), cell: () => CELL, isExcess })
  plan.renew(jobs, unixMs)
  return plan
}

/** The jobs of a plan that are too late to count at a Unix time in milliseconds. */
function lateJobsOf (plan: WaitingPlan, unixMs: number): readonly LateJob[] {
  return [...plan.all()].filter(planned => standingOf(planned, unixMs) === 3).map(({ job, queue }) => lateJobOf(job, { queue, known: undefined, cell: CELL, agents: 1, isProcessorFull: false }))
}

// Guards against jobs of a loud account that push what other accounts are owed out of the plan.
test('jobs that their account is not owed are put off before all others, whatever they are worth', t => {
  const owed = createQueuedJob(QUEUE, 0, { estimateMs: 2_000, count: 5 })
  const excess = Array.from({ length: 20 }, (_, index) => createQueuedJob(SHORT, index, { estimateMs: 500, count: 2 }))
  const plan = createPlan([owed, ...excess], 30, job => job !== owed.job)
  t.is(standingOf(plan.of(owed), 30), 0)
  t.true(excess.some(queued => standingOf(plan.of(queued), 30) === 1))
})

// Guards against a first-come order under overload, in which each job waits until it is late.
test('more work than can be on time: jobs that are worth little for their capacity wait, and the others go by their latest start', t => {
  const wide = createQueuedJob(QUEUE, 0, { estimateMs: 2_000, count: 40 })
  const small = [1, 2, 3].map(admittedAtMs => createQueuedJob(QUEUE, admittedAtMs, { estimateMs: 2_000, count: 5 }))
  const urgent = createQueuedJob(SHORT, 5, { estimateMs: 500, count: 2 })
  const plan = createPlan([wide, ...small, urgent], 10)
  t.is(standingOf(plan.of(wide), 10), 1)
  t.true(small.every(job => standingOf(plan.of(job), 10) === 0))
  t.true(compareJobs(plan.of(urgent), plan.of(small[0] ?? urgent), 10) < 0)
})

test('late jobs that still count go before those that don\'t, and after all that can be on time', t => {
  const useless = createQueuedJob(QUEUE, 0, { estimateMs: 1_000 })
  const late = createQueuedJob(QUEUE, 7_000, { estimateMs: 1_000 })
  const onTime = createQueuedJob(QUEUE, 10_000, { estimateMs: 1_000 })
  const plan = createPlan([useless, late, onTime], 10_000)
  const jobs = [useless, late, onTime].map(job => plan.of(job))
  t.deepEqual(jobs.map(job => standingOf(job, 10_000)), [3, 2, 0])
  t.deepEqual([...jobs].sort((a, b) => compareJobs(a, b, 10_000)), [...jobs].reverse())
})

// Guards against orders that rely on callers' estimates alone, which may be wrong by 90%.
test('estimates that are far off count little once enough tasks of the queue have ended', t => {
  const durations = Durations.create()
  for (let index = 0; index < 200; index++) for (const step of createQueuedJob(QUEUE, 0, { estimateMs: index % 2 === 0 ? 100 : 1_900 }).job.liveSteps()) durations.record(step, 1_000)
  t.true((durations.of(QUEUE.name)?.estimateWeight ?? 1) < 0.1)
})

// Guards against refusals of jobs that would go before what waits.
test('a backlog of wide jobs: the forecast of small and of more urgent jobs is not that of wide ones, and its error is measured', t => {
  const small = createQueuedJob(QUEUE, 0, { estimateMs: 2_000 })
  const urgent = createQueuedJob(SHORT, 0, { estimateMs: 500 })
  const wide = [1, 2, 3, 4, 5].map(admittedAtMs => createQueuedJob(QUEUE, admittedAtMs, { estimateMs: 2_000, count: 40 }))
  const plan = createPlan([small, urgent, ...wide], 10)
  const metrics = MemoryMetrics.create()
  const forecast = Forecast.create(queue => plan.meanWorkOf(queue), metrics)
  forecast.renew(plan.all(), 10, 10)
  const startsInMs = (queue: typeof QUEUE) => forecast.of(queue.name)?.classes.map(({ earliestStartInMs }) => earliestStartInMs) ?? []
  // Each of the wide jobs takes the cell for 8 s.
  t.true((startsInMs(QUEUE).at(-1) ?? 0) >= 32_000, `${startsInMs(QUEUE)}`)
  t.true((startsInMs(QUEUE)[0] ?? Infinity) < 1_000, `${startsInMs(QUEUE)}`)
  t.true(startsInMs(SHORT).every(startInMs => startInMs < 1_000), `${startsInMs(SHORT)}`)
  forecast.recordStart(small.job, 400)
  t.regex(metrics.render(), /forecast_start_error_ms_batch_count 1/)
})

// Guards against gangs that fit nowhere and keep workers free for good.
test('late jobs get a twentieth of the capacity, also while one of them can not start', t => {
  const gang = createQueuedJob(QUEUE, 0, { estimateMs: 1_000, count: 5, gang: true })
  const other = createQueuedJob(QUEUE, 1, { estimateMs: 1_000 })
  const plan = createPlan([gang, other], 60_000)
  const lateShare = LateShare.create()
  let reservedMs = 0
  for (let now = 0; now < 100_000; now += 200) {
    lateShare.renew(lateJobsOf(plan, 60_000), now)
    // The gang takes half of the cell.
    if (lateShare.goesFirst(gang.job)) reservedMs += 100
    if (lateShare.goesFirst(other.job)) lateShare.recordStart(other.job, 100)
  }
  t.true(reservedMs > 0 && reservedMs <= 0.05 * 100_000 + 200, `${reservedMs}`)
})

/** Time until it is the turn of a job, in milliseconds; `use` is called with each renewal. */
function turnAfterMs (lateShare: LateShare, jobs: ReadonlyArray<ReturnType<typeof createQueuedJob>>, wanted: Job, { from = 0, use = () => {} }: { readonly from?: number, readonly use?: () => void } = {}) {
  const plan = createPlan(jobs, 60_000)
  for (let now = from; now < from + 1_000_000; now += 200) {
    lateShare.renew(lateJobsOf(plan, 60_000), now)
    if (lateShare.goesFirst(wanted)) return now - from
    use()
  }
  return Infinity
}

// Guards against one wide job that takes the share of the other late jobs for many minutes.
test('a late job that takes more than the share at once delays the next turn by a minute at most', t => {
  const lateShare = LateShare.create()
  const [wide, other] = [createQueuedJob(QUEUE, 0, {}), createQueuedJob(QUEUE, 1, {})]
  t.true(turnAfterMs(lateShare, [wide, other], wide.job) <= 5_000)
  lateShare.recordStart(wide.job, 100_000)
  const waitedMs = turnAfterMs(lateShare, [other], other.job, { from: 5_000 })
  t.true(waitedMs >= 10_000 && waitedMs <= 65_000, `${waitedMs}`)
})

// Guards against a turn that lasts for ever, because nothing that would use up its credit can start.
test('late jobs of which nothing can start leave the turn to the next one', t => {
  // 4 s to save up the share, a turn of 4 s, and as long again if that has used up the share.
  const boundMs = 12_400
  const ready = createQueuedJob(QUEUE, 2, {})
  const stuck = createQueuedJob(QUEUE, 0, { requiredLabel: 'nowhere' })
  t.true(turnAfterMs(LateShare.create(), [stuck, ready], ready.job) <= boundMs)
  const tinyGang = createQueuedJob(QUEUE, 0, { gang: true, count: 2, need: { milliCores: 1, memoryMb: 1, accelerators: 0 } })
  t.true(turnAfterMs(LateShare.create(), [tinyGang, ready], ready.job) <= boundMs)
  const begun = createQueuedJob(QUEUE, 0, {}, { steps: [createStep(), createStep({ after: [0] })] })
  for (const step of begun.job.liveSteps()) if (step.index === 0) step.waitingTasks = 0
  t.true(turnAfterMs(LateShare.create(), [begun, ready], ready.job) <= 4_200)
})

// Guards against charges for time in which nothing was kept free.
test('a leader that stood still for a minute charges the current turn for seconds only', t => {
  const lateShare = LateShare.create()
  const gang = createQueuedJob(QUEUE, 0, { count: 5, gang: true })
  const other = createQueuedJob(QUEUE, 1, {})
  t.true(turnAfterMs(lateShare, [gang], gang.job) <= 5_000)
  const waitedMs = turnAfterMs(lateShare, [other], other.job, { from: 65_000 })
  t.true(waitedMs <= 45_000, `${waitedMs}`)
})

// Guards against one account whose many late jobs take every turn.
test('accounts take turns among late jobs', t => {
  const lateShare = LateShare.create()
  const loud = Array.from({ length: 50 }, (_, index) => createQueuedJob(QUEUE, index, {}, { account: 'loud' }))
  const quiet = createQueuedJob(QUEUE, 1_000, {}, { account: 'quiet' })
  const use = () => { for (const { job } of loud) if (lateShare.goesFirst(job)) lateShare.recordStart(job, 200) }
  t.true(turnAfterMs(lateShare, [...loud, quiet], quiet.job, { use }) <= 15_000)
})

// Guards against a sort without a consistent order: an estimate of 0 stands for an unknown one.
test('without estimates of durations, all that the plan and the forecast say are usable numbers, and no job goes always first', t => {
  const unknown = [1, 2, 3].map(admittedAtMs => createQueuedJob(QUEUE, admittedAtMs, { estimateMs: 0, count: 2 }))
  const free = createQueuedJob(QUEUE, 4, { estimateMs: 0, need: { milliCores: 0, memoryMb: 0, accelerators: 0 } })
  const plan = createPlan([...unknown, free], 10)
  for (const { workMs, waitingMs, density, rank } of plan.all()) t.true([workMs, waitingMs, density, rank].every(value => Number.isFinite(value) && value > 0))
  const forecast = Forecast.create(queue => plan.meanWorkOf(queue), MemoryMetrics.create())
  forecast.renew(plan.all(), 10, 10)
  const { meanWorkMs = 0, classes = [] } = forecast.of(QUEUE.name) ?? {}
  t.true(meanWorkMs > 0)
  t.true(classes.length > 0 && classes.every(({ startInMs, earliestStartInMs }) => Number.isFinite(startInMs) && Number.isFinite(earliestStartInMs)))
  const durations = Durations.create()
  for (let index = 0; index < 1_000; index++) for (const step of createQueuedJob(QUEUE, 0, { estimateMs: index % 2 === 0 ? 0 : 1_000 }).job.liveSteps()) durations.record(step, index % 4 < 2 ? 950 : 1_050)
  const measured = WaitingPlan.create({ durations, cell: () => CELL, isExcess: () => false })
  const [first, second] = [0, 1_000].map(estimateMs => measured.of(createQueuedJob(QUEUE, 0, { estimateMs })))
  t.true(Math.abs((first?.density ?? 0) / (second?.density ?? 1) - 1) < 0.1)
  t.true((durations.of(QUEUE.name)?.estimateWeight ?? 0) > 0.2, 'unknown estimates are not wrong ones')
  const idle = Durations.create()
  for (let index = 0; index < 20; index++) for (const step of createQueuedJob(QUEUE, 0, {}).job.liveSteps()) idle.record(step, 0)
  const planned = WaitingPlan.create({ durations: idle, cell: () => CELL, isExcess: () => false }).of(createQueuedJob(QUEUE, 0, { estimateMs: 0 }))
  t.true(Number.isFinite(planned.density) && planned.workMs > 0)
})

// Guards against a new leader that knows no mean work of the queues whose jobs it has loaded before its workers.
test('jobs that are looked at before any worker is known count in the mean work of their queue', t => {
  let cell = { milliCores: 0, memoryMb: 0, accelerators: 0 }
  const plan = WaitingPlan.create({ durations: Durations.create(), cell: () => cell, isExcess: () => false })
  const queued = createQueuedJob(QUEUE, 0, {})
  t.true(Number.isFinite(plan.of(queued).density))
  cell = CELL
  plan.renew([queued], 10)
  t.true((plan.meanWorkOf(QUEUE.name) ?? 0) > 0)
})

// Guards against services and schedules that start only when nothing else waits, which under a standing overload is never.
test('jobs without an objective go by the time since their admission or due time, among the others', t => {
  const now = 1_700_000_000_000
  const longRunning = (admittedAtMs: number) => createQueuedJob(QUEUE, admittedAtMs, { longRunning: true })
  const scheduled = createQueuedJob(QUEUE, now - 3_600_000, {}, { schedule: { firstRunMs: now - 100, intervalMs: 60_000, repetitions: 10 } })
  scheduled.job.addDueOccurrences(now)
  const [old, fresh, timed] = [longRunning(now - 20_000), longRunning(now), createQueuedJob(QUEUE, now - 1_000, {})]
  const plan = createPlan([old, fresh, timed, scheduled], now)
  const compare = (a: typeof old, b: typeof old) => Math.sign(compareJobs(plan.of(a), plan.of(b), now))
  t.is(compare(old, timed), -1)
  t.is(compare(timed, fresh), -1)
  t.is(compare(timed, scheduled), -1)
})

// Guards against refusals of jobs because of services, whose work is not known.
test('jobs without an objective change neither the mean work of their queue nor when others would start', t => {
  const timed = createQueuedJob(QUEUE, 5, { estimateMs: 2_000 })
  const services = Array.from({ length: 50 }, (_, index) => createQueuedJob(QUEUE, index, { estimateMs: 3_600_000, longRunning: true, count: 10 }))
  const forecastOf = (jobs: Parameters<typeof createPlan>[0]) => {
    const plan = createPlan(jobs, 10)
    const forecast = Forecast.create(queue => plan.meanWorkOf(queue), MemoryMetrics.create())
    forecast.renew(plan.all(), 10, 10)
    forecast.renew(plan.all(), 10, 2_010)
    return forecast.of(QUEUE.name)
  }
  t.deepEqual(forecastOf([...services, timed]), forecastOf([timed]))
})

// Guards against a plan that takes the processor from what would end the overload.
test('many thousands of waiting jobs: the plan takes a tenth of the processor at most, and an old forecast is not reported', t => {
  const clock = ManualClock.create()
  let now = 0
  let renewals = 0
  let renewedAt = 0
  const jobs = () => {
    now += 300
    renewedAt = now
    renewals++
    return [createQueuedJob(QUEUE, clock.date().getTime(), {}).job]
  }
  const workers = () => [{ entry: createWorkerEntry('w1'), isInService: () => true }]
  const shedding = LoadShedding.create({ jobs, isExcess: () => false, queue: () => QUEUE, workers, clock: { now: () => now, date: () => clock.date() }, metrics: MemoryMetrics.create() } as never)
  for (; now < 30_000; now += 200) {
    shedding.renew()
    t.is(shedding.report(QUEUE.name).forecast !== undefined, now - renewedAt <= 1_000)
  }
  t.true(renewals <= 11, `${renewals}`)
})

/** What a leader does about load, with real links to 4 workers of 4 cores, and a job that has just been admitted. */
function createShedding (services: ReadonlyArray<ReturnType<typeof createQueuedJob>> = []) {
  const clock = ManualClock.create()
  const links = createSilentLinks({ count: 4, capacity: { milliCores: 4_000, memoryMb: 16_000, accelerators: 0 }, clock })
  const queued = createQueuedJob(QUEUE, clock.date().getTime(), { count: 40 })
  const shedding = LoadShedding.create({ jobs: () => [queued, ...services].map(({ job }) => job), queue: () => QUEUE, isExcess: () => false, canStart: () => true, workers: () => links, agents: () => 1, isProcessorFull: () => false, clock, metrics: MemoryMetrics.create() })
  return { clock, links, job: queued.job, shedding }
}

// Guards against refusals in a burst, in which each worker has as many starts under way as it confirms in time.
test('workers that take no further start for a moment are part of the capacity', t => {
  const { links, job, shedding } = createShedding()
  const [step] = job.liveSteps()
  for (const task of [...step?.untouchedTasks() ?? []].slice(0, 16)) links[0]?.start(task, 1, '', '')
  if (links[1] !== undefined) links[1].notBefore = Infinity
  t.deepEqual(links.map(link => link.canStart()), [false, false, true, true])
  shedding.renew()
  t.is(shedding.report(QUEUE.name).forecast?.cell.milliCores, 16_000)
})

// Guards against refusals by a new leader that has adopted some workers only, or by one that adopts many again after lost answers.
test('workers that have been without contact for a moment are part of the capacity, and lost ones are not', async t => {
  const { clock, links, shedding } = createShedding()
  for (const link of links.slice(1)) link.isAdopted = false
  shedding.renew()
  t.is(shedding.report(QUEUE.name).forecast?.cell.milliCores, 16_000)
  await clock.advance(5_000)
  shedding.renew()
  t.is(shedding.report(QUEUE.name).forecast?.cell.milliCores, 4_000)
})

// Guards against a plan that keeps more than can be on time in a cell that services fill for the most part.
test('what services hold is no part of the capacity', t => {
  const service = createQueuedJob(QUEUE, 0, { longRunning: true, count: 6 })
  const { links, shedding } = createShedding([service])
  const [step] = service.job.liveSteps()
  for (const task of [...step?.untouchedTasks() ?? []].slice(0, 4)) links[0]?.start(task, 1, '', '')
  shedding.renew()
  t.is(shedding.report(QUEUE.name).forecast?.cell.milliCores, 12_000)
})

// Guards against refusals by what was true when there were workers.
test('a forecast becomes old while there is no worker', async t => {
  const { clock, links, shedding } = createShedding()
  shedding.renew()
  t.not(shedding.report(QUEUE.name).forecast, undefined)
  for (const link of links) link.isAdopted = false
  await clock.advance(5_000)
  shedding.renew()
  t.is(shedding.report(QUEUE.name).forecast, undefined)
})

/** Sends work for 1.25 times the capacity to a cell with a job, until that has started or the load ends; returns whether it has. */
async function startsUnderLoad (step: Partial<StepSpec>, isProcessorFull = false) {
  const workers = [1, 2, 3, 4].map(index => createWorkerEntry(`w${index}`))
  const cell = TestCell.create({ queues: [SHORT, QUEUE], workers, shedsLoad: true, behaviour: ({ jobId }) => ({ durationMs: 400 + 37 * Number.parseInt(jobId.slice(-4), 16) % 200, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  cell.isProcessorFull = isProcessorFull
  const others = [await cell.submit(daemon, [createStep({ count: 16 })], cell.newJobId(), SHORT)]
  const jobId = await cell.submit(daemon, [createStep(step)], cell.newJobId(), QUEUE)
  for (let round = 0; round < 600 && !cell.audit.hasStarted(jobId); round++) {
    for (let index = 0; index < 4; index++) others.push(await cell.submit(daemon, [createStep()], cell.newJobId(), SHORT))
    await cell.clock.advance(90)
  }
  return { cell, others, hasStarted: cell.audit.hasStarted(jobId) }
}

// Guards against large tasks that never start, because small ones fill each gap.
test('standing overload: a late task that takes a whole worker starts', async t => {
  const { hasStarted } = await startsUnderLoad({ need: { milliCores: 4_000, memoryMb: 1_000, accelerators: 0 } })
  t.true(hasStarted)
})

// Guards against a late job that has its turn and is put off all the same.
test('standing overload, leader without processor time: a late job starts', async t => {
  const { hasStarted } = await startsUnderLoad({}, true)
  t.true(hasStarted)
})

// Guards against accepted jobs that never end, because there is always work that can be on time.
test('standing overload: a wide gang that is too late to count runs all the same, and nothing waits beside room after the load', async t => {
  const workers = [1, 2, 3, 4].map(index => createWorkerEntry(`w${index}`))
  const cell = TestCell.create({ queues: [SHORT, QUEUE], workers, shedsLoad: true, behaviour: () => ({ durationMs: 500, end: 'done' }) })
  const daemon = cell.startDaemon('d1')
  await cell.advanceUntil(() => cell.leader() !== undefined)
  const gang = await cell.submit(daemon, [createStep({ count: 12, gang: true })], cell.newJobId(), QUEUE)
  const others: string[] = []
  // Work for 1.25 times the capacity.
  for (let round = 0; round < 600 && !cell.audit.hasStarted(gang); round++) {
    others.push(await cell.submit(daemon, [createStep({ count: 4 })], cell.newJobId(), SHORT))
    await cell.clock.advance(90)
  }
  t.true(cell.audit.hasStarted(gang))
  const allEnded = () => others.every(jobId => cell.leader()?.stateOf(jobId) === 'completed')
  t.true(await cell.advanceUntil(allEnded, 60_000))
  t.deepEqual(cell.audit.violations, [])
})

// Guards against late jobs that take the starts of a leader without processor time from jobs that can be on time.
test('while the processor is full, starts of late jobs count by what they take of it', t => {
  const steps = [{ spec: createStep({ estimateMs: 1_000, need: { milliCores: 1, memoryMb: 0, accelerators: 0 } }), tasks: 30 }]
  const costOf = (isProcessorFull: boolean) => startCostMsOf(steps, { queue: {}, known: undefined, cell: CELL, agents: 1, isProcessorFull })
  t.is(costOf(false), 3)
  t.is(costOf(true), 48)
})
