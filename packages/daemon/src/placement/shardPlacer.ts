import type { Resources, Usage } from '../workers/index.js'
import type { Occupied, WorkerEntry } from './ledger.js'
import { Ledger, unused } from './ledger.js'
import type { ResolvedPlacerOptions } from './options.js'
import { resolvePlacerOptions } from './options.js'
import type { JobSpread } from './policies.js'
import { POLICIES, countSpread } from './policies.js'
import { planPreemption } from './preemption.js'
import { Suspensions } from './suspension.js'
import type { PlacementDecision, PlacementSummary, Placer, PlacerOptions, PlacerTask, PlacerWorker } from './types.js'
import type { Vector } from './vector.js'
import { add, capacityOf, demandOf, dominantShare, fits, timesThatFit, toResources, zero } from './vector.js'
import type { Shape, Team, WaitingGroup } from './waitingQueue.js'
import { createGroup, createShape, createTeam, groupKey, headOf, shapeKey } from './waitingQueue.js'

/** A worker on which others were preempted to make room for a waiting task. */
interface Claim {
  readonly task: PlacerTask
  readonly group: WaitingGroup
  readonly worker: WorkerEntry
}

/** Tasks of a service or gang job that are occupied. */
interface JobTasks extends JobSpread { count: number }

/** Preemptions planned in one call of `decide`; bounds its time. */
const MAX_PLANS = 8
/** Time after which a preemption that found no victims is tried again. */
const PREEMPT_RETRY_MS = 1_000
/** A team this far below its share gets it back by preemption; closer, the next releases suffice. */
const RETURN_BELOW = 0.96

/** Placement policy of one shard. */
export class ShardPlacer implements Placer {
  private options: ResolvedPlacerOptions
  private readonly ledger = Ledger.create()
  private readonly suspensions = Suspensions.create()
  private readonly teams = new Map<string, Team>()
  private readonly groups = new Map<string, WaitingGroup>()
  private readonly shapes = new Map<string, Shape>()
  private readonly blockedShapes = new Set<Shape>()
  private readonly groupOfTask = new Map<string, WaitingGroup>()
  private readonly jobs = new Map<string, JobTasks>()
  private readonly claims = new Map<string, Claim>()
  private readonly suspendedEntries = new Set<WorkerEntry>()
  private turn = 0
  private workersVersion = 0
  private workersUnchangedSince = 0
  private workersSettled = false

  private constructor (options: PlacerOptions) {
    this.options = resolvePlacerOptions(options)
  }

  static create (options: PlacerOptions = {}): ShardPlacer {
    return new ShardPlacer(options)
  }

  configure (options: PlacerOptions): void {
    this.options = resolvePlacerOptions(options)
    for (const team of this.teams.values()) {
      this.configureTeam(team)
      this.wakeQuotaBlocked(team)
    }
  }

  addWorker (worker: PlacerWorker): void {
    const known = this.ledger.workers.get(worker.workerId)
    if (known === undefined || samePlace(known.worker, worker)) {
      this.ledger.addWorker(worker)
      return
    }
    const occupied = [...known.tasks.values()]
    const { schedulable } = known
    for (const { task } of occupied) this.release(task.taskId)
    this.removeWorker(worker.workerId)
    this.ledger.addWorker(worker)
    for (const { task, startedAt } of occupied) this.occupy(task, worker.workerId, startedAt)
    this.setSchedulable(worker.workerId, schedulable)
  }

  removeWorker (workerId: string): void {
    const entry = this.ledger.workers.get(workerId)
    if (entry === undefined) return
    if (entry.tasks.size > 0) throw new Error(`worker ${workerId} still has ${entry.tasks.size} tasks`)
    this.dropClaimsOn(entry)
    this.ledger.removeWorker(entry)
    this.suspendedEntries.delete(entry)
    this.suspensions.forgetWorker(workerId)
  }

  setSchedulable (workerId: string, schedulable: boolean): void {
    const entry = this.ledger.workers.get(workerId)
    if (entry === undefined || entry.schedulable === schedulable) return
    entry.schedulable = schedulable
    if (!schedulable) this.dropClaimsOn(entry)
    this.ledger.refresh(entry)
  }

