import type { Clock } from '@citronnotch/base/clock'
import type { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import type { Result } from '@citronnotch/base/result'
import { ADVICE_TIMEOUT_MS, AGENT_BACKOFF_MS, MAX_ADVICE_WORKERS, TICKET_SLACK_MS } from './constants.js'
import type { Step } from './jobs.js'
import type { Approvals } from './ports.js'
import { formatStepId } from './types.js'
import type { AdvicePolicy } from './types.js'
import type { WorkerLink } from './workerLink.js'

/** Expected time of the calls at one agent up to which it gets another; hides the way to the agent. */
const MAX_PENDING_MS = 60
/** A call longer than this is long. */
const LONG_CALL_MS = 100
/** Part of the agents that may carry long calls at the same time, so that short ones find a free agent. */
const LONG_CALL_SHARE = 0.6

/** A daemon that calls the placement policy service, which serves one call at a time for each VM. */
export interface AdviceAgent {
  readonly name: string
  approve (step: string, workerIds: readonly string[], timeoutMs: number): Promise<Result<Approvals, Failure>>
}

export interface AdviceBookOptions {
  /** The daemons that can be asked, this one among them. */
  readonly agents: () => readonly AdviceAgent[]
  readonly onAnswer: () => void
  readonly clock: Clock
  readonly log: Log
}

interface Ticket {
  readonly text: string
  /** Life of the worker for which it was given. */
  readonly born: number
  /** Monotonic time after which it is no longer used. */
  readonly expiresAt: number
}

/** What is known of the workers that may run one step; the service's answer for a step doesn't change. */
interface StepAdvice {
  readonly tickets: Map<string, Ticket>
  readonly asked: Set<string>
  isPending: boolean
}

interface AgentLoad {
  /** Expected time of the calls that wait at the agent, in milliseconds. */
  pendingMs: number
  hasLongCall: boolean
  /** Monotonic time before which the agent isn't asked, after a failure. */
  notBefore: number
}

/** Asks for and keeps the tickets of steps whose queue has a placement policy. */
export class AdviceBook {
  private readonly steps = new Map<Step, StepAdvice>()
  private readonly loads = new Map<string, AgentLoad>()

  private constructor (private readonly options: AdviceBookOptions) {}

  static create (options: AdviceBookOptions): AdviceBook {
    return new AdviceBook(options)
  }

  /** Ticket with which the step may start on a worker now. */
  ticket (step: Step, worker: WorkerLink): string | undefined {
    const ticket = this.steps.get(step)?.tickets.get(worker.id)
    if (ticket === undefined || ticket.born !== worker.entry.born || ticket.expiresAt <= this.options.clock.now()) return undefined
    return ticket.text
  }

  /** Whether the service has refused the worker for this step. */
  isRefused (step: Step, worker: WorkerLink): boolean {
    const advice = this.steps.get(step)
    return advice !== undefined && advice.asked.has(worker.id) && !advice.tickets.has(worker.id)
  }

  /** Workers with a ticket that can be used now. */
  ticketed (step: Step, byId: ReadonlyMap<string, WorkerLink>): readonly WorkerLink[] {
    const workers: WorkerLink[] = []
    for (const id of this.steps.get(step)?.tickets.keys() ?? []) {
      const worker = byId.get(id)
      if (worker !== undefined && this.ticket(step, worker) !== undefined) workers.push(worker)
    }
    return workers
  }

  /** Whether the service has allowed the worker for this step, also when the ticket has run out. */
  isApproved (step: Step, worker: WorkerLink): boolean {
    return this.steps.get(step)?.tickets.has(worker.id) === true
  }

  /** Whether some agent can take a call now. */
  hasFreeAgent (): boolean {
    return this.pickAgent(false) !== undefined
  }

  isPending (step: Step): boolean {
    return this.steps.get(step)?.isPending === true
  }

  /** Asks about the workers that were not refused, unless a call for the step is under way or all agents are busy. */
  request (step: Step, policy: AdvicePolicy, workers: readonly WorkerLink[]): void {
    const advice = this.steps.get(step) ?? { tickets: new Map<string, Ticket>(), asked: new Set<string>(), isPending: false }
    if (advice.isPending) return
    const named = workers.filter(worker => !this.isRefused(step, worker)).slice(0, MAX_ADVICE_WORKERS)
    if (named.length === 0) return
    const costMs = policy.decisionMs + policy.perWorkerMs * named.length
    const agent = this.pickAgent(costMs > LONG_CALL_MS)
    if (agent === undefined) return
    this.steps.set(step, advice)
    advice.isPending = true
    this.ask(step, policy, named, advice, agent, costMs).finally(() => {
      advice.isPending = false
      this.options.onAnswer()
    })
  }

  dropTicket (step: Step, worker: WorkerLink): void {
    const advice = this.steps.get(step)
    if (advice === undefined || !advice.tickets.has(worker.id)) return
    advice.tickets.set(worker.id, { text: '', born: 0, expiresAt: 0 })
  }

  forget (step: Step): void {
    this.steps.delete(step)
  }

  private async ask (step: Step, policy: AdvicePolicy, named: readonly WorkerLink[], advice: StepAdvice, agent: AdviceAgent, costMs: number) {
    const { clock, log } = this.options
    const load = this.loadOf(agent)
    load.pendingMs += costMs
    const isLong = costMs > LONG_CALL_MS
    if (isLong) load.hasLongCall = true
    const name = formatStepId({ jobId: step.job.id, occurrence: step.occurrence, step: step.index })
    const sentAt = clock.now()
    const res = await agent.approve(name, named.map(({ id }) => id), load.pendingMs + ADVICE_TIMEOUT_MS)
    load.pendingMs = Math.max(0, load.pendingMs - costMs)
    if (isLong) load.hasLongCall = false
    const now = clock.now()
    if (res.err) {
      load.notBefore = now + AGENT_BACKOFF_MS
      log.warn('Advice failed.', { step: name, agent: agent.name, workers: named.length, tookMs: Math.round(now - sentAt), verdict: res.val.verdict, reason: res.val.reason })
      return
    }
    const expiresAt = now + policy.validityMs - TICKET_SLACK_MS
    for (const { id, entry } of named) {
      advice.asked.add(id)
      const text = res.val.get(id)
      if (text !== undefined) advice.tickets.set(id, { text, born: entry.born, expiresAt })
    }
    log.debug('Advice received.', { step: name, agent: agent.name, workers: named.length, approved: res.val.size, tookMs: Math.round(now - sentAt) })
  }

  /** The agent with the least to do, undefined when all that may take the call are busy. */
  private pickAgent (isLong: boolean): AdviceAgent | undefined {
    const agents = this.options.agents()
    const now = this.options.clock.now()
    const usable = agents.filter(agent => this.loadOf(agent).notBefore <= now)
    if (isLong) {
      const long = usable.filter(agent => this.loadOf(agent).hasLongCall).length
      if (long >= Math.max(1, Math.floor(usable.length * LONG_CALL_SHARE))) return undefined
    }
    const least = usable.reduce<AdviceAgent | undefined>((best, agent) =>
      best === undefined || this.loadOf(agent).pendingMs < this.loadOf(best).pendingMs ? agent : best, undefined)
    return least !== undefined && this.loadOf(least).pendingMs <= MAX_PENDING_MS ? least : undefined
  }

  private loadOf (agent: AdviceAgent): AgentLoad {
    const load = this.loads.get(agent.name) ?? { pendingMs: 0, hasLongCall: false, notBefore: 0 }
    this.loads.set(agent.name, load)
    return load
  }
}
