import type { Clock } from '@citronnotch/base/clock'
import type { AccountRules, TurnCandidate } from './accounts/index.js'
import type { Job, Step, StepObstacle, Task } from './jobs.js'
import { canWait, canWaitBriefly, latenessOf } from './lateness.js'
import type { Lateness } from './lateness.js'
import type { Standing, WaitingOrder } from './room/index.js'
import type { JobQueue } from './types.js'

/** A step with tasks to start, and the data that determines its urgency. */
export interface Candidate extends TurnCandidate {
  readonly queue: JobQueue
  /** Number of tasks to start, without those that must run alone. */
  readonly waitingCount: number
  /** The same tasks: those that have had runs come first. */
  readonly waitingTasks: () => Iterable<Task>
  /** Tasks that wait for a worker without other work, because workers have crashed under them. */
  readonly aloneTasks: readonly Task[]
  readonly lateness: Lateness
  /** Whether the job came beyond the rate that its account is owed. */
  readonly isExcess: boolean
  /** Whether the step goes before all others, and whether workers are kept free for it as well. */
  readonly goesFirst: boolean
  readonly keepsRoom: boolean
}

type Turn = Pick<Candidate, 'step' | 'queue' | 'lateness' | 'isExcess' | 'goesFirst'>

/** Place of a waiting step. */
export interface Place extends Pick<Candidate, 'lateness' | 'isExcess' | 'goesFirst'> {
  /** As the plan has it, in cells that shed load. */
  readonly standing?: Standing
  /** What goes before it: steps, their tasks, and what these need, in thousandths of a core. */
  readonly ahead: { readonly steps: number, readonly tasks: number, readonly milliCores: number }
}

export interface CandidatesOptions {
  readonly accounts: AccountRules
  readonly order: WaitingOrder
  /** The queue of a job; undefined if nothing is known of it. */
  readonly queue: (job: Job) => JobQueue | undefined
  /** Whether this process has no processor time left, so that work that can wait is put off. */
  readonly isProcessorFull: () => boolean
  /** Whether messages wait for this process so long that urgent work is late by that alone. */
  readonly isProcessorOverloaded: () => boolean
  readonly clock: Clock
  /** Called for a task that may not be started again, as too many workers have crashed under it. */
  readonly onExhausted: (task: Task) => void
}

/** Time for which a task that must run alone waits for a worker without other work, in milliseconds; then it runs beside others. */
const ALONE_PATIENCE_MS = 10_000
/** The same while less than half of the processor time is in use: no job may wait for 3 s beside so much room. */
const ALONE_PATIENCE_WITH_ROOM_MS = 2_000
const NO_TASKS: readonly Task[] = []

/** Finds the steps with tasks to start, in the order in which they get their turn. */
export class Candidates {
  /** Time for which tasks wait for a worker without other work; depends on how full the workers were in the last round. */
  private alonePatienceMs = ALONE_PATIENCE_WITH_ROOM_MS

  /** By account, a gang that can still be on time and waited for room within the account's limit in the latest round. */
  private readonly limitedGangs = new Map<string | undefined, Candidate>()
  /** Comparison of the latest round. */
  private rank: ReturnType<WaitingOrder['at']> = () => 0
  /** Orders candidates of the latest round by urgency; accounts take turns among those that are equal. */
  readonly compareRank = (a: Candidate, b: Candidate): number => Number(b.goesFirst) - Number(a.goesFirst) || this.rank(a, b)

  private constructor (private readonly options: CandidatesOptions) {}

  static create (options: CandidatesOptions): Candidates {
    return new Candidates(options)
  }

  /** Steps with tasks to start; `now` is a monotonic time in milliseconds. */
  find (jobs: Iterable<Job>, now: number): readonly Candidate[] {
    const { clock, queue: queueOf, accounts, order } = this.options
    const unixMs = clock.date().getTime()
    const candidates: Candidate[] = []
    this.rank = order.at(unixMs)
    for (const job of jobs) {
      if (job.outcome !== undefined) continue
      const queue = queueOf(job)
      if (queue === undefined) continue
      const isExcess = accounts.isExcess(job, unixMs)
      // Rounds look at each live step, many times a second: iterators and lists for those that nothing is started of cost a good part of a leader's processor time.
      for (const steps of job.occurrences.values()) {
        if (steps === 'done') continue
        for (const step of steps) {
          const candidate = stepObstacle(step, now) === undefined ? this.candidateOf(step, queue, { isExcess, unixMs, now }) : undefined
          if (candidate !== undefined) candidates.push(candidate)
        }
      }
    }
    return candidates.sort((a, b) => compareTurns(a, b, this.rank))
  }

