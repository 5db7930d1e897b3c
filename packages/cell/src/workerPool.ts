import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { Stopwatch } from '@citronnotch/base/stopwatch'
import { supervise } from '@citronnotch/base/supervise'
import { HEARTBEAT_OVERDUE_MS, HEARTBEAT_WAIT_MS, MAX_CALL_DELAY_MS, READY_PERCENT, REGISTRY_POLL_MS, REGISTRY_RETRY_OLD_MS, TOKENS_PER_EPOCH, TOO_OLD_FRACTION, WORKER_RETRY_MS } from './constants.js'
import type { Directory, RowStore, WorkerClients } from './ports.js'
import type { RunUsage } from './accounts/index.js'
import type { LeaderStartWindow } from './leaderStartWindow.js'
import { NO_RESOURCES, add } from './resources.js'
import { Roster } from './roster.js'
import type { MemberWorker } from './outages.js'
import type { RosterMember } from './roster.js'
import type { StartWindowLimits } from './startWindow.js'
import { formatTaskId } from './types.js'
import type { ResourceVector, WorkerEntry } from './types.js'
import { WorkerHealth } from './workerHealth.js'
import type { WorkerObstacle } from './workerObstacles.js'
import { ratingsOf } from './workerPreference.js'
import type { RatingOptions, WorkerRatings } from './workerPreference.js'
import { WorkerLink, latestExpiryMs, latestStrayExpiryMs } from './workerLink.js'
import type { UnsettledRun, WorkerEvents } from './workerLink.js'

/** Time without progress after which a run counts as stalled; a task that runs ten times slower still gains one percent in this time. */
const STALL_MS = 2_500
/** Time after which the roster records when the leases of an unreachable worker expire; shorter outages are frequent. */
const UNREACHABLE_MS = 500

/** Time without contact up to which a worker may be back under its id, in milliseconds: longer than a restart takes. */
const MAY_BE_BACK_MS = 10_000

/** Maximum number of unusable workers that are logged, as another writer may add ever new ones. */
const MAX_UNUSABLE_LOGGED = 1_000
/** Maximum number of vanished workers that are remembered. */
const MAX_GONE_LINKS = 200

/** A run that an earlier leader has started and of which no end is stored. */
export interface EarlierRun extends UnsettledRun {
  readonly workerId: string
  /** Incarnation of the worker. */
  readonly born: number
}

export interface WorkerPoolOptions {
  readonly epoch: number
  readonly store: RowStore
  readonly directory: Directory
  readonly clients: WorkerClients
  readonly taskLeaseMs: number
  /** Longest lease that a worker grants, in milliseconds. */
  readonly maxTaskLeaseMs: number
  /** Time after which no task may start on a worker that is registered as draining, in milliseconds. */
  readonly drainMs: number
  /** Time for which the previous leader may still extend leases on workers that are not adopted, in milliseconds. */
  readonly predecessorActiveMs: number
  /** Version of the epoch row of the roster's partition. */
  readonly epochVersion: () => number
  readonly events: WorkerEvents
  /** Takes note of the runs on all workers. */
  readonly usage: RunUsage
  /** Bounds of the starts under way to each worker. */
  readonly startWindow: StartWindowLimits
  readonly leaderStartWindow: LeaderStartWindow
  /** Called after each successful registry poll, and when the stored roster changes. */
  readonly onChange: () => void
  readonly mayIssueCommands: () => boolean
  /** Resolves with true once the leader has loaded the jobs and the roster, with false if it stops first. */
  readonly jobsLoaded: Promise<boolean>
  readonly clock: Clock
  readonly log: Log
}

/** Time at which a lease on a worker ends. */
interface LeaseEnd {
  /** Monotonic time of this daemon. */
  readonly expiresAt: number
  /** The same time on the store's clock. */
  readonly storeMs: number
}

