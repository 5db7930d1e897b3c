import { AvoidedWorkers } from './avoidedWorkers.js'
import { CrashRecord } from './crashRecord.js'
import { HopTimes } from './hopTimes.js'
import { ADMISSION_PARTITIONS, LEADER_PARTITIONS, MAX_LIVE_OCCURRENCES, RUNS_PER_EPOCH } from './constants.js'
import type { JobRecord } from './jobRecord.js'
import { encodeRow, formatRanges, layoutOf, parseRanges } from './progressRows.js'
import type { RowLayout, RowTasks } from './progressRows.js'
import { formatRangeKey, parseRangeKey } from './storedProgress.js'
import type { EndedRecord, JobProgress, RangeKey, StepProgress, StoredProgress } from './storedProgress.js'
import type { JobOutcome, JobQueue, ResourceVector, StepSpec, TaskId } from './types.js'
import { Marks } from './marks.js'
import { WaitTimes } from './waitTimes.js'
import type { WorkerLink } from './workerLink.js'

/**
 * `nothing-waits`: all tasks have runs or are done; `start-refused`: a worker refused a start a moment ago; `dependency`:
 * a step that it comes after isn't done; `gang-runs`: tasks of the gang still run.
 */
export type StepObstacle = 'nothing-waits' | 'start-refused' | 'dependency' | 'gang-runs'

/**
 * Time since its confirmed start for which a run that must be alone keeps lasting tasks off its worker as well, in
 * milliseconds: a task that crashes its workers mostly does so within a second, and a sound one may run for minutes.
 */
const EXCLUSIVE_MS = 2_000
/** Maximum number of runs of one task whose end isn't known; more can only be of workers that have gone for good. */
const MAX_OPEN_RUNS_PER_TASK = 8

export type RunState = 'starting' | 'running' | 'stopping'

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/i

/** Whether the text is a job id, whose last digits decide on the job's partitions. */
export function isJobId (text: string): boolean {
  return JOB_ID_PATTERN.test(text)
}

/** Name of the partition that holds the rows that admit and cancel a job. */
export function admissionPartitionOf (jobId: string): string {
  return admissionPartitionName(Number.parseInt(jobId.slice(-4), 16) % ADMISSION_PARTITIONS)
}

const CANCEL_SUFFIX = '.cancel'

/** Key of the row that cancels a job; it is in the same table and partition as the row that admits it. */
export function cancelKeyOf (jobId: string): string {
  return `${jobId}${CANCEL_SUFFIX}`
}

/** Id of the job that a row cancels; undefined if the key isn't that of a cancellation. */
export function jobIdOfCancelKey (key: string): string | undefined {
  return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : undefined
}

export function admissionPartitionName (index: number): string {
  return `jobs-${index}`
}

/** Index of the leader partition that holds the progress of a job. */
export function leaderPartitionOf (jobId: string): number {
  return Number.parseInt(jobId.slice(-4), 16) % LEADER_PARTITIONS
}

export function leaderPartitionName (index: number): string {
  return `leader-${index}`
}

/** One run of a task on one worker, from the decision to start it until the leader learns that it has finished or is lost. */
export class Run {
  state: RunState = 'starting'
  /** False while the start waits to be sent: the worker can't have the run. */
  isSent = false
  /** Reading of the worker's clock when it confirmed the start; undefined until it has. */
  confirmedAtMs: number | undefined
  /** Monotonic time in milliseconds of the latest answer that confirmed a start of the run; it names no incarnation of the worker. */
  answeredAt = -Infinity
  /** Whether the worker's current incarnation has listed the run in answer to a heartbeat that was sent after `answeredAt`. */
  isListed = false
  /** Number of times that the start was sent without learning whether it was executed. */
  unansweredStarts = 0
  /** Monotonic time in milliseconds at which the start was first sent; -Infinity if it wasn't, or an earlier leader sent it. */
  sentAt = -Infinity
  /** Number of times that the start was sent, and number of these calls that are open. */
  private sentStarts = 0
  private openStarts = 0
  /** Monotonic time in milliseconds until which a start may be carried out that an earlier leader has sent without learning the same. */
  earlierStartsUntil = -Infinity
  percent = 0
  /** Progress in percent when this leader started or adopted the run. */
  startPercent = 0
  /** Monotonic time in milliseconds of the start, the last progress, or the first report after a gap in the worker's reports. */
  progressAt: number
  checkpoint: string
  /** Whether the task may have crashed a worker before this run. */
  readonly isSuspect: boolean
  /** Monotonic time in milliseconds since which the run is known to run; undefined until its start is confirmed. */
  private runningSince: number | undefined
  /** Whether nothing else may start beside the run: lasting tasks only for a while, others for as long as it runs. */
  readonly mustRunAlone: boolean

