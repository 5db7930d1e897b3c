import test from 'ava'
import fc from 'fast-check'
import type { Clock } from '@citronnotch/base/clock'
import { formatTaskId } from '../types.js'
import { TestCell, createStep, createWorkerEntry } from '../testing/index.js'
import type { CommandFault, MemoryWorker, TestDaemon } from '../testing/index.js'

const WORKERS = 4
const CAPACITY = { milliCores: 6_000, memoryMb: 64_000, accelerators: 0 }
/** Durations of runs; the long ones outlast every lease. */
const SHORT_RUN_MS = 700
const LONG_RUN_MS = 11_000
/** Time for the last leases, for runs that begin anew and for what waits, in milliseconds. */
const RECOVERY_MS = 150_000
/** Longest time for which the network holds a call back, in milliseconds. */
const MAX_DELAY_MS = 12_000
/** Time for which a leader that lives on refuses connections. */
const REFUSAL_MS = 1_000
/** Reading of the first incarnations' clocks: deadlines on them lie far in the future of the next ones. */
const FORMER_UPTIME_MS = 6_000
/** Steady load beside the actions: there is always something to start on a worker that is back. */
const STEADY_COUNT = 2
const SUBMIT_INTERVAL_MS = 600
const POLL_MS = 500
const SUBMIT_TIMEOUT_MS = 3_000
const SETTINGS = { seed: Number(process.env.RESTART_FAULTS_SEED ?? 1), numRuns: Number(process.env.RESTART_FAULTS_RUNS ?? 5) }

const pauseMs = fc.integer({ min: 0, max: 1_500 })
const worker = fc.nat(WORKERS - 1)
const someWorkers = fc.uniqueArray(worker, { minLength: 1, maxLength: 3 })
/** Times for which the network holds calls back, in turn; with a restart, they count from when the worker is back. */
const delaysMs = fc.array(fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 0, max: 2_000 }), fc.integer({ min: 0, max: MAX_DELAY_MS })), { minLength: 1, maxLength: 5 })
const answerFault: fc.Arbitrary<CommandFault> = fc.oneof(
  fc.constant({ kind: 'answer-lost' as const }),
  fc.record({ kind: fc.constant('answer-late' as const), afterMs: fc.integer({ min: 100, max: 3_500 }) })
)

/** What a play may bring. */
interface Trouble {
  /** Command that the network holds back; undefined for any. */
  readonly held: fc.Arbitrary<'start' | 'hold' | undefined>
  /** Whether a held start still reaches a later incarnation after the run was started by another call, or one incarnation has answered under a higher token. */
  readonly repeatsStarts: boolean
  /** Time from a restart to its entry in the registry. */
  readonly registeredAfterMs: fc.Arbitrary<number>
  /** How a leader is replaced. */
  readonly how: fc.Arbitrary<string>
}

const actionOf = ({ held, registeredAfterMs, how }: Trouble) => fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('restart' as const),
      workers: someWorkers,
      /** Time before the crash from which on calls are held back. */
      heldMs: fc.integer({ min: 0, max: 500 }),
      held,
      delaysMs,
      downMs: fc.integer({ min: 0, max: 1_500 }),
      registeredAfterMs,
      cutAfterMs: fc.option(fc.integer({ min: 500, max: 3_000 }), { nil: undefined }),
      cutForMs: fc.integer({ min: 6_000, max: 12_000 }),
      takeOver: fc.option(fc.record({ how, afterMs: fc.integer({ min: 0, max: 4_000 }) }), { nil: undefined, freq: 2 }),
      pauseMs
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('holdBack' as const), worker, held, delaysMs, forMs: fc.integer({ min: 100, max: 2_000 }), pauseMs }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('spoilAnswers' as const), worker, fault: answerFault, forMs: fc.integer({ min: 100, max: 3_000 }), pauseMs }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), worker, forMs: fc.integer({ min: 500, max: 12_000 }), pauseMs }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('takeOver' as const), how, pauseMs }) }
)

