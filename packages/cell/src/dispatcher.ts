import type { Clock } from '@citronnotch/daemon/clock'
import type { AdviceBook } from './advice.js'
import type { Job, Run, Step, Task } from './jobs.js'
import { fits, subtract, timesThatFit } from './resources.js'
import type { Queue, ResourceVector } from './types.js'
import type { WorkerLink } from './workerLink.js'

export interface DispatcherOptions {
  readonly epoch: number
  readonly workers: () => Iterable<WorkerLink>
  readonly queue: (name: string) => Queue | undefined
  readonly advice: AdviceBook
  /** Whether a worker's recent failures keep it from new work. */
  readonly isSuspended: (worker: WorkerLink) => boolean
  readonly clock: Clock
  readonly onStart: (run: Run) => void
}

/** A step with tasks to start, and how urgent it is. */
interface Candidate {
  readonly step: Step
  readonly queue: Queue
  readonly waiting: readonly Task[]
  /** 0 while the job's objective can be met, 1 while it counts as late, 2 after that. */
  readonly lateness: number
}

/** Gangs that keep room free at the same time; more would leave too little for other work. */
const MAX_RESERVING_GANGS = 2
/** Outweighs any amount of free processor time in the choice of a worker. */
const PENALTY = 1e9
/** A late job counts until this multiple of its objective. */
const LATE_MULTIPLE = 3

type FreeRoom = Map<WorkerLink, ResourceVector>

/** Decides which waiting tasks start where. */
export class Dispatcher {
  private constructor (private readonly options: DispatcherOptions) {}

  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  /** Starts what fits, the most urgent first. */
  pass (jobs: Iterable<Job>): void {
    const candidates = this.candidates(jobs)
    const free: FreeRoom = new Map()
    for (const worker of this.options.workers()) {
      if (worker.canStart() && !this.options.isSuspended(worker)) free.set(worker, worker.free())
    }
    const reservedFor = new Map<WorkerLink, number>()
    let reserving = 0
    for (const candidate of candidates) {
      const workers = this.eligible(candidate, free, reservedFor)
      if (candidate.step.spec.gang) {
        if (this.placeGang(candidate, workers, free)) continue
        if (candidate.lateness === 0 && reserving < MAX_RESERVING_GANGS) {
          this.reserve(candidate, workers, reservedFor)
          reserving++
        }
      } else this.placeTasks(candidate, workers, free)
    }
  }

