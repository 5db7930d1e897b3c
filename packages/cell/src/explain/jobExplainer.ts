import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { ConfigInForce } from '../configInForce.js'
import type { JobService } from '../jobService.js'
import type { JobSpec, Queue } from '../types.js'
import { QueryLimit } from './queryLimit.js'
import { isUnknown } from './types.js'
import type { AccountState, ExplainQuestion, ExplainSubject, Explanation, Known, LeaderAnswer, LeaderExplanation, Submission } from './types.js'

export const NO_QUEUE = 'no-queue'
export const KEY_MISSING = 'key-missing'
export const KEY_UNKNOWN = 'key-unknown'

export interface JobExplainerOptions {
  readonly config: ConfigInForce
  readonly jobs: Pick<JobService, 'recordOf' | 'refusalOf' | 'forecastAgeMs'>
  /** Whether the configuration in force is known to be the latest. */
  readonly isConfigConfirmed: () => boolean
  readonly isStoreAnswering: () => boolean
  /** Resolves with the reason if the leader can't be asked. */
  readonly askLeader: (subject: ExplainSubject) => Promise<LeaderAnswer>
  readonly clock: Clock
}

/** Explains on any daemon where a job would go now, and what a submission of it would be answered. Nothing is sent or stored. */
export class JobExplainer {
  private readonly limit: QueryLimit

  private constructor (private readonly options: JobExplainerOptions) {
    this.limit = QueryLimit.create(options.clock)
  }

  static create (options: JobExplainerOptions): JobExplainer {
    return new JobExplainer(options)
  }

  /** Fails with `NO_QUEUE` if no queue of the configuration in force matches, and with a Retry-After beyond a few queries a second. */
  async explain (question: ExplainQuestion): Promise<Result<Explanation, Failure>> {
    const { config, jobs, askLeader } = this.options
    const waitMs = this.limit.take()
    if (waitMs > 0) return Err(tooManyQueries(waitMs))
    if ('jobId' in question) {
      const answer = await askLeader(question)
      if ('retryAfterMs' in answer) return Err(tooManyQueries(answer.retryAfterMs))
      const queue = isUnknown(answer) ? undefined : config.queue(answer.queue)
      const account = isUnknown(answer) ? answer : answer.account
      return Ok({ queue: queue === undefined ? { unknown: isUnknown(answer) ? answer.unknown : 'This daemon has no such queue.' } : fieldsOf(queue), ...(account === undefined ? {} : { account }), leader: answer })
    }
    const { host, path, account, spec } = question
    const queue = config.match(host, path)
    if (queue === undefined) return Err(Failure.notRun(NO_QUEUE, 'No queue of the configuration in force matches the host and path.'))
    const answer = await askLeader({ record: jobs.recordOf(queue, spec, account) })
    if ('retryAfterMs' in answer) return Err(tooManyQueries(answer.retryAfterMs))
    const forecastAgeMs = jobs.forecastAgeMs(queue.name)
    return Ok({
      queue: fieldsOf(queue),
      ...(account === undefined ? {} : { account: this.accountState(account, answer) }),
      submission: this.submission(queue, spec, account),
      ...(forecastAgeMs === undefined ? {} : { forecastAgeMs: Math.round(forecastAgeMs) }),
      leader: answer
    })
  }

  private submission (queue: Queue, spec: JobSpec, account: string | undefined): Known<Submission> {
    const { config, jobs, isConfigConfirmed, isStoreAnswering } = this.options
    const refused = ({ code, reason, retryAfterMs }: Failure, admittedShare = 0): Submission => ({ answer: 'refused', code, reason, ...(retryAfterMs === undefined ? {} : { retryAfterMs }), admittedShare })
    if (!isStoreAnswering()) return { answer: 'held' }
    if (!isConfigConfirmed()) return { unknown: 'The configuration of this daemon is old. It reads it again before it answers, and refuses with 503 configuration-too-old if it can not.' }
    if (account === undefined && config.requesterOf(queue, undefined) === undefined) return refused(Failure.notRun(KEY_MISSING, 'The queue requires a key of a client account.'))
    if (account !== undefined && !config.accountTerms.all().some(({ name }) => name === account)) return refused(Failure.notRun(KEY_UNKNOWN, 'The configuration in force has no such account.'))
    const refusal = jobs.refusalOf(queue, spec, account)
    return refusal === undefined ? { answer: 'admitted' } : refused(refusal.failure, refusal.admittedShare)
  }

  private accountState (name: string, answer: Known<LeaderExplanation>): Known<AccountState> {
    if (!isUnknown(answer)) return answer.account ?? { unknown: 'The leader knows of no account of this job.' }
    const limit = this.options.config.accountTerms.get(name)?.limit
    return limit === undefined ? { unknown: 'The configuration in force has no such account.' } : { name, limit, inUse: answer, left: answer }
  }
}

function fieldsOf ({ name, service, host, pathPrefix, isPublic, priority, advice }: Queue) {
  return { name, service, host, pathPrefix, isPublic, priority, needsTickets: advice !== undefined }
}

function tooManyQueries (retryAfterMs: number): Failure {
  return Failure.create({ code: 'too-many-queries', verdict: 'not-run', reason: 'Explanations are asked for too often.', hint: 'Ask again later.', retryAfterMs: Math.ceil(retryAfterMs / 1_000) * 1_000 })
}
