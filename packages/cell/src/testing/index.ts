export * from './audit.js'
export * from './memoryStore.js'
export * from './memoryWorker.js'
export * from './testCell.js'
