export { ConfigStore } from './configStore.js'
export type { ConfigListener, ConfigStoreOptions } from './configStore.js'
export type { ConfigFailure } from './failures.js'
