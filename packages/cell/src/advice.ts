import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import { Err } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { ADVICE_TIMEOUT_MS, AGENT_BACKOFF_MS, MAX_ADVICE_WORKERS, TICKET_EXPIRY_MARGIN_MS } from './constants.js'
import type { StepAnswers } from './earlyAdvice.js'
import type { Step } from './jobs.js'
import type { Approvals } from './ports.js'
import { formatStepId } from './types.js'
import type { AdvicePolicy } from './types.js'
import type { WorkerLink } from './workerLink.js'

/** An agent with a backlog longer than this gets no further call. A call sent before the previous one is done hides the latency to the agent. */
const MAX_BACKLOG_MS = 60
/** A call that is expected to take longer than this counts as a long call. */
const LONG_CALL_MS = 100
/** Share of the agents that may run long calls at the same time, whatever short calls need. */
const LONG_CALL_SHARE = 0.6
/** This multiple of the agents that short calls needed of late is kept for them, so that a larger burst finds a free agent too. */
const SHORT_CALL_SURPLUS = 2
/** Number of agents that are kept for the first short calls after a while without any. */
const MIN_KEPT_AGENTS = 1
/** What short calls needed counts for this time at least, and for twice as long at most, in milliseconds: bursts often recur within seconds. */
const SHORT_CALL_PERIOD_MS = 5_000
/** Share of the agents with a call from which on they are scarce: each step gets one call at a time, so that all get their turn. */
const SCARCE_SHARE = 0.5

/** A daemon that calls the placement policy service. The service handles one call at a time from each VM. */
export interface AdviceAgent {
  readonly name: string
  approve (step: string, workerIds: readonly string[], timeoutMs: number): Promise<Result<Approvals, Failure>>
}

export interface AdviceCacheOptions {
  /** The daemons that can make calls, including this one. */
  readonly agents: () => readonly AdviceAgent[]
  readonly onAnswer: () => void
  readonly clock: Clock
  readonly log: Log
}

interface Ticket {
  readonly text: string
  /** Incarnation of the worker for which the ticket was issued. */
  readonly born: number
  /** Monotonic time in milliseconds from which the ticket is no longer used. */
  readonly expiresAt: number
}

/** The service's answers for one step. Whether a worker is approved for a step doesn't change. */
interface StepAdvice {
  /** Tickets of the approved workers by worker id, including expired and invalidated ones. */
  readonly tickets: Map<string, Ticket>
  /** Ids of the workers that the service has approved or refused. */
  readonly answeredIds: Set<string>
  /** Ids of the workers named in calls that have no answer yet. */
  readonly pendingIds: Set<string>
  pendingCalls: number
}

interface AgentLoad {
  /** Expected duration of the agent's pending calls, in milliseconds. */
  backlogMs: number
  hasLongCall: boolean
  /** Monotonic time in milliseconds before which the agent gets no calls, because one has failed. */
  notBefore: number
}

/** What the agents do. */
export interface AdviceLoad {
  readonly agents: number
  /** Agents that get no further call now, because of their backlog or a failure. */
  readonly busy: number
  readonly pendingCalls: number
}

interface NextAgent {
  /** Undefined if no agent can take a call. */
  readonly agent: AdviceAgent | undefined
  /** List of agents among which it was picked. */
  readonly agents: readonly AdviceAgent[]
  /** Monotonic time in milliseconds at which an agent may be asked again after a failure, or fewer are kept for short calls. */
  readonly validUntil: number
}

/** Answers on workers so far, under one policy. */
interface Answers {
  approved: number
  total: number
}

/** Answers that a policy is taken to have given at first, half of them approvals, so that the first real ones don't decide alone. */
const ASSUMED_ANSWERS = 20

/** Highest value of late: in the present period and the one before it. */
class RecentPeak {
  private value = 0
  private current = 0

  private constructor (private readonly periodMs: number, private previous: number, private endsAt: number) {}

  /** `assumed` counts as the peak before the monotonic time `now`, in milliseconds. */
  static create (periodMs: number, assumed: number, now: number): RecentPeak {
    return new RecentPeak(periodMs, assumed, now + periodMs)
  }

  /** Sets the value that holds from now on. */
  set (value: number, now: number): void {
    this.advance(now)
    this.value = value
    this.current = Math.max(this.current, value)
  }

