import test from 'ava'
import fc from 'fast-check'
import { Job } from '../jobs.js'
import type { ProgressRow, Task } from '../jobs.js'
import { MAX_ROW_BYTES, formatRanges, parseRanges } from '../progressRows.js'
import { decodeProgress, decodeRange, parseRangeKey } from '../storedProgress.js'
import { createStep } from '../testing/index.js'
import type { StepSpec } from '../types.js'

const LARGEST_RUN = 9_999_999_999
const MAX_CRASHES = 5
const MAX_OTHER_RUNS = 16
/** Runs that outages have ended; of more, only the first ones are kept as such. */
const MAX_OUTAGES = 4

interface JobShape {
  readonly steps: readonly StepSpec[]
  readonly repetitions: number
  readonly maxAttempts: number
}

function createJob ({ steps, repetitions, maxAttempts }: JobShape): Job {
  const schedule = repetitions === 1 ? {} : { schedule: { firstRunMs: 0, intervalMs: 1, repetitions } }
  const terms = { priority: 0, maxAttempts, slackFactor: 1, targetLatencyMs: 0 }
  const job = Job.create('00000000000000aa', { queue: 'q', service: 's', terms, admittedAtMs: 0, spec: { steps, ...schedule } }, 1)
  job.addDueOccurrences(repetitions)
  return job
}

function tasksOf (job: Job): readonly Task[] {
  const ids = [...job.occurrences.keys()].flatMap(occurrence => job.record.spec.steps.flatMap((spec, step) => Array.from({ length: spec.count }, (_, index) => ({ jobId: job.id, occurrence, step, index }))))
  return ids.flatMap(id => job.task(id) ?? [])
}

const rowsOf = (job: Job): ReadonlySet<ProgressRow> => new Set([job, ...tasksOf(job).map(task => job.rowOf(task))])
const bytesOf = (row: ProgressRow) => Buffer.byteLength(JSON.stringify(row.value(1_700_000_000_000)))

/** As much as can be known of a task that isn't done. */
function fill (task: Task, maxAttempts: number, checkpoint: string) {
  const { step } = task
  for (let run = 0; run < Math.min(maxAttempts, 100) - 1; run++) step.recordFailure(task, LARGEST_RUN - run)
  for (let run = 0; run < MAX_OUTAGES; run++) {
    step.recordCrash(task, LARGEST_RUN - 2_000 - run, false, 'w')
    step.excuseCrash(task, LARGEST_RUN - 2_000 - run, 'w')
  }
  for (let run = 0; run < MAX_CRASHES; run++) step.recordCrash(task, LARGEST_RUN - 1_000 - run, true)
  for (let run = 0; run < MAX_OTHER_RUNS; run++) step.recordStart(task, { number: LARGEST_RUN - run, workerId: 'w'.repeat(40), born: 1_700_000_000_000, startedAtMs: 1_700_000_000_000 })
  task.checkpoint = checkpoint
}

const stepShape = fc.record({ count: fc.integer({ min: 1, max: 300 }), gang: fc.boolean(), longRunning: fc.boolean() }).map(fields => createStep(fields))
const jobShape = fc.record({ steps: fc.array(stepShape, { minLength: 1, maxLength: 3 }), repetitions: fc.integer({ min: 1, max: 3 }), maxAttempts: fc.integer({ min: 1, max: 200 }) })

// Guards against LOST (issue 58, review/8): a row that outgrew what the store takes kept every end of its job, and those behind it, from being acknowledged.
test('each row of a job fits into the store in any state of its tasks', t => {
  fc.assert(fc.property(jobShape, fc.integer({ min: 0, max: 4_000 }), fc.infiniteStream(fc.constantFrom('done', 'full', 'untouched')), (shape, checkpointLength, states) => {
    const job = createJob(shape)
    for (const task of tasksOf(job)) {
      const state = states.next().value
      if (state === 'done') task.step.markDone(task)
      if (state === 'full') fill(task, shape.maxAttempts, 'é'.repeat(checkpointLength))
    }
    return [...rowsOf(job)].every(row => bytesOf(row) <= MAX_ROW_BYTES)
  }), { seed: 58, numRuns: 60 })
  t.pass()
})

for (const steps of [7, 100]) {
  test(`each row of the largest job with ${steps} steps fits into the store`, t => {
    const job = createJob({ steps: Array.from({ length: steps }, () => createStep({ count: 10_000 })), repetitions: 1, maxAttempts: 3 })
    const tasks = job.record.spec.steps.flatMap((_spec, step) => Array.from({ length: 300 }, (_, index) => job.task({ jobId: job.id, occurrence: 0, step, index }) ?? []).flat())
    for (const task of tasks) fill(task, 3, 'c'.repeat(100))
    t.true([...new Set([job, ...tasks.map(task => job.rowOf(task))])].every(row => bytesOf(row) <= MAX_ROW_BYTES))
  })
}

test('what a successor has to know is restored from the rows', t => {
  fc.assert(fc.property(jobShape, fc.infiniteStream(fc.constantFrom('done', 'full', 'untouched')), (shape, states) => {
    const job = createJob(shape)
    for (const task of tasksOf(job)) {
      const state = states.next().value
      if (state === 'done') task.step.markDone(task)
      if (state === 'full') fill(task, shape.maxAttempts, '')
    }
    const restored = createJob(shape)
    let version = 1
    for (const row of rowsOf(job)) {
      const value: unknown = JSON.parse(JSON.stringify(row.value(0)))
      const [range, progress, first] = [parseRangeKey(row.key), decodeRange(value), decodeProgress(value)]
      if (range !== undefined && progress !== undefined) restored.restoreRange(range, progress, version++)
      else if (first !== undefined && !('outcome' in first)) restored.restoreFirstRow(first, version++)
    }
    const known = (ofJob: Job) => tasksOf(ofJob).map(task => task.isDone ? 'done' : [[...task.crashes().runs().all], [...task.crashes().runs().outage], Math.min(64, task.step.countedTask(task).failedRuns.size)])
    t.deepEqual(known(restored), known(job))
  }), { seed: 58, numRuns: 40 })
})

// Guards against UNASKED: members of a gang that a successor had not met before started without the gang's checkpoint.
test('all members of a restored gang resume from its checkpoint', t => {
  const shape = { steps: [createStep({ count: 5, gang: true, checkpoints: true })], repetitions: 1, maxAttempts: 3 }
  const job = createJob(shape)
  const [first] = tasksOf(job)
  first?.step.saveCheckpoint(first, 'c1')
  const restored = createJob(shape)
  const value = decodeProgress(JSON.parse(JSON.stringify(job.value(0))))
  if (value !== undefined && !('outcome' in value)) restored.restoreFirstRow(value, 1)
  t.deepEqual(tasksOf(restored).map(task => task.checkpoint), Array.from({ length: 5 }, () => 'c1'))
})

test('ranges of numbers are read as they were written', t => {
  t.is(formatRanges([0, 1, 2, 5, 7, 8]), '0-2,5,7-8')
  t.deepEqual(parseRanges('0-2,5,7-8'), [[0, 2], [5, 5], [7, 8]])
  t.deepEqual(parseRanges(''), [])
  t.is(parseRanges('1,x'), undefined)
})
