export type * from './types.js'
export * from './httpWorkerClient.js'