  /** The peak, and the monotonic time in milliseconds until which it can't fall. */
  at (now: number): { readonly peak: number, readonly until: number } {
    this.advance(now)
    return { peak: Math.max(this.current, this.previous), until: this.endsAt }
  }

  private advance (now: number) {
    if (now < this.endsAt) return
    const periods = Math.floor((now - this.endsAt) / this.periodMs) + 1
    this.previous = periods === 1 ? this.current : this.value
    this.current = this.value
    this.endsAt += periods * this.periodMs
  }
}

/**
 * Requests and caches placement tickets for steps whose queue has a placement policy.
 *
 * Long calls don't take all agents, because a short call that finds none waits for a whole long one. Short calls need as
 * many agents as accept all that are pending. A long call that starts leaves `SHORT_CALL_SURPLUS` times as many without
 * one as short calls needed at most within the last `SHORT_CALL_PERIOD_MS`, and at least `MIN_KEPT_AGENTS`, unless long
 * calls then have no more than `LONG_CALL_SHARE` of the agents that can be asked, or the only one. So a short call after
 * a quiet spell finds an agent if there are several, and what it needs is kept from then on: no long call follows those
 * that end, and after the time of one, short calls can have all agents beyond that share. A new leader doesn't know what
 * short calls need, and keeps all of these at first.
 */
export class AdviceCache {
  private readonly steps = new Map<Step, StepAdvice>()
  private readonly loads = new Map<string, AgentLoad>()
  private readonly answers = new WeakMap<AdvicePolicy, Answers>()
  /** Agents that would get the next short and the next long call, until the load of an agent changes. */
  private readonly nextAgents = new Map<boolean, NextAgent>()
  /** Expected duration of all pending short calls, in milliseconds. */
  private shortBacklogMs = 0
  /** Number of agents that short calls need. */
  private readonly shortCallPeak: RecentPeak

  private constructor (private readonly options: AdviceCacheOptions) {
    this.shortCallPeak = RecentPeak.create(SHORT_CALL_PERIOD_MS, Infinity, options.clock.now())
  }

  static create (options: AdviceCacheOptions): AdviceCache {
    return new AdviceCache(options)
  }

  /** Valid ticket for starting tasks of the step on a worker; undefined if there is none. */
  ticket (step: Step, worker: WorkerLink, now: number): string | undefined {
    const ticket = this.steps.get(step)?.tickets.get(worker.id)
    if (ticket === undefined || ticket.born !== worker.entry.born || ticket.expiresAt <= now) return undefined
    return ticket.text
  }

  /** Whether the service has refused the worker for this step. */
  isRefused (step: Step, worker: WorkerLink): boolean {
    const advice = this.steps.get(step)
    return advice !== undefined && advice.answeredIds.has(worker.id) && !advice.tickets.has(worker.id)
  }

  /** Workers with a valid ticket for the step, among the given ones. */
  workersWithTicket (step: Step, candidates: { get (workerId: string): WorkerLink | undefined }, now: number): readonly WorkerLink[] {
    const workers: WorkerLink[] = []
    for (const id of this.steps.get(step)?.tickets.keys() ?? []) {
      const worker = candidates.get(id)
      if (worker !== undefined && this.ticket(step, worker, now) !== undefined) workers.push(worker)
    }
    return workers
  }

  /** Whether the service has approved the worker for this step, even if the ticket has expired. */
  isApproved (step: Step, worker: WorkerLink): boolean {
    return this.steps.get(step)?.tickets.has(worker.id) === true
  }

  /** Whether at least one agent can take a call under this policy now. */
  hasFreeAgent (policy: AdvicePolicy, now: number): boolean {
    return this.nextAgent(needsLongCalls(policy), now) !== undefined
  }

  /** Whether so many agents are busy that no step should have several calls at a time. */
  areAgentsScarce (now: number): boolean {
    const agents = this.options.agents()
    let busy = 0
    for (const agent of agents) if (this.loadOf(agent).backlogMs > 0 || this.loadOf(agent).notBefore > now) busy++
    return busy >= SCARCE_SHARE * agents.length
  }

  load (): AdviceLoad {
    const agents = this.options.agents()
    const now = this.options.clock.now()
    const isBusy = (agent: AdviceAgent) => this.loadOf(agent).backlogMs > MAX_BACKLOG_MS || this.loadOf(agent).notBefore > now
    return { agents: agents.length, busy: agents.filter(isBusy).length, pendingCalls: [...this.steps.values()].reduce((sum, { pendingCalls }) => sum + pendingCalls, 0) }
  }

