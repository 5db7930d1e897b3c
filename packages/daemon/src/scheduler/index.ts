export { resolveSchedulerOptions } from './resolveOptions.js'
export { ShardScheduler } from './shardScheduler.js'
export type { ShardAuthority, ShardSchedulerDeps } from './shardScheduler.js'
export type { ResolvedSchedulerOptions, SchedulerOptions, Task } from './types.js'
