import { createHash } from 'node:crypto'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { AdviceAgent } from '../advice.js'
import { formatStepId, formatTaskId, isFinal } from '../types.js'
import type { JobState, Queue, StepSpec } from '../types.js'
import { CrashPlan, GridClock, TestCell, createQueue, createStep, createWorkerEntry } from '../testing/index.js'
import type { TestClock, TestDaemon } from '../testing/index.js'

/** Crashes under one task that the rule allows: three, and fewer than three further starts. */
const MAX_CRASHES = 5
/** Time after the last submission by which each job has ended, in milliseconds. */
const FINISH_MS = 14_000
const SUBMIT_MS = 25_000
/** Workers for 1,000 jobs, and for any smaller number. */
const WORKERS = 48
const MIN_WORKERS = 30
const WORKER_CAPACITY = { milliCores: 16_000, memoryMb: 65_536, accelerators: 0 }
/** Largest share of the workers' processor time that sound jobs may take without any crash. */
const MAX_LOAD = 0.5
const AGENTS = 7
const VALIDITY_MS = 2_000
const CRASH_AFTER_MS = { min: 300, max: 1_000 }
/** Crashes that no task causes: single workers, and a share of all workers at one moment. */
const WORKER_CRASH_INTERVAL_MS = 2_500
const OUTAGES_AT_MS = [8_000, 17_000]
const OUTAGE_SHARE = 1 / 3
const LEADER_KILL_INTERVAL_MS = 3_000
/** Delay after which a killed daemon is replaced, in milliseconds. */
const REPLACED_AFTER_MS = 300
const STEP_MS = 50
const POLL_MS = 500
const SETTINGS = { jobs: Number(process.env.CRASHES_AT_SCALE_JOBS ?? 500), seed: Number(process.env.CRASHES_AT_SCALE_SEED ?? 1) }

const QUOTES = createQueue({ name: 'quotes', pathPrefix: '/quotes/', priority: 0, slackFactor: 1.5, maxAttempts: 4, targetLatencyMs: 500, advice: { decisionMs: 8, perWorkerMs: 0.12, validityMs: VALIDITY_MS } })
const MATCHES = createQueue({ name: 'matches', pathPrefix: '/matches/', priority: 2, slackFactor: 4, maxAttempts: 4, targetLatencyMs: 3_000, advice: { decisionMs: 58, perWorkerMs: 0.82, validityMs: VALIDITY_MS } })
const ASSESSMENTS = createQueue({ name: 'assessments', pathPrefix: '/assessments/', priority: 1, slackFactor: 2.2, maxAttempts: 4, targetLatencyMs: 1_200, advice: { decisionMs: 360, perWorkerMs: 5.1, validityMs: VALIDITY_MS } })
const NOTES = createQueue({ name: 'notes', pathPrefix: '/notes/', priority: 1, slackFactor: 2, maxAttempts: 4, targetLatencyMs: 500 })

interface Kind {
  readonly queue: Queue
  /** Share of the jobs. */
  readonly share: number
  readonly counts: { readonly min: number, readonly max: number }
  readonly fields: Partial<StepSpec> & Pick<StepSpec, 'need' | 'estimateMs'>
  /** Share of the workers that the placement policy approves for a step. */
  readonly approved: number
}

const QUICK = { need: { milliCores: 1_400, memoryMb: 2_900, accelerators: 0 }, estimateMs: 800 }
const KINDS: readonly Kind[] = [
  { queue: QUOTES, share: 0.5, counts: { min: 1, max: 3 }, fields: QUICK, approved: 0.7 },
  { queue: QUOTES, share: 0.2, counts: { min: 2, max: 3 }, fields: { ...QUICK, gang: true }, approved: 0.7 },
  { queue: NOTES, share: 0.14, counts: { min: 1, max: 3 }, fields: QUICK, approved: 1 },
  { queue: MATCHES, share: 0.12, counts: { min: 8, max: 12 }, fields: { need: { milliCores: 980, memoryMb: 2_800, accelerators: 0 }, estimateMs: 2_700 }, approved: 0.45 },
  { queue: ASSESSMENTS, share: 0.04, counts: { min: 4, max: 8 }, fields: { need: { milliCores: 4_500, memoryMb: 17_000, accelerators: 0 }, estimateMs: 3_000, gang: true }, approved: 0.35 }
]

interface PlannedJob {
  readonly jobId: string
  readonly kind: Kind
  readonly count: number
  readonly isGuilty: boolean
  readonly submitAtMs: number
}