  private constructor (
    readonly id: TaskId,
    readonly number: number,
    public worker: WorkerLink,
    /** Undefined if this leader doesn't have the job. */
    readonly task: Task | undefined,
    readonly fencingToken: number,
    /** Monotonic time in milliseconds at which the start was sent or, until then, planned. */
    public startedAt: number
  ) {
    this.progressAt = startedAt
    this.checkpoint = task?.checkpoint ?? ''
    const crashes = task?.crashes()
    this.isSuspect = crashes?.isSuspect() === true
    this.mustRunAlone = crashes?.mustRunAlone() === true
  }

  static create (fields: Pick<Run, 'id' | 'number' | 'worker' | 'task' | 'fencingToken' | 'startedAt'>): Run {
    return new Run(fields.id, fields.number, fields.worker, fields.task, fields.fencingToken, fields.startedAt)
  }

  /** Records that the start is being sent, possibly long after it was planned. */
  markSent (now: number): void {
    this.isSent = true
    this.sentAt = now
    this.startedAt = now
    this.progressAt = now
  }

  /** Records that the start is sent once more. */
  beginStart (): void {
    this.sentStarts++
    this.openStarts++
    this.unansweredStarts++
  }

  /** Records the outcome of one of these calls. `isCertain`: whether it is known if the start was executed. */
  endStart (isCertain: boolean): void {
    this.openStarts--
    if (isCertain) this.unansweredStarts--
  }

  /**
   * Whether a report of an incarnation, in answer to a heartbeat that was sent at this monotonic time, may list the end of
   * the run while the next incarnation has taken it: the start was sent again, and may have been answered since.
   */
  mayBeOnNextIncarnation (sentAt: number): boolean {
    return this.sentStarts > 1 && (this.openStarts > 0 || sentAt < this.answeredAt)
  }

  /** Records an answer that confirms a start: it may be of a later incarnation than the one that has listed the run. */
  markAnswered (now: number): void {
    this.answeredAt = now
    this.isListed = false
  }

  /** Records that the worker has confirmed the start; `now` is a monotonic time in milliseconds. */
  markRunning (now: number): void {
    if (this.state === 'starting') this.state = 'running'
    this.runningSince ??= now
    if (this.task !== undefined) this.task.step.job.hasStarted = true
  }

  /** Whether not even lasting tasks may start beside the run now. */
  isExclusive (now: number): boolean {
    return this.mustRunAlone && now - (this.runningSince ?? now) < EXCLUSIVE_MS
  }

  /** Whether the next incarnation of the worker may have the run, should the current one end. */
  mayOutliveIncarnation (now: number): boolean {
    return this.isSent && (!this.isListed || this.unansweredStarts > 0 || now <= this.earlierStartsUntil)
  }

  /** Continues the run on the next incarnation of its worker, which hasn't confirmed it yet. */
  moveToIncarnation (worker: WorkerLink, now: number): void {
    this.worker = worker
    if (this.state !== 'stopping') this.state = 'starting'
    this.confirmedAtMs = undefined
    this.runningSince = undefined
    this.answeredAt = -Infinity
    this.isListed = false
    this.percent = 0
    this.startPercent = 0
    // Only the next incarnation can have begun the run, which its duration and pace are measured from.
    this.startedAt = now
    this.progressAt = now
  }

  /** Capacity that the run takes. Undefined if this leader doesn't have the job; nothing may be started next to such a run. */
  need (): ResourceVector | undefined {
    return this.task?.step.need
  }
}

/** A run that was started and of which no end is known: its worker may crash, or have crashed, under it. */
export interface OpenRun {
  readonly number: number
  readonly workerId: string
  /** Incarnation of the worker, as in its registry entry. */
  readonly born: number
  /** Unix time of the start, in milliseconds. */
  readonly startedAtMs: number
}

const NO_RUNS: readonly OpenRun[] = []
const NO_TASKS: readonly Task[] = []

