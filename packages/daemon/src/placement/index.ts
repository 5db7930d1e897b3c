export type * from './types.js'
export type { ResolvedPlacerOptions } from './options.js'
export { resolvePlacerOptions } from './options.js'
export { ShardPlacer } from './shardPlacer.js'
