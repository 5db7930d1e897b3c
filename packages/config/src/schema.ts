import { z } from 'zod'

// Names become parts of table keys and of dotted paths, so they contain neither "/" nor ".".
const name = z.string().min(1).max(64).regex(/^[a-zA-Z0-9][a-zA-Z0-9_-]*$/, 'letters, digits, "-" and "_", starting with a letter or digit')
const ms = z.int().max(24 * 60 * 60_000)

const quotaSchema = z.strictObject({
  /** Processors in cores. @default unlimited */
  cores: z.number().positive().optional(),
  /** Memory in MiB. @default unlimited */
  memoryMb: z.int().positive().optional(),
  /** Accelerators. @default unlimited */
  accelerators: z.int().min(0).optional()
})

const teamSchema = z.strictObject({
  /** Share of the cell, relative to the other teams. @default 1 */
  share: z.number().positive().max(1_000_000).default(1),
  /** Most that the team's tasks may occupy in the cell. @default {} */
  quota: quotaSchema.default({})
})

const serviceSchema = z.strictObject({
  /** Team that requests without a team are accounted to. @default none */
  team: name.optional(),
  /** Requests that a backend server answers at the same time. @default 8 */
  slots: z.int().min(1).max(10_000).default(8),
  /** Connections that a backend server accepts. @default 64 */
  connections: z.int().min(1).max(10_000).default(64),
  /** Methods that may be sent again. @default [GET, HEAD, OPTIONS] */
  idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/, 'HTTP methods in capitals, such as GET')).default(['GET', 'HEAD', 'OPTIONS']),
  /** Deadline in milliseconds of a request that names none. @default 30000 */
  timeoutMs: ms.min(1).default(30_000),
  /** Requests that may wait at an owner. @default 256 */
  queueLength: z.int().min(0).max(100_000).default(256),
  /** Longest wait of a request for a slot, in milliseconds. @default 10000 */
  maxWaitMs: ms.min(0).default(10_000)
})

const jobDefaultsSchema = z.strictObject({
  cores: z.number().positive().max(1024).optional(),
  memoryMb: z.int().positive().optional(),
  accelerators: z.int().min(0).optional(),
  urgent: z.boolean().optional(),
  runSeconds: z.number().positive().optional(),
  checkpointable: z.boolean().optional(),
  maxAttempts: z.int().min(1).max(100).optional()
})

/** Schema of the merged configuration folder. */
export const cellConfigSchema = z.strictObject({
  /** Name of the cell. */
  cell: name,
  /** Names of the regions. */
  regions: z.array(name).min(1).max(64),
  /** Failure domains by name, each with its region. */
  failureDomains: z.record(name, z.strictObject({ region: name })),
  /** Shards that the workers of a failure domain are partitioned into. @default 1 */
  shardsPerFailureDomain: z.int().min(1).max(64).default(1),
  /** Teams by name; a team that is not listed can't submit work. @default {} */
  teams: z.record(name, teamSchema).default({}),
  /** Services by name. @default {} */
  services: z.record(name, serviceSchema).default({}),
  /** Values for what a job of each kind leaves out. @default {} */
  jobs: z.strictObject({
    service: jobDefaultsSchema.default({}),
    batch: jobDefaultsSchema.default({}),
    gang: jobDefaultsSchema.default({})
  }).prefault({}),
  placement: z.strictObject({
    /** 0 weighs wait time only (spread), 1 packing only. @default 0.5 */
    packingWeight: z.number().min(0).max(1).default(0.5),
    /** Wait in milliseconds after which a gang job gets a reservation. @default 5000 */
    gangReserveAfterMs: ms.min(0).default(5_000),
    /** Consecutive failed starts after which a worker is suspended. @default 3 */
    suspendAfterFailures: z.int().min(1).max(1_000).default(3)
  }).prefault({})
})

type DeepReadonly<T> = T extends ReadonlyArray<infer E>
  ? ReadonlyArray<DeepReadonly<E>>
  : T extends object ? { readonly [K in keyof T]: DeepReadonly<T[K]> } : T

/** What the merged folder may contain. */
export type CellConfigInput = z.input<typeof cellConfigSchema>
/** A checked configuration with every default filled in. */
export type ResolvedCellConfig = DeepReadonly<z.output<typeof cellConfigSchema>>
export type ResolvedTeam = ResolvedCellConfig['teams'][string]
export type ResolvedService = ResolvedCellConfig['services'][string]
