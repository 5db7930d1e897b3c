import { formatTaskId } from '../types.js'
import type { TaskId } from '../types.js'

/**
 * Gang runs on all workers: members start to work when all have joined, work until the slowest has finished, and end as
 * `broken` when one of them ends without success.
 */
export class GangRegistry {
  private readonly gangRuns = new Map<string, { readonly members: Set<string>, completeAt: number | undefined, durationMs: number, isBroken: boolean }>()

  static create (): GangRegistry {
    return new GangRegistry()
  }

  join ({ task, run, durationMs }: { readonly task: TaskId, readonly run: number, readonly durationMs: number }, size: number, now: number): void {
    const gang = this.gangOf(task, run)
    gang.members.add(formatTaskId(task))
    gang.durationMs = Math.max(gang.durationMs, durationMs)
    if (gang.members.size >= size) gang.completeAt ??= now
  }

  /** Time at which the last member joined; undefined until then. */
  completeAt (task: TaskId, run: number): number | undefined {
    return this.gangOf(task, run).completeAt
  }

  /** Duration of the slowest member that has joined, in milliseconds. */
  durationMs (task: TaskId, run: number): number {
    return this.gangOf(task, run).durationMs
  }

  isBroken (task: TaskId, run: number): boolean {
    return this.gangOf(task, run).isBroken
  }

  markBroken (task: TaskId, run: number): void {
    this.gangOf(task, run).isBroken = true
  }

  private gangOf ({ jobId, occurrence, step }: TaskId, run: number) {
    const key = `${jobId}.${occurrence}.${step}#${run}`
    const gang = this.gangRuns.get(key) ?? { members: new Set<string>(), completeAt: undefined, durationMs: 0, isBroken: false }
    this.gangRuns.set(key, gang)
    return gang
  }
}