/** The workers of the registry, each with the leader's link to its current incarnation. */
export class WorkerPool {
  readonly health: WorkerHealth
  private readonly links = new Map<string, WorkerLink>()
  /** Highest fencing tokens of dropped workers, by worker id: a worker may start again under the same id. */
  private readonly lastTokens = new Map<string, number>()
  private readonly roster: Roster
  /** Monotonic time of the takeover. */
  private readonly createdAt: number
  /** Started when the last successful read of the registry was sent. */
  private sinceRegistryRead: Stopwatch | undefined
  /** Ids of the workers that could not be used, each of which is logged once. */
  private readonly unusable = new Set<string>()
  /** Monotonic time after which every lease has expired that earlier leaders gave the incarnations that they knew. */
  private readonly earlierLeasesExpireAt: number
  /** The same for leases that their calls may give later incarnations. */
  private readonly earlierStrayLeasesExpireAt: number
  /** The same times on the store's clock; undefined until that clock is known. */
  private earlierLeasesExpireAtStoreMs: number | undefined
  private earlierStrayLeasesExpireAtStoreMs: number | undefined
  /** End of all leases of each unreachable worker, as written to the roster last. */
  private readonly leaseEnds = new Map<WorkerLink, LeaseEnd>()
  /** Latest incarnation of each worker after which it is known to have restarted, also where the registry doesn't show the next one, or not any more. */
  private readonly restartedBorn = new Map<string, number>()
  /** Latest incarnation of each worker that another worker has replaced at its address: nothing runs there, and calls to it are refused. */
  private readonly replacedBorn = new Map<string, number>()
  /** The worker that was dropped last at each address, until an answer of a later one shows that it has been replaced. */
  private readonly goneAt = new Map<string, Pick<WorkerEntry, 'id' | 'born'>>()
  /** Stray lease of each worker, as written to the roster last. */
  private readonly strayLeases = new Map<WorkerLink, LeaseEnd>()
  /** Links to workers that vanished with their runs, by address, until a later worker is seen there. */
  private readonly goneLinks = new Map<string, WorkerLink>()
  /** Runs of earlier leaders by worker id, until an incarnation of the worker is seen. */
  private readonly earlierRuns = new Map<string, EarlierRun[]>()
  /** Members of earlier leaders whose runs count as gone because their leases have expired, each of which is logged once. */
  private readonly expiredMembers = new Set<RosterMember>()
  /** Jobs that may have runs on each worker that gets no more work, as recorded in the roster. */
  private readonly remainingJobs = new Map<WorkerLink, readonly string[]>()

  private constructor (private readonly options: WorkerPoolOptions) {
    const { store, epochVersion, clock, log, taskLeaseMs, maxTaskLeaseMs, predecessorActiveMs } = options
    this.createdAt = clock.now()
    this.earlierLeasesExpireAt = this.createdAt + predecessorActiveMs + latestExpiryMs(taskLeaseMs)
    this.earlierStrayLeasesExpireAt = this.createdAt + predecessorActiveMs + latestStrayExpiryMs(maxTaskLeaseMs)
    this.health = WorkerHealth.create(clock, log, () => this.links.size)
    this.roster = Roster.create({ store, epochVersion, log })
  }

  static create (options: WorkerPoolOptions): WorkerPool {
    return new WorkerPool(options)
  }

  // Queries

  all (): Iterable<WorkerLink> {
    return this.links.values()
  }

  /** Registered workers that don't drain, and that answer or may be back soon. */
  inService (): readonly MemberWorker[] {
    const answeredBefore = this.options.clock.now() - HEARTBEAT_WAIT_MS - HEARTBEAT_OVERDUE_MS
    return [...this.links.values()].filter(link => link.entry.state === 'ready' && link.unreachableMs() <= MAY_BE_BACK_MS)
      .map(link => ({ id: link.id, zone: link.entry.zone, labels: link.entry.labels, isSilent: !link.isAdopted || link.reportedAt() < answeredBefore }))
  }

  get (id: string): WorkerLink | undefined {
    return this.links.get(id)
  }

  /** Whether the stored roster lets any job start on the worker and the worker isn't suspended. */
  isUsable (worker: WorkerLink, now = this.options.clock.now()): boolean {
    return this.useObstacle(worker, now) === undefined
  }

  /** Why the worker isn't usable; undefined if it is. */
  useObstacle (worker: WorkerLink, now: number): WorkerObstacle | undefined {
    if (!this.roster.mayStartOn(worker.entry) || !this.isStrayLeaseRecorded(worker, now)) return 'not-in-roster'
    return this.health.isSuspended(worker.id, now) ? 'suspended' : undefined
  }

  /** What speaks against starts on each worker. */
  ratings (queue: RatingOptions['queue']): WorkerRatings {
    return ratingsOf({ health: this.health, queue, clock: this.options.clock })
  }

