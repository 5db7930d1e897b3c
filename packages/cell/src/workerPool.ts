import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { AT_WORK_PERCENT, LAPSE_MARGIN_MS, REGISTRY_POLL_MS, TOKENS_PER_EPOCH, WORKER_CLOCK_RATE, WORKER_RETRY_MS } from './constants.js'
import type { Directory, RowStore, WorkerClients } from './ports.js'
import { Roster } from './roster.js'
import type { RosterMember } from './roster.js'
import { formatTaskId } from './types.js'
import type { WorkerEntry } from './types.js'
import { WorkerHealth } from './workerHealth.js'
import { WorkerLink } from './workerLink.js'
import type { WorkerEvents } from './workerLink.js'

/** Time without progress after which a run counts as stalled; a task slowed tenfold still gains a percent in this time. */
const STALL_MS = 2_500
/** Time after which the roster names the end of an unreachable worker's leases; shorter gaps are frequent. */
const UNREACHABLE_MS = 500

export interface WorkerPoolOptions {
  readonly epoch: number
  readonly store: RowStore
  readonly directory: Directory
  readonly clients: WorkerClients
  readonly taskLeaseMs: number
  /** Version of the epoch row of the roster's partition. */
  readonly epochVersion: () => number
  readonly events: WorkerEvents
  /** Workers have come or gone. */
  readonly onChange: () => void
  readonly mayOrder: () => boolean
  readonly clock: Clock
  readonly log: Log
}

/** The workers of the registry, each with the leader's link to its present life. */
export class WorkerPool {
  readonly health: WorkerHealth
  private readonly links = new Map<string, WorkerLink>()
  /** Highest fencing token sent to a worker that was dropped, by id: it may start again under the same id. */
  private readonly lastTokens = new Map<string, number>()
  private readonly roster: Roster
  /** Monotonic time after which every lease of earlier leaders has ended. */
  private readonly earlierLeasesEndAt: number
  /** The same on the store's clock, once that is known. */
  private earlierLapsesAtMs: number | undefined
  /** Time of the store's clock at which the leases of unreachable workers end, as the roster names it. */
  private readonly lapses = new Map<WorkerLink, number>()

  private constructor (private readonly options: WorkerPoolOptions) {
    const { store, epochVersion, clock, log, taskLeaseMs } = options
    this.earlierLeasesEndAt = clock.now() + taskLeaseMs / WORKER_CLOCK_RATE + LAPSE_MARGIN_MS
    this.health = WorkerHealth.create(clock, log)
    this.roster = Roster.create({ store, epochVersion, log })
  }

  static create (options: WorkerPoolOptions): WorkerPool {
    return new WorkerPool(options)
  }

  // Queries

  all (): Iterable<WorkerLink> {
    return this.links.values()
  }

  get (id: string): WorkerLink | undefined {
    return this.links.get(id)
  }

  /** Whether a successor would know of the worker, and nothing speaks against its health. */
  isUsable (worker: WorkerLink): boolean {
    return this.roster.has(worker.entry) && !this.health.isSuspended(worker.id)
  }

  rosterSize (): number {
    return this.roster.size()
  }

  /** Whether it is known of every worker of earlier leaders what it runs. */
  isEveryEarlierKnown (): boolean {
    return this.roster.earlier().every(member => {
      const { id, born } = member
      const link = this.links.get(id)
      if (link !== undefined && (link.entry.born > born || (link.isAdopted && link.entry.born === born))) return true
      return this.haveLeasesEnded(member)
    })
  }

  /** Whether every lease of earlier leaders has ended by time. */
  haveEarlierLeasesEnded (): boolean {
    return this.options.clock.now() > this.earlierLeasesEndAt
  }

  // Commands

  /** Reads the roster of earlier leaders; returns false when the store didn't answer. */
  load (): Promise<boolean> {
    return this.roster.load()
  }

  /** Follows the registry. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, directory, mayOrder, log } = this.options
    while (!signal.aborted) {
      const res = await directory.listWorkers()
      if (res.err) log.warn('Worker registry could not be read.', { verdict: res.val.verdict, reason: res.val.reason })
      else this.applyRegistry(res.val, signal)
      if (mayOrder()) await this.enrol()
      await clock.sleep(res.err ? WORKER_RETRY_MS : REGISTRY_POLL_MS, signal)
    }
  }

  /** Stops the runs that make no progress, so that they resume elsewhere. */
  stopStalled (): void {
    for (const link of this.links.values()) {
      if (!link.isAdopted) continue
      for (const run of link.runs.values()) {
        const forMs = link.reportedAt() - run.progressAt
        if (run.state !== 'running' || run.task === undefined || forMs < STALL_MS || run.percent >= AT_WORK_PERCENT) continue
        this.options.log.warn('Run makes no progress.', { task: formatTaskId(run.id), run: run.number, worker: link.id, percent: run.percent, forMs: Math.round(forMs) })
        run.task.step.avoided.add(link.id)
        run.task.failedOn.add(link.id)
        // A task on idle capacity stands still when others use all of it.
        if (!run.task.step.spec.usesIdleCapacity) this.health.stalled(link.id)
        link.stop(run)
      }
    }
  }

