import type { Clock } from '@citronnotch/base/clock'
import type { AccountTerms, CellAccounts } from '../accounts/index.js'
import type { Dispatcher } from '../dispatcher.js'
import { Job } from '../jobs.js'
import type { Step } from '../jobs.js'
import { stepObstacle } from '../candidates.js'
import { startForecastOf } from '../room/index.js'
import type { QueueForecast } from '../room/index.js'
import type { JobQueue, JobState } from '../types.js'
import type { WorkerObstacle } from '../workerObstacles.js'
import { QueryLimit } from './queryLimit.js'
import { isUnknown } from './types.js'
import type { AccountState, ExplainSubject, JobObstacle, Known, LeaderAnswer, StepExplanation, WorkerGroup } from './types.js'

/** Maximum number of steps in an answer; each takes a look at all workers. */
const MAX_STEPS = 8
/** Maximum number of workers that are named of a group. */
const MAX_EXAMPLES = 5
/** Id of a job that is not submitted. */
const NO_JOB_ID = 'f'.repeat(16)

export interface LeaderExplainerOptions {
  readonly liveJobs: () => Iterable<Job>
  readonly job: (id: string) => Job | undefined
  /** State of a job of which the leader has a record. */
  readonly stateOf: (id: string) => JobState | undefined
  readonly queue: (job: Job) => JobQueue | undefined
  /** Why nothing of a job is started now. */
  readonly obstacles: (job: Job) => readonly JobObstacle[]
  readonly forecast: (queue: string) => Known<QueueForecast>
  readonly dispatcher: Pick<Dispatcher, 'obstacles' | 'placeOf'>
  readonly accounts: CellAccounts
  readonly terms: AccountTerms
  readonly clock: Clock
}

/** Tells on the leader where the tasks of a job could start now, by the tests of its scheduling rounds. Changes nothing. */
export class LeaderExplainer {
  private readonly limit: QueryLimit

  private constructor (private readonly options: LeaderExplainerOptions) {
    this.limit = QueryLimit.create(options.clock)
  }

  static create (options: LeaderExplainerOptions): LeaderExplainer {
    return new LeaderExplainer(options)
  }

  explain (subject: ExplainSubject): LeaderAnswer {
    const { job: jobOf, stateOf, queue: queueOf, obstacles, forecast: forecastOf, clock } = this.options
    const retryAfterMs = this.limit.take()
    if (retryAfterMs > 0) return { retryAfterMs }
    const live = 'jobId' in subject ? jobOf(subject.jobId) : undefined
    const job = 'record' in subject ? Job.create(NO_JOB_ID, subject.record, 0) : live
    if (job === undefined) return { unknown: 'jobId' in subject && stateOf(subject.jobId) === 'queued' ? 'The job waits in the store, as the leader has no memory for it.' : 'The leader has no such live job.' }
    // Only the steps of an occurrence are compared with workers; those of the first one stand for all of a scheduled job.
    if (live === undefined) job.addOccurrence(0)
    const { queue: name, account, spec, admittedAtMs } = job.record
    const queue = queueOf(job)
    const forecast = forecastOf(name)
    const steps = job.outcome === undefined ? [...job.liveSteps()] : []
    // Steps of one job rank alike, and each place takes a look at all live jobs.
    const first = live === undefined ? undefined : steps.find(step => stepObstacle(step, clock.now()) === undefined)
    const state = live === undefined ? undefined : stateOf(live.id)
    return {
      queue: name,
      ...(state === undefined ? {} : { state, ageMs: clock.date().getTime() - admittedAtMs }),
      ...(account === undefined ? {} : { account: this.accountState(account) }),
      forecast: isUnknown(forecast) ? forecast : startForecastOf(forecast, spec.steps),
      obstacles: [...obstacles(job).filter(obstacle => live !== undefined || obstacle !== 'payload-not-read'), ...(queue === undefined ? ['queue-unknown' as const] : [])],
      steps: queue === undefined ? [] : steps.slice(0, MAX_STEPS).map(step => this.explainStep(step, queue, step === first)),
      leftOutSteps: Math.max(0, steps.length - MAX_STEPS)
    }
  }

  private explainStep (step: Step, queue: JobQueue, hasPlace: boolean): StepExplanation {
    const { dispatcher, accounts, liveJobs, clock } = this.options
    const { occurrence, index, spec: { count, gang }, need, waitingTasks: waiting } = step
    const groups = groupsOf(step, queue, dispatcher)
    const obstacle = stepObstacle(step, clock.now())
    const allowed = accounts.startable(step, waiting)
    const fitting = Math.min(allowed, groups.find(group => group.obstacle === undefined)?.tasks ?? 0)
    const waitsFor = step.waitTimes.current()
    return {
      occurrence,
      step: index,
      gang,
      count,
      waiting,
      need,
      ...(obstacle === undefined ? {} : { obstacle }),
      allowed,
      startable: obstacle !== undefined || (gang && fitting < count) ? 0 : fitting,
      groups,
      ...(waitsFor === undefined || waiting === 0 ? {} : { waitsFor }),
      ...(hasPlace ? { place: dispatcher.placeOf(step, liveJobs()) ?? { unknown: 'The job has come since the order of waiting jobs was renewed.' } } : {})
    }
  }

  private accountState (name: string): AccountState {
    const { accounts, terms } = this.options
    const { runs, ...inUse } = accounts.usage.of(name)
    const limit = terms.get(name)?.limit ?? { milliCores: 0, memoryMb: 0, accelerators: 0 }
    const left = accounts.left(name)
    const leftOf = (resource: keyof typeof limit) => left === 'unlimited' || left[resource] === Infinity ? null : Math.max(0, left[resource])
    return { name, limit, inUse, left: { milliCores: leftOf('milliCores'), memoryMb: leftOf('memoryMb'), accelerators: leftOf('accelerators') } }
  }
}

/** Workers on which a task can start first, then the largest groups. */
function groupsOf (step: Step, queue: JobQueue, dispatcher: Pick<Dispatcher, 'obstacles'>): readonly WorkerGroup[] {
  const groups = new Map<WorkerObstacle | undefined, { workers: number, tasks: number, examples: string[] }>()
  for (const { worker, obstacle, slots } of dispatcher.obstacles(step, queue)) {
    const group = groups.get(obstacle) ?? { workers: 0, tasks: 0, examples: [] }
    groups.set(obstacle, group)
    group.workers++
    group.tasks = Math.min(step.waitingTasks, group.tasks + slots)
    if (group.examples.length < MAX_EXAMPLES) group.examples.push(worker.id)
  }
  return [...groups].map(([obstacle, group]) => obstacle === undefined ? group : { obstacle, ...group })
    .sort((a, b) => Number('obstacle' in a) - Number('obstacle' in b) || b.workers - a.workers)
}