interface Play {
  /** Jobs of 1,000 all of whose tasks crash their workers. */
  readonly guilty: number
  readonly seed?: number
  readonly killsLeaders?: boolean
  /** Whether the leader has no processor time left while jobs are submitted, so that it puts late work off. */
  readonly isProcessorFull?: boolean
}

interface Outcome {
  /** Crashes until the last guilty job was given up; undefined if not all were. */
  readonly crashesUntilLast: number | undefined
  readonly crashes: number
  readonly lostRuns: number
  /** Most starts of one guilty task, or of one guilty gang, that ended in crashes. */
  readonly mostCrashedStarts: number
  readonly guiltyNotGivenUp: readonly string[]
  readonly soundGivenUp: readonly string[]
  readonly soundNotCompleted: readonly string[]
  readonly violations: readonly string[]
}

/** A number from 0 to 1 that depends only on the text. */
function shareOf (text: string): number {
  return Number.parseInt(createHash('sha1').update(text).digest('hex').slice(0, 12), 16) / 2 ** 48
}

function between ({ min, max }: { readonly min: number, readonly max: number }, share: number): number {
  return min + (max - min) * share
}

function kindAt (share: number): Kind {
  let sum = 0
  return KINDS.find(kind => (sum += kind.share) > share) ?? KINDS[0] as Kind
}

function planJobs ({ guilty, seed = SETTINGS.seed }: Play): readonly PlannedJob[] {
  const { jobs } = SETTINGS
  const numbers = Array.from({ length: jobs }, (_, index) => index)
  const rank = new Map([...numbers].sort((a, b) => shareOf(`${seed} guilty ${a}`) - shareOf(`${seed} guilty ${b}`)).map((number, index) => [number, index]))
  const guiltyCount = Math.ceil(guilty * jobs / 1_000)
  return numbers.map(number => {
    const kind = kindAt(shareOf(`${seed} kind ${number}`))
    const { min, max } = kind.counts
    const count = Math.floor(between({ min, max: max + 1 }, shareOf(`${seed} count ${number}`)))
    return { jobId: (number + 1).toString(16).padStart(16, '0'), kind, count, isGuilty: (rank.get(number) ?? 0) < guiltyCount, submitAtMs: SUBMIT_MS * number / jobs }
  })
}

function loadOf (jobs: readonly PlannedJob[], workers: number): number {
  const needed = jobs.filter(({ isGuilty }) => !isGuilty).reduce((sum, { kind, count }) => sum + count * kind.fields.need.milliCores * kind.fields.estimateMs, 0)
  return needed / (SUBMIT_MS * workers * WORKER_CAPACITY.milliCores)
}

/** A daemon that calls the placement policy service: one call at a time, whoever leads. */
function createAgent (name: string, clock: TestClock, kindOf: (jobId: string) => Kind): AdviceAgent {
  let freeAt = 0
  return {
    name,
    approve: async (step, workerIds, timeoutMs) => {
      const { queue, approved } = kindOf(step.split('.')[0] ?? '')
      const { decisionMs, perWorkerMs } = queue.advice ?? { decisionMs: 0, perWorkerMs: 0 }
      freeAt = Math.max(freeAt, clock.now()) + decisionMs + perWorkerMs * workerIds.length
      const waitMs = freeAt - clock.now()
      await clock.sleep(Math.min(waitMs, timeoutMs))
      if (waitMs > timeoutMs) return Err(Failure.mayHaveRun('policy-unreachable', 'The policy service did not answer in time.'))
      return Ok(new Map(workerIds.filter(id => shareOf(`${step} ${id}`) < approved).map(id => [id, `${step}/${id}`])))
    }
  }
}