  enqueue (tasks: readonly PlacerTask[]): void {
    for (const task of tasks) {
      if (this.groupOfTask.has(task.taskId) || this.ledger.occupied.has(task.taskId)) continue
      const group = this.groupFor(task)
      group.tasks.set(task.taskId, task)
      group.team.waitingTasks++
      this.groupOfTask.set(task.taskId, group)
      if (group.state === 'empty') this.makeReady(group)
      else if (group.kind === 'gang') this.makeReady(group)
    }
  }

  dequeue (taskId: string): void {
    const group = this.groupOfTask.get(taskId)
    if (group === undefined) return
    this.dropClaim(taskId)
    this.removeWaiting(group, taskId)
  }

  occupy (task: PlacerTask, workerId: string, now: number): void {
    const entry = this.ledger.workers.get(workerId)
    if (entry === undefined) throw new Error(`worker ${workerId} of task ${task.taskId} is not known`)
    this.release(task.taskId)
    this.dequeue(task.taskId)
    this.take(task, demandOf(task.resources), entry, now)
  }

  release (taskId: string): void {
    const occupied = this.ledger.occupied.get(taskId)
    if (occupied === undefined) return
    const { task, worker, demand } = occupied
    const team = this.teamOf(task.team)
    this.listOf(occupied)?.remove(occupied)
    this.ledger.free(occupied)
    add(team.used, demand, -1)
    if (occupied.preemptedFor !== undefined) add(team.releasing, demand, -1)
    this.weigh(team)
    this.wakeQuotaBlocked(team)
    const job = this.jobs.get(task.jobId)
    if (job !== undefined && task.kind !== 'batch') {
      countSpread(job, worker, -1)
      if (--job.count === 0) this.jobs.delete(task.jobId)
    }
    this.suspensions.noteReleased(worker.worker.workerId, taskId)
  }

  noteStarted (workerId: string, jobId: string): void {
    this.suspensions.noteStarted(workerId, jobId)
    const entry = this.ledger.workers.get(workerId)
    if (entry === undefined || !entry.suspended) return
    this.setSuspended(entry, false)
  }

  noteFailed (workerId: string, jobId: string, now: number): void {
    if (!this.ledger.workers.has(workerId)) return
    this.suspensions.noteFailed(workerId, jobId, now, this.options)
    this.syncSuspensions(now)
  }

  noteUsage (_taskId: string, _usage: Usage): void {
    // Not used: see docs/decisions/placement.md.
  }

  decide (now: number, limit: number): readonly PlacementDecision[] {
    const decisions: PlacementDecision[] = []
    this.noteWorkers(now)
    this.syncSuspensions(now)
    this.wakeGrown()
    this.startClaimed(now, limit, decisions)
    this.placeReady(now, limit, decisions)
    this.preemptForUrgent(now, limit, decisions)
    this.returnShares(now, limit, decisions)
    return decisions
  }

  explain (taskId: string, now: number): string {
    const group = this.groupOfTask.get(taskId)
    if (group === undefined) return this.ledger.occupied.has(taskId) ? 'has a place' : 'is not known to this shard'
    const { cores, memoryMb, accelerators } = toResources(group.demand)
    const demand = `${cores} cores, ${memoryMb} MiB and ${accelerators} accelerators`
    if (this.ledger.workers.size === 0) return 'no worker of the shard is known yet'
    const never = this.reasonNever(group)
    if (never !== undefined) return never
    const claim = this.claims.get(taskId)
    if (claim !== undefined) return `waits until preempted tasks on worker ${claim.worker.worker.workerId} have stopped`
    if (this.isIncomplete(group)) return `waits until all ${headOf(group)!.gangSize} tasks of the gang job are known`
    if (group.state === 'quota' || !this.withinQuota(group)) return `the quota of team ${group.team.name} is used up`
    if (group.state === 'blocked') {
      const suspended = [...this.ledger.workers.values()].filter(entry => entry.suspended).length
      const places = group.kind === 'gang' ? `not enough workers have room for ${group.tasks.size} tasks at once, each` : 'no worker has room for a task'
      return `${places} of ${demand}${suspended > 0 ? ` (${suspended} workers are suspended)` : ''}`
    }
    return now - group.since < 1_000 ? 'is about to be placed' : 'other work is placed first: it is urgent, its team is further below its share, or it has waited longer'
  }

