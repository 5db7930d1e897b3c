import test from 'ava'
import fc from 'fast-check'
import { TestCell, createStep, createWorkerEntry } from '../testing/index.js'
import type { CommandFault } from '../testing/index.js'

const FAULTY_MS = 12_000
/** Time for the last lease, the wait for late answers and the runs after them. */
const RECOVERY_MS = 25_000

const lateAnswer: fc.Arbitrary<CommandFault> = fc.record({ kind: fc.constant('answer-late' as const), afterMs: fc.integer({ min: 100, max: 3_500 }) })

const fault: fc.Arbitrary<CommandFault | undefined> = fc.oneof(
  { weight: 4, arbitrary: fc.constant(undefined) },
  { weight: 1, arbitrary: fc.constant({ kind: 'answer-lost' as const }) },
  { weight: 2, arbitrary: lateAnswer },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('applied-late' as const), afterMs: fc.integer({ min: 2_000, max: 12_000 }) }) }
)

const scenario = fc.record({
  /** Faults of the commands in turn; with a single one, all commands meet it. */
  faults: fc.oneof(fc.array(fault, { minLength: 5, maxLength: 40 }), fc.array(lateAnswer, { minLength: 1, maxLength: 3 })),
  cutAtMs: fc.integer({ min: 0, max: 5_000 }),
  cutForMs: fc.integer({ min: 0, max: 9_000 }),
  durationMs: fc.integer({ min: 200, max: 4_000 })
})

// Guards against TWICE and LOST: any command to a worker may be lost, executed late or answered late, while it is cut off and comes back.
test('no task runs twice, or again after an end that is taken note of, whatever commands are late', async t => {
  await fc.assert(fc.asyncProperty(scenario, async ({ faults, cutAtMs, cutForMs, durationMs }) => {
    const cell = TestCell.create({
      workers: [createWorkerEntry('w1'), createWorkerEntry('w2')], behaviour: () => ({ durationMs, end: 'done' })
    })
    const daemon = cell.startDaemon('d1')
    await cell.advanceUntil(() => cell.leader() !== undefined)
    await cell.clock.advance(500)
    const jobId = await cell.submit(daemon, [createStep({ count: 4 })])
    await cell.advanceUntil(() => cell.audit.hasStarted(jobId))
    let commands = 0
    const [first] = cell.workers.all()
    if (first === undefined) throw new Error('no worker')
    first.fault = () => faults[commands++ % faults.length]
    await cell.clock.advance(cutAtMs)
    first.isCutOff = true
    await cell.clock.advance(cutForMs)
    first.isCutOff = false
    await cell.clock.advance(Math.max(0, FAULTY_MS - cutAtMs - cutForMs))
    first.fault = () => undefined
    const isCompleted = await cell.advanceUntil(() => cell.leader()?.stateOf(jobId) === 'completed', RECOVERY_MS)
    if (!isCompleted) throw new Error('the job does not complete')
    if (cell.audit.violations.length > 0) throw new Error(cell.audit.violations.join('; '))
  }), { numRuns: 100, seed: 44 })
  t.pass()
})
