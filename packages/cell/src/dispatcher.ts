import { NO_ACCOUNTS } from './accounts/index.js'
import type { AccountRules } from './accounts/index.js'
import { needsLongCalls } from './advice.js'
import type { AdviceCache } from './advice.js'
import { Candidates, splitByShare } from './candidates.js'
import type { Candidate, CandidatesOptions, Place } from './candidates.js'
import type { Job, Run, Step, Task } from './jobs.js'
import { dueMsOf, isOverdue } from './lateness.js'
import { KeptWorkers } from './keptWorkers.js'
import { LeaderStartWindow } from './leaderStartWindow.js'
import { NO_RESOURCES, fits, subtract, maxTasksThatFit } from './resources.js'
import { ADMISSION_ORDER } from './room/index.js'
import type { WaitingOrder } from './room/index.js'
import { RoundCapacity, isHalfEmpty } from './roundCapacity.js'
import { formatStepId } from './types.js'
import type { AdvicePolicy, JobQueue, ResourceVector } from './types.js'
import type { WaitCause } from './waitTimes.js'
import type { WorkerLink } from './workerLink.js'
import { roomObstacle, slotsWithinLimit } from './workerObstacles.js'
import type { WorkerObstacle } from './workerObstacles.js'
import { hostsStep, penaltyOf } from './workerPreference.js'
import type { WorkerRatings } from './workerPreference.js'

export interface DispatcherOptions extends Omit<CandidatesOptions, 'accounts' | 'order'>, Pick<WorkerRatings, 'isSuspect'>, Partial<Pick<WorkerRatings, 'trialPenalty'>> {
  readonly epoch: number
  /**
   * What client accounts may start, and in which order.
   * @default a cell without accounts
   */
  readonly accounts?: AccountRules
  readonly workers: () => Iterable<WorkerLink>
  readonly worker: (id: string) => WorkerLink | undefined
  readonly advice: AdviceCache
  /** @default ADMISSION_ORDER */
  readonly order?: WaitingOrder | undefined
  /** Why no new tasks may be started on a worker now, beside what the worker itself tells; undefined if they may. */
  readonly useObstacle: (worker: WorkerLink, now: number) => WorkerObstacle | undefined
  /**
   * Starts that may be under way to all workers.
   * @default a window of the default size
   */
  readonly startWindow?: LeaderStartWindow
  /** Requests the payload of a job that hasn't been loaded yet. */
  readonly requestPayload: (job: Job) => void
  /** Called with the runs of one step that were started together. */
  readonly onStart: (step: Step, runs: readonly Run[]) => void
}

/** Steps with tasks to start, summarized. */
export interface WaitingSummary {
  /** Numbers of steps by queue, and then by the lateness of their jobs. */
  readonly byQueue: Readonly<Record<string, readonly [number, number, number]>>
  /** Numbers of steps by what they wait for now; those that no round has tried yet are left out. */
  readonly byCause: Readonly<Partial<Record<WaitCause, number>>>
  /** Number of steps of jobs beyond what their accounts are owed. */
  readonly excess: number
  /** The step of the job that has been due for longest; undefined if nothing waits. */
  readonly oldest: WaitingStepReport | undefined
  /** The lasting step that has waited for longest since its last start, and why; undefined if none waits. */
  readonly lasting: WaitingLastingStepReport | undefined
}

export interface WaitingStepReport {
  readonly step: string
  /** Time since the job was due, in milliseconds. */
  readonly dueMsAgo: number
  readonly cause: WaitCause | undefined
  readonly isExcess: boolean
}

export interface WaitingLastingStepReport extends WaitingStepReport {
  /** Time since the step began to wait, in milliseconds. */
  readonly waitedMs: number
  /** Numbers of workers by what keeps a task of the step off them; `none` counts those that could take one. */
  readonly workers: Readonly<Partial<Record<WorkerObstacle | 'none', number>>>
}

/** Score of one penalty point; outweighs any amount of free processor time in the choice of a worker. */
const PENALTY_WEIGHT = 1e9
/** Maximum fraction of the workers, and minimum number, that are kept free for tasks that must run alone. */
const ALONE_FRACTION = 0.1
const MIN_ALONE_WORKERS = 1
/** Priority of a reservation for one step, such as one with tasks that must run alone: above that of every queue. */
const RESERVED_FOR_ONE = -1
/** Weight of a lasting run in the choice of a worker to keep free: it may never end. */
const LASTING_RUN_WEIGHT = 1_000
/** Factor by which the slots that tickets are requested for exceed those that a gang needs: other steps take some meanwhile. */
const TICKET_SURPLUS = 1.25
/** What keeps a task off a worker for so short a time that the worker stays kept for it. */
const PASSING_OBSTACLES: ReadonlySet<WorkerObstacle> = new Set(['starts-unconfirmed', 'refused-start', 'exclusive-run'])
/** Maximum number of workers named for a step that has one call at a time. */
const MAX_WORKERS_IN_SINGLE_CALL = 40
/** Offset between the first workers of two consecutive advice calls. */
const ROTATION_STEP = 7

/** Free capacity of a worker; undefined if no task can be started there. */
type FreeOn = (worker: WorkerLink) => ResourceVector | undefined