  summary (): PlacementSummary {
    const free = zero()
    let largest: Readonly<Vector> = zero()
    for (const entry of this.ledger.workers.values()) {
      const { available } = entry
      if (!this.ledger.isOpen(entry) || available.cores <= 0 || available.memory <= 0) continue
      add(free, { ...available, accelerators: Math.max(0, available.accelerators) })
      if (available.cores > largest.cores || (available.cores === largest.cores && available.memory > largest.memory)) largest = available
    }
    return {
      free: toResources(free),
      largestFree: toResources({ ...largest, accelerators: Math.max(0, largest.accelerators) }),
      waitingTasks: this.groupOfTask.size,
      occupiedTasks: this.ledger.occupied.size
    }
  }

  used (workerId: string): Resources {
    return toResources(this.ledger.workers.get(workerId)?.used ?? zero())
  }

  isSuspended (workerId: string, now: number): boolean {
    return this.suspensions.isSuspended(workerId, now)
  }

  /** Places ready groups: urgent ones first, then the team furthest below its share. */
  private placeReady (now: number, limit: number, decisions: PlacementDecision[]) {
    while (decisions.length < limit) {
      const group = this.nextGroup()
      if (group === undefined) return
      const { shape } = group
      if (this.isIncomplete(group)) {
        this.block(group)
        continue
      }
      if (!this.withinQuota(group)) {
        this.setState(group, 'quota')
        continue
      }
      const places = shape.failedAtGrowth === this.ledger.growth ? [] : this.findPlaces(group, now)
      if (places.length > 0) {
        decisions.push(this.start(group, places))
        continue
      }
      this.block(group)
      this.park(group, now, limit, decisions)
    }
  }

  private nextGroup (): WaitingGroup | undefined {
    let best: Team | undefined
    let bestUrgent = false
    for (const team of this.teams.values()) {
      const urgent = team.readyUrgent.size > 0
      if (!urgent && (bestUrgent || team.ready.size === 0)) continue
      if (best === undefined || (urgent && !bestUrgent) || team.weighted < best.weighted) {
        best = team
        bestUrgent = urgent
      }
    }
    return (bestUrgent ? best?.readyUrgent : best?.ready)?.peek()
  }

  /** Takes places for the next task of the group, or for all tasks of a gang job; none if they don't all fit. */
  private findPlaces (group: WaitingGroup, now: number): readonly Occupied[] {
    const { shape, kind } = group
    this.allowedDomains(shape)
    const taken: Occupied[] = []
    const tasks = kind === 'gang' ? group.tasks.values() : [headOf(group)!]
    for (const task of tasks) {
      const entry = POLICIES[kind].choose(shape, {
        packingWeight: this.options.packingWeight,
        preferred: candidate => !this.suspensions.hasFailedOn(task.jobId, candidate.worker.workerId),
        spread: this.jobs.get(task.jobId),
        turn: this.turn++
      })
      if (entry === undefined) break
      taken.push(this.take(task, group.demand, entry, now))
    }
    if (kind !== 'gang' || taken.length === group.tasks.size) {
      if (taken.length === 0) shape.failedAtGrowth = this.ledger.growth
      return taken
    }
    group.missingPlaces = group.tasks.size - taken.length
    this.ledger.tracksGrowth = false
    for (const { task } of taken) this.release(task.taskId)
    this.ledger.tracksGrowth = true
    return []
  }

  private start (group: WaitingGroup, places: readonly Occupied[]): PlacementDecision {
    const started = places.map(({ task, worker }) => ({ taskId: task.taskId, workerId: worker.worker.workerId }))
    const { jobId } = places[0]!.task
    for (const { taskId } of started) this.dequeue(taskId)
    return group.kind === 'gang' ? { type: 'start-gang', jobId, places: started } : { type: 'start', ...started[0]! }
  }

  private park (group: WaitingGroup, now: number, limit: number, decisions: PlacementDecision[]) {
    if (!this.workersSettled) return
    const reason = this.reasonNever(group)
    if (reason === undefined) return
    for (const taskId of [...group.tasks.keys()]) {
      if (decisions.length >= limit) {
        this.makeReady(group)
        return
      }
      this.dequeue(taskId)
      decisions.push({ type: 'park', taskId, reason })
    }
  }