  /**
   * Place of a step among all that could start tasks now, in the order of the next round. Changes nothing: jobs that came
   * since the order was renewed, within some tenths of a second, have no place yet.
   */
  placeOf (step: Step, jobs: Iterable<Job>, now: number): Place | undefined {
    const { clock, order } = this.options
    const unixMs = clock.date().getTime()
    const rank = order.at(unixMs)
    const own = this.turnOf(step, unixMs)
    if (own === undefined) return undefined
    const ahead = { steps: 0, tasks: 0, milliCores: 0 }
    for (const job of jobs) {
      if (job.outcome !== undefined) continue
      for (const other of job.liveSteps()) {
        if (other === step || stepObstacle(other, now) !== undefined) continue
        const turn = this.turnOf(other, unixMs)
        if (turn === undefined || compareTurns(turn, own, rank) >= 0) continue
        ahead.steps++
        ahead.tasks += other.waitingTasks
        ahead.milliCores += other.waitingTasks * other.need.milliCores
      }
    }
    const { lateness, isExcess, goesFirst } = own
    const standing = order.standing?.(step.job, unixMs)
    return { lateness, isExcess, goesFirst, ...(standing === undefined ? {} : { standing }), ahead }
  }

  /** Undefined if nothing is known of the job's queue, or its job has no rank yet. */
  private turnOf (step: Step, unixMs: number): Turn | undefined {
    const { queue: queueOf, accounts, order } = this.options
    const { job } = step
    const queue = queueOf(job)
    const isExcess = accounts.knownExcess(job)
    const isRanked = order.standing === undefined || order.standing(job, unixMs) !== undefined
    if (queue === undefined || isExcess === undefined || !isRanked) return undefined
    const goesFirst = order.goesFirst(step)
    return { step, queue, lateness: latenessOf(job, queue, unixMs), isExcess: isExcess && !goesFirst, goesFirst }
  }

  /** Undefined if all waiting tasks of the step are held. */
  private candidateOf (step: Step, queue: JobQueue, { isExcess, unixMs, now }: { readonly isExcess: boolean, readonly unixMs: number, readonly now: number }): Candidate | undefined {
    const { spec } = step
    const goesFirst = this.options.order.goesFirst(step)
    const known = step.waitingKnownTasks()
    const heldCount = known.reduce((count, { isHeld }) => isHeld ? count + 1 : count, 0)
    if (step.waitingTasks === heldCount || (spec.gang && heldCount > 0)) return undefined
    const aloneTasks = spec.gang || !step.hasSuspects ? NO_TASKS : known.filter(task => !task.isHeld && this.waitsAlone(task, now))
    return {
      step,
      queue,
      waitingCount: step.waitingTasks - heldCount - aloneTasks.length,
      maxStarts: Infinity,
      waitingTasks: () => waitingTasksOf(known.filter(task => !task.isHeld && !aloneTasks.includes(task)), step),
      aloneTasks,
      lateness: latenessOf(step.job, queue, unixMs),
      isExcess: isExcess && !goesFirst,
      goesFirst,
      keepsRoom: goesFirst && this.options.order.keepsRoom(step)
    }
  }

  /** The same without those that get no turn in this round, because of the limit of their account or as they can wait. */
  findForRound (jobs: Iterable<Job>, now: number): readonly Candidate[] {
    return this.withoutDeferrable(this.withoutLimited(this.withoutExhausted(this.find(jobs, now)), now), now)
  }

  /** Whether a task has to wait for a worker without other work. */
  waitsAlone (task: Task, now: number): boolean {
    if (!task.crashes().mustRunAlone()) return false
    task.waitsAloneSince ??= now
    return this.stillWaitsAlone(task, now)
  }

  /** The same without beginning the wait. */
  stillWaitsAlone (task: Task, now: number): boolean {
    return task.crashes().mustRunAlone() && now - (task.waitsAloneSince ?? now) < this.alonePatienceMs
  }

  /** Tasks that must run alone wait longer for a worker without other work while most of the processor time is in use. */
  setAlonePatience (hasRoom: boolean): void {
    this.alonePatienceMs = hasRoom ? ALONE_PATIENCE_WITH_ROOM_MS : ALONE_PATIENCE_MS
  }

