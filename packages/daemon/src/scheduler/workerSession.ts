import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { LEASE_DRIFT } from '../constants.js'
import type { Failure } from '../errors.js'
import type { Log } from '../logger.js'
import { Waker } from '../waker.js'
import type { CommandOutcome, Grant, Resources, StartTask, WorkerClient, WorkerReport } from '../workers/index.js'
import { epochOfToken, fencingTokenOf } from './fencingToken.js'
import type { ResolvedSchedulerOptions } from './types.js'

/** Pause between adoption attempts of a worker that does not answer. */
const ADOPT_RETRY_MS = 1_000
/** Shortest pause between two renewals of one worker. */
const MIN_RENEW_MS = 250

export type WorkerState = 'adopting' | 'live' | 'unreachable'

/** What the owner of the shard is told by, and asked for, a worker's session. */
export interface WorkerSessionOwner {
  /** Epoch under which commands may be sent now; undefined when there is no authority. */
  epoch (): number | undefined
  /** Tasks whose leases are renewed. */
  leasedTasks (address: string): readonly string[]
  /** The worker was adopted; its report holds everything that may still run there. */
  adopted (session: WorkerSession, report: WorkerReport, restarted: boolean): void
  /** A command was answered. */
  reported (session: WorkerSession, report: WorkerReport): void
  /** The worker no longer answers; its tasks may still run until their leases end. */
  unreachable (session: WorkerSession): void
  /** No task can run on the worker any more: its leases have ended and every former owner's too. */
  expired (session: WorkerSession): void
  /** The worker has accepted a higher epoch. */
  superseded (epoch: number): void
  /** Monotonic time after which leases granted by former owners have ended; Infinity while unknown. */
  formerLeasesEnd (): number
}

export interface WorkerSessionDeps {
  readonly client: WorkerClient
  readonly clock: Clock
  readonly log: Log
  readonly options: ResolvedSchedulerOptions
  readonly owner: WorkerSessionOwner
}

type Command =
  | { readonly type: 'start', readonly task: StartTask }
  | { readonly type: 'stop', readonly taskId: string }
  | { readonly type: 'checkpoint', readonly taskId: string }
  | { readonly type: 'forget', readonly taskId: string }

/**
 * Conversation with one worker: adopts it, then sends commands and renewals one at a time.
 * A command without an answer is followed by a new adoption, which makes it ineffective
 * if it is still under way and shows whether it took effect.
 */
export class WorkerSession {
  private current: WorkerState = 'adopting'
  private grant: Grant | undefined
  private incarnation: string | undefined
  private adoptions = 0
  private pending: Command[] = []
  private report: { readonly time: number, readonly receivedAt: number } | undefined
  /** When the last command that grants a lease was sent; leases end at most `taskLeaseMs` later. */
  private leaseSentAt: number | undefined
  private isExpired = false
  private lastRenewAt = -Infinity
  private renewBy = Infinity
  private readonly waker = Waker.create()
  capacity: Resources | undefined

  private constructor (private readonly deps: WorkerSessionDeps) {}

  static create (deps: WorkerSessionDeps): WorkerSession {
    return new WorkerSession(deps)
  }

  get address (): string {
    return this.deps.client.address
  }

  get state (): WorkerState {
    return this.current
  }

  start (task: StartTask): void {
    this.push({ type: 'start', task })
  }

  stop (taskId: string): void {
    this.push({ type: 'stop', taskId })
  }

  checkpoint (taskId: string): void {
    this.push({ type: 'checkpoint', taskId })
  }

  forget (taskId: string): void {
    this.push({ type: 'forget', taskId })
  }

  /** True when a start of the task has not been sent yet. */
  hasPendingStart (taskId: string): boolean {
    return this.pending.some(command => command.type === 'start' && command.task.taskId === taskId)
  }

  close (): Promise<void> {
    return this.deps.client.close()
  }

  /** Asks for a report at the given monotonic time, earlier than the next regular renewal. */
  reportBy (at: number): void {
    if (at >= this.renewBy) return
    this.renewBy = at
    this.waker.wake()
  }

