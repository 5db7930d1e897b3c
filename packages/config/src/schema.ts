import { z } from 'zod'

// Names become parts of table keys and dotted paths, so they must contain neither "/" nor ".".
const nameSchema = z.string().min(1).max(64).regex(/^[a-zA-Z0-9][a-zA-Z0-9_-]*$/, 'letters, digits, "-" and "_", starting with a letter or digit')
const durationMsSchema = z.int().max(24 * 60 * 60_000)

const quotaSchema = z.strictObject({
  /** CPU cores. @default unlimited */
  cores: z.number().positive().optional(),
  /** Memory in MiB. @default unlimited */
  memoryMb: z.int().positive().optional(),
  /** Number of accelerators. @default unlimited */
  accelerators: z.int().min(0).optional()
})

const teamSchema = z.strictObject({
  /** Share of the cell's resources, as a weight relative to the other teams. @default 1 */
  share: z.number().positive().max(1_000_000).default(1),
  /** Limits on the resources that the team's tasks may use in the cell at a time. @default {} */
  quota: quotaSchema.default({})
})

const serviceSchema = z.strictObject({
  /** Team that is charged for requests that name no team. @default none */
  team: nameSchema.optional(),
  /** Maximum number of requests that a backend server serves concurrently. @default 8 */
  slots: z.int().min(1).max(10_000).default(8),
  /** Maximum number of connections that a backend server accepts. @default 64 */
  connections: z.int().min(1).max(10_000).default(64),
  /** HTTP methods that may be retried. @default [GET, HEAD, OPTIONS] */
  idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/, 'HTTP methods in capitals, such as GET')).default(['GET', 'HEAD', 'OPTIONS']),
  /** Deadline in milliseconds for requests that specify none. @default 30000 */
  timeoutMs: durationMsSchema.min(1).default(30_000),
  /** Maximum number of requests that wait at an owner of the service. @default 256 */
  queueLength: z.int().min(0).max(100_000).default(256),
  /** Maximum time in milliseconds that a request waits for a slot. @default 10000 */
  maxWaitMs: durationMsSchema.min(0).default(10_000)
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
  cell: nameSchema,
  /** Names of the regions. */
  regions: z.array(nameSchema).min(1).max(64),
  /** Failure domains by name, each with the region that contains it. */
  failureDomains: z.record(nameSchema, z.strictObject({ region: nameSchema })),
  /** Number of shards that the workers of each failure domain are divided into. @default 1 */
  shardsPerFailureDomain: z.int().min(1).max(64).default(1),
  /** Teams by name. A team that is not listed can't submit work. @default {} */
  teams: z.record(nameSchema, teamSchema).default({}),
  /** Services by name. @default {} */
  services: z.record(nameSchema, serviceSchema).default({}),
  /** Default values for the fields that a job omits, by kind of job. @default {} */
  jobs: z.strictObject({
    service: jobDefaultsSchema.default({}),
    batch: jobDefaultsSchema.default({}),
    gang: jobDefaultsSchema.default({})
  }).prefault({}),
  placement: z.strictObject({
    /** Weight of packing in placement: 0 considers only wait time (spreads tasks), 1 only packing. @default 0.5 */
    packingWeight: z.number().min(0).max(1).default(0.5),
    /** Time in milliseconds that a gang job waits before it gets a reservation. @default 5000 */
    gangReserveAfterMs: durationMsSchema.min(0).default(5_000),
    /** Number of consecutive failed starts after which a worker is suspended. @default 3 */
    suspendAfterFailures: z.int().min(1).max(1_000).default(3)
  }).prefault({})
})

type DeepReadonly<T> = T extends ReadonlyArray<infer E>
  ? ReadonlyArray<DeepReadonly<E>>
  : T extends object ? { readonly [K in keyof T]: DeepReadonly<T[K]> } : T

/** Content that a merged folder may have. */
export type CellConfigInput = z.input<typeof cellConfigSchema>
/** Validated configuration with all defaults applied. */
export type ResolvedCellConfig = DeepReadonly<z.output<typeof cellConfigSchema>>
export type ResolvedTeam = ResolvedCellConfig['teams'][string]
export type ResolvedService = ResolvedCellConfig['services'][string]
