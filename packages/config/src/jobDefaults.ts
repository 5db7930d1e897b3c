import { JOB_KINDS } from '@citronnotch/protocol'
import type { JobKind } from '@citronnotch/protocol'
import type { ResolvedCellConfig } from './schema.js'

/**
 * Fills in the cell's defaults for what a job leaves out. Apply before `jobSpecSchema`, whose own
 * defaults come last. Anything that is not a job is returned as it is, for the schema to refuse.
 */
export function applyJobDefaults (config: ResolvedCellConfig, input: unknown): unknown {
  if (typeof input !== 'object' || input === null || Array.isArray(input)) return input
  const kind = (input as { readonly kind?: unknown }).kind
  return isJobKind(kind) ? { ...config.jobs[kind], ...input } : input
}

function isJobKind (kind: unknown): kind is JobKind {
  return JOB_KINDS.some(known => known === kind)
}