/** A worker that is kept free for a step. */
interface Reservation {
  readonly step: Step
  /** Priority that the queue of another step must have at least to use the worker, as a number. */
  readonly priority: number
  /** Whether the step itself may use the worker; otherwise it is for some of its tasks only, or for a later round. */
  readonly isOpenToStep?: boolean
}

/** What a round would find of a worker for a step. */
export interface WorkerPlace {
  readonly worker: WorkerLink
  /** Undefined if a task can start there now. */
  readonly obstacle: WorkerObstacle | undefined
  /** Number of tasks that there is room for; Infinity if they need nothing. */
  readonly slots: number
}

/** Whether owed work waits to make short calls, and whether to make long ones. */
interface OwedCalls {
  readonly short: boolean
  readonly long: boolean
}

const NO_OWED_CALLS: OwedCalls = { short: false, long: false }

interface SchedulingRound {
  readonly capacity: RoundCapacity
  /** The same for lasting tasks, which also start beside runs that must be alone once these have run for a while. */
  readonly lastingCapacity: RoundCapacity
  readonly reservedFor: Map<WorkerLink, Reservation>
  reservingGangs: number
  /** Kinds of calls for which work that accounts are owed waits for an agent, so that other work leaves it half of them. */
  readonly owedCalls: OwedCalls
  /** Whether half of the agents were found busy in this round. */
  areAgentsScarce: boolean
}

/** Places waiting tasks on workers and starts them. */
export class Dispatcher {
  private rotation = 0
  /** Workers reserved in the latest round. */
  private reservedFor = new Map<WorkerLink, Reservation>()
  /** Highest priority that waited in the latest round, as a number. */
  private waitingPriority = Infinity
  /** Monotonic time of the current round in milliseconds; read once, because a round tries many tasks. */
  private now = 0
  private readonly accounts: AccountRules
  private readonly candidates: Candidates
  private readonly keptWorkers = KeptWorkers.create()

  private readonly order: WaitingOrder
  private readonly startWindow: LeaderStartWindow

  private constructor (private readonly options: DispatcherOptions) {
    this.accounts = options.accounts ?? NO_ACCOUNTS
    this.order = options.order ?? ADMISSION_ORDER
    this.startWindow = options.startWindow ?? LeaderStartWindow.create()
    this.candidates = Candidates.create({ ...options, accounts: this.accounts, order: this.order })
  }

  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  /** Runs one scheduling round: starts the tasks that fit, in order of urgency. */
  runRound (jobs: Iterable<Job>): void {
    this.now = this.options.clock.now()
    const candidates = this.candidates.findForRound(jobs, this.now)
    const [owed, excess] = splitByShare(candidates)
    this.waitingPriority = Math.min(Infinity, ...owed.map(({ queue }) => queue.priority))
    this.reservedFor = this.keptForLasting(candidates)
    if (candidates.length === 0) return
    const round: SchedulingRound = { ...this.capacityOf([...this.options.workers()]), reservedFor: this.reservedFor, reservingGangs: 0, owedCalls: NO_OWED_CALLS, areAgentsScarce: false }
    this.placeAll(owed, round)
    if (excess.length > 0) this.placeExcess(excess, owed, round)
  }

  /** Workers that are kept free for lasting steps. A lasting gang is reserved for like any other gang. */
  private keptForLasting (candidates: readonly Candidate[]): Map<WorkerLink, Reservation> {
    const lasting = candidates.filter(({ step, waitingCount }) => step.spec.longRunning && !step.spec.gang && waitingCount > 0 && this.accounts.startable(step, 1) > 0)
    const all = [...this.options.workers()]
    const waiting = lasting.map(({ step, queue }) => {
      const mayUse = (worker: WorkerLink) => this.mayKeep(worker, step, queue)
      return { step, mayUse, workers: () => this.preferenceGroups(step, queue, all.filter(mayUse)) }
    })
    const reservedFor = new Map<WorkerLink, Reservation>()
    for (const { step, worker, isUrgent } of this.keptWorkers.choose(waiting, all.length, this.now)) {
      const queue = lasting.find(candidate => candidate.step === step)?.queue
      if (queue === undefined) continue
      reservedFor.set(worker, { step, priority: isUrgent ? RESERVED_FOR_ONE : queue.priority, isOpenToStep: true })
      this.askAhead(step, queue, worker, all)
    }
    return reservedFor
  }

  /** Whether a worker may take a task of a lasting step as soon as there is room. */
  private mayKeep (worker: WorkerLink, step: Step, queue: JobQueue): boolean {
    const obstacle = this.generalObstacle(worker, this.now, true)
    return this.options.worker(worker.id) === worker && (obstacle === undefined || PASSING_OBSTACLES.has(obstacle)) &&
      this.stepObstacleOn(worker, step, queue, undefined) === undefined && !this.options.advice.isRefused(step, worker) && slotsWithinLimit(step, worker) > 0
  }

