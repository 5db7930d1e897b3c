export { HybridClock } from './hybridClock.js'
export { Timeline } from './timeline.js'
export type { TimelineOptions } from './timeline.js'
