/** Amounts of what a worker has or a task needs, in whole numbers so that sums are exact. */
export interface ResourceVector {
  /** Processor time in thousandths of a core. */
  readonly milliCores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** One step of a job: `count` tasks of the same kind. */
export interface StepSpec {
  readonly count: number
  /** What one task needs. */
  readonly need: ResourceVector
  /** Rough estimate of the run time of a task, in milliseconds; 0 when unknown. */
  readonly estimateMs: number
  /** Indexes of the steps whose tasks must all be done first. */
  readonly after: readonly number[]
  /** All tasks run together, under one run number, and end together. */
  readonly gang: boolean
  /** The tasks run slower when they are spread over several racks. */
  readonly rackLocal: boolean
  /** Label that the worker must have; empty when any worker will do. */
  readonly requiredLabel: string
  /** Rack that holds the data; empty when there is no preference. */
  readonly affinityRack: string
  /** Largest number of tasks of this step on one worker; 0 when unlimited. */
  readonly maxPerWorker: number
  /** Several copies of a task may run at the same time; the first to finish counts. */
  readonly speculative: boolean
  /** The tasks run until the job is cancelled and are restarted however they end. */
  readonly longRunning: boolean
  readonly checkpoints: boolean
  /** The tasks need no processor time of their own and use what the others on a worker leave. */
  readonly usesIdleCapacity: boolean
  /** Tail of the response times that each task must keep towards its own users, in milliseconds; 0 when it serves none. */
  readonly latencyTargetMs: number
  /** Tasks that orders of the system may keep from work at the same time; 0 when unlimited. */
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
  /** What the tasks are told to do, passed on unread. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly schedule?: Schedule
}

/** Costs and limits of the placement policy service of a queue. */
export interface AdvicePolicy {
  /** Time that one call takes, in milliseconds. */
  readonly decisionMs: number
  /** Further time for each worker named in a call, in milliseconds. */
  readonly perWorkerMs: number
  /** Time for which a ticket can be used, in milliseconds. */
  readonly validityMs: number
}

/** A queue of jobs as the configuration defines it. */
export interface Queue {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  /** Pool of workers that runs the queue's tasks. */
  readonly service: string
  /** 0 goes first. */
  readonly priority: number
  /** Failed runs after which a task, or a gang, has failed for good. */
  readonly maxAttempts: number
  /** Multiple of a job's ideal run time that still counts as in time. */
  readonly slackFactor: number
  /** Time added to the objective of a job, in milliseconds. */
  readonly targetLatencyMs: number
  readonly advice?: AdvicePolicy
}

/** Limits of the callers' listener. */
export interface IngressLimits {
  readonly maxBodyBytes: number
}

/** One version of the configuration. */
export interface CellConfig {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly limits: IngressLimits
}

/** A worker as the registry shows it. */
export interface WorkerEntry {
  readonly id: string
  /** Unix milliseconds of the start of this life; a worker may start again under the same id. */
  readonly born: number
  readonly service: string
  /** `ip:port` of the worker's interface. */
  readonly address: string
  readonly zone: string
  readonly state: 'ready' | 'draining'
  readonly capacity: ResourceVector
  /** Kind and rack of the worker. */
  readonly labels: readonly string[]
}

/** A VM of the platform; each of its lives is a worker of its own. */
export interface WorkerVm {
  readonly id: string
  readonly state: 'up' | 'moving' | 'maintenance' | 'down'
  /** Worker that the VM runs; empty when it runs none. */
  readonly workerId: string
}

/** A request of the operator that each of these VMs has its maintenance in time. */
export interface MaintenanceWave {
  readonly number: number
  readonly vmIds: readonly string[]
  readonly durationMs: number
  /** VMs that may be in maintenance at the same time. */
  readonly maxConcurrent: number
}

/** Identifies a task: occurrence and step count from 0 within the job, index within the step. */
export interface TaskId {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/** A run that a worker lists as present. */
export interface RunningTask {
  readonly task: TaskId
  readonly run: number
  /** Latest checkpoint; empty when there is none. */
  readonly checkpoint: string
  /** Progress in percent. */
  readonly percent: number
}

export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** The end of a run, listed by the worker until it is acknowledged. */
export interface EndedRun {
  /** Position in the worker's list of ends, from 1 in each life of the worker. */
  readonly sequence: number
  readonly task: TaskId
  readonly run: number
  readonly end: RunEnd
  readonly checkpoint: string
}

/** What a worker lists about itself. */
export interface WorkerReport {
  readonly born: number
  /** The worker's own steady clock in milliseconds. */
  readonly clockMs: number
  readonly running: readonly RunningTask[]
  readonly ended: readonly EndedRun[]
}

export type JobOutcome = 'completed' | 'failed' | 'cancelled'
export type JobState = 'queued' | 'active' | JobOutcome

const TASK_NAME = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/

export function formatTaskId ({ jobId, occurrence, step, index }: TaskId): string {
  return `${jobId}.${occurrence}.${step}.${index}`
}

/** Returns undefined when the text isn't the name of a task. */
export function parseTaskId (text: string): TaskId | undefined {
  const match = TASK_NAME.exec(text)
  if (match === null) return undefined
  return { jobId: match[1] ?? '', occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}

/** Name of a step of one occurrence, as the placement policy service expects it. */
export function formatStepId ({ jobId, occurrence, step }: Omit<TaskId, 'index'>): string {
  return `${jobId}.${occurrence}.${step}`
}
