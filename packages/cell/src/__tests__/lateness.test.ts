import test from 'ava'
import { Job } from '../jobs.js'
import { canWait, canWaitBriefly, latenessOf } from '../lateness.js'
import { createQueue, createStep } from '../testing/index.js'
import type { StepSpec } from '../types.js'

/** A job of two steps of 2 s each. Its objective is 2 x 4 s + 500 ms = 8.5 s; it counts as late until 25.5 s. */
function createJob (fields: Partial<StepSpec> = {}) {
  const steps = [createStep({ estimateMs: 2_000, ...fields }), createStep({ estimateMs: 2_000, after: [0], ...fields })]
  return Job.create('00000000000000aa', { queue: 'renewals', service: 'dispatch', admittedAtMs: 0, spec: { steps } }, 1)
}

const queue = createQueue({ slackFactor: 2, targetLatencyMs: 500 })

test('backlog after an outage: a job that can no longer be on time yields before its objective has passed', t => {
  const job = createJob()
  // At least half of the estimated 4 s is needed.
  t.is(latenessOf(job, queue, 6_500), 0)
  t.is(latenessOf(job, queue, 6_501), 1)
  t.is(latenessOf(job, queue, 23_500), 1)
  t.is(latenessOf(job, queue, 23_501), 2)
})

test('backlog after an outage: work that is done does not count against a job', t => {
  const job = createJob()
  const task = job.task({ jobId: job.id, occurrence: 0, step: 0, index: 0 })
  if (task === undefined) return t.fail()
  task.step.markDone(task)
  t.is(latenessOf(job, queue, 7_500), 0)
  t.is(latenessOf(job, queue, 7_501), 1)
})

test('workers are lost under a standing load: the tasks of a long-running job never yield because of its age', t => {
  t.is(latenessOf(createJob({ longRunning: true }), queue, 3_600_000), 0)
})

test('the objective allows for one advice call for each step', t => {
  const advised = createQueue({ slackFactor: 2, targetLatencyMs: 500, advice: { decisionMs: 100, perWorkerMs: 10, validityMs: 2_500 } })
  // The advice calls of both steps add 2 x 400 ms to the critical path, and so twice that to the objective.
  t.is(latenessOf(createJob(), advised, 6_500 + 1_600), 0)
  t.is(latenessOf(createJob(), advised, 6_500 + 1_601), 1)
})

test('leader without processor time: a job can wait while its work fits twice, and briefly while it fits one and a half times', t => {
  const job = createJob()
  const batch = createQueue({ slackFactor: 4, targetLatencyMs: 4_000 })
  // An objective of 20 s, of which 6 s or 2 s have to be left beyond 8 s or 6 s.
  t.true(canWait(job, batch, 5_999))
  t.false(canWait(job, batch, 6_000))
  t.true(canWaitBriefly(job, batch, 11_999))
  t.false(canWaitBriefly(job, batch, 12_000))
  t.false(canWaitBriefly(createJob({ longRunning: true }), batch, 0))
})