  /** Why the group can never run on the known workers, whatever is running there. */
  private reasonNever ({ shape, kind, demand, tasks }: WaitingGroup): string | undefined {
    if (this.ledger.workers.size === 0) return undefined
    const domains = this.allowedDomains(shape)
    let allowed = 0
    let places = 0
    for (const { domain, capacity } of this.ledger.workers.values()) {
      if (!domains.includes(domain)) continue
      allowed++
      places += timesThatFit(demand, capacity)
      if (places >= (kind === 'gang' ? tasks.size : 1)) return undefined
    }
    if (allowed === 0) {
      const wanted = [shape.regions.length > 0 ? `regions ${shape.regions.join(', ')}` : '', shape.failureDomains.length > 0 ? `failure domains ${shape.failureDomains.join(', ')}` : '']
      return `no worker of the shard is in ${wanted.filter(part => part !== '').join(' and ')}`
    }
    const { cores, memoryMb, accelerators } = toResources(demand)
    const size = `${cores} cores, ${memoryMb} MiB and ${accelerators} accelerators`
    if (places === 0) return `no worker of the shard is large enough for a task of ${size}`
    return `the shard has at most ${places} places of ${size}, the gang job needs ${tasks.size}`
  }

  /** Starts tasks whose claimed room has become free. */
  private startClaimed (now: number, limit: number, decisions: PlacementDecision[]) {
    for (const { task, group, worker } of this.claims.values()) {
      if (decisions.length >= limit) return
      if (!fits(group.demand, unused(worker)) || !this.withinQuota(group, 0)) continue
      this.dropClaim(task.taskId)
      const occupied = this.take(task, group.demand, worker, now)
      decisions.push(this.start(group, [occupied]))
    }
  }

  private preemptForUrgent (now: number, limit: number, decisions: PlacementDecision[]) {
    let plans = 0
    for (const team of this.teams.values()) {
      for (const group of team.blocked) {
        if (!group.urgent || group.kind === 'gang' || now < group.preemptAfter) continue
        for (const task of group.tasks.values()) {
          if (plans >= MAX_PLANS || decisions.length >= limit) return
          if (this.claims.has(task.taskId)) continue
          if (!this.withinQuota(group)) break
          plans++
          if (!this.preempt(task, group, this.teams.values(), () => true, now, decisions)) break
        }
      }
    }
  }

  /** Preempts batch tasks of teams above their share for work of teams that have been below it for too long. */
  private returnShares (now: number, limit: number, decisions: PlacementDecision[]) {
    let active = 0
    for (const team of this.teams.values()) if (team.waitingTasks > 0 || team.weighted > 0) active += team.share
    const due = 1 / active
    let plans = 0
    const donors: Team[] = []
    for (const team of this.teams.values()) if (team.weighted > due) donors.push(team)
    const mayStop = ({ task, demand }: Occupied) => {
      const team = this.teamOf(task.team)
      const after = zero()
      add(after, team.used)
      add(after, team.releasing, -1)
      add(after, demand, -1)
      return dominantShare(after, this.ledger.total) / team.share >= due
    }
    for (const team of this.teams.values()) {
      const below = team.waitingTasks > 0 && this.weightedWithClaims(team) < due * RETURN_BELOW
      if (!below) {
        team.belowShareSince = undefined
        continue
      }
      team.belowShareSince ??= now
      if (now - team.belowShareSince < this.options.returnShareAfterMs) continue
      for (const group of team.blocked) {
        if (group.kind === 'gang' || now < group.preemptAfter || now - group.since < this.options.returnShareAfterMs) continue
        for (const task of group.tasks.values()) {
          if (plans >= MAX_PLANS || decisions.length >= limit) return
          if (this.claims.has(task.taskId)) continue
          if (!this.withinQuota(group) || this.weightedWithClaims(team, group.demand) > due) break
          plans++
          if (!this.preempt(task, group, donors, mayStop, now, decisions)) break
        }
      }
    }
  }

  private preempt (task: PlacerTask, group: WaitingGroup, donors: Iterable<Team>, mayStop: (occupied: Occupied) => boolean, now: number, decisions: PlacementDecision[]): boolean {
    this.allowedDomains(group.shape)
    const plan = planPreemption(group.shape, this.ledger, donors, mayStop, now)
    if (plan === undefined) {
      group.preemptAfter = now + PREEMPT_RETRY_MS
      return false
    }
    for (const victim of plan.victims) {
      this.listOf(victim)!.remove(victim)
      this.ledger.markPreempted(victim, task.taskId)
      add(this.teamOf(victim.task.team).releasing, victim.demand)
      decisions.push({ type: 'preempt', taskId: victim.task.taskId, workerId: plan.worker.worker.workerId, forTaskId: task.taskId })
    }
    this.claims.set(task.taskId, { task, group, worker: plan.worker })
    add(plan.worker.claimed, group.demand)
    add(group.team.claimed, group.demand)
    this.ledger.refresh(plan.worker)
    return true
  }

