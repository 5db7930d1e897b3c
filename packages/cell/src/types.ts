/** Resources that a worker has or a task needs, in whole numbers so that sums are exact. */
export interface ResourceVector {
  /** Processor time in thousandths of a core. */
  readonly milliCores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** Maximum number of tasks of one step; limits the memory that one job can take. */
export const MAX_TASKS_PER_STEP = 10_000

/** One step of a job: `count` tasks of the same kind. */
export interface StepSpec {
  readonly count: number
  /** Resources that one task needs. */
  readonly need: ResourceVector
  /** Rough estimate of the run time of a task, in milliseconds; 0 when unknown. */
  readonly estimateMs: number
  /** Indexes of the steps whose tasks must all be done before this step starts. */
  readonly after: readonly number[]
  /** All tasks run at the same time, under one run number, and finish together. */
  readonly gang: boolean
  /** The tasks run slower when they are spread over several racks. */
  readonly rackLocal: boolean
  /** Label that the worker must have; empty when any worker will do. */
  readonly requiredLabel: string
  /** Rack that holds the data; empty when there is no preference. */
  readonly affinityRack: string
  /** Maximum number of tasks of this step on one worker; 0 when unlimited. */
  readonly maxPerWorker: number
  /** Several runs of a task may be active at the same time; the first that is done counts. */
  readonly speculative: boolean
  /** The tasks run until the job is cancelled and are restarted whenever they finish, with any status. */
  readonly longRunning: boolean
  readonly checkpoints: boolean
  /** The tasks reserve no processor time and use what the other tasks on the worker leave idle. */
  readonly usesIdleCapacity: boolean
  /** Target for the tail latency of each task's responses to its users, in milliseconds; 0 when it serves none. */
  readonly latencyTargetMs: number
  /** Maximum number of tasks that maintenance may make unavailable at the same time; 0 when unlimited. */
  readonly maxUnavailable: number
}

/** Recurrence of a job whose steps run several times. */
export interface Schedule {
  /** Unix time of the first occurrence, in milliseconds. */
  readonly firstRunMs: number
  readonly intervalMs: number
  readonly repetitions: number
}

export interface JobSpec {
  /** Opaque instructions for the tasks, passed to the workers unchanged. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly schedule?: Schedule
}

/** Call times and ticket validity of a queue's placement policy service. */
export interface AdvicePolicy {
  /** Base duration of one call, in milliseconds. */
  readonly decisionMs: number
  /** Additional duration for each worker named in a call, in milliseconds. */
  readonly perWorkerMs: number
  /** Time for which a ticket can be used, in milliseconds. */
  readonly validityMs: number
}

/** Terms under which a queue's jobs run. */
export interface QueueTerms {
  /** 0 is the highest priority. */
  readonly priority: number
  /** Number of failed runs of a task, or of a gang, after which the job fails. */
  readonly maxAttempts: number
  /** Factor by which a job may exceed its ideal run time and still be on time. */
  readonly slackFactor: number
  /** Time added to a job's objective, in milliseconds. */
  readonly targetLatencyMs: number
  readonly advice?: AdvicePolicy
}

/** A queue without the requests that it is for. */
export interface JobQueue extends QueueTerms {
  readonly name: string
  /** Service whose workers run the queue's tasks. */
  readonly service: string
}

/** A job queue as defined in the configuration. */
export interface Queue extends JobQueue {
  readonly host: string
  readonly pathPrefix: string
  /** Whether requests need no key of a client account. */
  readonly isPublic: boolean
}

/** Parties whose callers share keys, a limit, and a share of the cell. */
export interface ClientAccount {
  readonly name: string
  /** SHA-256 digests of the keys of the account's callers, in hexadecimal; the keys themselves are not kept. */
  readonly keyDigests: readonly string[]
  /** Orders accounts of equal standing; 0 is the highest priority. */
  readonly priority: number
  /** Share of the account when the cell is full, and the number of jobs a second that it is owed. */
  readonly weight: number
  /** Resources that the account's tasks may take over all workers at a time; a resource with 0 has no limit. */
  readonly limit: ResourceVector
}

/** Limits of the listener for callers. */
export interface IngressLimits {
  readonly maxBodyBytes: number
}

/** One version of the configuration. */
export interface CellConfig {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly limits: IngressLimits
  /** Client accounts; missing if the cell has none, so that requests need no key. */
  readonly accounts?: readonly ClientAccount[]
}

/** A worker as listed in the registry. */
export interface WorkerEntry {
  readonly id: string
  /** Start of this incarnation in Unix milliseconds; a worker may restart under the same id. */
  readonly born: number
  readonly service: string
  /** `ip:port` of the worker's interface. */
  readonly address: string
  readonly zone: string
  readonly state: 'ready' | 'draining'
  /** Shortest time until a draining worker leaves, in milliseconds, when the entry was written; its runs end then. */
  readonly leavesInMs?: number
  readonly capacity: ResourceVector
  /** Kind and rack of the worker. */
  readonly labels: readonly string[]
}

/** A VM of the platform; each time it starts it runs a new worker. */
export interface WorkerVm {
  readonly id: string
  readonly state: 'up' | 'moving' | 'maintenance' | 'down'
  /** Worker that the VM runs; empty when it runs none. */
  readonly workerId: string
}

/** An operator's request to maintain each of these VMs within a time limit. */
export interface MaintenanceWave {
  readonly number: number
  readonly vmIds: readonly string[]
  /** Time within which all maintenance must be completed, in milliseconds. */
  readonly durationMs: number
  /** Maximum number of VMs that may be in maintenance at the same time. */
  readonly maxConcurrent: number
}

/** Identifies a task. Occurrence and step are numbered from 0 within the job, the index from 0 within the step. */
export interface TaskId {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/** A run that a worker lists as running. */
export interface RunningTask {
  readonly task: TaskId
  readonly run: number
  /** Latest checkpoint; empty when there is none. */
  readonly checkpoint: string
  /** Progress in percent. */
  readonly percent: number
}

/**
 * How a run finished. `lapsed`: its lease expired; `broken`: another member of its gang did not finish as `done`;
 * `alone`: the other members of its gang did not start in time.
 */
export type FinishStatus = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** A finished run, listed by the worker until it is acknowledged. */
export interface FinishedRun {
  /** Position in the worker's list of finished runs, starting at 1 in each incarnation of the worker. */
  readonly sequence: number
  readonly task: TaskId
  readonly run: number
  readonly status: FinishStatus
  readonly checkpoint: string
}

/** Runs and clock that a worker reports in answer to a heartbeat. */
export interface WorkerReport {
  readonly born: number
  /** The worker's monotonic clock in milliseconds. */
  readonly clockMs: number
  readonly running: readonly RunningTask[]
  readonly ended: readonly FinishedRun[]
}

export type JobOutcome = 'completed' | 'failed' | 'cancelled'
export type JobState = 'queued' | 'active' | JobOutcome

/** Whether a job in this state never changes again. */
export function isFinal (state: JobState): state is JobOutcome {
  return state !== 'queued' && state !== 'active'
}

const TASK_ID_PATTERN = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/

export function formatTaskId ({ jobId, occurrence, step, index }: TaskId): string {
  return `${jobId}.${occurrence}.${step}.${index}`
}

/** Returns undefined when the text isn't a task id. */
export function parseTaskId (text: string): TaskId | undefined {
  const match = TASK_ID_PATTERN.exec(text)
  if (match === null) return undefined
  return { jobId: match[1] ?? '', occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}

/** Formats the id of a step of one occurrence, as the placement policy service expects it. */
export function formatStepId ({ jobId, occurrence, step }: Omit<TaskId, 'index'>): string {
  return `${jobId}.${occurrence}.${step}`
}