export class Task {
  private hasEnded = false
  lastRunNumber = 0
  checkpoint = ''
  /** Numbers of the failed runs; of a lasting task, the number of its latest run only. */
  readonly failedRuns = new Set<number>()
  /** Crashes under runs of this task; of a gang, those of its first task count for all. */
  readonly ownCrashes = CrashRecord.create()
  /** Monotonic time in milliseconds since which the task has waited for a worker without other work; undefined while it doesn't. */
  waitsAloneSince: number | undefined
  /** Workers on which a run of this task has failed or stalled. */
  readonly avoidedWorkers = AvoidedWorkers.create()
  private readonly activeRuns: Run[] = []
  private open: readonly OpenRun[] = NO_RUNS
  /** Runs under whose crash an outage may yet be found; they stay among the open runs, so that a successor decides again. */
  private readonly undecidedRuns = new Set<number>()
  private holds = 0

  private constructor (readonly step: Step, readonly index: number) {}

  /** A task of which nothing is known. Its step keeps it from its first run on. */
  static create (step: Step, index: number): Task {
    return new Task(step, index)
  }

  /** A task that has ended earlier. */
  static createDone (step: Step, index: number): Task {
    const task = new Task(step, index)
    task.hasEnded = true
    return task
  }

  // Queries

  get isDone (): boolean {
    return this.hasEnded
  }

  get runs (): readonly Run[] {
    return this.activeRuns
  }

  id (): TaskId {
    const { job, occurrence, index } = this.step
    return { jobId: job.id, occurrence, step: index, index: this.index }
  }

  crashes (): CrashRecord {
    return this.step.countedTask(this).ownCrashes
  }

  /** True while the task may not start: a crash under it isn't stored, so that a later leader might not count it, or it would be given up for one that may be of an outage. */
  get isHeld (): boolean {
    return this.holds > 0
  }

  /** Runs of which no end is known, or whose crash isn't decided, in the order of their starts: those of this leader, and others that an earlier one has stored. */
  openRuns (): readonly OpenRun[] {
    return this.open
  }

  /** Whether there is anything to store of a task that isn't done. */
  hasState (): boolean {
    return this.checkpoint !== '' || this.failedRuns.size > 0 || this.open.length > 0 || this.ownCrashes.hasRecord()
  }

  isWaiting (): boolean {
    return !this.hasEnded && this.activeRuns.length === 0
  }

  // Commands

  addRun (run: Run): void {
    this.step.keep(this)
    this.update(() => this.activeRuns.push(run))
  }

  removeRun (run: Run): void {
    this.update(() => this.activeRuns.splice(this.activeRuns.indexOf(run), 1))
    if (this.hasEnded && this.activeRuns.length === 0) this.step.release(this)
  }

  addOpenRun (run: OpenRun): void {
    // The run goes on with the next incarnation of its worker.
    this.undecidedRuns.delete(run.number)
    this.open = [...this.open.filter(({ number }) => number !== run.number), run].slice(-MAX_OPEN_RUNS_PER_TASK)
  }

  closeRun (number: number): void {
    if (this.undecidedRuns.has(number)) return
    this.open = this.open.length === 1 && this.open[0]?.number === number ? NO_RUNS : this.open.filter(run => run.number !== number)
  }

  /** Keeps a run under which a worker has crashed among the open ones until the crash is decided. */
  keepOpen (number: number): void {
    this.undecidedRuns.add(number)
  }

  /** Takes note that it is decided whether the crash under a run counts. */
  settleRun (number: number): void {
    if (this.undecidedRuns.delete(number)) this.closeRun(number)
  }

  hold (): void {
    this.holds++
  }

  release (): void {
    this.holds--
  }

  markDone (): void {
    this.update(() => { this.hasEnded = true })
    if (this.activeRuns.length === 0) this.step.release(this)
  }

  private update (change: () => void) {
    const wasWaiting = this.isWaiting()
    change()
    this.step.waitingTasks += Number(this.isWaiting()) - Number(wasWaiting)
  }
}

/**
 * One step of one occurrence of a job. Its tasks are alike until they start: only those of which something is known are
 * objects, and done ones are marks.
 */
export class Step {
  /** Capacity that one task takes on its worker. A task that uses idle capacity counts with no processor time. */
  readonly need: ResourceVector
  /** Tasks that aren't done, or have runs, and of which something is known. */
  private readonly known = new Map<number, Task>()
  private readonly done: Marks
  /** Checkpoint that all members of a gang share; empty if there is none, or the step is no gang. */
  private gangCheckpoint = ''
  /** The untouched task that was looked at last. */
  private nextUntouched: Task | undefined
  /** No task before this index is untouched. */
  private firstUntouched = 0
  /** Rows of their own for ranges of tasks, if the job doesn't fit into one. */
  private readonly rangeRows = new Map<number, RangeRow>()
  /** Number of tasks that aren't done. */
  remainingTasks: number
  /** Number of tasks that aren't done and have no run; kept by the tasks, since each scheduling round asks for it. */
  waitingTasks: number
  /** Whether workers have crashed under tasks of this step; lets scheduling rounds pass over the records of all others. */
  hasSuspects = false
  /** Monotonic time in milliseconds before which no task is started, because a worker refused a start or could not be reached. */
  notBefore = 0
  /** Workers on which a run of this step has failed or stalled. */
  readonly avoidedWorkers = AvoidedWorkers.create()
  /** What the step has waited for since its last start. */
  readonly waitTimes = WaitTimes.create()