  /** Workers that the policy has approved and on which no run has just failed, and then the others. */
  private preferenceGroups (step: Step, queue: JobQueue, workers: readonly WorkerLink[]): ReadonlyArray<readonly WorkerLink[]> {
    const isPreferred = (worker: WorkerLink) => !step.avoidedWorkers.isAvoided(worker.id, this.now) && (queue.advice === undefined || this.options.advice.isApproved(step, worker))
    return [workers.filter(isPreferred), workers.filter(worker => !isPreferred(worker))]
  }

  /** Asks whether a worker that is kept free is allowed: in a full cell nothing else would, and it might be kept in vain. */
  private askAhead (step: Step, { advice: policy }: JobQueue, kept: WorkerLink, all: readonly WorkerLink[]) {
    const { advice } = this.options
    if (policy === undefined || advice.isAnswered(step, kept) || advice.isPending(step) || !advice.hasFreeAgent(policy, this.now)) return
    const others = all.filter(worker => worker !== kept && worker.entry.service === kept.entry.service && !advice.isAnswered(step, worker))
    advice.request(step, policy, [kept, ...others].slice(0, MAX_WORKERS_IN_SINGLE_CALL))
  }

  private placeAll (candidates: readonly Candidate[], round: SchedulingRound) {
    this.placeAlone(candidates, round)
    this.accounts.visitInTurns(candidates, { compareRank: this.candidates.compareRank, hasRoom: ({ step }) => capacityFor(step, round).hasRoomFor(step.need), visit: candidate => this.place(candidate, round) })
  }

  /**
   * Starts work that accounts are not owed, after all owed work that can start now. No room is kept free for owed work that
   * waits for tickets: nearly always some does, so that it cost a tenth of the value in a cell with room, and the owed
   * work gained nothing. Reservations for gangs hold by priority, as against owed work.
   */
  private placeExcess (excess: readonly Candidate[], owed: readonly Candidate[], round: SchedulingRound) {
    const { advice } = this.options
    const isWaiting = (isLong: boolean) => owed.some(({ step, queue }) => queue.advice !== undefined && needsLongCalls(queue.advice) === isLong && step.hasWaitingTasks() && !advice.isPending(step) && capacityFor(step, round).hasRoomFor(step.need))
    // A copy, as reservations for excess gangs must not hold up owed jobs that arrive before the next round.
    this.placeAll(excess, { ...round, reservedFor: new Map(round.reservedFor), owedCalls: { short: isWaiting(false), long: isWaiting(true) } })
  }

  private place (candidate: Candidate, round: SchedulingRound) {
    const { step, waitingCount } = candidate
    const { spec, job } = step
    if (waitingCount === 0) return
    if (job.payload === undefined) {
      step.waitTimes.note('payload', this.now)
      return this.options.requestPayload(job)
    }
    const hasRoom = capacityFor(step, round).hasRoomFor(step.need)
    if (!hasRoom) step.waitTimes.note('room', this.now)
    if (!hasRoom && !spec.gang && !candidate.keepsRoom) return
    if (this.startWindow.roomFor(step.waitingTasks) === 0) {
      this.startWindow.putOff()
      return step.waitTimes.note('starts', this.now)
    }
    const startable = this.accounts.startable(step, waitingCount)
    if (startable === 0) return step.waitTimes.note('account', this.now)
    const limited = startable < waitingCount ? { ...candidate, waitingCount: startable } : candidate
    const isPlaced = hasRoom && (spec.gang ? this.placeGang(limited, round) : this.placeTasks(limited, round))
    if (isPlaced && startable < waitingCount) step.waitTimes.note('account', this.now)
    // Small tasks would fill each gap before there is room for a large one.
    if (!spec.gang && !hasRoom) this.reserveWorkers(candidate, round, RESERVED_FOR_ONE, 1)
    if (isPlaced || !spec.gang || (candidate.lateness > 0 && !candidate.keepsRoom) || round.reservingGangs >= this.order.maxReservingGangs) return
    this.reserveWorkers(candidate, round, candidate.keepsRoom ? RESERVED_FOR_ONE : candidate.queue.priority, spec.count)
    round.reservingGangs++
  }

  /**
   * Starts the tasks of a job that has just arrived with its tickets, without waiting for a round, unless more urgent work
   * waits. A round looks at everything that waits, and rounds are far apart while the processor is full. Work that its
   * account is not owed waits for the round, which sees what others are owed.
   */
  placeArrival (job: Job): void {
    this.now = this.options.clock.now()
    for (const candidate of this.candidates.find([job], this.now)) {
      const { step, queue, lateness, isExcess, waitingCount } = candidate
      if (isExcess || lateness > 0 || this.candidates.yieldsToGang(candidate) || queue.priority > this.waitingPriority || job.payload === undefined || step.hasSuspects) continue
      const startable = this.accounts.startable(step, waitingCount)
      if (startable === 0) continue
      const ticketed = this.options.advice.workersWithTicket(step, { get: id => this.options.worker(id) }, this.now)
      const round: SchedulingRound = { ...this.capacityOf(ticketed), reservedFor: this.reservedFor, reservingGangs: 0, owedCalls: NO_OWED_CALLS, areAgentsScarce: false }
      if (!capacityFor(step, round).hasRoomFor(step.need) || this.startWindow.roomFor(step.waitingTasks) === 0) continue
      if (step.spec.gang) this.placeGang(candidate, round)
      else this.placeTasks({ ...candidate, waitingCount: startable }, round)
    }
  }