  /** Runs until `signal` aborts or the authority over the shard has ended. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const epoch = this.deps.owner.epoch()
      if (epoch === undefined) return
      const isReady = this.grant !== undefined || await this.adopt(epoch)
      if (isReady) await this.converse(signal)
      else await this.waitForAdoption(signal)
    }
  }

  private push (command: Command) {
    this.pending.push(command)
    this.waker.wake()
  }

  private async adopt (epoch: number): Promise<boolean> {
    this.adoptions++
    const fencingToken = fencingTokenOf(epoch, this.adoptions)
    const previous = this.incarnation
    const outcome = this.accept(await this.deps.client.adopt(fencingToken))
    if (outcome === undefined) return false
    this.incarnation = outcome.incarnation
    this.grant = { fencingToken, incarnation: outcome.incarnation }
    this.capacity = outcome.capacity
    this.current = 'live'
    this.isExpired = false
    // A start that was not answered is decided by the report, so it must not be sent again.
    this.pending = this.pending.filter(command => command.type !== 'start')
    this.deps.owner.adopted(this, outcome, previous !== undefined && previous !== outcome.incarnation)
    this.renewBy = this.deps.clock.now()
    return true
  }

  private async waitForAdoption (signal: AbortSignal) {
    if (this.current === 'live') {
      this.current = 'unreachable'
      this.deps.owner.unreachable(this)
    }
    this.checkExpiry()
    await this.deps.clock.sleep(ADOPT_RETRY_MS, signal)
  }

  /** Tells the owner once no lease on this worker can be running any more. */
  private checkExpiry () {
    if (this.isExpired) return
    const now = this.deps.clock.now()
    const { taskLeaseMs } = this.deps.options
    const ownLeasesEnd = this.leaseSentAt === undefined ? -Infinity : this.leaseSentAt + taskLeaseMs * (1 + LEASE_DRIFT)
    // Former owners are fenced off on a worker that this owner has adopted.
    const formerLeasesEnd = this.report === undefined ? this.deps.owner.formerLeasesEnd() : -Infinity
    if (now <= Math.max(ownLeasesEnd, formerLeasesEnd)) return
    this.isExpired = true
    this.current = 'unreachable'
    this.deps.owner.expired(this)
  }

  /** Sends what is pending, or renews, or waits until one of both is due. */
  private async converse (signal: AbortSignal) {
    const { clock, options } = this.deps
    const renewAt = Math.max(
      Math.min(this.lastRenewAt + options.workerRenewMs, this.renewBy),
      this.lastRenewAt + MIN_RENEW_MS
    )
    const wait = renewAt - clock.now()
    if (this.pending.length > 0) await this.sendPending()
    else if (wait <= 0) await this.renew()
    else await this.waker.wait(clock, wait, signal)
  }

  private async renew () {
    const now = this.deps.clock.now()
    this.lastRenewAt = now
    this.renewBy = Infinity
    await this.send((client, grant) => {
      const taskIds = this.deps.owner.leasedTasks(this.address)
      return client.renew(grant, taskIds, this.grantLease())
    })
  }

  /** Sends pending commands of the same type as the first in one call. */
  private async sendPending () {
    const first = this.pending[0]
    if (first === undefined) return
    const batch = this.pending.filter(command => command.type === first.type)
    this.pending = this.pending.filter(command => command.type !== first.type)
    await this.send((client, grant) => senders[first.type](client, grant, batch, this))
  }

  /** Returns the end of a lease granted now, in the worker's time. */
  grantLease (): number {
    const { clock, options } = this.deps
    const now = clock.now()
    this.leaseSentAt = now
    const workerTime = this.report === undefined ? 0 : this.report.time + (now - this.report.receivedAt)
    return workerTime + options.taskLeaseMs
  }

  get stopGraceMs (): number {
    return this.deps.options.stopGraceMs
  }

  private async send (call: (client: WorkerClient, grant: Grant) => Promise<Result<CommandOutcome, Failure>>) {
    const { grant } = this
    const epoch = this.deps.owner.epoch()
    if (grant === undefined || epoch !== epochOfToken(grant.fencingToken)) return
    const report = this.accept(await call(this.deps.client, grant))
    if (report === undefined) this.grant = undefined
    else this.deps.owner.reported(this, report)
  }

  /** Takes in an answer; undefined when the worker must be adopted again. */
  private accept (result: Result<CommandOutcome, Failure>): WorkerReport | undefined {
    if (!result.ok) {
      this.deps.log.debug('Worker did not answer.', { worker: this.address, reason: result.val.reason })
      return undefined
    }
    const outcome = result.val
    if (outcome.accepted) {
      this.report = { time: outcome.report.time, receivedAt: this.deps.clock.now() }
      return outcome.report
    }
    const epoch = this.deps.owner.epoch()
    const holder = epochOfToken(outcome.fencingToken)
    if (epoch !== undefined && holder > epoch) this.deps.owner.superseded(holder)
    return undefined
  }
}

type Sender = (client: WorkerClient, grant: Grant, batch: readonly Command[], session: WorkerSession) => Promise<Result<CommandOutcome, Failure>>

const senders: Readonly<Record<Command['type'], Sender>> = {
  start: (client, grant, batch, session) =>
    client.start(grant, batch.flatMap(command => command.type === 'start' ? [command.task] : []), session.grantLease()),
  stop: (client, grant, batch, session) => client.stop(grant, taskIdsOf(batch), session.stopGraceMs),
  checkpoint: (client, grant, batch) => client.checkpoint(grant, taskIdsOf(batch)),
  forget: (client, grant, batch) => client.forget(grant, taskIdsOf(batch))
}

function taskIdsOf (batch: readonly Command[]): readonly string[] {
  return batch.flatMap(command => command.type === 'start' ? [] : [command.taskId])
}