/** Plays a cell with room whose load contains jobs all of whose tasks crash their workers. */
async function play (settings: Play): Promise<Outcome> {
  const { seed = SETTINGS.seed, killsLeaders = false, isProcessorFull = false } = settings
  const jobs = planJobs(settings)
  const workerCount = Math.max(MIN_WORKERS, Math.round(WORKERS * jobs.length / 1_000))
  if (loadOf(jobs, workerCount) > MAX_LOAD) throw new Error(`sound jobs take ${loadOf(jobs, workerCount)} of the workers`)
  const jobsById = new Map(jobs.map(job => [job.jobId, job]))
  const isGuilty = (taskName: string) => jobsById.get(taskName.split('.')[0] ?? '')?.isGuilty === true
  const kindOf = (jobId: string) => jobsById.get(jobId)?.kind ?? KINDS[0] as Kind
  const clock = GridClock.create()
  const cell = TestCell.create({
    clock,
    queues: [QUOTES, MATCHES, ASSESSMENTS, NOTES],
    agents: Array.from({ length: AGENTS }, (_, index) => createAgent(`agent-${index}`, clock, kindOf)),
    workers: Array.from({ length: workerCount }, (_, index) => createWorkerEntry(`w${index}`, { capacity: WORKER_CAPACITY, labels: ['a', `r${Math.floor(index / 8)}`] })),
    behaviour: task => ({ durationMs: isGuilty(task.jobId) ? 60_000 : kindOf(task.jobId).fields.estimateMs * between({ min: 0.7, max: 1.3 }, shareOf(formatTaskId(task))), end: 'done' })
  })

  /** Runs, by worker and task, and starts that ended in crashes, by task or gang. */
  const runOn = new Map<string, number>()
  const crashedStarts = new Map<string, Set<number>>()
  let crashes = 0
  let lostRuns = 0
  cell.audit.onRun = (workerId, task, run, event) => {
    if (event === 'started') runOn.set(`${workerId} ${formatTaskId(task)}`, run)
  }
  const unitOf = (taskName: string) => {
    const [jobId = '', occurrence = '', step = ''] = taskName.split('.')
    return kindOf(jobId).fields.gang === true ? formatStepId({ jobId, occurrence: Number(occurrence), step: Number(step) }) : taskName
  }
  const onCrash = (workerId: string, tasks: readonly string[]) => {
    crashes++
    lostRuns += tasks.length
    for (const task of tasks) {
      const starts = crashedStarts.get(unitOf(task)) ?? new Set()
      crashedStarts.set(unitOf(task), starts.add(runOn.get(`${workerId} ${task}`) ?? 0))
    }
  }
  const plan = CrashPlan.create({ cell, isDeadly: isGuilty, crashAfterMs: task => between(CRASH_AFTER_MS, shareOf(`${seed} ${task}`)), onCrash })

  const failures: string[] = []
  const inBackground = (promise: Promise<unknown>) => { promise.catch(err => failures.push(String(err))) }
  const refused = new Set<string>()
  cell.refusesConnections = address => refused.has(address)
  let daemonCount = 0
  let living: readonly TestDaemon[] = []
  const startDaemon = () => {
    const daemon = cell.startDaemon(`d${++daemonCount}`)
    living = [...living, daemon]
    return daemon
  }
  const killLeader = () => {
    const leading = living.find(daemon => daemon.lease.isValid() && daemon.leader() !== undefined)
    const candidate = living.find(daemon => daemon !== leading)
    if (leading === undefined || candidate === undefined) return
    leading.crash()
    living = living.filter(daemon => daemon !== leading)
    refused.add(`${leading.name}:1`)
    inBackground(candidate.lease.checkHolder(`${leading.name}:1`))
    clock.after(REPLACED_AFTER_MS, startDaemon)
  }
  // Callers are served by the first daemon also after it has stopped leading.
  const entry = startDaemon()
  startDaemon()
  startDaemon()
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await clock.advance(1_000)

  const states = new Map<string, JobState | 'unknown' | 'refused'>()
  let crashesAtLatestEnd = 0
  const submit = async ({ jobId, kind, count }: PlannedJob) => {
    const spec = { payload: `payload of ${jobId}`, steps: [createStep({ ...kind.fields, count })] }
    cell.audit.expectJob(jobId, spec)
    const res = await entry.jobs.submit(jobId, kind.queue, spec, 3_000)
    states.set(jobId, res.ok ? 'queued' : 'refused')
    if (res.err) failures.push(`job ${jobId} was not accepted: ${res.val.reason}`)
  }
  const readState = async (jobId: string) => {
    const state = (await entry.jobs.stateOf(jobId, POLL_MS)).unwrapOr(undefined) ?? 'unknown'
    states.set(jobId, state)
    if (isGuilty(jobId) && state === 'failed') crashesAtLatestEnd = Math.max(crashesAtLatestEnd, crashes)
  }
  const isOpen = (jobId: string) => {
    const state = states.get(jobId)
    return state === 'queued' || state === 'active' || state === 'unknown'
  }
  const openJobs = () => jobs.filter(({ jobId }) => isOpen(jobId))
  cell.isProcessorFull = isProcessorFull
  const queue = [...jobs]
  const outages = [...OUTAGES_AT_MS]
  const workerIds = cell.workers.all().map(worker => worker.entry.id)
  for (let elapsedMs = 0; elapsedMs < SUBMIT_MS + FINISH_MS; elapsedMs += STEP_MS) {
    while (queue[0] !== undefined && queue[0].submitAtMs <= elapsedMs) inBackground(submit(queue.shift() as PlannedJob))
    if (elapsedMs >= SUBMIT_MS) cell.isProcessorFull = false
    const isBusyTime = elapsedMs > 0 && elapsedMs < SUBMIT_MS
    if (isBusyTime && elapsedMs % WORKER_CRASH_INTERVAL_MS === 0) plan.crash(workerIds[Math.floor(shareOf(`${seed} crash ${elapsedMs}`) * workerIds.length)] ?? '')
    if (outages[0] !== undefined && outages[0] <= elapsedMs) {
      const at = outages.shift()
      for (const id of workerIds) if (shareOf(`${seed} outage ${at} ${id}`) < OUTAGE_SHARE) plan.crash(id)
    }
    if (killsLeaders && isBusyTime && elapsedMs % LEADER_KILL_INTERVAL_MS === 0) killLeader()
    if (elapsedMs % POLL_MS === 0) for (const { jobId, isGuilty: isGuiltyJob } of openJobs()) if (isGuiltyJob) inBackground(readState(jobId))
    await plan.advanceUntil(() => false, STEP_MS)
    if (elapsedMs >= SUBMIT_MS && openJobs().length === 0) break
    if (elapsedMs >= SUBMIT_MS && elapsedMs % POLL_MS === 0) for (const { jobId } of openJobs()) inBackground(readState(jobId))
  }
  await cell.advanceUntilSettled(Promise.all(openJobs().map(({ jobId }) => readState(jobId))))
  for (const daemon of cell.daemons) daemon.kill()

  const idsOf = (filter: (job: PlannedJob) => boolean) => jobs.filter(filter).map(({ jobId }) => jobId)
  const guiltyNotGivenUp = idsOf(({ jobId, isGuilty }) => isGuilty && states.get(jobId) !== 'failed')
  return {
    crashesUntilLast: guiltyNotGivenUp.length === 0 ? crashesAtLatestEnd : undefined,
    crashes,
    lostRuns,
    mostCrashedStarts: Math.max(0, ...[...crashedStarts].filter(([unit]) => isGuilty(unit)).map(([, starts]) => starts.size)),
    guiltyNotGivenUp,
    soundGivenUp: idsOf(({ jobId, isGuilty }) => !isGuilty && states.get(jobId) === 'failed'),
    soundNotCompleted: idsOf(({ jobId, isGuilty }) => !isGuilty && !isFinal(states.get(jobId) as JobState)),
    violations: [...cell.audit.violations, ...failures]
  }
}

