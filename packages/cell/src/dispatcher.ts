import type { Clock } from '@citronnotch/base/clock'
import type { AdviceBook } from './advice.js'
import type { Job, Run, Step, Task } from './jobs.js'
import { latenessOf } from './lateness.js'
import type { Lateness } from './lateness.js'
import { fits, subtract, timesThatFit } from './resources.js'
import type { Queue, ResourceVector } from './types.js'
import type { WorkerLink } from './workerLink.js'

export interface DispatcherOptions {
  readonly epoch: number
  readonly workers: () => Iterable<WorkerLink>
  readonly queue: (name: string) => Queue | undefined
  readonly advice: AdviceBook
  /** Whether a worker may get new work now. */
  readonly isUsable: (worker: WorkerLink) => boolean
  /** Whether a recent failure makes other workers preferable. */
  readonly isDoubtful: (worker: WorkerLink) => boolean
  /** Asks for the payload of a job that is not known here yet. */
  readonly needPayload: (job: Job) => void
  readonly clock: Clock
  /** Tells of the runs of one step that were started together. */
  readonly onStart: (step: Step, runs: readonly Run[]) => void
}

/** A step with tasks to start, and how urgent it is. */
interface Candidate {
  readonly step: Step
  readonly queue: Queue
  readonly waiting: readonly Task[]
  readonly lateness: Lateness
}

/** Gangs that keep room free at the same time; more would leave too little for other work. */
const MAX_RESERVING_GANGS = 2
/** Outweighs any amount of free processor time in the choice of a worker. */
const PENALTY = 1e9
/** Distance between the first workers named in two calls. */
const TURN_STEP = 7

type FreeRoom = Map<WorkerLink, ResourceVector>

/** Where something can be started in one pass. */
interface Room {
  readonly free: FreeRoom
  readonly byId: ReadonlyMap<string, WorkerLink>
  /** Workers kept for a gang, with the priority of its queue. */
  readonly reservedFor: Map<WorkerLink, number>
}

/** Decides which waiting tasks start where. */
export class Dispatcher {
  private turn = 0

  private constructor (private readonly options: DispatcherOptions) {}

  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  /** Starts what fits, the most urgent first. */
  pass (jobs: Iterable<Job>): void {
    const candidates = this.candidates(jobs)
    const free: FreeRoom = new Map()
    for (const worker of this.options.workers()) {
      if (worker.canStart() && this.options.isUsable(worker)) free.set(worker, worker.free())
    }
    const room: Room = { free, byId: new Map([...free.keys()].map(worker => [worker.id, worker])), reservedFor: new Map() }
    let reserving = 0
    for (const candidate of candidates) {
      const { spec, job } = candidate.step
      if (job.payload === undefined) {
        this.options.needPayload(job)
        continue
      }
      const isPlaced = spec.gang ? this.placeGang(candidate, room) : this.placeTasks(candidate, room)
      if (isPlaced || !spec.gang || candidate.lateness > 0 || reserving >= MAX_RESERVING_GANGS) continue
      this.reserve(candidate, room)
      reserving++
    }
  }

  private candidates (jobs: Iterable<Job>): readonly Candidate[] {
    const { clock, queue: queueOf } = this.options
    const unixMs = clock.date().getTime()
    const now = clock.now()
    const found: Candidate[] = []
    for (const job of jobs) {
      if (job.outcome !== undefined) continue
      const queue = queueOf(job.record.queue)
      if (queue === undefined) continue
      for (const step of job.liveSteps()) {
        if (step.notBefore > now || !step.isReady()) continue
        const waiting = step.tasks.filter(task => task.isWaiting())
        if (waiting.length === 0) continue
        if (step.spec.gang && step.tasks.some(task => task.runs.length > 0)) continue
        found.push({ step, queue, waiting, lateness: latenessOf(job, queue, unixMs) })
      }
    }
    return found.sort((a, b) =>
      a.lateness - b.lateness || a.queue.priority - b.queue.priority || a.step.job.record.admittedAtMs - b.step.job.record.admittedAtMs)
  }