  /** Whether tasks may be started by the registry as it was read last: it says which workers drain, and what room they have. */
  isRegistryRecent (): boolean {
    return this.sinceRegistryRead !== undefined && this.sinceRegistryRead.elapsedMs() <= TOO_OLD_FRACTION * this.options.drainMs
  }

  rosterSize (): number {
    return this.roster.size()
  }

  /**
   * Jobs that may have runs of earlier leaders on workers that have neither reported their runs nor restarted, and whose
   * leases have not expired; `all` if such a worker may run any job.
   */
  jobsWithUnknownRuns (): ReadonlySet<string> | 'all' {
    if (this.mayMembersBeMissing()) return 'all'
    const jobIds = new Set<string>()
    for (const member of this.roster.membersOfEarlierLeaders()) {
      if (this.areRunsKnown(member)) continue
      if (member.jobs === undefined) return 'all'
      for (const jobId of member.jobs) jobIds.add(jobId)
    }
    return jobIds
  }

  /** Capacity of the workers that may have such runs; undefined if one of these workers isn't known. */
  capacityWithUnknownRuns (): ResourceVector | undefined {
    if (this.mayMembersBeMissing()) return undefined
    let capacity = NO_RESOURCES
    for (const member of this.roster.membersOfEarlierLeaders()) {
      if (this.areRunsKnown(member)) continue
      const entry = this.links.get(member.id)?.entry
      if (entry?.born !== member.born) return undefined
      capacity = add(capacity, entry.capacity)
    }
    return capacity
  }

  /** Whether enough time has passed for every lease of earlier leaders to expire. */
  haveEarlierLeasesExpired (): boolean {
    return this.options.clock.now() > this.earlierLeasesExpireAt
  }

  // Commands

  /** Logs the workers whose runs of earlier leaders have come to count as gone without a report of the worker. */
  logExpiredMembers (): void {
    for (const member of this.roster.membersOfEarlierLeaders()) {
      const { id, born, lapsesAtMs } = member
      const link = this.links.get(id)
      if (link?.isAdopted === true || this.expiredMembers.has(member) || !this.areRunsKnown(member)) continue
      this.expiredMembers.add(member)
      this.options.log.info('Leases of earlier leaders have expired.', { worker: id, born, registeredBorn: link?.entry.born, recordedLapse: lapsesAtMs, afterMs: Math.round(this.options.clock.now() - this.createdAt) })
    }
  }

  /** Reads the roster of earlier leaders; returns false when the read failed. */
  load (): Promise<boolean> {
    return this.roster.load()
  }

  /** Adds the runs that earlier leaders have stored. Called once, before any report of a worker is applied. */
  addEarlierRuns (runs: readonly EarlierRun[]): void {
    for (const run of runs) this.earlierRuns.set(run.workerId, [...this.earlierRuns.get(run.workerId) ?? [], run])
    for (const link of this.links.values()) {
      this.expectEarlierLeases(link)
      this.settleEarlierRuns(link)
    }
  }

  /**
   * Polls the registry and keeps the links and the roster up to date until the signal aborts. May be called before the
   * jobs are loaded, so that the workers are connected and fenced meanwhile.
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, mayIssueCommands, jobsLoaded } = this.options
    while (!signal.aborted) {
      const pauseMs = await this.readRegistryOrTimeout(signal)
      if (!await jobsLoaded) return
      if (mayIssueCommands()) await this.updateRoster()
      await clock.sleep(pauseMs, signal)
    }
  }

  /**
   * Reads the registry and resolves with the pause before the next read. While the last reading is too old to start tasks
   * by, a read is not waited for until it times out: the store may answer the next one.
   */
  private async readRegistryOrTimeout (signal: AbortSignal): Promise<number> {
    const { clock, log } = this.options
    const mustHurry = this.sinceRegistryRead !== undefined && !this.isRegistryRecent()
    const read = this.readRegistry(signal)
    if (!mustHurry) return read
    read.catch((err: unknown) => log.error('Worker registry could not be read.', { err }))
    return Promise.race([read, clock.sleep(REGISTRY_RETRY_OLD_MS, signal).then(() => 0)])
  }