  isPending (step: Step): boolean {
    return (this.steps.get(step)?.pendingCalls ?? 0) > 0
  }

  /** Whether the worker is named in a call for the step that has no answer yet. */
  isAsked (step: Step, worker: WorkerLink): boolean {
    return this.steps.get(step)?.pendingIds.has(worker.id) === true
  }

  /** Whether the service has approved or refused the worker for this step. */
  isAnswered (step: Step, worker: WorkerLink): boolean {
    return this.steps.get(step)?.answeredIds.has(worker.id) === true
  }

  /** Share of the workers that the service approves for a step, by its answers under this policy so far. */
  approvalShare (policy: AdvicePolicy): number {
    const { approved, total } = this.answersOf(policy)
    return approved / total
  }

  /**
   * Requests tickets for the workers that were not refused and are not named in a pending call. Many workers are split
   * among several calls, as far as agents are free.
   */
  request (step: Step, policy: AdvicePolicy, workers: readonly WorkerLink[]): void {
    const advice = this.adviceOf(step)
    const requested = workers.filter(worker => !advice.pendingIds.has(worker.id) && !this.isRefused(step, worker))
    const calls = Math.ceil(requested.length / MAX_ADVICE_WORKERS)
    const callSize = Math.ceil(requested.length / calls)
    for (let first = 0; first < requested.length; first += callSize) {
      const named = requested.slice(first, first + callSize)
      const expectedMs = expectedCallMs(policy, named.length)
      const agent = this.nextAgent(isLongCall(expectedMs), this.options.clock.now())
      if (agent === undefined) return
      this.steps.set(step, advice)
      this.callAgent(step, policy, named, advice, agent, expectedMs).finally(() => this.options.onAnswer())
    }
  }

  /** Takes over answers that another daemon got, at the monotonic time `answeredAt` in milliseconds. */
  addAnswers (step: Step, policy: AdvicePolicy, { workerIds, approved }: Pick<StepAnswers, 'workerIds' | 'approved'>, answeredAt: number, workerOf: (id: string) => WorkerLink | undefined): void {
    const advice = this.adviceOf(step)
    this.steps.set(step, advice)
    const known = workerIds.flatMap(id => workerOf(id) ?? [])
    this.record(advice, policy, known, new Map(approved), answeredAt)
  }

  /** Makes the ticket unusable; the worker still counts as approved. */
  invalidateTicket (step: Step, worker: WorkerLink): void {
    const advice = this.steps.get(step)
    if (advice === undefined || !advice.tickets.has(worker.id)) return
    advice.tickets.set(worker.id, { text: '', born: 0, expiresAt: 0 })
  }

  removeStep (step: Step): void {
    this.steps.delete(step)
  }

  private async callAgent (step: Step, policy: AdvicePolicy, requested: readonly WorkerLink[], advice: StepAdvice, agent: AdviceAgent, expectedMs: number) {
    const { clock, log } = this.options
    const load = this.loadOf(agent)
    const sentAt = clock.now()
    // Whole milliseconds, so that nothing is left of calls that end in another order than they began.
    const backlogMs = Math.ceil(expectedMs)
    load.backlogMs += backlogMs
    if (isLongCall(expectedMs)) load.hasLongCall = true
    else this.addShortBacklog(backlogMs, sentAt)
    this.nextAgents.clear()
    advice.pendingCalls++
    for (const { id } of requested) advice.pendingIds.add(id)
    const name = formatStepId({ jobId: step.job.id, occurrence: step.occurrence, step: step.index })
    const res = await agent.approve(name, requested.map(({ id }) => id), load.backlogMs + ADVICE_TIMEOUT_MS)
      .catch((err: unknown): Result<Approvals, Failure> => Err(Failure.mayHaveRun('call-failed', `The call failed unexpectedly: ${String(err)}.`)))
    advice.pendingCalls--
    for (const { id } of requested) advice.pendingIds.delete(id)
    const now = clock.now()
    load.backlogMs -= backlogMs
    if (isLongCall(expectedMs)) load.hasLongCall = false
    else this.addShortBacklog(-backlogMs, now)
    this.nextAgents.clear()
    if (res.ok) step.job.hops?.note('ticketed', clock.date().getTime())
    if (res.err) {
      load.notBefore = now + AGENT_BACKOFF_MS
      log.warn('Placement advice call failed.', { step: name, agent: agent.name, workers: requested.length, tookMs: Math.round(now - sentAt), verdict: res.val.verdict, reason: res.val.reason })
      return
    }
    this.record(advice, policy, requested, res.val, now)
    log.debug('Advice received.', { step: name, agent: agent.name, workers: requested.length, approved: res.val.size, tookMs: Math.round(now - sentAt) })
  }