  private isEligible ({ step, queue }: Candidate, worker: WorkerLink, { reservedFor }: Room): boolean {
    const { requiredLabel } = step.spec
    return worker.entry.service === queue.service &&
      (requiredLabel === '' || worker.entry.labels.includes(requiredLabel)) &&
      fits(step.room, worker.entry.capacity) &&
      (reservedFor.get(worker) ?? Infinity) >= queue.priority
  }

  private eligible (candidate: Candidate, room: Room): readonly WorkerLink[] {
    return [...room.free.keys()].filter(worker => this.isEligible(candidate, worker, room))
  }

  /**
   * Workers that the placement policy allows now. Asks about more when they have too little room and the workers
   * that could be allowed have enough: a ticket that can't be used in time only costs the service's time.
   */
  private allowed (candidate: Candidate, room: Room): readonly WorkerLink[] {
    const { advice } = this.options
    const { step, queue, waiting } = candidate
    if (queue.advice === undefined) return this.eligible(candidate, room)
    const { gang } = step.spec
    const roomOn = (worker: WorkerLink) => Math.min(timesThatFit(step.room, room.free.get(worker) ?? worker.free()), placesLeft(step, worker))
    const sum = (workers: readonly WorkerLink[]) => workers.reduce((total, worker) => total + roomOn(worker), 0)
    const ticketed = advice.ticketed(step, room.byId).filter(worker => this.isEligible(candidate, worker, room))
    if (advice.isPending(step) || !advice.hasFreeAgent() || sum(ticketed) >= waiting.length) return ticketed
    const open = this.eligible(candidate, room).filter(worker => !advice.isRefused(step, worker))
    const usable = open.filter(worker => roomOn(worker) > 0)
    const isNew = usable.some(worker => advice.ticket(step, worker) === undefined)
    if (!isNew || sum(usable) < (gang ? waiting.length : 1)) return ticketed
    const known = usable.filter(worker => advice.isApproved(step, worker))
    const isKnownEnough = sum(known) >= (gang ? waiting.length : 1)
    advice.request(step, queue.advice, isKnownEnough ? known : this.inTurn(usable, open))
    return ticketed
  }

  /** Workers with room first, beginning with others each time; the call names as many as it may. */
  private inTurn (usable: readonly WorkerLink[], open: readonly WorkerLink[]): readonly WorkerLink[] {
    const first = this.turn++ * TURN_STEP % usable.length
    return [...new Set([...usable.slice(first), ...usable.slice(0, first), ...open])]
  }

  /** Returns whether all waiting tasks were placed. */
  private placeTasks (candidate: Candidate, room: Room): boolean {
    const { step, waiting } = candidate
    const workers = this.allowed(candidate, room)
    const started: Run[] = []
    for (const task of waiting) {
      const worker = this.best(step, workers, room.free, task.failedOn)
      if (worker === undefined) break
      started.push(this.start(candidate, task, step.nextRun(this.options.epoch), worker, room.free, task.lastRun))
    }
    if (started.length > 0) this.options.onStart(step, started)
    return started.length === waiting.length
  }

  private placeGang (candidate: Candidate, room: Room): boolean {
    const { step } = candidate
    const { free } = room
    const workers = this.allowed(candidate, room)
    if (workers.length === 0) return false
    const places = step.spec.rackLocal
      ? this.planOnOneRack(step, workers, free) ?? this.plan(step, workers, free)
      : this.plan(step, workers, free)
    if (places === undefined) return false
    const run = step.nextRun(this.options.epoch)
    this.options.onStart(step, places.flatMap((worker, index) => {
      const task = step.tasks[index]
      return task === undefined ? [] : this.start(candidate, task, run, worker, free)
    }))
    return true
  }

  private planOnOneRack (step: Step, workers: readonly WorkerLink[], free: FreeRoom): readonly WorkerLink[] | undefined {
    const racks = new Set(workers.map(rackOf))
    for (const rack of racks) {
      const places = this.plan(step, workers.filter(worker => rackOf(worker) === rack), free)
      if (places !== undefined) return places
    }
    return undefined
  }