  private async readRegistry (signal: AbortSignal): Promise<number> {
    const { clock, directory, log } = this.options
    const sinceRequest = Stopwatch.start(clock)
    const res = await directory.listWorkers()
    if (res.err) {
      log.warn('Worker registry could not be read.', { verdict: res.val.verdict, reason: res.val.reason, mayStart: this.isRegistryRecent() })
      return WORKER_RETRY_MS
    }
    const isLatest = this.sinceRegistryRead === undefined || sinceRequest.elapsedMs() <= this.sinceRegistryRead.elapsedMs()
    if (isLatest && !signal.aborted) {
      this.sinceRegistryRead = sinceRequest
      this.applyRegistry(res.val, signal)
    }
    return REGISTRY_POLL_MS
  }

  /** Stops the runs that make no progress, or far less than elsewhere, so that their tasks resume on other workers. */
  stopStalledRuns (): void {
    this.health.observe([...this.links.values()])
    for (const link of this.links.values()) {
      if (!link.isAdopted) continue
      for (const run of link.runs.values()) {
        const stalledMs = link.reportedAt() - run.progressAt
        if (run.state !== 'running' || run.task === undefined || run.percent >= READY_PERCENT) continue
        const isHopeless = this.health.isHopeless(run)
        if (stalledMs < STALL_MS && !isHopeless) continue
        this.options.log.warn(isHopeless ? 'Run is far slower than on other workers.' : 'Run makes no progress.', { task: formatTaskId(run.id), run: run.number, worker: link.id, percent: run.percent, forMs: Math.round(stalledMs) })
        run.task.step.avoidWorker(run.task, link.id, this.options.clock.now())
        // A task on idle capacity makes no progress while other tasks use the whole worker.
        if (!run.task.step.spec.usesIdleCapacity) this.health.recordStall(link.id)
        link.stop(run)
      }
    }
  }

  private applyRegistry (entries: readonly WorkerEntry[], signal: AbortSignal) {
    const entriesById = new Map(entries.map(entry => [entry.id, entry]))
    const entriesByAddress = new Map(entries.map(entry => [entry.address, entry]))
    for (const link of [...this.links.values()]) {
      const entry = entriesById.get(link.id)
      if (entry !== undefined && entry.born === link.entry.born && !link.isDead) link.updateEntry(entry)
      else this.isolate(link.id, () => this.handleUnlisted(link, entry, entriesByAddress.get(link.entry.address), signal))
    }
    for (const entry of entries) if (!this.links.has(entry.id)) this.isolate(entry.id, () => this.connect(entry, signal))
    for (const link of this.links.values()) if (link.isAdopted) this.recordReplaced(link)
    this.options.onChange()
  }

  /** Applies a change of one worker; if that fails, the worker is set aside and the others are not affected. */
  private isolate (workerId: string, apply: () => void) {
    try {
      apply()
    } catch (err) {
      if (this.unusable.has(workerId) || this.unusable.size >= MAX_UNUSABLE_LOGGED) return
      this.unusable.add(workerId)
      this.options.log.error('Worker can not be used and is left out.', { worker: workerId, err })
    }
  }

  /** Handles an incarnation of a worker that the registry no longer lists. */
  private handleUnlisted (link: WorkerLink, entry: WorkerEntry | undefined, sameAddressEntry: WorkerEntry | undefined, signal: AbortSignal) {
    const isRestarted = entry !== undefined && entry.born > link.entry.born
    // Only an answer under the other id proves that the address has passed on: anybody may have written the other entry.
    const isReplaced = entry === undefined && sameAddressEntry !== undefined && sameAddressEntry.born > link.entry.born && this.links.get(sameAddressEntry.id)?.isAdopted === true
    if (isRestarted) this.health.recordRestart(link.id, link.entry.state === 'draining')
    if (isRestarted) link.declareRestarted()
    // A worker with another id refuses what was sent to this one.
    if (isReplaced) {
      link.declareDead()
      this.replacedBorn.set(link.id, link.entry.born)
    }
    if (link.hasRestarted) this.restartedBorn.set(link.id, link.entry.born)
    // A worker that is missing gets no new work; its runs stay tracked until they have finished or are lost.
    link.markUnlisted()
    if (link.isDead && entry !== undefined) return this.connect(entry, signal, link)
    if (link.isDead) link.reportExpired()
    if (link.runs.size > 0 || link.isAdopted) return
    if (link.hasUnsettledRuns()) this.rememberGone(link)
    if (!isReplaced) this.goneAt.set(link.entry.address, { id: link.id, born: link.entry.born })
    this.drop(link, isReplaced ? 'replaced' : 'gone')
  }