  private applyRegistry (entries: readonly WorkerEntry[], signal: AbortSignal) {
    const listed = new Map(entries.map(entry => [entry.id, entry]))
    const byAddress = new Map(entries.map(entry => [entry.address, entry]))
    for (const link of [...this.links.values()]) {
      const entry = listed.get(link.id)
      if (entry !== undefined && entry.born === link.entry.born && !link.isDead) link.updateEntry(entry)
      else this.applyAbsence(link, entry, byAddress.get(link.entry.address))
    }
    for (const entry of entries) if (!this.links.has(entry.id)) this.connect(entry, signal)
    this.options.onChange()
  }

  /** Handles a life of a worker that the registry no longer lists. */
  private applyAbsence (link: WorkerLink, entry: WorkerEntry | undefined, successor: WorkerEntry | undefined) {
    const isReplaced = entry !== undefined ? entry.born > link.entry.born : successor !== undefined && successor.born > link.entry.born
    if (isReplaced) link.declareDead()
    // A worker that is missing gets no new work; what it runs stays accounted for until it has ended.
    link.updateEntry({ ...link.entry, state: 'draining' })
    if (link.isDead || (link.runs.size === 0 && !link.isAdopted)) this.drop(link, isReplaced ? 'replaced' : 'gone')
  }

  private connect (entry: WorkerEntry, signal: AbortSignal) {
    const { clients, epoch, taskLeaseMs, events, mayOrder, clock, log } = this.options
    const firstToken = (this.lastTokens.get(entry.id) ?? epoch * TOKENS_PER_EPOCH) + 1
    const link: WorkerLink = WorkerLink.create({ entry, clients, firstToken, taskLeaseMs, events, mayOrder, mayExtend: () => this.roster.has(link.entry), clock, log })
    this.links.set(entry.id, link)
    link.run(signal)
  }

  private drop (link: WorkerLink, reason: string) {
    link.declareDead()
    this.lapses.delete(link)
    this.links.delete(link.id)
    this.lastTokens.set(link.id, link.lastToken())
    this.health.forget(link.id)
    this.options.log.info('Worker dropped.', { worker: link.id, born: link.entry.born, reason })
  }

  /** Stores the workers that may run something before anything is started on them. */
  private async enrol () {
    const listed = [...this.links.values()].filter(mayRunSomething).map(link => this.memberOf(link))
    // A worker that the registry doesn't list may still run what an earlier leader has started.
    this.earlierLapsesAtMs ??= this.storeTimeOf(this.earlierLeasesEndAt)
    const lapsesAtMs = this.earlierLapsesAtMs
    const unlisted = this.roster.earlier()
      .filter(member => !this.links.has(member.id) && !this.haveLeasesEnded(member))
      .map(member => member.lapsesAtMs !== undefined || lapsesAtMs === undefined ? member : { ...member, lapsesAtMs })
    if (await this.roster.store([...listed, ...unlisted])) this.options.onChange()
  }

  /** Whether nothing that an earlier leader started can run any more. */
  private haveLeasesEnded ({ lapsesAtMs }: RosterMember): boolean {
    const storeMs = this.options.store.clockMs()
    return this.haveEarlierLeasesEnded() || (lapsesAtMs !== undefined && storeMs !== undefined && storeMs.earliest > lapsesAtMs)
  }

  private memberOf (link: WorkerLink): RosterMember {
    const { id, born } = link.entry
    if (link.unreachableMs() < UNREACHABLE_MS) {
      this.lapses.delete(link)
      return { id, born }
    }
    const lapsesAtMs = this.lapses.get(link) ?? this.storeTimeOf(link.leasesEndAt())
    if (lapsesAtMs === undefined) return { id, born }
    this.lapses.set(link, lapsesAtMs)
    return { id, born, lapsesAtMs }
  }

  /** A monotonic time of this daemon on the store's clock, rounded up; undefined before the store's first answer. */
  private storeTimeOf (monotonicMs: number): number | undefined {
    const storeMs = this.options.store.clockMs()
    return storeMs === undefined ? undefined : Math.ceil(storeMs.latest + monotonicMs - this.options.clock.now())
  }
}

/**
 * A successor need not know of a worker that drains and runs nothing, as it gets no more work, nor of one that can't
 * be reached and whose leases have ended; that one is enrolled again once it is back.
 */
function mayRunSomething (link: WorkerLink): boolean {
  const isEmptied = link.entry.state === 'draining' && link.isAdopted && link.runs.size === 0
  return !link.isDead && !isEmptied && !link.hasLapsed()
}
