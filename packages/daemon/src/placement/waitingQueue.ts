import type { JobKind } from '@citronnotch/protocol'
import type { Domain, Occupied } from './ledger.js'
import type { PlacerTask } from './types.js'
import type { Vector } from './vector.js'
import { demandOf, zero } from './vector.js'

/** `blocked`: no worker has room. `quota`: the team's quota is used up. */
export type WaitingState = 'ready' | 'blocked' | 'quota' | 'empty'

/** Demand and constraints shared by groups of all teams; if one task finds no place, none does. */
export interface Shape {
  readonly key: string
  readonly demand: Readonly<Vector>
  readonly regions: readonly string[]
  readonly failureDomains: readonly string[]
  /** Groups for which no worker has room. */
  readonly blocked: Set<WaitingGroup>
  groups: number
  /** Allowed domains, as of `domainsVersion` of the ledger. */
  domains: readonly Domain[]
  domainsVersion: number
  /** `growth` of the ledger when no worker had room. */
  failedAtGrowth: number
}

/** Waiting tasks of one team that are alike for placement. */
export interface WaitingGroup {
  readonly key: string
  readonly shape: Shape
  readonly team: Team
  readonly kind: JobKind
  readonly urgent: boolean
  readonly demand: Readonly<Vector>
  /** Upper bound of the declared run time of the group's tasks. */
  readonly runMs: number
  /** In order of arrival. */
  readonly tasks: Map<string, PlacerTask>
  state: WaitingState
  /** Position in the heap of ready groups, -1 when it is not there. */
  heapIndex: number
  /** Order among ready groups. */
  since: number
  /** Places that must become free before a blocked gang job is tried again. */
  missingPlaces: number
  /** No preemption is tried for this group before this time. */
  preemptAfter: number
}

/** A team's waiting groups and what it uses. */
export interface Team {
  readonly name: string
  share: number
  quota: Readonly<Vector> | undefined
  readonly used: Vector
  /** Demand of tasks for which others are being preempted. */
  readonly claimed: Vector
  /** Part of `used` that preempted tasks will free. */
  readonly releasing: Vector
  /** `used` as a dominant share divided by `share`; the team with the lowest is next. */
  weighted: number
  readonly ready: GroupHeap
  readonly readyUrgent: GroupHeap
  readonly blocked: Set<WaitingGroup>
  readonly quotaBlocked: Set<WaitingGroup>
  /** Running tasks that may be preempted; those that can be checkpointed lose little. */
  readonly checkpointable: RecentList
  readonly restartable: RecentList
  /** Time since which the team has been below its share while work waits, or undefined. */
  belowShareSince: number | undefined
  waitingTasks: number
}

export function createTeam (name: string): Team {
  return {
    name,
    share: 1,
    quota: undefined,
    used: zero(),
    claimed: zero(),
    releasing: zero(),
    weighted: 0,
    ready: GroupHeap.create(),
    readyUrgent: GroupHeap.create(),
    blocked: new Set(),
    quotaBlocked: new Set(),
    checkpointable: RecentList.create(),
    restartable: RecentList.create(),
    belowShareSince: undefined,
    waitingTasks: 0
  }
}

export function createShape (key: string, { resources, regions, failureDomains }: PlacerTask): Shape {
  return {
    key,
    demand: demandOf(resources),
    regions,
    failureDomains,
    blocked: new Set(),
    groups: 0,
    domains: [],
    domainsVersion: -1,
    failedAtGrowth: -1
  }
}

export function createGroup (key: string, team: Team, shape: Shape, task: PlacerTask): WaitingGroup {
  return {
    key,
    shape,
    team,
    kind: task.kind,
    urgent: task.urgent,
    demand: shape.demand,
    runMs: 2 ** runBucket(task) * 1000,
    tasks: new Map(),
    state: 'empty',
    heapIndex: -1,
    since: task.waitingSince,
    missingPlaces: 0,
    preemptAfter: 0
  }
}

export function shapeKey ({ resources, regions, failureDomains }: PlacerTask): string {
  return `${resources.cores}|${resources.memoryMb}|${resources.accelerators}|${regions.join()}|${failureDomains.join()}`
}

/** Key of the group of a task. Batch tasks of different jobs share a group; others are placed job by job. */
export function groupKey (task: PlacerTask, shape: string): string {
  const job = task.kind === 'batch' ? '' : task.jobId
  return `${task.team}|${task.kind}|${job}|${task.urgent ? 1 : 0}|${runBucket(task)}|${shape}`
}

export function headOf (group: WaitingGroup): PlacerTask | undefined {
  return group.tasks.values().next().value
}

/** Occupied tasks, latest first. */
export class RecentList {
  latest: Occupied | undefined

  private constructor () {}

  static create (): RecentList {
    return new RecentList()
  }

  add (occupied: Occupied): void {
    occupied.older = this.latest
    if (this.latest !== undefined) this.latest.newer = occupied
    this.latest = occupied
  }

  remove (occupied: Occupied): void {
    if (occupied.older !== undefined) occupied.older.newer = occupied.newer
    if (occupied.newer !== undefined) occupied.newer.older = occupied.older
    if (this.latest === occupied) this.latest = occupied.older
    occupied.older = undefined
    occupied.newer = undefined
  }
}

/** Ready groups, longest waiting first. */
export class GroupHeap {
  private readonly items: WaitingGroup[] = []

  private constructor () {}

  static create (): GroupHeap {
    return new GroupHeap()
  }

  get size (): number {
    return this.items.length
  }

  peek (): WaitingGroup | undefined {
    return this.items[0]
  }

  push (group: WaitingGroup): void {
    this.items.push(group)
    group.heapIndex = this.items.length - 1
    this.up(group.heapIndex)
  }

  remove (group: WaitingGroup): void {
    const index = group.heapIndex
    if (index < 0) return
    group.heapIndex = -1
    const last = this.items.pop()!
    if (last === group) return
    this.items[index] = last
    last.heapIndex = index
    this.up(index)
    this.down(last.heapIndex)
  }

  /** Restores the order after `since` of the group grew. */
  update (group: WaitingGroup): void {
    if (group.heapIndex < 0) return
    this.up(group.heapIndex)
    this.down(group.heapIndex)
  }

  private up (index: number) {
    const { items } = this
    const item = items[index]!
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (items[parent]!.since <= item.since) break
      items[index] = items[parent]!
      items[index]!.heapIndex = index
      index = parent
    }
    items[index] = item
    item.heapIndex = index
  }

  private down (index: number) {
    const { items } = this
    const item = items[index]!
    for (;;) {
      let child = index * 2 + 1
      if (child >= items.length) break
      if (child + 1 < items.length && items[child + 1]!.since < items[child]!.since) child++
      if (items[child]!.since >= item.since) break
      items[index] = items[child]!
      items[index]!.heapIndex = index
      index = child
    }
    items[index] = item
    item.heapIndex = index
  }
}

/** Declared run times in doublings of a second, so that similar tasks share a group. */
function runBucket (task: PlacerTask): number {
  return Math.max(0, Math.ceil(Math.log2(Math.max(1, task.runSeconds))))
}