  /** Takes note that an answer of a worker shows the one that was at its address before to be gone for good. */
  private recordReplaced ({ id, entry }: WorkerLink) {
    const gone = this.goneAt.get(entry.address)
    if (gone === undefined) return
    this.goneAt.delete(entry.address)
    if (gone.id !== id && gone.born < entry.born) this.replacedBorn.set(gone.id, gone.born)
  }

  private rememberGone (link: WorkerLink) {
    const [oldest] = this.goneLinks.keys()
    if (oldest !== undefined && this.goneLinks.size >= MAX_GONE_LINKS) this.goneLinks.delete(oldest)
    this.goneLinks.set(link.entry.address, link)
  }

  private connect (entry: WorkerEntry, signal: AbortSignal, previous?: WorkerLink) {
    const { clients, epoch, taskLeaseMs, maxTaskLeaseMs, predecessorActiveMs, events, usage, startWindow, leaderStartWindow, mayIssueCommands, jobsLoaded, clock, log } = this.options
    const firstToken = (previous?.lastToken() ?? this.lastTokens.get(entry.id) ?? epoch * TOKENS_PER_EPOCH) + 1
    const link: WorkerLink = WorkerLink.create({
      entry, clients, firstToken, taskLeaseMs, maxTaskLeaseMs, predecessorActiveMs, earlierCallsUntil: this.createdAt + predecessorActiveMs + MAX_CALL_DELAY_MS, events, usage, startWindow, leaderStartWindow, mayIssueCommands, jobsLoaded, mayExtendLeases: () => this.roster.hasActive(link.entry), clock, log
    }, previous)
    if (previous !== undefined) this.drop(previous, 'restarted')
    const gone = this.goneLinks.get(entry.address)
    this.goneLinks.delete(entry.address)
    // A later worker at the address of one that vanished: that one has not been cut off.
    if (gone !== undefined && entry.born > gone.entry.born) gone.reportCrash()
    this.links.set(entry.id, link)
    this.expectEarlierLeases(link)
    this.settleEarlierRuns(link)
    supervise(() => link.run(signal), { part: `worker ${link.id}`, signal, clock, log })
  }

  /** Tells the link which leases calls of earlier leaders may have given its incarnation, beyond those that each leader counts with. */
  private expectEarlierLeases (link: WorkerLink) {
    const member = this.roster.memberOfEarlierLeaders(link.id)
    const mayHaveBeenKnown = this.lastTokens.has(link.id) || (!this.roster.isFirst() && this.options.clock.now() <= this.earlierStrayLeasesExpireAt)
    if (member === undefined && !mayHaveBeenKnown) return link.expectNoStrayLease()
    if (member === undefined || member.born > link.entry.born) return
    if (member.born < link.entry.born) {
      this.restartedBorn.set(member.id, member.born)
      return link.expectStrayLease(this.earlierStrayLeasesExpireAt)
    }
    const recordedMs = Math.max(member.lapsesAtMs ?? -Infinity, member.strayLeaseUntilMs ?? -Infinity)
    if (recordedMs === -Infinity) link.expectNoStrayLease()
    else link.expectStrayLease(this.fromStoreTimeMs(recordedMs))
  }

  /** Gives the runs of earlier leaders to the link of their worker's incarnation; if a later one is listed, the worker has crashed under them, or without any, or left. */
  private settleEarlierRuns (link: WorkerLink) {
    const { id, born } = link.entry
    const runs = this.earlierRuns.get(id) ?? []
    const member = this.roster.memberOfEarlierLeaders(id)
    this.earlierRuns.delete(id)
    const later = runs.filter(run => run.born > born)
    if (later.length > 0) this.earlierRuns.set(id, later)
    link.addUnsettledRuns(runs.filter(run => run.born === born))
    // A restart under this leader is reported by the link.
    const knownBorns = [...runs.map(run => run.born), ...member === undefined || this.lastTokens.has(id) ? [] : [member.born]]
    for (const endedBorn of new Set(knownBorns.filter(knownBorn => knownBorn < born))) {
      const hasAnnouncedLeave = member?.born === endedBorn && member.jobs !== undefined && member.lapsesAtMs === undefined
      const ended = runs.filter(run => run.born === endedBorn)
      if (hasAnnouncedLeave) this.options.events.runsSettled(ended)
      else this.options.events.workerCrashed({ ...link.entry, born: endedBorn }, ended)
    }
  }

