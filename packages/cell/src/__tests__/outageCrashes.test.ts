import test from 'ava'
import { CrashPlan, GridClock, TestCell, createRestartCell, createStep, createWorkerEntry } from '../testing/index.js'
import type { TestDaemon } from '../testing/index.js'
import { TABLES } from '../constants.js'
import type { StepProgress } from '../storedProgress.js'
import type { StepSpec } from '../types.js'

const SOUND_MS = 12_000
const OUTAGES = 5
const BETWEEN_OUTAGES_MS = 6_000
const DOMAINS = ['a', 'b', 'c']
const WORKERS_PER_DOMAIN = 4
const REPLACED_AFTER_MS = 300
const SETTLED_WITHIN_MS = 60_000
const SETTLE_POLL_MS = 2_000
const MAX_STARTS = 5
const MAX_LATER_STARTS = 2

/** Most crashes of its own that are stored of any task of the jobs. */
function mostCrashes (cell: TestCell, jobIds: Iterable<string>): number {
  const ids = new Set(jobIds)
  const rows = new Map(cell.store.committedTransactions.flatMap(tx => tx.puts).filter(({ table }) => table === TABLES.progress).map(({ key, value }) => [key, value]))
  const steps = [...rows].filter(([key]) => ids.has(key.split('.')[0] ?? '')).flatMap(([, value]) => {
    const { occurrences = {} } = value as { readonly occurrences?: Readonly<Record<string, 'done' | readonly StepProgress[]>> }
    return Object.values(occurrences).flatMap(ofOccurrence => ofOccurrence === 'done' ? [] : ofOccurrence)
  })
  return Math.max(0, ...steps.flatMap(({ crashed = {} }) => Object.values(crashed).map(runs => runs.length)))
}

async function createCell (workers = DOMAINS.flatMap(zone => Array.from({ length: WORKERS_PER_DOMAIN }, (_, index) => createWorkerEntry(`w${DOMAINS.indexOf(zone)}${index}`, { zone, labels: ['k', `r-${zone}`] })))) {
  const clock = GridClock.create()
  const guilty = new Set<string>()
  const sound = new Set<string>()
  /** Starts of guilty tasks, all and after the third crash under the task; crashes under them for any cause. */
  const starts = new Map<string, { all: number, afterThirdCrash: number, crashes: number }>()
  const startsOf = (task: string) => {
    const counts = starts.get(task) ?? { all: 0, afterThirdCrash: 0, crashes: 0 }
    starts.set(task, counts)
    return counts
  }
  const cell = TestCell.create({
    clock,
    workers,
    behaviour: ({ jobId, occurrence, step, index }) => {
      if (!guilty.has(jobId)) return { durationMs: SOUND_MS, end: 'done' }
      const counts = startsOf(`${jobId}.${occurrence}.${step}.${index}`)
      counts.all++
      if (counts.crashes >= 3) counts.afterThirdCrash++
      return { durationMs: 60_000, end: 'done' }
    }
  })
  const isGuilty = (task: string) => guilty.has(task.split('.')[0] ?? '')
  const onCrash = (_worker: string, tasks: readonly string[]) => { for (const task of tasks) if (isGuilty(task)) startsOf(task).crashes++ }
  const plan = CrashPlan.create({ cell, isDeadly: isGuilty, onCrash })
  const refused = new Set<string>()
  cell.refusesConnections = address => refused.has(address)
  let started = 0
  let living: readonly TestDaemon[] = []
  const startDaemon = () => {
    const daemon = cell.startDaemon(`d${++started}`)
    living = [...living, daemon]
    return daemon
  }
  const entry = startDaemon()
  startDaemon()
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await clock.advance(1_000)
  const submit = async (jobIds: Set<string>, fields: Partial<StepSpec>) => {
    const jobId = cell.newJobId()
    jobIds.add(jobId)
    return cell.submit(entry, [createStep(fields)], jobId)
  }
  const stateOf = async (jobId: string) => (await cell.advanceUntilSettled(entry.jobs.stateOf(jobId, 1_000))).unwrapOr('unknown')
  return {
    cell,
    plan,
    sound,
    guilty,
    starts,
    stateOf,
    submitSound: (fields: Partial<StepSpec>) => submit(sound, fields),
    submitGuilty: (fields: Partial<StepSpec>) => submit(guilty, fields),
    killLeader: () => {
      const leading = living.find(daemon => daemon.lease.isValid() && daemon.leader() !== undefined)
      const candidate = living.find(daemon => daemon !== leading)
      if (leading === undefined || candidate === undefined) return
      leading.crash()
      living = living.filter(daemon => daemon !== leading)
      refused.add(`${leading.name}:1`)
      candidate.lease.checkHolder(`${leading.name}:1`).catch(err => cell.audit.violations.push(String(err)))
      clock.after(REPLACED_AFTER_MS, startDaemon)
    },
    /** Plays until all jobs but lasting ones have ended. */
    settle: async (lasting: ReadonlySet<string>) => {
      const deadline = clock.now() + SETTLED_WITHIN_MS
      const waiting = async () => {
        for (const jobId of [...sound, ...guilty]) if (!lasting.has(jobId) && ['queued', 'active', 'unknown'].includes(String(await stateOf(jobId)))) return true
        return false
      }
      do await plan.advanceUntil(() => false, SETTLE_POLL_MS); while (await waiting() && clock.now() < deadline)
    },
    stop: () => { for (const daemon of cell.daemons) daemon.kill() }
  }
}