  /** Summarizes the steps that have tasks to start but no worker yet. */
  waitingSummary (jobs: Iterable<Job>): WaitingSummary {
    this.now = this.options.clock.now()
    const byQueue: Record<string, [number, number, number]> = {}
    const byCause: Partial<Record<WaitCause, number>> = {}
    const candidates = this.candidates.find(jobs, this.now)
    for (const { step, queue, lateness } of candidates) {
      const cause = step.waitTimes.current()
      if (cause !== undefined) byCause[cause] = (byCause[cause] ?? 0) + 1
      const counts = byQueue[queue.name] ??= [0, 0, 0]
      counts[lateness]++
    }
    const oldest = minBy(candidates, ({ step }) => dueMsOf(step.job))
    const lasting = minBy(candidates.filter(({ step }) => step.spec.longRunning), ({ step }) => -step.waitTimes.waitedMs(this.now))
    return {
      byQueue,
      byCause,
      excess: candidates.filter(({ isExcess }) => isExcess).length,
      oldest: oldest === undefined ? undefined : this.reportOf(oldest),
      lasting: lasting === undefined ? undefined : this.lastingReportOf(lasting)
    }
  }

  private lastingReportOf (candidate: Candidate): WaitingLastingStepReport {
    const { step, queue } = candidate
    const workers: Partial<Record<WorkerObstacle | 'none', number>> = {}
    for (const { obstacle = 'none' } of this.obstacles(step, queue)) workers[obstacle] = (workers[obstacle] ?? 0) + 1
    return { ...this.reportOf(candidate), waitedMs: Math.round(step.waitTimes.waitedMs(this.now)), workers }
  }

  private reportOf ({ step, isExcess }: Candidate): WaitingStepReport {
    return {
      step: formatStepId({ jobId: step.job.id, occurrence: step.occurrence, step: step.index }),
      dueMsAgo: this.options.clock.date().getTime() - dueMsOf(step.job),
      cause: step.waitTimes.current(),
      isExcess
    }
  }

  /** Capacity of the workers among these that take new tasks, and of those that take lasting ones. */
  private capacityOf (workers: readonly WorkerLink[]): Pick<SchedulingRound, 'capacity' | 'lastingCapacity'> {
    const usable = workers.filter(worker => this.generalObstacle(worker, this.now, false) === undefined)
    const beside = workers.filter(worker => worker.hasOnlyAloneRuns() && this.generalObstacle(worker, this.now, true) === undefined)
    const capacity = RoundCapacity.create(usable)
    return { capacity, lastingCapacity: beside.length === 0 ? capacity : RoundCapacity.create([...usable, ...beside]) }
  }

  private generalObstacle (worker: WorkerLink, now: number, isLasting: boolean): WorkerObstacle | undefined {
    const isClosed = isLasting ? worker.hasExclusiveRun(now) : worker.hasOnlyAloneRuns()
    return worker.startObstacle(now) ?? (isClosed ? 'exclusive-run' : this.options.useObstacle(worker, now))
  }

  /** Whether a gang has to wait for workers without other work. */
  private mustBeAlone (step: Step): boolean {
    const task = step.hasSuspects ? step.task(0) : undefined
    return task !== undefined && this.candidates.waitsAlone(task, this.now)
  }

  /** Starts tasks that must run alone on workers without other work, and keeps some workers free for those that wait. */
  private placeAlone (candidates: readonly Candidate[], round: SchedulingRound) {
    if (!candidates.some(needsWorkersAlone)) return
    const workers = [...this.options.workers()]
    this.candidates.setAlonePatience(isHalfEmpty(workers))
    let places = Math.max(MIN_ALONE_WORKERS, Math.floor(ALONE_FRACTION * workers.length)) - workers.filter(worker => worker.hasOnlyAloneRuns()).length
    for (const candidate of candidates) {
      if (candidate.aloneTasks.length === 0) continue
      if (candidate.step.job.payload === undefined) {
        this.options.requestPayload(candidate.step.job)
        continue
      }
      const started: Run[] = []
      for (const task of candidate.aloneTasks) {
        if (places <= 0 || this.accounts.startable(candidate.step, 1) === 0) break
        places--
        const worker = this.claimEmptyWorker(candidate, task, round)
        if (worker === undefined) continue
        round.reservedFor.set(worker, { step: candidate.step, priority: RESERVED_FOR_ONE })
        started.push(this.start(candidate, task, candidate.step.nextRunNumber(this.options.epoch), worker, round, { lastRunNumber: task.lastRunNumber, isNarrow: true }))
      }
      if (started.length > 0) this.options.onStart(candidate.step, started)
    }
  }

