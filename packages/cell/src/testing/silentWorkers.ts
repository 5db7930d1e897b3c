import type { Clock } from '@citronnotch/base/clock'
import { silentLog } from '@citronnotch/base/logger'
import { AccountUsage } from '../accounts/index.js'
import type { RunUsage } from '../accounts/index.js'
import { LeaderStartWindow } from '../leaderStartWindow.js'
import type { WorkerClient } from '../ports.js'
import { DEFAULT_START_WINDOWS } from '../startWindow.js'
import type { ResourceVector } from '../types.js'
import { WorkerLink } from '../workerLink.js'
import type { WorkerEvents } from '../workerLink.js'
import { createWorkerEntry } from './testCell.js'

/** A worker that accepts all commands and never answers. */
const silentClient: WorkerClient = {
  heartbeat: () => new Promise(() => {}),
  start: () => new Promise(() => {}),
  stop: () => new Promise(() => {}),
  close: async () => {}
}

const PASSIVE_EVENTS: WorkerEvents = { startPlanned: async () => {}, mayStart: () => true } as never

/** Creates links to adopted workers `w0`, `w1` and so on that never answer, for tests of single scheduling rounds. */
export function createSilentLinks ({ count, capacity, clock, usage = AccountUsage.create(() => undefined), leaderStartWindow = LeaderStartWindow.create(), events = PASSIVE_EVENTS }: { readonly count: number, readonly capacity: ResourceVector, readonly clock: Clock, readonly usage?: RunUsage, readonly leaderStartWindow?: LeaderStartWindow, readonly events?: WorkerEvents }): readonly WorkerLink[] {
  return Array.from({ length: count }, (_, index) => {
    const link = WorkerLink.create({
      entry: createWorkerEntry(`w${index}`, { capacity }),
      clients: { create: () => silentClient },
      firstToken: 1,
      taskLeaseMs: 5_000,
      maxTaskLeaseMs: 6_000,
      predecessorActiveMs: 0,
      earlierCallsUntil: 0,
      events,
      usage,
      startWindow: DEFAULT_START_WINDOWS.worker,
      leaderStartWindow,
      mayIssueCommands: () => true,
      jobsLoaded: Promise.resolve(true),
      mayExtendLeases: () => true,
      clock,
      log: silentLog
    })
    link.isAdopted = true
    return link
  })
}
