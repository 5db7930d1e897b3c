import * as tsResults from 'ts-results'
import type { Result } from 'ts-results'

// Node sees only a default export of ts-results' CommonJS build; a bundler takes its ES build, which has none.
const constructors = ('default' in tsResults ? tsResults.default : tsResults) as typeof tsResults

export const { Ok, Err } = constructors
export type { Result }
