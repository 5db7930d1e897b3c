import { Audit, GangRegistry, MemoryStore, MemoryWorker, createWorkerEntry } from '@citronnotch/cell/testing'
import type { StepSpec, WorkerEntry } from '@citronnotch/cell'
import { SystemClock } from '@citronnotch/base/clock'
import { Emulator } from '@citronnotch/platform/testing'

/** A job that the workers of this process will run: sent by the parent process before the job is submitted. */
export interface ExpectedJob {
  readonly jobId: string
  readonly payload: string
  readonly steps: readonly StepSpec[]
  /** Run time of the tasks of each step, in milliseconds. */
  readonly taskMsByStep: readonly number[]
}

/** Serves the workers with the given ids on loopback and returns their registry entries. */
export async function serveWorkers (ids: readonly string[], fields: Partial<WorkerEntry>): Promise<{ readonly entries: readonly WorkerEntry[], readonly expect: (job: ExpectedJob) => void }> {
  const clock = SystemClock.create()
  const audit = Audit.create()
  const emulator = Emulator.create(MemoryStore.create({ clock }))
  const taskMs = new Map<string, readonly number[]>()
  const gangs = GangRegistry.create()
  const entries: WorkerEntry[] = []
  for (const id of ids) {
    const worker = MemoryWorker.create({
      entry: createWorkerEntry(id, fields),
      clock,
      audit,
      behaviour: ({ jobId, step }) => ({ durationMs: taskMs.get(jobId)?.[step] ?? 100, end: 'done' }),
      needOf: task => audit.needOf(task),
      gangs
    })
    entries.push({ ...worker.entry, address: await emulator.serveWorker(worker) })
  }
  // Each start would otherwise look at every worker of this process.
  audit.beforeStartHooks.length = 0
  return {
    entries,
    expect: ({ jobId, payload, steps, taskMsByStep }) => {
      audit.expectJob(jobId, { payload, steps })
      taskMs.set(jobId, taskMsByStep)
    }
  }
}

/** Runs as a child process: the first argument holds the ids and fields of the workers. */
const [, , options] = process.argv
if (process.send !== undefined && options !== undefined) {
  const { ids, fields } = JSON.parse(options) as { readonly ids: readonly string[], readonly fields: Partial<WorkerEntry> }
  const { entries, expect } = await serveWorkers(ids, fields)
  process.on('message', job => expect(job as ExpectedJob))
  process.send(entries)
}
