import test from 'ava'
import { ManualClock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import { EarlierJobs } from '../earlierJobs.js'
import { Job } from '../jobs.js'
import type { JobTable } from '../jobTable.js'
import type { WorkerPool } from '../workerPool.js'
import { createStep } from '../testing/index.js'

function createEndedJob (number: number, account?: string): Job {
  return Job.create(number.toString(16).padStart(16, '0'), { queue: 'renewals', service: 'dispatch', ...(account === undefined ? {} : { account }), admittedAtMs: 0, spec: { steps: [createStep()] } }, 1)
}

// Guards against a leader that keeps whole jobs after their end, beyond its memory for jobs, in a cell without accounts.
test('of ended jobs that may have unknown runs, only those of accounts are kept', async t => {
  const jobs = [createEndedJob(1, 'a'), createEndedJob(2)]
  const table = { get: () => undefined, live: () => [], size: () => 0, parked: { size: () => 0 } } as unknown as JobTable
  const workers = { logExpiredMembers: () => {}, jobsWithUnknownRuns: () => new Set(jobs.map(({ id }) => id)), capacityWithUnknownRuns: () => undefined, haveEarlierLeasesExpired: () => false } as unknown as WorkerPool
  const stopping = new AbortController()
  const earlierJobs = EarlierJobs.create({ epochStartVersion: 10, mayPredecessorBeActive: false, jobs: table, workers, onEnabled: () => {}, clock: ManualClock.create(), log: silentLog })
  const enabled = earlierJobs.enable(stopping.signal)
  for (const job of jobs) earlierJobs.jobEnded(job)
  t.deepEqual(jobs.map(({ id }) => earlierJobs.endedJob(id)), [jobs[0], undefined])
  const hidden = earlierJobs.hiddenRuns()
  t.deepEqual([[...hidden?.jobs ?? []], hidden?.hasUnreadJobs], [[jobs[0]], false])
  stopping.abort()
  await enabled
})