  private dropClaim (taskId: string) {
    const claim = this.claims.get(taskId)
    if (claim === undefined) return
    this.claims.delete(taskId)
    add(claim.worker.claimed, claim.group.demand, -1)
    add(claim.group.team.claimed, claim.group.demand, -1)
    this.ledger.refresh(claim.worker)
  }

  private dropClaimsOn (entry: WorkerEntry) {
    for (const { task, worker } of this.claims.values()) if (worker === entry) this.dropClaim(task.taskId)
  }

  private take (task: PlacerTask, demand: Readonly<Vector>, entry: WorkerEntry, now: number): Occupied {
    const occupied = this.ledger.take(task, demand, entry, now)
    const team = this.teamOf(task.team)
    add(team.used, demand)
    this.weigh(team)
    this.listOf(occupied)?.add(occupied)
    if (task.kind !== 'batch') {
      let job = this.jobs.get(task.jobId)
      if (job === undefined) {
        job = { count: 0, byDomain: new Map(), byRack: new Map(), byWorker: new Map() }
        this.jobs.set(task.jobId, job)
      }
      job.count++
      countSpread(job, entry, 1)
    }
    const { workerId } = entry.worker
    this.suspensions.noteTaken(workerId, task.taskId)
    if (this.suspensions.isSuspended(workerId, now)) this.setSuspended(entry, true)
    return occupied
  }

  /** List of preemptible tasks that a task belongs to. */
  private listOf ({ task, preemptedFor }: Occupied) {
    if (task.urgent || !POLICIES[task.kind].preemptible || preemptedFor !== undefined) return undefined
    const team = this.teamOf(task.team)
    return task.checkpointable ? team.checkpointable : team.restartable
  }

  private syncSuspensions (now: number) {
    for (const entry of this.suspendedEntries) this.setSuspended(entry, this.suspensions.isSuspended(entry.worker.workerId, now))
    for (const workerId of this.suspensions.suspendedWorkers()) {
      const entry = this.ledger.workers.get(workerId)
      if (entry !== undefined) this.setSuspended(entry, this.suspensions.isSuspended(workerId, now))
    }
  }

  private setSuspended (entry: WorkerEntry, suspended: boolean) {
    if (entry.suspended === suspended) return
    entry.suspended = suspended
    if (suspended) {
      this.suspendedEntries.add(entry)
      this.dropClaimsOn(entry)
    } else {
      this.suspendedEntries.delete(entry)
    }
    this.ledger.refresh(entry)
  }

  /** Tries everything again when the workers changed, and once more when they have been unchanged for long enough to park. */
  private noteWorkers (now: number) {
    if (this.workersVersion !== this.ledger.version) {
      this.workersVersion = this.ledger.version
      this.workersUnchangedSince = now
      this.workersSettled = false
      for (const team of this.teams.values()) this.weigh(team)
      this.wakeAll()
    }
    if (this.workersSettled || now - this.workersUnchangedSince < this.options.parkAfterMs) return
    this.workersSettled = true
    this.wakeAll()
  }

  /** Tries again what was blocked for lack of room on a worker that has more room now. */
  private wakeGrown () {
    const { grown } = this.ledger
    if (grown.size === 0) return
    for (const shape of this.blockedShapes) {
      let places = 0
      for (const entry of grown) {
        if (!shape.domains.includes(entry.domain)) continue
        places += timesThatFit(shape.demand, entry.available)
      }
      if (places === 0) continue
      for (const group of shape.blocked) {
        group.missingPlaces -= places
        if (group.missingPlaces <= 0) this.makeReady(group)
      }
    }
    grown.clear()
  }

  private wakeAll () {
    for (const shape of this.blockedShapes) for (const group of shape.blocked) this.makeReady(group)
  }

  private wakeQuotaBlocked (team: Team) {
    for (const group of team.quotaBlocked) this.makeReady(group)
  }

