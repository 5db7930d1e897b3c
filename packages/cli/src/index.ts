export { QueueClient } from './client.js'
export type { QueueOptions, QueueResponse } from './client.js'
export { timeline } from './queries/timeline.js'
