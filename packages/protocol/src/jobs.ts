import { z } from 'zod'

/** Kinds of work; each has its own placement policy. */
export const JOB_KINDS = ['service', 'batch', 'gang'] as const
export type JobKind = typeof JOB_KINDS[number]

/** Schema of a job as a caller submits it to `POST /v1/jobs`. */
export const jobSpecSchema = z.strictObject({
  name: z.string().min(1).max(128).regex(/^[a-zA-Z0-9._-]+$/, 'only letters, digits, ".", "_" and "-"'),
  team: z.string().min(1).max(64),
  kind: z.enum(JOB_KINDS),
  /** Number of tasks; a gang job starts all of them together. */
  tasks: z.int().min(1).max(10_000).default(1),
  /** Processors of one task, in cores. */
  cores: z.number().positive().max(1024),
  /** Memory of one task, in MiB. */
  memoryMb: z.int().positive(),
  /** Accelerators of one task. */
  accelerators: z.int().min(0).default(0),
  urgent: z.boolean().default(false),
  /** Only regions and failure domains listed here are used; empty means any. */
  regions: z.array(z.string()).default([]),
  failureDomains: z.array(z.string()).default([]),
  /** Declared run time in seconds; ignored for services. */
  runSeconds: z.number().positive().default(60),
  /** Name of the service that the tasks of a service job answer for. */
  service: z.string().min(1).max(64).optional(),
  /** Opaque command handed to the worker. */
  command: z.string().max(4096).default(''),
  /** True when a task can be checkpointed and resumed. */
  checkpointable: z.boolean().default(false),
  /** Failed attempts after which a task is given up. */
  maxAttempts: z.int().min(1).max(100).default(3)
}).superRefine((spec, ctx) => {
  if ((spec.kind === 'service') !== (spec.service !== undefined)) {
    ctx.addIssue({ code: 'custom', path: ['service'], message: 'is required for kind "service" and not allowed for other kinds' })
  }
})

/** What a caller may write. */
export type JobSpecInput = z.input<typeof jobSpecSchema>
/** A checked job with every default filled in. */
export type JobSpec = Readonly<z.output<typeof jobSpecSchema>>

export const TASK_STATES = ['waiting', 'starting', 'running', 'stopping', 'finished', 'failed', 'cancelled', 'unknown'] as const
/** State of a task; `unknown` means that the owner of its shard could not be asked. */
export type TaskState = typeof TASK_STATES[number]

/** Status of one task as callers see it. */
export interface TaskView {
  readonly taskId: string
  readonly state: TaskState
  readonly shardId: string
  readonly workerId?: string
  readonly attempt?: number
  /** Why the task waits or failed. */
  readonly reason?: string
}

/** Answer of `GET /v1/jobs/<jobId>`. */
export interface JobView {
  readonly jobId: string
  readonly spec: JobSpec
  readonly state: 'waiting' | 'running' | 'finished' | 'failed' | 'cancelled'
  /** Wall clock of the admitting daemon, ISO 8601. */
  readonly admittedAt: string
  readonly tasks: readonly TaskView[]
}

/** Answer of `POST /v1/jobs`. */
export interface JobAdmitted {
  readonly jobId: string
  /** True when an earlier submission with the same team and idempotency key created the job. */
  readonly repeated: boolean
}

/** Returns the id of task `index` of a job. */
export function taskIdOf (jobId: string, index: number): string {
  return `${jobId}/${index}`
}

/** Splits a task id into its job id and index. */
export function parseTaskId (taskId: string): { readonly jobId: string, readonly index: number } {
  const at = taskId.lastIndexOf('/')
  return { jobId: taskId.slice(0, at), index: Number(taskId.slice(at + 1)) }
}