  private block (group: WaitingGroup) {
    this.setState(group, 'blocked')
    const { shape } = group
    shape.blocked.add(group)
    this.blockedShapes.add(shape)
  }

  private makeReady (group: WaitingGroup) {
    group.missingPlaces = 0
    this.setState(group, 'ready')
  }

  private setState (group: WaitingGroup, state: WaitingGroup['state']) {
    const { team, shape } = group
    const heap = group.urgent ? team.readyUrgent : team.ready
    heap.remove(group)
    team.blocked.delete(group)
    team.quotaBlocked.delete(group)
    if (shape.blocked.delete(group) && shape.blocked.size === 0) this.blockedShapes.delete(shape)
    group.state = state
    if (state === 'ready') {
      group.since = headOf(group)!.waitingSince
      heap.push(group)
    } else if (state === 'blocked') {
      team.blocked.add(group)
    } else if (state === 'quota') {
      team.quotaBlocked.add(group)
    }
  }

  private groupFor (task: PlacerTask): WaitingGroup {
    const shapeId = shapeKey(task)
    const key = groupKey(task, shapeId)
    let group = this.groups.get(key)
    if (group !== undefined) return group
    let shape = this.shapes.get(shapeId)
    if (shape === undefined) {
      shape = createShape(shapeId, task)
      this.shapes.set(shapeId, shape)
    }
    shape.groups++
    group = createGroup(key, this.teamOf(task.team), shape, task)
    this.groups.set(key, group)
    return group
  }

  private removeWaiting (group: WaitingGroup, taskId: string) {
    group.tasks.delete(taskId)
    this.groupOfTask.delete(taskId)
    group.team.waitingTasks--
    const head = headOf(group)
    if (head !== undefined) {
      group.since = head.waitingSince
      const heap = group.urgent ? group.team.readyUrgent : group.team.ready
      heap.update(group)
      return
    }
    this.setState(group, 'empty')
    this.groups.delete(group.key)
    if (--group.shape.groups === 0) this.shapes.delete(group.shape.key)
  }

  private isIncomplete (group: WaitingGroup): boolean {
    if (group.kind !== 'gang') return false
    const head = headOf(group)!
    return group.tasks.size + (this.jobs.get(head.jobId)?.count ?? 0) < head.gangSize
  }

  private allowedDomains (shape: Shape) {
    if (shape.domainsVersion !== this.ledger.version) {
      shape.domainsVersion = this.ledger.version
      shape.domains = [...this.ledger.domains.values()].filter(({ region, failureDomain, racks }) => racks.size > 0 &&
        (shape.regions.length === 0 || shape.regions.includes(region)) &&
        (shape.failureDomains.length === 0 || shape.failureDomains.includes(failureDomain)))
    }
    return shape.domains
  }

  private withinQuota ({ team, demand, kind, tasks }: WaitingGroup, claimed = 1): boolean {
    if (team.quota === undefined) return true
    const after = zero()
    add(after, team.used)
    add(after, team.claimed, claimed)
    add(after, demand, kind === 'gang' ? tasks.size : 1)
    return fits(after, team.quota)
  }

  private weightedWithClaims (team: Team, additional: Readonly<Vector> = zero()): number {
    const used = zero()
    add(used, team.used)
    add(used, team.claimed)
    add(used, additional)
    return dominantShare(used, this.ledger.total) / team.share
  }

  private weigh (team: Team) {
    team.weighted = dominantShare(team.used, this.ledger.total) / team.share
  }

  private teamOf (name: string): Team {
    let team = this.teams.get(name)
    if (team === undefined) {
      team = createTeam(name)
      this.teams.set(name, team)
      this.configureTeam(team)
    }
    return team
  }

  private configureTeam (team: Team) {
    team.share = Math.max(Number.MIN_VALUE, this.options.teamShares[team.name] ?? 1)
    const quota = this.options.teamQuotas[team.name]
    team.quota = quota === undefined
      ? undefined
      : capacityOf({ cores: quota.cores ?? Infinity, memoryMb: quota.memoryMb ?? Infinity, accelerators: quota.accelerators ?? Infinity })
    this.weigh(team)
  }
}

function samePlace (a: PlacerWorker, b: PlacerWorker): boolean {
  return a.rack === b.rack && a.region === b.region && a.failureDomain === b.failureDomain
}