  /** Returns a worker without other work on which the task can start now. If there is none, asks for a ticket and keeps a worker free. */
  private claimEmptyWorker (candidate: Candidate, task: Task, round: SchedulingRound): WorkerLink | undefined {
    const { advice } = this.options
    const { step, queue } = candidate
    const eligible = round.capacity.all().filter(worker => this.isEligible(candidate, worker, round) && !advice.isRefused(step, worker))
    const empty = eligible.filter(worker => worker.runs.size === 0)
    const startable = queue.advice === undefined ? empty : empty.filter(worker => advice.ticket(step, worker, this.now) !== undefined)
    const worker = this.bestWorker(step, startable, candidateWorker => round.capacity.freeOn(candidateWorker), task)
    if (worker !== undefined) return worker
    if (queue.advice !== undefined && empty.length > 0 && !advice.isPending(step) && advice.hasFreeAgent(queue.advice, this.now)) advice.request(step, queue.advice, empty.slice(0, MAX_WORKERS_IN_SINGLE_CALL))
    const emptiest = minBy(eligible, worker => worker.runs.size + (hostsStep(worker, step => step.spec.longRunning) ? LASTING_RUN_WEIGHT : 0))
    if (emptiest !== undefined) round.reservedFor.set(emptiest, { step, priority: RESERVED_FOR_ONE })
    return undefined
  }

  private isEligible ({ step, queue }: Candidate, worker: WorkerLink, { reservedFor }: SchedulingRound): boolean {
    const reservation = reservedFor.get(worker)
    const isOwn = reservation?.isOpenToStep === true && reservation.step === step
    return this.stepObstacleOn(worker, step, queue, isOwn ? undefined : reservation) === undefined
  }

  /** Why a step may use a worker neither now nor when it has room. */
  private stepObstacleOn (worker: WorkerLink, step: Step, queue: JobQueue, reservation: Reservation | undefined): WorkerObstacle | undefined {
    const { requiredLabel } = step.spec
    if (worker.entry.service !== queue.service) return 'other-service'
    if (requiredLabel !== '' && !worker.entry.labels.includes(requiredLabel)) return 'label'
    if (!fits(step.need, worker.entry.capacity)) return 'too-small'
    if (reservation !== undefined && reservation.priority < queue.priority) return 'reserved'
    return this.trialPenalty(worker, step) < Infinity ? undefined : 'on-trial'
  }

  /** By the tests of a round, why no task of a step can start on each worker. Asks for no tickets and keeps no worker free. */
  * obstacles (step: Step, queue: JobQueue): Iterable<WorkerPlace> {
    const { workers, advice, clock } = this.options
    const now = clock.now()
    const task = step.waitingKnownTasks()[0]
    const avoided = step.spec.gang ? step.avoidedWorkers : task?.avoidedWorkers
    // The crashes of a gang are counted at its first task, which is known after a crash.
    const mustBeAlone = step.hasSuspects && task !== undefined && this.candidates.stillWaitsAlone(step.countedTask(task), now)
    const places = [...workers()].map(worker => {
      const reservation = this.reservedFor.get(worker)
      // The latest round may be some time ago.
      const isCurrent = reservation !== undefined && reservation.step !== step && reservation.step.hasWaitingTasks() && reservation.step.job.outcome === undefined
      const lacksTicket = queue.advice !== undefined && advice.ticket(step, worker, now) === undefined
      const obstacle = this.generalObstacle(worker, now, step.spec.longRunning) ?? this.stepObstacleOn(worker, step, queue, isCurrent ? reservation : undefined) ??
        (lacksTicket && advice.isRefused(step, worker) ? 'policy-refused' : mustBeAlone && worker.runs.size > 0 ? 'not-empty' : undefined)
      return { worker, obstacle, lacksTicket }
    })
    const allowed = places.filter(({ obstacle, lacksTicket }) => obstacle === undefined && !lacksTicket)
    const avoidsSome = avoided !== undefined && !avoided.isEmpty() && !allowed.every(({ worker }) => avoided.isAvoided(worker.id, now))
    for (const { worker, obstacle, lacksTicket } of places) {
      const ofRoom = obstacle ?? roomObstacle(step, worker, worker.freeCapacity())
      const found = ofRoom ?? (avoidsSome && avoided.isAvoided(worker.id, now) ? 'avoided' : lacksTicket ? 'no-ticket' : undefined)
      yield { worker, obstacle: found, slots: ofRoom === undefined ? slotsOn(step, [worker], other => other.freeCapacity()) : 0 }
    }
  }

  /** Place of a step among all that wait; undefined if it has none yet. */
  placeOf (step: Step, jobs: Iterable<Job>): Place | undefined {
    return this.candidates.placeOf(step, jobs, this.options.clock.now())
  }