type Cell = Awaited<ReturnType<typeof createCell>>

/** Fills the cell with sound jobs of all kinds; returns the lasting ones. */
async function fillWithSound ({ submitSound }: Cell): Promise<ReadonlySet<string>> {
  const lasting = new Set<string>()
  for (let index = 0; index < 4; index++) {
    await submitSound({})
    await submitSound({ count: 6 })
    await submitSound({ count: 2, gang: true })
    lasting.add(await submitSound({ longRunning: true }))
  }
  return lasting
}

/** The same failure domain loses all of its workers again and again. */
async function playOutages (cell: Cell, { leaderDiesAfterMs }: { readonly leaderDiesAfterMs?: number } = {}) {
  let mostOfSound = 0
  for (let outage = 0; outage < OUTAGES; outage++) {
    for (const { entry } of cell.cell.workers.all()) if (entry.zone === 'a') cell.plan.crash(entry.id)
    if (leaderDiesAfterMs !== undefined) cell.cell.clock.after(leaderDiesAfterMs, cell.killLeader)
    await cell.plan.advanceUntil(() => false, BETWEEN_OUTAGES_MS)
    mostOfSound = Math.max(mostOfSound, mostCrashes(cell.cell, cell.sound))
  }
  return mostOfSound
}

/** Times after each outage at which the leader dies, in milliseconds: while the workers are away, and while it learns of their restarts. */
const PLAYS = [['under one leader', undefined], ['under leaders that die while the workers are away', 1_000], ['under leaders that die as the workers are back', 3_400]] as const

for (const [when, leaderDiesAfterMs] of PLAYS) {
  // Guards against LOST: sound tasks had to run alone, and sound jobs were given up, for the losses of a whole failure domain.
  test(`outages of a failure domain are not held against sound tasks, ${when}`, async t => {
    const cell = await createCell()
    const lasting = await fillWithSound(cell)
    await cell.plan.advanceUntil(() => false, 2_000)
    const mostOfSound = await playOutages(cell, leaderDiesAfterMs === undefined ? {} : { leaderDiesAfterMs })
    await cell.settle(lasting)
    const states = new Set<unknown>()
    for (const jobId of cell.sound) states.add(lasting.has(jobId) && await cell.stateOf(jobId) === 'active' ? 'completed' : await cell.stateOf(jobId))
    cell.stop()
    t.log(`${mostOfSound} crashes of its own under one sound task`)
    t.deepEqual([...states], ['completed'])
    t.true(mostOfSound < 2, `${mostOfSound} crashes count against a sound task`)
    t.deepEqual(cell.cell.audit.violations, [])
  })
}

