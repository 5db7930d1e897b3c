export { QueueClient } from './client.js'
export type { Answer, QueueOptions } from './client.js'
export { timeline } from './queries/timeline.js'