  /**
   * Workers that the placement policy allows now. Requests tickets for more workers only if the allowed ones have too
   * little free capacity and the others have enough: a ticket that expires unused wastes the service's time.
   */
  private allowedWorkers (candidate: Candidate, round: SchedulingRound): readonly WorkerLink[] {
    const { advice } = this.options
    const { step, queue, waitingCount } = candidate
    const capacity = capacityFor(step, round)
    const isEligible = (worker: WorkerLink) => this.isEligible(candidate, worker, round)
    if (queue.advice === undefined) {
      step.waitTimes.note('room', this.now)
      // A task that avoids a worker waits for another one that may get room, so all of them count.
      return (step.avoidedWorkers.isEmpty() ? capacity.withRoomFor(step.need) : capacity.all()).filter(isEligible)
    }
    const ticketed = advice.workersWithTicket(step, capacity, this.now).filter(isEligible)
    if (step.spec.gang) {
      this.requestForGang(candidate, round, queue.advice, ticketed)
      return ticketed
    }
    const isPending = advice.isPending(step)
    if (isPending || !advice.hasFreeAgent(queue.advice, this.now)) {
      step.waitTimes.note(isPending ? 'tickets' : 'agents', this.now)
      return ticketed
    }
    step.waitTimes.note('room', this.now)
    const totalSlots = (workers: readonly WorkerLink[]) => slotsOn(step, workers, worker => capacity.freeOn(worker))
    if (totalSlots(ticketed) >= waitingCount) return ticketed
    const isOpen = (worker: WorkerLink) => isEligible(worker) && !advice.isRefused(step, worker)
    const withCapacity = capacity.withRoomFor(step.need).filter(worker => isOpen(worker) && slotsWithinLimit(step, worker) > 0)
    const hasUnticketed = withCapacity.some(worker => advice.ticket(step, worker, this.now) === undefined)
    if (!hasUnticketed) return ticketed
    if (this.leavesAgents(candidate, round)) {
      step.waitTimes.note('agents', this.now)
      return ticketed
    }
    step.waitTimes.note('tickets', this.now)
    const approved = withCapacity.filter(worker => advice.isApproved(step, worker))
    const preferred = approved.length > 0 ? approved : this.rotate(withCapacity, capacity.all().filter(isOpen))
    advice.request(step, queue.advice, preferred.slice(0, MAX_WORKERS_IN_SINGLE_CALL))
    return ticketed
  }

  /**
   * Requests the tickets that a gang lacks, if the cell has room for it. Its tickets must be valid at the same time, so
   * several calls run side by side, unless they would take agents from other steps or processor time from starts and
   * commits.
   */
  private requestForGang (candidate: Candidate, round: SchedulingRound, policy: AdvicePolicy, ticketed: readonly WorkerLink[]) {
    const { advice, isProcessorFull } = this.options
    const { step } = candidate
    const capacity = capacityFor(step, round)
    const freeOn: FreeOn = worker => capacity.freeOn(worker)
    const width = step.spec.count
    step.waitTimes.note('room', this.now)
    const isEligible = (worker: WorkerLink) => this.isEligible(candidate, worker, round) && !advice.isRefused(step, worker)
    const eligibleWithRoom = () => capacity.withRoomFor(step.need).filter(worker => isEligible(worker) && slotsWithinLimit(step, worker) > 0)
    // Tickets of workers with other work are of use only where the gang will have to run beside it.
    const isAlone = this.mustBeAlone(step) && slotsOn(step, eligibleWithRoom().filter(isEmpty), freeOn) >= width
    const isUsable = (worker: WorkerLink) => !isAlone || isEmpty(worker)
    if (slotsOn(step, ticketed.filter(isUsable), freeOn) >= width) return
    const isPending = advice.isPending(step)
    const mayCallSideBySide = !advice.areAgentsScarce(this.now) && !isProcessorFull()
    if ((isPending && !mayCallSideBySide) || !advice.hasFreeAgent(policy, this.now) || this.leavesAgents(candidate, round)) {
      step.waitTimes.note(isPending ? 'tickets' : 'agents', this.now)
      return
    }
    const open = eligibleWithRoom().filter(isUsable)
    if (slotsOn(step, open, freeOn) < width) return
    const approved = open.filter(worker => advice.isApproved(step, worker))
    const named = mayCallSideBySide
      ? this.workersForWidth(step, policy, { open, approved, freeOn })
      : (slotsOn(step, approved, freeOn) >= width ? approved : this.rotate(open, capacity.all().filter(worker => isEligible(worker) && isUsable(worker)))).slice(0, MAX_WORKERS_IN_SINGLE_CALL)
    if (isPending || named.length > 0) step.waitTimes.note('tickets', this.now)
    advice.request(step, policy, named)
  }

  /**
   * Whether the agents that are free are left to work that accounts are owed. Late work leaves them only to calls of the
   * same kind: agents that owed work may not use for its long calls would stand idle beside it.
   */
  private leavesAgents ({ step, queue, isExcess, lateness }: Candidate, round: SchedulingRound): boolean {
    if (!isExcess || queue.advice === undefined) return false
    const { short, long } = round.owedCalls
    const isLate = lateness === 2 || isOverdue(step.job, this.options.clock.date().getTime())
    const isOwedWaiting = isLate ? (needsLongCalls(queue.advice) ? long : short) : short || long
    if (!isOwedWaiting) return false
    round.areAgentsScarce ||= this.options.advice.areAgentsScarce(this.now)
    return round.areAgentsScarce
  }

