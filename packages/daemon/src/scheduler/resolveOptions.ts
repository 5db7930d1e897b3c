import { PART_SCAN_MS, TASK_LEASE_MS, WORKER_RENEW_MS } from '../constants.js'
import type { ResolvedSchedulerOptions, SchedulerOptions } from './types.js'

export function resolveSchedulerOptions (options: SchedulerOptions = {}): ResolvedSchedulerOptions {
  return {
    taskLeaseMs: options.taskLeaseMs ?? TASK_LEASE_MS,
    workerRenewMs: options.workerRenewMs ?? WORKER_RENEW_MS,
    partScanMs: options.partScanMs ?? PART_SCAN_MS,
    stopGraceMs: options.stopGraceMs ?? 5_000
  }
}