  constructor (readonly job: Job, readonly occurrence: number, readonly index: number, readonly spec: StepSpec) {
    this.done = Marks.create(spec.count)
    this.remainingTasks = spec.count
    this.waitingTasks = spec.count
    this.need = spec.usesIdleCapacity ? { ...spec.need, milliCores: 0 } : spec.need
  }

  // Queries

  /** Task with an index; undefined if the step has none. */
  task (index: number): Task | undefined {
    if (index < 0 || index >= this.spec.count) return undefined
    const known = this.known.get(index)
    if (known !== undefined) return known
    if (this.done.has(index)) return Task.createDone(this, index)
    const task = this.createTask(index)
    this.keep(task)
    return task
  }

  /** Tasks that have runs, or that aren't done and of which something is known. */
  knownTasks (): Iterable<Task> {
    return this.known.values()
  }

  /** Known tasks that aren't done and have no run. */
  waitingKnownTasks (): readonly Task[] {
    if (this.known.size === 0) return NO_TASKS
    return [...this.known.values()].filter(task => task.isWaiting())
  }

  /** Tasks of which nothing is known yet, in order. Those that get no run are forgotten again. */
  * untouchedTasks (): Iterable<Task> {
    for (let index = this.firstUntouched; index < this.spec.count; index++) {
      const isUntouched = !this.known.has(index) && !this.done.has(index)
      if (isUntouched) yield this.untouchedTask(index)
      else if (index === this.firstUntouched) this.firstUntouched++
    }
  }

  /** Whether the tasks have a latency target. Tasks on idle capacity of the same worker could make them miss it. */
  hasLatencyTarget (): boolean {
    return this.spec.latencyTargetMs > 0
  }

  isDone (): boolean {
    return this.remainingTasks === 0
  }

  hasWaitingTasks (): boolean {
    return this.waitingTasks > 0
  }

  /** Number of the range of tasks whose progress shares a row with that of a task. */
  rangeOf (index: number): number {
    return this.spec.gang ? 0 : Math.floor(index / this.job.layout.tasksPerRow)
  }

  /** Index of the first task of a range. */
  firstOf (range: number): number {
    return Math.min(this.spec.count, range * (this.spec.gang ? this.spec.count : this.job.layout.tasksPerRow))
  }

  rangeRow (range: number): ProgressRow {
    const row = this.rangeRows.get(range) ?? new RangeRow(this, range)
    this.rangeRows.set(range, row)
    return row
  }

  /** What is stored of the tasks from index `first` up to `end`. */
  rowTasks (first: number, end: number): RowTasks {
    const isWhole = end - first >= this.spec.count
    const members = isWhole ? [...this.known.values()] : Array.from({ length: end - first }, (_, offset) => this.known.get(first + offset) ?? []).flat()
    return { done: this.done.format(first, end), tasks: members.filter(task => !task.isDone).sort((a, b) => a.index - b.index) }
  }

  /** Ranges with tasks of which there is something to store. */
  rangesInUse (): ReadonlySet<number> {
    return new Set([...this.done.all(), ...[...this.known.values()].filter(task => task.hasState()).map(({ index }) => index)].map(index => this.rangeOf(index)))
  }

  /** Restores what was stored of the tasks from index `first` on. */
  restore (stored: StepProgress, first: number): void {
    for (let offset = 0; offset < stored.done.length; offset++) {
      if (stored.done[offset] === '1' && first + offset < this.spec.count) this.markDoneAt(first + offset)
    }
    const records = [stored.failed, stored.crashed, stored.crashedAlone, stored.crashedInOutage, stored.endedAfterCrash, stored.openAfterCrash, stored.open, stored.checkpoints]
    const indexes = new Set(records.flatMap(record => Object.keys(record ?? {}).map(Number)))
    for (const index of [...indexes].sort((a, b) => a - b)) {
      const task = this.task(index)
      if (task !== undefined && !task.isDone) this.restoreTask(task, stored)
    }
  }