type Action = ReturnType<typeof actionOf> extends fc.Arbitrary<infer A> ? A : never

/** A start that the network holds back; once it is queued, it is lost with the incarnation. */
interface HeldStart {
  readonly task: string | undefined
  readonly token: number
  readonly fault: { readonly kind: 'applied-late', readonly afterMs: number, isQueued: boolean }
}

/** A worker with its restarts and with what becomes of the calls to it. Faults may overlap. */
class FaultyWorker {
  private born = 1
  private isDown = false
  private cutUntilMs = 0
  private held: { readonly command: string | undefined, readonly untilMs: number, readonly backAtMs: number, readonly delaysMs: readonly number[] } = { command: undefined, untilMs: 0, backAtMs: 0, delaysMs: [] }
  private answers: { readonly fault: CommandFault | undefined, readonly untilMs: number } = { fault: undefined, untilMs: 0 }
  private calls = 0
  /** Starts that may be on their way. */
  private heldStarts: readonly HeldStart[] = []

  private constructor (private readonly clock: Clock, private readonly worker: MemoryWorker, private readonly repeatsStarts: boolean, private readonly register: (id: string, born: number) => void) {
    worker.fault = (command, task, token) => this.faultOf(command, task === undefined ? undefined : formatTaskId(task), token)
  }

  static create (clock: Clock, worker: MemoryWorker, repeatsStarts: boolean, register: (id: string, born: number) => void): FaultyWorker {
    return new FaultyWorker(clock, worker, repeatsStarts, register)
  }

  /** The network holds calls back, which also reach a later incarnation. */
  holdBack (command: string | undefined, delaysMs: readonly number[], forMs: number, backAfterMs = 0) {
    this.held = { command, delaysMs, untilMs: this.clock.now() + forMs, backAtMs: this.clock.now() + backAfterMs }
  }

  spoilAnswers (fault: CommandFault, forMs: number) {
    this.answers = { fault, untilMs: this.clock.now() + forMs }
  }

  cut (forMs: number) {
    this.cutUntilMs = Math.max(this.cutUntilMs, this.clock.now() + forMs)
    this.applyCut()
    this.clock.after(forMs, () => this.applyCut())
  }

  restart (downMs: number, registeredAfterMs: number) {
    if (this.isDown) return
    this.isDown = true
    this.worker.crash()
    this.applyCut()
    this.clock.after(downMs, () => {
      const born = ++this.born
      this.isDown = false
      this.worker.restart(born)
      this.applyCut()
      this.clock.after(registeredAfterMs, () => this.register(this.worker.entry.id, born))
    })
  }

  private applyCut () {
    this.worker.isCutOff = this.clock.now() < this.cutUntilMs
  }

  private faultOf (command: string, task: string | undefined, token: number): CommandFault | undefined {
    const { held, answers } = this
    const now = this.clock.now()
    const isOfHeldKind = held.command === undefined || held.command === command
    if (this.isDown || (isOfHeldKind && now < held.untilMs)) {
      const delayMs = Math.max(0, held.backAtMs - now) + (held.delaysMs[this.calls++ % held.delaysMs.length] ?? 0)
      // A call without delay finds the worker without power and is lost.
      const fault = { kind: 'applied-late' as const, afterMs: isOfHeldKind ? Math.min(delayMs, MAX_DELAY_MS) : 0, isQueued: false }
      if (command === 'start') this.heldStarts = [...this.heldStarts, { task, token, fault }]
      return fault
    }
    const fault = now < answers.untilMs ? answers.fault : undefined
    if (this.repeatsStarts) return fault
    const isSettledBy: Readonly<Record<string, (start: HeldStart) => boolean>> = {
      hold: start => fault?.kind !== 'answer-lost' && start.token < token,
      start: start => start.task === task
    }
    for (const start of this.heldStarts) if (isSettledBy[command]?.(start) === true) start.fault.isQueued = true
    return fault
  }
}