  /**
   * Workers to name so that a gang has tickets for all of its tasks: those without a ticket among the approved ones, if
   * these have enough room, and otherwise as many new ones as are expected to make up for it.
   */
  private workersForWidth (step: Step, policy: AdvicePolicy, { open, approved, freeOn }: { readonly open: readonly WorkerLink[], readonly approved: readonly WorkerLink[], readonly freeOn: FreeOn }): readonly WorkerLink[] {
    const { advice } = this.options
    const width = step.spec.count
    const wantedSlots = width * TICKET_SURPLUS
    const slotsOf = (worker: WorkerLink) => slotsOn(step, [worker], freeOn)
    const approvedSlots = slotsOn(step, approved, freeOn)
    if (approvedSlots >= width) {
      const mostSlotsFirst = [...approved].sort((a, b) => slotsOf(b) - slotsOf(a))
      return takeSlots(mostSlotsFirst, slotsOf, wantedSlots).filter(worker => advice.ticket(step, worker, this.now) === undefined)
    }
    const share = advice.approvalShare(policy)
    const unanswered = open.filter(worker => !advice.isAnswered(step, worker))
    if (approvedSlots + share * slotsOn(step, unanswered, freeOn) < width) return []
    const asked = unanswered.filter(worker => advice.isAsked(step, worker))
    const unknown = unanswered.filter(worker => !advice.isAsked(step, worker))
    const missingSlots = wantedSlots - approvedSlots - share * slotsOn(step, asked, freeOn)
    if (missingSlots <= 0 || unknown.length === 0) return []
    return takeSlots(this.rotate(unknown, []), worker => share * slotsOf(worker), missingSlots)
  }

  /**
   * Workers in order of preference for an advice call, which names as many as its limit allows. Those with free
   * capacity come first, starting at a different one in each call.
   */
  private rotate (withCapacity: readonly WorkerLink[], notRefused: readonly WorkerLink[]): readonly WorkerLink[] {
    const offset = this.rotation++ * ROTATION_STEP % withCapacity.length
    return [...new Set([...withCapacity.slice(offset), ...withCapacity.slice(0, offset), ...notRefused])]
  }

  /** Returns whether all waiting tasks were placed. */
  private placeTasks (candidate: Candidate, round: SchedulingRound): boolean {
    const { step, waitingCount, waitingTasks } = candidate
    const room = this.startWindow.roomFor(step.waitingTasks)
    const isNarrow = this.startWindow.isNarrow(step.waitingTasks)
    const maxStarts = Math.min(waitingCount, candidate.maxStarts, room)
    // Tickets are only requested for the starts that the window takes: others would expire.
    const workers = this.allowedWorkers(room < waitingCount ? { ...candidate, waitingCount: room } : candidate, round)
    if (workers.length === 0) return waitingCount === 0
    const freeOn: FreeOn = worker => capacityFor(step, round).freeOn(worker)
    const started: Run[] = []
    for (const task of waitingTasks()) {
      if (started.length >= maxStarts) break
      const worker = this.bestWorker(step, workers, freeOn, task)
      if (worker === undefined) break
      started.push(this.start(candidate, task, step.nextRunNumber(this.options.epoch), worker, round, { lastRunNumber: task.lastRunNumber, isNarrow }))
    }
    if (started.length > 0) this.options.onStart(step, started)
    if (started.length === room && room < waitingCount) {
      this.startWindow.putOff()
      step.waitTimes.note('starts', this.now)
    }
    return started.length === waitingCount
  }

  private placeGang (candidate: Candidate, round: SchedulingRound): boolean {
    const { step } = candidate
    const mustBeAlone = this.mustBeAlone(step)
    const workers = this.allowedWorkers(candidate, round).filter(worker => !mustBeAlone || isEmpty(worker))
    const freeOn: FreeOn = worker => capacityFor(step, round).freeOn(worker)
    if (slotsOn(step, workers, freeOn) < step.spec.count) return false
    const placements = step.spec.rackLocal
      ? this.planGangOnOneRack(step, workers, freeOn) ?? this.planGang(step, workers, freeOn)
      : this.planGang(step, workers, freeOn)
    if (placements === undefined) return false
    const runNumber = step.nextRunNumber(this.options.epoch)
    const isNarrow = this.startWindow.isNarrow(step.waitingTasks)
    this.options.onStart(step, placements.flatMap((worker, index) => {
      const task = step.task(index)
      return task === undefined ? [] : this.start(candidate, task, runNumber, worker, round, { isNarrow })
    }))
    return true
  }

  private planGangOnOneRack (step: Step, workers: readonly WorkerLink[], freeOn: FreeOn): readonly WorkerLink[] | undefined {
    const racks = new Set(workers.map(rackOf))
    for (const rack of racks) {
      const placements = this.planGang(step, workers.filter(worker => rackOf(worker) === rack), freeOn)
      if (placements !== undefined) return placements
    }
    return undefined
  }

  /** Returns a worker for each member of the gang, or undefined if not all members fit. */
  private planGang (step: Step, workers: readonly WorkerLink[], freeOn: FreeOn): readonly WorkerLink[] | undefined {
    const remainingCapacity = new Map<WorkerLink, ResourceVector>()
    const remainingOn: FreeOn = worker => remainingCapacity.get(worker) ?? freeOn(worker)
    const plannedCounts = new Map<WorkerLink, number>()
    const placements: WorkerLink[] = []
    // All members are placed alike.
    const task = step.task(0)
    for (let member = 0; member < step.spec.count; member++) {
      const worker = task === undefined ? undefined : this.bestWorker(step, workers, remainingOn, task, plannedCounts)
      if (worker === undefined) return undefined
      remainingCapacity.set(worker, subtract(remainingOn(worker) ?? NO_RESOURCES, step.need))
      plannedCounts.set(worker, (plannedCounts.get(worker) ?? 0) + 1)
      placements.push(worker)
    }
    return placements
  }

