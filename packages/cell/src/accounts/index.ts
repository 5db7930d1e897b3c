export { AccountIndex, digestKey } from './accountIndex.js'
export { EVERYONE, maySee, requesterOf } from './requester.js'
export type { Requester } from './requester.js'
