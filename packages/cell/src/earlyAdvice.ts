import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { MAX_ADVICE_WORKERS } from './constants.js'
import { expectedCallMs, isLongCall } from './advice.js'
import type { JobRecord } from './jobRecord.js'
import type { CellMetrics } from './metrics.js'
import type { PolicyAgent } from './policyAgent.js'
import { formatStepId } from './types.js'
import type { JobQueue } from './types.js'

/** Workers named for each task of a step: some have no room, and the policy refuses others. */
const NAMED_PER_TASK = 10
/** Minimum number of workers named in a call. */
const MIN_NAMED = 20
/** Time beyond the expected duration of a call for which its answer holds up the notification of the leader, in milliseconds. */
const PATIENCE_MS = 60
/** Time after which suggested workers are not named any more: by then other ones have room, in milliseconds. */
const SUGGESTION_VALID_MS = 10_000

/** Answers of the placement policy service for one step, of a daemon that asked before the leader could. */
export interface StepAnswers {
  /** Index of the step. */
  readonly step: number
  /** Ids of the workers that were named; the service refused those that it did not approve. */
  readonly workerIds: readonly string[]
  /** Pairs of worker id and ticket. */
  readonly approved: ReadonlyArray<readonly [string, string]>
  /** Time from the answer of the service until the leader was notified, in milliseconds. */
  readonly ageMs: number
}

/** Answers that a daemon got at the monotonic time `answeredAt`, in milliseconds. */
export interface EarlyAnswers {
  readonly answers: ReadonlyArray<Omit<StepAnswers, 'ageMs'>>
  readonly answeredAt: number
}

export interface EarlyAdviceOptions {
  readonly agent: PolicyAgent
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

interface Suggestion {
  readonly workerIds: readonly string[]
  /** Monotonic time in milliseconds at which the leader suggested them. */
  readonly suggestedAt: number
}

/**
 * Asks for the tickets of a new job's first step while its admission is being stored, so that they reach the leader with
 * the job. Only short calls are made, and only while no other call of this daemon is pending: the leader decides for
 * whom long calls are made, and counts on this daemon as an agent.
 */
export class EarlyAdvice {
  /** Workers that the leader has suggested, by service. */
  private readonly suggestions = new Map<string, Suggestion>()
  private rotation = 0

  private constructor (private readonly options: EarlyAdviceOptions) {}

  static create (options: EarlyAdviceOptions): EarlyAdvice {
    return new EarlyAdvice(options)
  }

  /** Records workers of a service that the leader expects to have room. */
  suggest (service: string, workerIds: readonly string[]): void {
    if (workerIds.length > 0) this.suggestions.set(service, { workerIds, suggestedAt: this.options.clock.now() })
  }

  /** Undefined if no call is made for the job; resolves with no answers if the call fails. */
  ask (jobId: string, { service, spec }: JobRecord, { advice: policy }: Pick<JobQueue, 'advice'>): Promise<EarlyAnswers> | undefined {
    const { agent, clock } = this.options
    const step = spec.steps.findIndex(({ after }) => after.length === 0)
    const { count, requiredLabel } = spec.steps[step] ?? { count: 0, requiredLabel: '' }
    const suggestion = this.suggestions.get(service)
    const isSuitable = policy !== undefined && spec.schedule === undefined && count > 0 && requiredLabel === ''
    if (!isSuitable || suggestion === undefined || clock.now() - suggestion.suggestedAt > SUGGESTION_VALID_MS || agent.pendingCalls() > 0) return undefined
    const workerIds = this.pick(suggestion.workerIds, Math.min(MAX_ADVICE_WORKERS, Math.max(MIN_NAMED, NAMED_PER_TASK * count)))
    const expectedMs = expectedCallMs(policy, workerIds.length)
    return isLongCall(expectedMs) ? undefined : this.call(jobId, step, workerIds, expectedMs + PATIENCE_MS)
  }

  private async call (jobId: string, step: number, workerIds: readonly string[], timeoutMs: number): Promise<EarlyAnswers> {
    const { agent, clock, log, metrics } = this.options
    const name = formatStepId({ jobId, occurrence: 0, step })
    const sentAt = clock.now()
    const res = await agent.approve(name, workerIds, timeoutMs)
    metrics.count(res.ok ? 'early_advice_answered' : 'early_advice_failed')
    if (res.ok) return { answers: [{ step, workerIds, approved: [...res.val] }], answeredAt: clock.now() }
    log.info('Early placement advice call failed.', { step: name, workers: workerIds.length, tookMs: Math.round(clock.now() - sentAt), verdict: res.val.verdict, reason: res.val.reason })
    return { answers: [], answeredAt: clock.now() }
  }

  /** Picks workers, starting at a different one in each call, so that jobs that arrive together don't compete for the same ones. */
  private pick (workerIds: readonly string[], count: number): readonly string[] {
    if (count >= workerIds.length) return workerIds
    const first = this.rotation
    this.rotation = (this.rotation + count) % workerIds.length
    return [...workerIds.slice(first), ...workerIds.slice(0, first)].slice(0, count)
  }
}