  private restoreTask (task: Task, stored: StepProgress) {
    const { index } = task
    for (const run of stored.failed?.[index] ?? []) task.failedRuns.add(run)
    const crashes = { all: stored.crashed?.[index] ?? [], alone: stored.crashedAlone?.[index] ?? [], outage: stored.crashedInOutage?.[index] ?? [], ended: stored.endedAfterCrash?.[index] ?? [], open: stored.openAfterCrash?.[index] ?? [] }
    task.ownCrashes.restore(crashes)
    this.hasSuspects ||= task.ownCrashes.hasRecord()
    for (const [number, workerId, born, startedAtMs] of stored.open?.[index] ?? []) task.addOpenRun({ number, workerId, born, startedAtMs })
    const checkpoint = stored.checkpoints?.[index]
    if (checkpoint !== undefined) this.saveCheckpoint(task, checkpoint)
    task.lastRunNumber = Math.max(task.lastRunNumber, ...task.failedRuns, ...crashes.all, ...crashes.outage, ...crashes.ended, ...crashes.open, ...task.openRuns().map(run => run.number))
  }

  /** Whether all steps that this one depends on are done. */
  isReady (): boolean {
    const steps = this.job.occurrences.get(this.occurrence)
    return steps !== undefined && steps !== 'done' && this.spec.after.every(index => steps[index]?.isDone() === true)
  }

  /** Why no waiting task may be started, whatever the room; undefined if one may. */
  obstacle (): Exclude<StepObstacle, 'start-refused'> | undefined {
    if (!this.hasWaitingTasks() || this.isDone()) return 'nothing-waits'
    if (!this.isReady()) return 'dependency'
    return this.spec.gang && this.waitingTasks < this.spec.count ? 'gang-runs' : undefined
  }

  /**
   * Lowest run number for the next start: higher than all numbers of earlier leaders and, for a gang, of all its members.
   * For other tasks, the caller also has to exceed the last run number of the task.
   */
  nextRunNumber (epoch: number): number {
    const lastRunNumber = this.spec.gang ? Math.max(0, ...[...this.known.values()].map(task => task.lastRunNumber)) : 0
    return Math.max(lastRunNumber, (epoch - 1) * RUNS_PER_EPOCH) + 1
  }

  /** The same object in each round until the task gets a run: in a burst, rounds ask for it thousands of times a second. */
  private untouchedTask (index: number): Task {
    if (this.nextUntouched?.index !== index) this.nextUntouched = this.createTask(index)
    return this.nextUntouched
  }

  private createTask (index: number): Task {
    const task = Task.create(this, index)
    task.checkpoint = this.gangCheckpoint
    return task
  }

  /** Keeps a task of which something is known. */
  keep (task: Task): void {
    this.known.set(task.index, task)
  }

  /** Forgets a task that is done. */
  release (task: Task): void {
    if (this.known.get(task.index) === task) this.known.delete(task.index)
  }

  markDone (task: Task): void {
    if (!this.spec.gang) return this.markDoneAt(task.index)
    for (let index = 0; index < this.spec.count; index++) this.markDoneAt(index)
  }

  private markDoneAt (index: number) {
    if (this.done.has(index)) return
    this.done.add(index)
    this.remainingTasks--
    const task = this.known.get(index)
    if (task === undefined) this.waitingTasks--
    else task.markDone()
  }

  /** Records the checkpoint from which a task resumes. All members of a gang share one checkpoint. */
  saveCheckpoint (task: Task, checkpoint: string): void {
    if (checkpoint === '') return
    if (this.spec.gang) this.gangCheckpoint = checkpoint
    for (const member of this.spec.gang ? this.knownTasks() : [task]) member.checkpoint = checkpoint
  }

  /** Records that a run of a task has failed or stalled on a worker, so that others are tried first. */
  avoidWorker (task: Task, workerId: string, now: number): void {
    this.avoidedWorkers.add(workerId, now)
    task.avoidedWorkers.add(workerId, now)
  }

  /** The task that holds the counts of a task: the members of a gang fail together and share one count. */
  countedTask (task: Task): Task {
    return this.spec.gang ? this.task(0) ?? task : task
  }