function report (t: ExecutionContext, outcome: Outcome): void {
  const { crashesUntilLast, crashes, lostRuns, mostCrashedStarts, guiltyNotGivenUp, soundGivenUp, soundNotCompleted, violations } = outcome
  t.log(`crashes until the last guilty job was given up: ${crashesUntilLast ?? 'not all were given up'}; crashes: ${crashes}; runs lost: ${lostRuns}; most crashes under one guilty task: ${mostCrashedStarts}; guilty jobs that go on: ${guiltyNotGivenUp.length}; sound jobs given up: ${soundGivenUp.length}; sound jobs that wait: ${soundNotCompleted.length}; violations: ${violations.length}`)
}

/** Plays that pass, and those that are known to fail. */
const PLAYS: ReadonlyArray<readonly [which: string, settings: Play, isKnownToFail: boolean]> = [
  ['no jobs, under leaders that die every 3 s,', { guilty: 0, killsLeaders: true }, false],
  ['5 jobs of 1,000', { guilty: 5 }, false],
  ['30 jobs of 1,000', { guilty: 30 }, true],
  ['100 jobs of 1,000', { guilty: 100 }, true],
  ['30 jobs of 1,000, under leaders that die every 3 s,', { guilty: 30, killsLeaders: true }, true],
  ['100 jobs of 1,000, under leaders without processor time that die every 3 s,', { guilty: 100, killsLeaders: true, isProcessorFull: true }, true]
]

for (const [which, settings, isKnownToFail] of PLAYS) {
  // Guards against LOST: jobs with crashes waited beside free workers, as crashes made new suspects faster than any was cleared or given up.
  ;(isKnownToFail ? test.serial.failing : test.serial)(`${which} that crash their workers are given up in time, and all other jobs complete`, async t => {
    const outcome = await play(settings)
    report(t, outcome)
    t.deepEqual(outcome.violations, [])
    t.is(outcome.soundGivenUp.length, 0, 'sound jobs were given up')
    t.true(outcome.mostCrashedStarts <= MAX_CRASHES, `${outcome.mostCrashedStarts} workers have crashed under one task`)
    t.is(outcome.guiltyNotGivenUp.length, 0, 'jobs that crash their workers go on')
    t.is(outcome.soundNotCompleted.length, 0, 'sound jobs wait')
  })
}
