// The package's entry point exports the clients as types only.
export { GroupCommitter, HttpPlatform } from '../../../daemon/dist/platform/index.js'
export { HttpWorkerClientFactory } from '../../../daemon/dist/workers/index.js'