  /** Records that a worker has crashed under a run of a task. Until it is settled, the crash may prove to be of an outage. */
  recordCrash (task: Task, runNumber: number, isAlone: boolean, workerId = ''): void {
    task.keepOpen(runNumber)
    this.hasSuspects = true
    const { ownCrashes } = this.countedTask(task)
    ownCrashes.add(runNumber, isAlone, chargeOf(task, workerId))
    for (const member of this.spec.gang ? this.knownTasks() : [task]) for (const { number } of member.openRuns()) ownCrashes.addStart(number)
  }

  /** Records that the crash of a worker under a run of a task was of an outage. */
  excuseCrash (task: Task, runNumber: number, workerId: string): void {
    task.settleRun(runNumber)
    this.countedTask(task).ownCrashes.excuse(runNumber, chargeOf(task, workerId))
  }

  /** Records that a run of a task was not yet on a worker when that crashed. */
  withdrawCrash (task: Task, runNumber: number, workerId: string): void {
    this.countedTask(task).ownCrashes.withdraw(runNumber, chargeOf(task, workerId))
  }

  /** Records that a run of a task is sent to a worker. */
  recordStart (task: Task, run: OpenRun): void {
    task.addOpenRun(run)
    this.countedTask(task).ownCrashes.addStart(run.number)
  }

  /** Records that a run of a task has ended, or is certainly not running any more, without a crash of its worker. */
  recordEnd (task: Task, runNumber: number): void {
    task.closeRun(runNumber)
    // The worker of another member of the gang may have crashed.
    if (!this.hasOpenRun(runNumber, task)) this.countedTask(task).ownCrashes.addEnd(runNumber)
  }

  /** Records that a run of a task was not started after all, or ended by itself: neither is held against the task. */
  withdrawStart (task: Task, runNumber: number): void {
    task.closeRun(runNumber)
    if (!this.hasOpenRun(runNumber, task)) this.countedTask(task).ownCrashes.withdrawStart(runNumber)
  }

  /** Whether no end is known of a run of another member of the task's gang. */
  private hasOpenRun (runNumber: number, task: Task): boolean {
    return this.spec.gang && [...this.known.values()].some(member => member !== task && member.openRuns().some(run => run.number === runNumber))
  }

  /**
   * Records the latest run of a lasting task, after which a later leader numbers the next one. Earlier runs are dropped, as
   * there may be any number of them.
   */
  recordLatestRun (task: Task, runNumber: number): void {
    const { failedRuns } = this.countedTask(task)
    const latest = Math.max(runNumber, ...failedRuns)
    failedRuns.clear()
    failedRuns.add(latest)
  }

  /** Records a failed run and returns the number of failures so far. */
  recordFailure (task: Task, runNumber: number): number {
    const countedTask = this.countedTask(task)
    countedTask.failedRuns.add(runNumber)
    return countedTask.failedRuns.size
  }
}

/** A live job and the state of its tasks. */
export class Job implements ProgressRow {
  readonly occurrences = new Map<number, 'done' | Step[]>()
  outcome: JobOutcome | undefined
  isCancelled = false
  /** Whether a worker has confirmed a start of one of its tasks. */
  hasStarted = false
  /** True once the store has confirmed the row with the outcome. */
  isOutcomeStored = false
  /** Version of the first progress row; 0 if there is none. */
  progressVersion = 0
  /** How the progress is divided into rows. */
  readonly layout: RowLayout
  /** Keys of the rows that are stored beside the first one. */
  private readonly storedRanges = new Set<string>()
  /** Rows that must be stored before the first one, which still holds their progress in the form of earlier versions. */
  private readonly rowsToConvert = new Set<ProgressRow>()
  /** Memory that the job is accounted for on this leader, in bytes. */
  accountedBytes = 0
  /** Input of the tasks. Undefined until read from the store if this leader wasn't notified of the admission. */
  payload: string | undefined
  /** Times at which the job passed its stations on this leader; undefined unless the job is followed. */
  readonly hops: HopTimes | undefined
  /** The queue as it was when the job was admitted; undefined if the job's row doesn't say it. */
  readonly admissionQueue: JobQueue | undefined

  private constructor (
    readonly id: string,
    readonly record: JobRecord,
    /** Version of the row that admitted the job. */
    readonly version: number
  ) {
    const { queue: name, service, terms } = record
    this.hops = HopTimes.create(id, record.admittedAtMs)
    this.admissionQueue = terms === undefined ? undefined : { ...terms, name, service }
    this.layout = layoutOf(record.spec.steps, record.spec.schedule?.repetitions ?? 1, terms?.maxAttempts ?? Infinity)
  }

  get job (): Job {
    return this
  }

  /** Key of the first progress row. */
  get key (): string {
    return this.id
  }

