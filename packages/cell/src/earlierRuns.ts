import type { Clock } from '@citronnotch/base/clock'
import type { Job } from './jobs.js'
import type { EarlierRun } from './workerPool.js'

/** Runs that earlier leaders have stored and of which no end is known. */
export function * earlierRunsOf (jobs: Iterable<Job>, clock: Clock): Iterable<EarlierRun> {
  for (const job of jobs) {
    for (const { task, run: { number, workerId, born, startedAtMs } } of job.openRuns()) {
      const startedAt = clock.now() - Math.max(0, clock.date().getTime() - startedAtMs)
      // Nobody knows how long it has worked.
      yield { id: task.id(), task, number, workerId, born, startedAt, lastSeenAt: startedAt }
    }
  }
}
