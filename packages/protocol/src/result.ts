import tsResults from 'ts-results'
import type { Result } from 'ts-results'

// Node cannot detect the named exports of ts-results' CommonJS build.
export const { Ok, Err } = tsResults
export type { Result }