  private drop (link: WorkerLink, reason: string) {
    link.declareGone()
    this.leaseEnds.delete(link)
    this.strayLeases.delete(link)
    this.remainingJobs.delete(link)
    this.links.delete(link.id)
    this.lastTokens.set(link.id, link.lastToken())
    if (reason !== 'restarted') this.health.forget(link.id)
    this.options.log.info('Worker dropped.', { worker: link.id, born: link.entry.born, reason })
  }

  /** Stores the workers that may have runs. A worker must be in the roster before a run is started on it. */
  private async updateRoster () {
    const listedMembers = [...this.links.values()].filter(mayHaveRuns).map(link => this.rosterMemberOf(link))
    const listedIds = new Set(listedMembers.map(({ id }) => id))
    this.earlierLeasesExpireAtStoreMs ??= this.toStoreTimeMs(this.earlierLeasesExpireAt)
    this.earlierStrayLeasesExpireAtStoreMs ??= this.toStoreTimeMs(this.earlierStrayLeasesExpireAt)
    // A worker that is missing from the registry, or has restarted, may still have runs that an earlier leader started.
    const unlistedMembers = this.roster.membersOfEarlierLeaders()
      .filter(member => !listedIds.has(member.id) && !this.areRunsKnown(member))
      .map(member => this.withLapse(member))
    if (await this.roster.store([...listedMembers, ...unlistedMembers])) this.options.onChange()
  }

  /** Whether workers that the roster doesn't list may have runs of earlier leaders. */
  private mayMembersBeMissing (): boolean {
    return !this.roster.isComplete() && this.options.clock.now() <= this.earlierStrayLeasesExpireAt
  }

  /** Adds the time at which all leases have expired to a member that this leader doesn't reach. */
  private withLapse (member: RosterMember): RosterMember {
    const ordinaryMs = member.lapsesAtMs ?? this.earlierLeasesExpireAtStoreMs
    const lapsesAtMs = this.hasRestarted(member) ? this.earlierStrayLeasesExpireAtStoreMs : ordinaryMs
    return lapsesAtMs === undefined ? member : { ...member, lapsesAtMs: Math.max(lapsesAtMs, member.strayLeaseUntilMs ?? 0) }
  }

  private areRunsKnown (member: RosterMember): boolean {
    const link = this.links.get(member.id)
    if (link?.isAdopted === true && link.entry.born >= member.born) return true
    if ((this.replacedBorn.get(member.id) ?? -Infinity) >= member.born) return true
    // The incarnation after the one in the roster may carry out calls that were sent to the earlier one.
    return this.hasRestarted(member) ? this.options.clock.now() > this.earlierStrayLeasesExpireAt : this.haveMemberLeasesExpired(member)
  }

  /** Whether the worker is known to have restarted since the incarnation in the roster. */
  private hasRestarted ({ id, born }: RosterMember): boolean {
    const link = this.links.get(id)
    const isLinkLater = link !== undefined && (link.entry.born > born || (link.entry.born === born && link.hasRestarted))
    return isLinkLater || (this.restartedBorn.get(id) ?? -Infinity) >= born
  }

  /** Whether every lease that calls of earlier leaders gave this incarnation has expired. */
  private haveMemberLeasesExpired ({ lapsesAtMs, strayLeaseUntilMs }: RosterMember): boolean {
    if (this.options.clock.now() > this.earlierStrayLeasesExpireAt) return true
    if (lapsesAtMs !== undefined) return this.hasStoreTimePassed(lapsesAtMs)
    return this.haveEarlierLeasesExpired() && (strayLeaseUntilMs === undefined || this.hasStoreTimePassed(strayLeaseUntilMs))
  }

  private hasStoreTimePassed (ms: number): boolean {
    const storeMs = this.options.store.clockMs()
    return storeMs !== undefined && storeMs.earliest > ms
  }