  /** Reports the tasks that may not be started again, and leaves out their jobs, which have ended with that. */
  private withoutExhausted (candidates: readonly Candidate[]): readonly Candidate[] {
    for (const { step } of candidates) {
      if (!step.hasSuspects) continue
      const exhausted = step.waitingKnownTasks().find(task => !task.isHeld && task.crashes().isExhausted())
      if (exhausted !== undefined) this.options.onExhausted(exhausted)
    }
    return candidates.filter(({ step }) => step.job.outcome === undefined)
  }

  /** Whether a step has to leave what its account may still start to a gang of the account that goes before it. */
  yieldsToGang (candidate: Candidate): boolean {
    const gang = this.limitedGangs.get(candidate.step.job.record.account)
    return gang !== undefined && gang.step !== candidate.step && this.compareRank(gang, candidate) <= 0
  }

  /**
   * Leaves out the steps that can start nothing because of the limit of their account: nothing may be put off or kept free
   * for them. A gang needs room for all of its tasks at once, which later work of its account would take task by task.
   */
  private withoutLimited (candidates: readonly Candidate[], now: number): readonly Candidate[] {
    const { accounts } = this.options
    this.limitedGangs.clear()
    if (!accounts.areInUse()) return candidates
    return candidates.filter(candidate => {
      const { step, waitingCount, aloneTasks, lateness } = candidate
      const { account } = step.job.record
      const isStartable = !this.limitedGangs.has(account) && accounts.startable(step, waitingCount + aloneTasks.length) > 0
      if (isStartable) return true
      step.waitTimes.note('account', now)
      if (step.spec.gang && lateness === 0 && !this.limitedGangs.has(account)) this.limitedGangs.set(account, candidate)
      return false
    })
  }

  /**
   * Leaves out the jobs that can wait, while the processor is full: each start that they get now is one that a more
   * urgent job has to wait for. They go on once there is processor time, or before they become late. Jobs that are late
   * already wait as well while the most urgent ones could become so, and so do jobs that their accounts are not owed while
   * others wait. While the processor is overloaded, the jobs of the lowest priority wait for as long as they can.
   */
  private withoutDeferrable (candidates: readonly Candidate[], now: number): readonly Candidate[] {
    if (!this.options.isProcessorFull()) return candidates
    const unixMs = this.options.clock.date().getTime()
    const [owed] = splitByShare(candidates)
    const ranked = owed.length > 0 ? owed : candidates
    const highestPriority = Math.min(...ranked.map(({ queue }) => queue.priority))
    const lowestPriority = Math.max(...ranked.map(({ queue }) => queue.priority))
    const isOverloaded = this.options.isProcessorOverloaded()
    const isUrgentOnTime = ranked.some(({ queue, lateness }) => lateness === 0 && queue.priority === highestPriority)
    return candidates.filter(({ step, queue, lateness, isExcess, goesFirst }) => {
      // Its turn passes to another late job, so that it costs few starts.
      if (goesFirst) return true
      const canBeDeferred = isOverloaded && queue.priority === lowestPriority ? canWaitBriefly : canWait
      const isDeferred = (isExcess && owed.length > 0) || (lateness > 0 ? isUrgentOnTime : queue.priority > highestPriority && canBeDeferred(step.job, queue, unixMs))
      if (isDeferred) step.waitTimes.note('processor', now)
      return !isDeferred
    })
  }
}

/** Why a round tries no task of a step; undefined if it does. */
export function stepObstacle (step: Step, now: number): StepObstacle | undefined {
  const obstacle = step.obstacle()
  return step.notBefore > now && obstacle !== 'nothing-waits' ? 'start-refused' : obstacle
}

function compareTurns (a: Turn, b: Turn, rank: ReturnType<WaitingOrder['at']>): number {
  return Number(b.goesFirst) - Number(a.goesFirst) || Number(a.isExcess) - Number(b.isExcess) || rank(a, b) || a.step.job.record.admittedAtMs - b.step.job.record.admittedAtMs
}

/** Splits candidates, in their order, into those that accounts are owed and the others. */
export function splitByShare (candidates: readonly Candidate[]): readonly [readonly Candidate[], readonly Candidate[]] {
  if (candidates.at(-1)?.isExcess !== true) return [candidates, []]
  const first = candidates.findIndex(({ isExcess }) => isExcess)
  return [candidates.slice(0, first), candidates.slice(first)]
}

/** Tasks of a step that wait, also if some have been started since the known ones were listed. */
function * waitingTasksOf (known: readonly Task[], step: Step): Iterable<Task> {
  for (const task of known) if (task.isWaiting()) yield task
  yield * step.untouchedTasks()
}