  /** Picks the worker with the least free processor time on which a task fits, preferably on the affinity rack. */
  private bestWorker (step: Step, workers: readonly WorkerLink[], freeOn: FreeOn, task: Task, plannedCounts?: ReadonlyMap<WorkerLink, number>): WorkerLink | undefined {
    const { need, spec: { usesIdleCapacity } } = step
    const avoided = step.spec.gang ? step.avoidedWorkers : task.avoidedWorkers
    const isSuspect = task.crashes().isSuspect()
    const isAvoided = (worker: WorkerLink) => avoided.isAvoided(worker.id, this.now)
    // If all are avoided, there is no other worker to wait for.
    const avoidsSome = !avoided.isEmpty() && !workers.every(isAvoided)
    let best: WorkerLink | undefined
    let bestScore = Infinity
    for (const worker of workers) {
      const available = freeOn(worker)
      if (available === undefined || roomObstacle(step, worker, available, plannedCounts?.get(worker)) !== undefined || (avoidsSome && isAvoided(worker))) continue
      const penalty = penaltyOf(worker, step, { isWorkerSuspect: this.options.isSuspect(worker, this.now), isTaskSuspect: isSuspect }) + this.trialPenalty(worker, step)
      // Tasks on idle capacity go to the worker with the most free processor time.
      const score = penalty * PENALTY_WEIGHT + (usesIdleCapacity ? -available.milliCores : available.milliCores - need.milliCores)
      if (score < bestScore) {
        best = worker
        bestScore = score
      }
    }
    return best
  }

  private trialPenalty (worker: WorkerLink, step: Step): number {
    return this.options.trialPenalty?.(worker, step) ?? 0
  }

  private start ({ step, queue }: Candidate, task: Task, runNumber: number, worker: WorkerLink, { capacity, lastingCapacity }: SchedulingRound, { lastRunNumber = 0, isNarrow }: { readonly lastRunNumber?: number, readonly isNarrow: boolean }): Run {
    const { advice } = this.options
    const ticket = queue.advice === undefined ? '' : advice.ticket(step, worker, this.now) ?? ''
    task.waitsAloneSince = undefined
    // Tasks on idle capacity would slow down a task with a latency target, so those on this worker are stopped and resume elsewhere.
    if (step.hasLatencyTarget()) for (const other of [...worker.runs.values()]) if (other.task?.step.spec.usesIdleCapacity === true) worker.stop(other)
    const startedRun = worker.start(task, Math.max(runNumber, lastRunNumber + 1), step.job.payload ?? '', ticket, isNarrow)
    for (const each of new Set([capacity, lastingCapacity])) each.refresh(worker)
    return startedRun
  }

  /** Reserves the workers with the most free processor time for tasks that don't fit yet: a gang, or one that goes first. */
  private reserveWorkers (candidate: Candidate, round: SchedulingRound, priority: number, wantedSlots: number) {
    const { advice } = this.options
    const { step } = candidate
    const { reservedFor } = round
    let slots = 0
    for (const worker of capacityFor(step, round).mostFreeFirst()) {
      if (slots >= wantedSlots) return
      if (reservedFor.has(worker) || !this.isEligible(candidate, worker, round) || advice.isRefused(step, worker)) continue
      slots += maxTasksThatFit(step.need, worker.entry.capacity)
      reservedFor.set(worker, { step, priority })
    }
  }
}

/** Capacity that a step may use in a round. */
function capacityFor ({ spec }: Step, { capacity, lastingCapacity }: SchedulingRound): RoundCapacity {
  return spec.longRunning ? lastingCapacity : capacity
}

/** Returns the first workers that have this many slots in total; all if they have fewer. */
function takeSlots (workers: readonly WorkerLink[], slotsOf: (worker: WorkerLink) => number, slots: number): readonly WorkerLink[] {
  let total = 0
  const last = workers.findIndex(worker => {
    total += slotsOf(worker)
    return total >= slots
  })
  return last < 0 ? workers : workers.slice(0, last + 1)
}

function isEmpty ({ runs }: WorkerLink): boolean {
  return runs.size === 0
}

/** Number of tasks of the step that can be started on the workers now. */
function slotsOn (step: Step, workers: readonly WorkerLink[], freeOn: FreeOn): number {
  return workers.reduce((total, worker) => total + Math.min(maxTasksThatFit(step.need, freeOn(worker) ?? NO_RESOURCES), slotsWithinLimit(step, worker)), 0)
}

function needsWorkersAlone ({ step, aloneTasks }: Candidate): boolean {
  return aloneTasks.length > 0 || (step.spec.gang && step.task(0)?.crashes().mustRunAlone() === true)
}

function minBy<T> (items: readonly T[], valueOf: (item: T) => number): T | undefined {
  let best: T | undefined
  let bestValue = Infinity
  for (const item of items) {
    const value = valueOf(item)
    if (value >= bestValue) continue
    best = item
    bestValue = value
  }
  return best
}

function rackOf (worker: WorkerLink): string {
  return worker.entry.labels.slice(1).join('/')
}