  /** Records that the row of a range is stored. */
  recordStoredRange (row: ProgressRow): void {
    this.storedRanges.add(row.key)
    this.rowsToConvert.delete(row)
  }

  /** Rows that replace the first one of an earlier version. */
  unconvertedRows (): Iterable<ProgressRow> {
    return this.rowsToConvert
  }

  static create (id: string, record: JobRecord, version: number): Job {
    const job = new Job(id, record, version)
    if (record.spec.schedule === undefined) job.addOccurrence(0)
    return job
  }

  addOccurrence (occurrence: number): void {
    if (this.occurrences.has(occurrence)) return
    this.occurrences.set(occurrence, this.record.spec.steps.map((spec, index) => new Step(this, occurrence, index, spec)))
  }

  /** Adds the occurrences of a scheduled job that are due at a Unix time in milliseconds. */
  addDueOccurrences (unixMs: number): void {
    const { schedule } = this.record.spec
    if (schedule === undefined) return
    let live = [...this.occurrences.values()].filter(steps => steps !== 'done').length
    for (let occurrence = this.occurrences.size; occurrence < schedule.repetitions; occurrence++) {
      if (schedule.firstRunMs + occurrence * schedule.intervalMs > unixMs || live++ >= MAX_LIVE_OCCURRENCES) return
      this.addOccurrence(occurrence)
    }
  }

  /**
   * Task of a run that a worker lists. Adds its occurrence if it is missing: whoever started the run knew that it was
   * due, but this daemon may not have checked for due occurrences yet, or its wall clock may be behind.
   */
  listedTask (id: TaskId): Task | undefined {
    const repetitions = this.record.spec.schedule?.repetitions ?? 0
    for (let occurrence = this.occurrences.size; occurrence <= Math.min(id.occurrence, repetitions - 1); occurrence++) this.addOccurrence(occurrence)
    return this.task(id)
  }

  task ({ occurrence, step, index }: TaskId): Task | undefined {
    const steps = this.occurrences.get(occurrence)
    return steps === undefined || steps === 'done' ? undefined : steps[step]?.task(index)
  }

  /** Steps with tasks that aren't done. */
  * liveSteps (): Iterable<Step> {
    for (const steps of this.occurrences.values()) {
      if (steps === 'done') continue
      for (const step of steps) if (!step.isDone()) yield step
    }
  }

  * runs (): Iterable<Run> {
    for (const steps of this.occurrences.values()) {
      if (steps === 'done') continue
      for (const step of steps) for (const task of step.knownTasks()) yield * task.runs
    }
  }

  /** Runs of tasks that aren't done and of which no end is known. */
  * openRuns (): Iterable<{ readonly task: Task, readonly run: OpenRun }> {
    for (const step of this.liveSteps()) {
      for (const task of step.knownTasks()) if (!task.isDone) for (const run of task.openRuns()) yield { task, run }
    }
  }

  /** Drops the steps of the occurrence if all are done and no run is left. Returns whether the whole job is done. */
  compactOccurrence (occurrence: number): boolean {
    const steps = this.occurrences.get(occurrence)
    if (steps !== undefined && steps !== 'done' && steps.every(step => step.isDone())) {
      if (steps.every(step => [...step.knownTasks()].every(task => task.runs.length === 0))) this.occurrences.set(occurrence, 'done')
    }
    const expectedOccurrences = this.record.spec.schedule?.repetitions ?? 1
    return this.occurrences.size >= expectedOccurrences &&
      [...this.occurrences.values()].every(occurrenceSteps => occurrenceSteps === 'done' || occurrenceSteps.every(step => step.isDone()))
  }

  progress (): JobProgress {
    const liveSteps = [...this.occurrences.values()].flatMap(steps => steps === 'done' ? [] : steps)
    const encoded = encodeRow(liveSteps.map(step => step.rowTasks(0, step.spec.count))).values()
    return Object.fromEntries([...this.occurrences].map(([occurrence, steps]) => [
      String(occurrence),
      steps === 'done' ? 'done' : steps.map((): StepProgress => encoded.next().value ?? { done: '' })
    ]))
  }

  /** The row that holds the progress of a task. */
  rowOf ({ step, index }: Task): ProgressRow {
    return this.layout.isCompact ? this : step.rangeRow(step.rangeOf(index))
  }

  /** Keys of the rows of an occurrence, or of all, beside the first one of the job. */
  rangeKeys (occurrence?: number): readonly string[] {
    return [...this.storedRanges].filter(key => occurrence === undefined || parseRangeKey(key)?.occurrence === occurrence)
  }