  private candidates (jobs: Iterable<Job>): readonly Candidate[] {
    const { clock, queue: queueOf } = this.options
    const unixMs = clock.date().getTime()
    const now = clock.now()
    const found: Candidate[] = []
    for (const job of jobs) {
      if (job.outcome !== undefined || job.isCancelled) continue
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

  private eligible ({ step, queue }: Candidate, free: FreeRoom, reservedFor: ReadonlyMap<WorkerLink, number>): readonly WorkerLink[] {
    const { requiredLabel, need } = step.spec
    return [...free.keys()].filter(worker =>
      worker.entry.service === queue.service &&
      (requiredLabel === '' || worker.entry.labels.includes(requiredLabel)) &&
      fits(need, worker.entry.capacity) &&
      (reservedFor.get(worker) ?? Infinity) > queue.priority - 1)
  }

  /**
   * Workers that the placement policy allows now. Asks about more when they have too little room and the workers
   * that could be allowed have enough: a ticket that can't be used in time only costs the service's time.
   */
  private allowed (candidate: Candidate, workers: readonly WorkerLink[], free: FreeRoom): readonly WorkerLink[] {
    const { advice } = this.options
    const { step, queue, waiting } = candidate
    if (queue.advice === undefined) return workers
    const roomOn = (some: readonly WorkerLink[]) =>
      some.reduce((sum, worker) => sum + timesThatFit(step.spec.need, free.get(worker) ?? worker.free()), 0)
    const wanted = step.spec.gang ? waiting.length : 1
    const ticketed = workers.filter(worker => advice.ticket(step, worker) !== undefined)
    if (advice.isPending(step) || roomOn(ticketed) >= waiting.length) return ticketed
    const open = workers.filter(worker => !advice.isRefused(step, worker))
    const usable = open.filter(worker => fits(step.spec.need, free.get(worker) ?? worker.free()))
    const unticketed = usable.filter(worker => advice.ticket(step, worker) === undefined)
    if (unticketed.length > 0 && roomOn(usable) >= wanted) advice.request(step, queue.advice, advice.isAsked(step) ? usable : open)
    return ticketed
  }

  private placeTasks (candidate: Candidate, eligible: readonly WorkerLink[], free: FreeRoom) {
    const workers = this.allowed(candidate, eligible, free)
    const { step, waiting } = candidate
    for (const task of waiting) {
      const worker = this.best(step, workers, free)
      if (worker === undefined) return
      this.start(candidate, task, step.nextRun(this.options.epoch), worker, free, task.lastRun)
    }
  }

  private placeGang (candidate: Candidate, eligible: readonly WorkerLink[], free: FreeRoom): boolean {
    const { step } = candidate
    const workers = this.allowed(candidate, eligible, free)
    if (workers.length === 0) return false
    const places = step.spec.rackLocal
      ? this.planOnOneRack(step, workers, free) ?? this.plan(step, workers, free)
      : this.plan(step, workers, free)
    if (places === undefined) return false
    const run = step.nextRun(this.options.epoch)
    step.tasks.forEach((task, index) => {
      const worker = places[index]
      if (worker !== undefined) this.start(candidate, task, run, worker, free)
    })
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
      const worker = this.best(step, workers, room, counts)
      if (worker === undefined) return undefined
      room.set(worker, subtract(room.get(worker) ?? worker.free(), step.spec.need))
      counts.set(worker, (counts.get(worker) ?? 0) + 1)
      places.push(worker)
    }
    return places
  }

  /** The worker with the least room left that fits, near the data if possible. */
  private best (step: Step, workers: readonly WorkerLink[], free: FreeRoom, planned?: ReadonlyMap<WorkerLink, number>): WorkerLink | undefined {
    const { need, affinityRack, maxPerWorker } = step.spec
    let best: WorkerLink | undefined
    let bestScore = Infinity
    for (const worker of workers) {
      const room = free.get(worker)
      if (room === undefined || !fits(need, room)) continue
      if (maxPerWorker > 0 && countOn(step, worker) + (planned?.get(worker) ?? 0) >= maxPerWorker) continue
      const isFar = affinityRack !== '' && !worker.entry.labels.includes(affinityRack)
      const penalty = (step.avoided.has(worker.id) ? 2 : 0) + (isFar ? 1 : 0)
      const score = penalty * PENALTY + room.milliCores - need.milliCores
      if (score < bestScore) {
        best = worker
        bestScore = score
      }
    }
    return best
  }

  private start ({ step, queue }: Candidate, task: Task, run: number, worker: WorkerLink, free: FreeRoom, lastRun = 0) {
    const { advice, onStart } = this.options
    const ticket = queue.advice === undefined ? '' : advice.ticket(step, worker) ?? ''
    step.job.hasStarted = true
    const started = worker.start(task, Math.max(run, lastRun + 1), step.job.record.spec.payload, ticket)
    free.set(worker, worker.free())
    onStart(started)
  }

  /** Keeps the workers with the most room for a gang that doesn't fit yet. */
  private reserve ({ step, queue }: Candidate, eligible: readonly WorkerLink[], reservedFor: Map<WorkerLink, number>) {
    const { advice } = this.options
    const usable = eligible.filter(worker => !reservedFor.has(worker) && !advice.isRefused(step, worker))
    const byRoom = usable.sort((a, b) => b.free().milliCores - a.free().milliCores)
    let places = 0
    for (const worker of byRoom) {
      if (places >= step.tasks.length) return
      places += timesThatFit(step.spec.need, worker.entry.capacity)
      reservedFor.set(worker, queue.priority)
    }
  }
}

function latenessOf (job: Job, queue: Queue, unixMs: number): number {
  const { schedule, steps } = job.record.spec
  if (schedule !== undefined) return 0
  const chainMs = longestChain(steps.map(({ estimateMs, after }) => ({ estimateMs, after })))
  const objectiveMs = queue.targetLatencyMs + queue.slackFactor * chainMs
  const ageMs = unixMs - job.record.admittedAtMs
  if (ageMs <= objectiveMs) return 0
  return ageMs <= LATE_MULTIPLE * objectiveMs ? 1 : 2
}

function longestChain (steps: ReadonlyArray<{ readonly estimateMs: number, readonly after: readonly number[] }>): number {
  const ends: number[] = []
  steps.forEach(({ estimateMs, after }, index) => {
    ends[index] = estimateMs + Math.max(0, ...after.filter(each => each < index).map(each => ends[each] ?? 0))
  })
  return Math.max(0, ...ends)
}

function countOn (step: Step, worker: WorkerLink): number {
  let count = 0
  for (const task of step.tasks) for (const run of task.runs) if (run.worker === worker) count++
  return count
}

function rackOf (worker: WorkerLink): string {
  return worker.entry.labels.slice(1).join('/')
}