for (const [when, leaderDiesAfterMs] of PLAYS) {
  // Guards against BUDGET: outages between the crashes of a guilty task must not let it start again without bound.
  test(`a task that crashes its workers among outages starts at most twice after the third crash under it, ${when}`, async t => {
    const cell = await createCell()
    const lasting = await fillWithSound(cell)
    const guilty = await cell.submitGuilty({})
    await playOutages(cell, leaderDiesAfterMs === undefined ? {} : { leaderDiesAfterMs })
    await cell.settle(lasting)
    const state = await cell.stateOf(guilty)
    cell.stop()
    t.log([...cell.starts])
    t.is(state, 'failed')
    for (const { afterThirdCrash } of cell.starts.values()) t.true(afterThirdCrash <= MAX_LATER_STARTS, `${afterThirdCrash} starts after the third crash`)
    t.deepEqual(cell.cell.audit.violations, [])
  })
}

// Guards against BUDGET: a job whose own tasks take down a whole rack at one moment is the cause, and not excused.
test('a wide job that crashes all workers of a rack again and again is given up', async t => {
  const cell = await createCell(Array.from({ length: WORKERS_PER_DOMAIN }, (_, index) => createWorkerEntry(`w${index}`)))
  const guilty = await cell.submitGuilty({ count: WORKERS_PER_DOMAIN, need: { milliCores: 4_000, memoryMb: 1_000, accelerators: 0 } })
  await cell.settle(new Set())
  const state = await cell.stateOf(guilty)
  cell.stop()
  t.log([...cell.starts])
  t.is(state, 'failed')
  for (const { all } of cell.starts.values()) t.true(all <= MAX_STARTS, `${all} starts of one task`)
  t.deepEqual(cell.cell.audit.violations, [])
})

// Guards against BUDGET: tasks of several jobs that each take down a worker at the same moments, again and again, look like an outage of their rack.
test('jobs that together crash all workers of a rack again and again are given up', async t => {
  const cell = await createCell(Array.from({ length: WORKERS_PER_DOMAIN }, (_, index) => createWorkerEntry(`w${index}`)))
  const guilty: string[] = []
  for (let index = 0; index < WORKERS_PER_DOMAIN; index++) guilty.push(await cell.submitGuilty({ need: { milliCores: 4_000, memoryMb: 1_000, accelerators: 0 } }))
  await cell.settle(new Set())
  const states = new Set<unknown>()
  for (const jobId of guilty) states.add(await cell.stateOf(jobId))
  cell.stop()
  t.log([...cell.starts.values()])
  t.deepEqual([...states], ['failed'])
  for (const { all } of cell.starts.values()) t.true(all <= MAX_STARTS, `${all} starts of one task`)
  t.deepEqual(cell.cell.audit.violations, [])
})

/** Whether the worker has restarted before the start is sent to it, by the name of the case. */
const STARTS = [['a start that was sent after the next incarnation of its worker had begun', true, 0], ['a start that was sent before its worker crashed', false, 1]] as const

for (const [what, isRestartedBefore, crashes] of STARTS) {
  // Guards against LOST: a task that had never run on the crashed incarnation was held to have crashed it. A task that crashes its worker at once is never listed either.
  test(`${what} and never began ${isRestartedBefore ? 'is not' : 'stays'} charged with the crash`, async t => {
    const { cell, worker, daemon, register } = await createRestartCell({ durationMs: 60_000 })
    const restart = () => worker.restart(2)
    if (isRestartedBefore) restart()
    worker.fault = command => command === 'start' ? { kind: 'applied-late', afterMs: 60_000 } : undefined
    const jobId = await cell.submit(daemon, [createStep()])
    await cell.clock.advance(200)
    if (!isRestartedBefore) restart()
    await cell.clock.advance(100)
    worker.fault = () => undefined
    register(2)
    t.true(await cell.advanceUntil(() => cell.audit.hasStarted(jobId), 10_000))
    await cell.clock.advance(3_000)
    t.is(mostCrashes(cell, [jobId]), crashes)
    daemon.kill()
  })
}
