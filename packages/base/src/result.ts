import * as tsResults from 'ts-results'
import type { Result } from 'ts-results'

// Node.js loads the CommonJS build of ts-results, which has only a default export; bundlers load its ES build, which has none.
const constructors = ('default' in tsResults ? tsResults.default : tsResults) as typeof tsResults

export const { Ok, Err } = constructors
export type { Result }