  /** Value of the first row of the job. */
  value (unixMs: number): StoredProgress {
    if (this.outcome !== undefined) return { outcome: this.outcome, endedAtMs: unixMs }
    if (this.layout.isCompact || this.rowsToConvert.size > 0) return { occurrences: this.progress() }
    return { doneOccurrences: formatRanges([...this.occurrences].filter(([, steps]) => steps === 'done').map(([occurrence]) => occurrence).sort((a, b) => a - b)) }
  }

  /** Restores the progress that an earlier leader stored, as far as it is in the first row. */
  restoreFirstRow (progress: Exclude<StoredProgress, EndedRecord>, version: number): void {
    this.progressVersion = version
    if ('occurrences' in progress) return this.restore(progress.occurrences, version)
    const repetitions = this.record.spec.schedule?.repetitions ?? 1
    for (const [first, last] of parseRanges(progress.doneOccurrences) ?? []) {
      for (let occurrence = first; occurrence <= Math.min(last, repetitions - 1); occurrence++) this.occurrences.set(occurrence, 'done')
      this.hasStarted = true
    }
  }

  /** Restores the progress of a range of tasks that an earlier leader stored. */
  restoreRange ({ occurrence, step, range }: RangeKey, progress: StepProgress, version: number): void {
    if (!this.listsOccurrence(occurrence)) return
    this.addOccurrence(occurrence)
    const steps = this.occurrences.get(occurrence)
    if (steps === undefined || steps === 'done' || steps[step] === undefined) return
    this.hasStarted ||= hasBegun(progress)
    steps[step].rangeRow(range).progressVersion = version
    steps[step].restore(progress, steps[step].firstOf(range))
  }

  private listsOccurrence (occurrence: number): boolean {
    return occurrence < (this.record.spec.schedule?.repetitions ?? 1)
  }

  /** Restores the progress that an earlier leader stored in one row. */
  restore (progress: JobProgress, version: number): void {
    this.progressVersion = version
    this.hasStarted ||= Object.values(progress).some(steps => steps === 'done' || steps.some(hasBegun))
    for (const [key, storedSteps] of Object.entries(progress)) {
      const occurrence = Number(key)
      if (storedSteps === 'done') {
        this.occurrences.set(occurrence, 'done')
        continue
      }
      this.addOccurrence(occurrence)
      const currentSteps = this.occurrences.get(occurrence)
      if (currentSteps === undefined || currentSteps === 'done') continue
      storedSteps.forEach((stored, index) => { if (currentSteps[index] !== undefined) currentSteps[index].restore(stored, 0) })
    }
    if (this.layout.isCompact) return
    for (const steps of this.occurrences.values()) {
      if (steps !== 'done') for (const step of steps) for (const range of step.rangesInUse()) this.rowsToConvert.add(step.rangeRow(range))
    }
  }
}

/** A row of the progress table and what it holds. */
export interface ProgressRow {
  readonly job: Job
  readonly key: string
  /** Version of the stored row; 0 if there is none. */
  progressVersion: number
  /** Value of the row, by a Unix time in milliseconds. */
  value (unixMs: number): StoredProgress | StepProgress
}

/** Row with the progress of a range of the tasks of one step, of a job that doesn't fit into one row. */
class RangeRow implements ProgressRow {
  readonly key: string
  private storedVersion = 0

  constructor (private readonly step: Step, private readonly range: number) {
    this.key = formatRangeKey({ jobId: step.job.id, occurrence: step.occurrence, step: step.index, range })
  }

  get job (): Job {
    return this.step.job
  }

  get progressVersion (): number {
    return this.storedVersion
  }

  set progressVersion (version: number) {
    this.storedVersion = version
    if (version > 0) this.job.recordStoredRange(this)
  }

  value (): StepProgress {
    const { step, range } = this
    const [progress] = encodeRow([step.rowTasks(step.firstOf(range), step.firstOf(range + 1))])
    return progress ?? { done: '' }
  }
}

/** Name of the crash of a worker for one member of a gang. */
function chargeOf ({ index }: Task, workerId: string): string {
  return `${index} ${workerId}`
}

/** Whether a task of the step has run for certain: an open run may not have been sent. */
function hasBegun ({ done, failed, crashed, crashedInOutage, checkpoints }: StepProgress): boolean {
  return done.includes('1') || failed !== undefined || crashed !== undefined || crashedInOutage !== undefined || checkpoints !== undefined
}