async function play (actions: readonly Action[], maxTaskLeaseMs: number, repeatsStarts: boolean) {
  const durations = new Map<string, number>()
  const entries = new Map(Array.from({ length: WORKERS }, (_, index) => [`w${index}`, createWorkerEntry(`w${index}`, { capacity: CAPACITY })]))
  const cell = TestCell.create({ workers: [...entries.values()], maxTaskLeaseMs, behaviour: ({ jobId }) => ({ durationMs: durations.get(jobId) ?? SHORT_RUN_MS, end: 'done' }) })
  const { clock } = cell
  const register = (id: string, born: number) => {
    entries.set(id, createWorkerEntry(id, { capacity: CAPACITY, born: Math.max(born, entries.get(id)?.born ?? 0) }))
    cell.setRegistry([...entries.values()])
  }
  const workers = cell.workers.all().map(worker => FaultyWorker.create(clock, worker, repeatsStarts, register))
  let started = 0
  let living: readonly TestDaemon[] = []
  const startDaemon = () => { living = [...living, cell.startDaemon(`d${++started}`)] }
  const end = (daemon: TestDaemon) => {
    living = living.filter(other => other !== daemon)
    daemon.crash()
    startDaemon()
  }
  const refused = new Set<string>()
  cell.refusesConnections = address => refused.has(address)
  const refuse = (daemon: TestDaemon, candidate: TestDaemon) => {
    const address = `${daemon.name}:1`
    refused.add(address)
    clock.after(REFUSAL_MS, () => refused.delete(address))
    inBackground(candidate.lease.checkHolder(address))
  }
  const failures: string[] = []
  const inBackground = (call: Promise<unknown>) => { call.catch(err => failures.push(String(err))) }
  const takeOvers: { readonly [how: string]: (leading: TestDaemon, candidate: TestDaemon) => void } = {
    stays: () => {},
    dies: leading => end(leading),
    'dies and refuses connections': (leading, candidate) => {
      end(leading)
      refuse(leading, candidate)
    },
    'refuses connections': refuse,
    'hands over': leading => inBackground(leading.lease.release(0).then(() => end(leading)))
  }
  const replaceLeader = (how: string) => {
    const leading = living.find(daemon => daemon.lease.isValid() && daemon.leader() !== undefined)
    const candidate = living.find(daemon => daemon !== leading)
    if (leading !== undefined && candidate !== undefined) takeOvers[how]?.(leading, candidate)
  }
  const jobIds: string[] = []
  const submit = (count: number, isLong: boolean) => {
    const jobId = cell.newJobId()
    const spec = { payload: jobId, steps: [createStep({ count })] }
    durations.set(jobId, isLong ? LONG_RUN_MS : SHORT_RUN_MS)
    cell.audit.expectJob(jobId, spec)
    const [daemon] = living
    if (daemon !== undefined) inBackground(daemon.jobs.submit(jobId, cell.queue(), spec, SUBMIT_TIMEOUT_MS).then(res => { if (res.ok) jobIds.push(jobId) }))
  }
  const carryOut: { readonly [K in Action['kind']]: (action: Extract<Action, { readonly kind: K }>) => void } = {
    restart: ({ workers: indices, held, heldMs, delaysMs, downMs, registeredAfterMs, cutAfterMs, cutForMs, takeOver }) => {
      for (const index of indices) {
        workers[index]?.holdBack(held, delaysMs, heldMs + downMs, heldMs + downMs)
        clock.after(heldMs, () => workers[index]?.restart(downMs, registeredAfterMs))
        if (cutAfterMs !== undefined) clock.after(heldMs + downMs + cutAfterMs, () => workers[index]?.cut(cutForMs))
      }
      if (takeOver !== undefined) clock.after(heldMs + downMs + takeOver.afterMs, () => replaceLeader(takeOver.how))
    },
    holdBack: ({ worker: index, held, delaysMs, forMs }) => workers[index]?.holdBack(held, delaysMs, forMs),
    spoilAnswers: ({ worker: index, fault, forMs }) => workers[index]?.spoilAnswers(fault, forMs),
    cut: ({ worker: index, forMs }) => workers[index]?.cut(forMs),
    takeOver: ({ how }) => replaceLeader(how)
  }
  startDaemon()
  startDaemon()
  await cell.advanceUntil(() => cell.leader() !== undefined)
  await clock.advance(FORMER_UPTIME_MS)
  let areOver = false
  const submitSteadily = (isLong: boolean) => {
    if (areOver) return
    submit(STEADY_COUNT, isLong)
    clock.after(SUBMIT_INTERVAL_MS, () => submitSteadily(!isLong))
  }
  submitSteadily(true)
  for (const next of actions) {
    ;(carryOut[next.kind] as (action: Action) => void)(next)
    await clock.advance(next.pauseMs)
  }
  areOver = true
  await clock.advance(SUBMIT_TIMEOUT_MS)
  let waiting: readonly string[] = jobIds
  for (const endMs = clock.now() + RECOVERY_MS; waiting.length > 0 && clock.now() < endMs;) {
    await clock.advance(POLL_MS)
    const states = await cell.advanceUntilSettled(Promise.all(waiting.map(async jobId => living[0]?.jobs.stateOf(jobId, POLL_MS))))
    waiting = waiting.filter((_, index) => !['completed', 'failed'].includes(states[index]?.unwrapOr(undefined) ?? ''))
  }
  for (const daemon of living) daemon.kill()
  return { violations: [...cell.audit.violations, ...failures], isSettled: waiting.length === 0 }
}

