export type * from './types.js'
export * from './groupCommitter.js'
export * from './httpClient.js'
export * from './httpPlatform.js'
