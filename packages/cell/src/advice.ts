import type { Clock } from '@citronnotch/daemon/clock'
import type { Failure } from '@citronnotch/daemon/errors'
import type { Log } from '@citronnotch/daemon/logger'
import type { Result } from '@citronnotch/protocol'
import { ADVICE_TIMEOUT_MS, AGENT_BACKOFF_MS, MAX_ADVICE_WORKERS, TICKET_SLACK_MS } from './constants.js'
import type { Step } from './jobs.js'
import type { Approvals } from './ports.js'
import { formatStepId } from './types.js'
import type { AdvicePolicy } from './types.js'
import type { WorkerLink } from './workerLink.js'

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

  isPending (step: Step): boolean {
    return this.steps.get(step)?.isPending === true
  }

  /** Asks about the workers without a ticket that were not refused, unless a call is under way. */
  request (step: Step, policy: AdvicePolicy, workers: readonly WorkerLink[]): void {
    const advice = this.steps.get(step) ?? { tickets: new Map<string, Ticket>(), asked: new Set<string>(), isPending: false }
    this.steps.set(step, advice)
    if (advice.isPending) return
    const named = workers.filter(worker => !this.isRefused(step, worker)).slice(0, MAX_ADVICE_WORKERS)
    if (named.length === 0) return
    advice.isPending = true
    this.ask(step, policy, named, advice).finally(() => {
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

  private async ask (step: Step, policy: AdvicePolicy, named: readonly WorkerLink[], advice: StepAdvice) {
    const { clock, log } = this.options
    const agent = this.pickAgent()
    if (agent === undefined) return
    const costMs = policy.decisionMs + policy.perWorkerMs * named.length
    const load = this.loadOf(agent)
    load.pendingMs += costMs
    const name = formatStepId({ jobId: step.job.id, occurrence: step.occurrence, step: step.index })
    const sentAt = clock.now()
    const res = await agent.approve(name, named.map(({ id }) => id), load.pendingMs + ADVICE_TIMEOUT_MS)
    load.pendingMs = Math.max(0, load.pendingMs - costMs)
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

  private pickAgent (): AdviceAgent | undefined {
    const agents = this.options.agents()
    const now = this.options.clock.now()
    const usable = agents.filter(agent => this.loadOf(agent).notBefore <= now)
    const candidates = usable.length > 0 ? usable : agents
    return candidates.reduce<AdviceAgent | undefined>((best, agent) =>
      best === undefined || this.loadOf(agent).pendingMs < this.loadOf(best).pendingMs ? agent : best, undefined)
  }

  private loadOf (agent: AdviceAgent): AgentLoad {
    const load = this.loads.get(agent.name) ?? { pendingMs: 0, notBefore: 0 }
    this.loads.set(agent.name, load)
    return load
  }
}