/** Plays sequences of actions and fails on each violation that `counts`, and on jobs that wait without end. */
async function check (maxTaskLeaseMs: number, trouble: Trouble, counts: (violation: string) => boolean, settings: fc.Parameters<[Action[]]> = SETTINGS) {
  await fc.assert(fc.asyncProperty(fc.array(actionOf(trouble), { minLength: 3, maxLength: 9 }), async actions => {
    const { violations, isSettled } = await play(actions, maxTaskLeaseMs, trouble.repeatsStarts)
    const counted = violations.filter(counts)
    if (counted.length > 0) throw new Error(counted.join('; '))
    if (!isSettled) throw new Error('jobs wait without end')
  }), { ...settings, endOnFailure: true, includeErrorInReport: true })
}

const RESTARTED_AFTER_END = / after it was done$/
const isTwice = (violation: string) => !RESTARTED_AFTER_END.test(violation)
const TROUBLE: Trouble = {
  held: fc.constantFrom('start', 'hold', undefined),
  repeatsStarts: false,
  registeredAfterMs: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 0, max: 2_000 })),
  how: fc.constantFrom('dies', 'dies and refuses connections', 'refuses connections', 'hands over')
}

for (const maxTaskLeaseMs of [10_000, 6_000]) {
  // Guards against TWICE: calls to a former incarnation of a worker give the next one leases that no leader counts with.
  test(`restarts under the same id with late calls, cuts and takeovers let no task run twice, with leases of ${maxTaskLeaseMs} ms`, async t => {
    await check(maxTaskLeaseMs, TROUBLE, isTwice)
    t.pass()
  })
}

// Guards against TWICE: a task is started again after its end on an incarnation that took the start for its predecessor.
test('restarts under the same id with late starts and cuts start no task again after its end while a leader stays', async t => {
  await check(10_000, { ...TROUBLE, held: fc.constant('start'), how: fc.constant('stays') }, () => true)
  t.pass()
})

// A late heartbeat acknowledges an end of the next incarnation, which has the same sequence number as one of its predecessor.
test.failing('a late heartbeat to the former incarnation forgets no end of the next one', async t => {
  await check(10_000, TROUBLE, violation => !isTwice(violation), { seed: 1_000, path: '148' })
  t.pass()
})

// An incarnation has refused a late start, or never got it, and the one after it carries the start out.
test.failing('a late start that an incarnation does not list is carried out by no later one', async t => {
  await check(10_000, { ...TROUBLE, repeatsStarts: true }, isTwice, { seed: 1, path: '3' })
  t.pass()
})