  /** A worker for each member, or undefined when not all fit. */
  private plan (step: Step, workers: readonly WorkerLink[], free: FreeRoom): readonly WorkerLink[] | undefined {
    const room: FreeRoom = new Map(workers.map(worker => [worker, free.get(worker) ?? worker.free()]))
    const counts = new Map<WorkerLink, number>()
    const places: WorkerLink[] = []
    for (let member = 0; member < step.tasks.length; member++) {
      const worker = this.best(step, workers, room, step.avoided, counts)
      if (worker === undefined) return undefined
      room.set(worker, subtract(room.get(worker) ?? worker.free(), step.room))
      counts.set(worker, (counts.get(worker) ?? 0) + 1)
      places.push(worker)
    }
    return places
  }

  /** The worker with the least room left that fits, near the data if possible. */
  private best (step: Step, workers: readonly WorkerLink[], free: FreeRoom, failedOn: ReadonlySet<string>, planned?: ReadonlyMap<WorkerLink, number>): WorkerLink | undefined {
    const { affinityRack, usesIdleCapacity } = step.spec
    const { room: need } = step
    // A failed run costs one of few attempts: a task waits for another worker, if there is one.
    const mayRepeat = failedOn.size > 0 && workers.every(worker => failedOn.has(worker.id))
    let best: WorkerLink | undefined
    let bestScore = Infinity
    for (const worker of workers) {
      const room = free.get(worker)
      if (room === undefined || !fits(need, room) || (failedOn.has(worker.id) && !mayRepeat)) continue
      if (placesLeft(step, worker) <= (planned?.get(worker) ?? 0)) continue
      if (usesIdleCapacity && (room.milliCores <= 0 || hosts(worker, other => other.isServing()))) continue
      const isFar = affinityRack !== '' && !worker.entry.labels.includes(affinityRack)
      const isShared = step.isServing() && hosts(worker, other => other.spec.usesIdleCapacity)
      const penalty = (step.avoided.has(worker.id) || this.options.isDoubtful(worker) ? 2 : 0) + (isFar ? 1 : 0) + (isShared ? 1 : 0)
      // Tasks on idle capacity go where the most is left.
      const score = penalty * PENALTY + (usesIdleCapacity ? -room.milliCores : room.milliCores - need.milliCores)
      if (score < bestScore) {
        best = worker
        bestScore = score
      }
    }
    return best
  }

  private start ({ step, queue }: Candidate, task: Task, run: number, worker: WorkerLink, free: FreeRoom, lastRun = 0): Run {
    const { advice } = this.options
    const ticket = queue.advice === undefined ? '' : advice.ticket(step, worker) ?? ''
    step.job.hasStarted = true
    // Tasks on idle capacity disturb those with a latency target; they resume elsewhere.
    if (step.isServing()) for (const other of [...worker.runs.values()]) if (other.task?.step.spec.usesIdleCapacity === true) worker.stop(other)
    const started = worker.start(task, Math.max(run, lastRun + 1), step.job.payload ?? '', ticket)
    free.set(worker, worker.free())
    return started
  }

  /** Keeps the workers with the most room for a gang that doesn't fit yet. */
  private reserve (candidate: Candidate, room: Room) {
    const { advice } = this.options
    const { step, queue } = candidate
    const { reservedFor } = room
    const usable = this.eligible(candidate, room).filter(worker => !reservedFor.has(worker) && !advice.isRefused(step, worker))
    const byRoom = [...usable].sort((a, b) => b.free().milliCores - a.free().milliCores)
    let places = 0
    for (const worker of byRoom) {
      if (places >= step.tasks.length) return
      places += timesThatFit(step.room, worker.entry.capacity)
      reservedFor.set(worker, queue.priority)
    }
  }
}

/** Tasks of the step that its limit for one worker still allows there. */
function placesLeft (step: Step, worker: WorkerLink): number {
  const { maxPerWorker } = step.spec
  if (maxPerWorker === 0) return Infinity
  let count = 0
  for (const { task } of worker.runs.values()) if (task?.step === step) count++
  return maxPerWorker - count
}

function hosts (worker: WorkerLink, matches: (step: Step) => boolean): boolean {
  for (const { task } of worker.runs.values()) if (task !== undefined && matches(task.step)) return true
  return false
}

function rackOf (worker: WorkerLink): string {
  return worker.entry.labels.slice(1).join('/')
}