  private rosterMemberOf (link: WorkerLink): RosterMember {
    const { id, born } = link.entry
    const isUnreachable = link.unreachableMs() >= UNREACHABLE_MS
    if (!isUnreachable) this.leaseEnds.delete(link)
    if (!isUnreachable && link.entry.state === 'ready') this.remainingJobs.delete(link)
    const lapsesAtMs = isUnreachable ? this.toRecordedMs(link, link.latestLeaseExpiry(), this.leaseEnds) : undefined
    const strayLeaseUntilMs = lapsesAtMs === undefined ? this.strayLeaseUntilMs(link) : undefined
    const jobs = lapsesAtMs !== undefined || link.entry.state === 'draining' ? this.remainingJobsOf(link) : undefined
    return { id, born, ...(lapsesAtMs === undefined ? {} : { lapsesAtMs }), ...(strayLeaseUntilMs === undefined ? {} : { strayLeaseUntilMs }), ...(jobs === undefined ? {} : { jobs }) }
  }

  /** End of the worker's stray lease on the store's clock; undefined if a successor counts with a later one anyway. */
  private strayLeaseUntilMs (link: WorkerLink): number | undefined {
    const expiresAt = link.latestStrayLeaseExpiry()
    if (!this.mustRecordStrayLease(link, this.options.clock.now())) return undefined
    return this.toRecordedMs(link, expiresAt, this.strayLeases)
  }

  /** Converts the end of a lease to the store's clock, once for each end: the conversion is not exact. */
  private toRecordedMs (link: WorkerLink, expiresAt: number, recorded: Map<WorkerLink, LeaseEnd>): number | undefined {
    const known = recorded.get(link)
    if (known?.expiresAt === expiresAt) return known.storeMs
    const storeMs = this.toStoreTimeMs(expiresAt)
    if (storeMs !== undefined) recorded.set(link, { expiresAt, storeMs })
    return storeMs
  }

  private mustRecordStrayLease (link: WorkerLink, now: number): boolean {
    return link.latestStrayLeaseExpiry() > now + latestExpiryMs(this.options.taskLeaseMs)
  }

  /** Whether a successor that reads the roster row counts with the worker's stray lease. */
  private isStrayLeaseRecorded (link: WorkerLink, now: number): boolean {
    if (!this.mustRecordStrayLease(link, now)) return true
    const known = this.strayLeases.get(link)
    return known !== undefined && known.expiresAt >= link.latestStrayLeaseExpiry() && this.roster.coversStrayLease(link.entry, known.storeMs)
  }

  /** Jobs that may have runs on a worker that gets no more work; undefined if this leader doesn't know all of its runs. */
  private remainingJobsOf (link: WorkerLink): readonly string[] | undefined {
    const known = this.remainingJobs.get(link)
    if (known !== undefined) return known
    const { id, born } = link.entry
    const member = this.roster.memberOfEarlierLeaders(id)
    const jobs = link.unsettledJobs() ?? (member?.born === born ? member.jobs : undefined)
    if (jobs !== undefined) this.remainingJobs.set(link, jobs)
    return jobs
  }

  /** Converts a monotonic time of this daemon to the store's clock, rounded up; undefined before the store's first answer. */
  private toStoreTimeMs (monotonicMs: number): number | undefined {
    const storeMs = this.options.store.clockMs()
    return storeMs === undefined ? undefined : Math.ceil(storeMs.latest + monotonicMs - this.options.clock.now())
  }

  /** Converts a time on the store's clock to a monotonic time of this daemon, rounded up, at most the end of all leases of earlier leaders. */
  private fromStoreTimeMs (ms: number): number {
    const storeMs = this.options.store.clockMs()
    const { earlierStrayLeasesExpireAt: latest } = this
    return storeMs === undefined ? latest : Math.min(latest, this.options.clock.now() + Math.ceil(ms - storeMs.earliest))
  }
}

/**
 * Whether a successor must know of the worker. It need not know of a draining worker without runs, which gets no more
 * work, nor of an unreachable worker whose leases have expired, which is added again once it is reachable.
 */
function mayHaveRuns (link: WorkerLink): boolean {
  if (link.isDead) return link.runs.size > 0
  const isDrained = link.entry.state === 'draining' && link.isAdopted && link.runs.size === 0
  return !isDrained && !link.haveLeasesExpired()
}