  private addShortBacklog (ms: number, now: number) {
    this.shortBacklogMs += ms
    this.shortCallPeak.set(Math.ceil(this.shortBacklogMs / MAX_BACKLOG_MS), now)
  }

  /** Records which of the named workers were approved; `answeredAt` is a monotonic time in milliseconds. */
  private record (advice: StepAdvice, policy: AdvicePolicy, named: readonly WorkerLink[], approvals: Approvals, answeredAt: number) {
    const answers = this.answersOf(policy)
    answers.total += named.length
    const expiresAt = answeredAt + policy.validityMs - TICKET_EXPIRY_MARGIN_MS
    for (const { id, entry } of named) {
      advice.answeredIds.add(id)
      const text = approvals.get(id)
      if (text === undefined) continue
      answers.approved++
      advice.tickets.set(id, { text, born: entry.born, expiresAt })
    }
  }

  private adviceOf (step: Step): StepAdvice {
    return this.steps.get(step) ?? { tickets: new Map<string, Ticket>(), answeredIds: new Set<string>(), pendingIds: new Set<string>(), pendingCalls: 0 }
  }

  /** Returns the agent with the smallest backlog, or undefined if no agent can take the call. */
  private nextAgent (isLong: boolean, now: number): AdviceAgent | undefined {
    const agents = this.options.agents()
    const known = this.nextAgents.get(isLong)
    if (known !== undefined && known.agents === agents && now < known.validUntil) return known.agent
    const agent = this.pickAgent(agents, isLong, now)
    const retryTimes = agents.map(other => this.loadOf(other).notBefore).filter(notBefore => notBefore > now)
    this.nextAgents.set(isLong, { agent, agents, validUntil: Math.min(isLong ? this.shortCallPeak.at(now).until : Infinity, ...retryTimes) })
    return agent
  }

  private pickAgent (agents: readonly AdviceAgent[], isLong: boolean, now: number): AdviceAgent | undefined {
    const usable = agents.filter(agent => this.loadOf(agent).notBefore <= now)
    if (isLong) {
      const longCalls = usable.filter(agent => this.loadOf(agent).hasLongCall).length
      if (longCalls >= this.maxLongCalls(usable.length, now)) return undefined
    }
    const leastLoaded = usable.reduce<AdviceAgent | undefined>((best, agent) =>
      best === undefined || this.loadOf(agent).backlogMs < this.loadOf(best).backlogMs ? agent : best, undefined)
    return leastLoaded !== undefined && this.loadOf(leastLoaded).backlogMs <= MAX_BACKLOG_MS ? leastLoaded : undefined
  }

  /** Number of long calls that may be pending at the same time if this many agents can be asked. */
  private maxLongCalls (agents: number, now: number): number {
    const kept = Math.max(MIN_KEPT_AGENTS, SHORT_CALL_SURPLUS * this.shortCallPeak.at(now).peak)
    return Math.max(1, Math.floor(agents * LONG_CALL_SHARE), agents - kept)
  }

  private answersOf (policy: AdvicePolicy): Answers {
    const answers = this.answers.get(policy) ?? { approved: ASSUMED_ANSWERS / 2, total: ASSUMED_ANSWERS }
    this.answers.set(policy, answers)
    return answers
  }

  private loadOf (agent: AdviceAgent): AgentLoad {
    const load = this.loads.get(agent.name) ?? { backlogMs: 0, hasLongCall: false, notBefore: 0 }
    this.loads.set(agent.name, load)
    return load
  }
}

/** Expected duration of a call that names this many workers, in milliseconds. */
export function expectedCallMs ({ decisionMs, perWorkerMs }: AdvicePolicy, workers: number): number {
  return decisionMs + perWorkerMs * workers
}

/** Whether each call under a policy is a long one. */
export function needsLongCalls (policy: AdvicePolicy): boolean {
  return isLongCall(expectedCallMs(policy, 1))
}

/** Whether a call takes its agent for so long that the leader has to decide who makes it. */
export function isLongCall (expectedMs: number): boolean {
  return expectedMs > LONG_CALL_MS
}
