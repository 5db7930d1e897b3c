import { Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import type { Failure } from '../errors.js'
import { JOB_TABLES, endedKey, partKey } from '../jobs/index.js'
import type { EndedRow, PartRow } from '../jobs/index.js'
import type { Log } from '../logger.js'
import type { Platform, Row } from '../platform/index.js'

const SCAN_PAGE = 500

interface KnownPart { readonly row: PartRow, readonly version: number }

/** Outcomes of tasks that are not yet in the part row. */
interface Outcomes {
  readonly done: Set<number>
  readonly failed: Map<number, string>
  /** Called once the outcomes are in the table service. */
  readonly committed: Array<() => void>
}

export interface PartStoreDeps {
  readonly shardId: string
  readonly platform: Pick<Platform, 'tables' | 'groupCommit'>
  readonly clock: Clock
  readonly log: Log
  /** False unless this daemon's session is valid; a detached owner takes in no rows and writes none. */
  isAttached (): boolean
}

/** The part rows of one shard: reads them, and writes outcomes of tasks in groups. */
export class PartStore {
  private readonly known = new Map<string, KnownPart>()
  private readonly pending = new Map<string, Outcomes>()

  private constructor (private readonly deps: PartStoreDeps) {}

  static create (deps: PartStoreDeps): PartStore {
    return new PartStore(deps)
  }

  get (jobId: string): PartRow | undefined {
    return this.known.get(jobId)?.row
  }

  /** Reads all live parts of the shard; returns those that are new or have changed. */
  async scan (): Promise<Result<readonly PartRow[], Failure>> {
    const changed: PartRow[] = []
    let after: string | undefined
    for (;;) {
      const page = await this.deps.platform.tables.scan(JOB_TABLES.parts, {
        prefix: `${this.deps.shardId}/`,
        limit: SCAN_PAGE,
        ...(after === undefined ? {} : { after })
      })
      if (!page.ok) return page
      for (const row of page.val) changed.push(...this.take(row))
      if (page.val.length < SCAN_PAGE) return Ok(changed)
      after = page.val.at(-1)?.key
    }
  }

  /** Reads one part; undefined when it is unchanged, absent or can't be read. */
  async read (jobId: string): Promise<PartRow | undefined> {
    const rows = await this.deps.platform.tables.read([{ table: JOB_TABLES.parts, key: partKey(this.deps.shardId, jobId) }])
    const row = rows.ok ? rows.val[0] : undefined
    return row === undefined ? undefined : this.take(row)[0]
  }

  noteDone (jobId: string, index: number, committed: () => void): void {
    const outcomes = this.outcomesOf(jobId)
    outcomes.done.add(index)
    outcomes.committed.push(committed)
  }

  noteFailed (jobId: string, index: number, reason: string, committed: () => void): void {
    const outcomes = this.outcomesOf(jobId)
    outcomes.failed.set(index, reason)
    outcomes.committed.push(committed)
  }

  /** True when the task's outcome is known, written or not. */
  hasOutcome (jobId: string, index: number): boolean {
    const outcomes = this.pending.get(jobId)
    const row = this.get(jobId)
    return outcomes?.done.has(index) === true || outcomes?.failed.has(index) === true ||
      row?.done.includes(index) === true || row?.failed[index] !== undefined
  }

  /** Ends a cancelled part of which no task runs any more. */
  noteStopped (jobId: string): void {
    this.outcomesOf(jobId)
  }

  /** Writes all pending outcomes; returns the parts that have ended and those changed by others. */
  async commit (isStopped: (jobId: string) => boolean): Promise<{ readonly ended: readonly string[], readonly changed: readonly PartRow[] }> {
    if (!this.deps.isAttached()) return { ended: [], changed: [] }
    const results = await Promise.all([...this.pending.keys()].map(jobId => this.commitPart(jobId, isStopped(jobId))))
    return {
      ended: results.flatMap(result => result.ended ?? []),
      changed: results.flatMap(result => result.changed ?? [])
    }
  }

  private async commitPart (jobId: string, isStopped: boolean): Promise<{ readonly ended?: string, readonly changed?: PartRow }> {
    const part = this.known.get(jobId)
    const outcomes = this.pending.get(jobId)
    if (part === undefined || outcomes === undefined) {
      this.pending.delete(jobId)
      return {}
    }
    this.pending.delete(jobId)
    const next = merge(part.row, outcomes)
    const hasEnded = isComplete(next) || (next.cancelled && isStopped)
    if (!hasEnded && outcomes.done.size === 0 && outcomes.failed.size === 0) return {}
    const key = partKey(this.deps.shardId, jobId)
    const write = { table: JOB_TABLES.parts, key, ifVersion: part.version, value: hasEnded ? null : next }
    const endedWrite = { table: JOB_TABLES.ended, key: endedKey(jobId, this.deps.shardId), value: this.endedRow(next) }
    const result = await this.deps.platform.groupCommit.commit(hasEnded ? [write, endedWrite] : [write])
    if (result.ok && result.val.committed) {
      outcomes.committed.forEach(committed => committed())
      if (hasEnded) {
        this.known.delete(jobId)
        return { ended: jobId }
      }
      this.known.set(jobId, { row: next, version: result.val.versions[0] ?? part.version })
      return {}
    }
    this.putBack(jobId, outcomes)
    if (!result.ok) this.deps.log.debug('Outcomes of a job were not written yet.', { job: jobId, reason: result.val.reason })
    return this.settleConflict(jobId, hasEnded)
  }

  /** After a conflict or a lost answer the row is read again; an absent row means that the part has ended. */
  private async settleConflict (jobId: string, hadEnded: boolean): Promise<{ readonly ended?: string, readonly changed?: PartRow }> {
    const rows = await this.deps.platform.tables.read([{ table: JOB_TABLES.parts, key: partKey(this.deps.shardId, jobId) }])
    if (!rows.ok) return {}
    const row = rows.val[0]
    if (row !== undefined) {
      const changed = this.take(row)[0]
      return changed === undefined ? {} : { changed }
    }
    if (!hadEnded || !this.deps.isAttached()) return {}
    this.pending.get(jobId)?.committed.forEach(committed => committed())
    this.pending.delete(jobId)
    this.known.delete(jobId)
    return { ended: jobId }
  }

  private take (row: Row): readonly PartRow[] {
    // A read that began before the session lapsed may return rows that a successor already works on.
    if (!this.deps.isAttached()) return []
    const part = row.value as PartRow
    const known = this.known.get(part.jobId)
    if (known !== undefined && known.version >= row.version) return []
    this.known.set(part.jobId, { row: part, version: row.version })
    return [part]
  }

  private outcomesOf (jobId: string): Outcomes {
    const existing = this.pending.get(jobId)
    if (existing !== undefined) return existing
    const outcomes: Outcomes = { done: new Set(), failed: new Map(), committed: [] }
    this.pending.set(jobId, outcomes)
    return outcomes
  }

  /** Returns outcomes whose write failed to those that came in meanwhile. */
  private putBack (jobId: string, outcomes: Outcomes) {
    const current = this.outcomesOf(jobId)
    outcomes.done.forEach(index => current.done.add(index))
    outcomes.failed.forEach((reason, index) => current.failed.set(index, reason))
    current.committed.push(...outcomes.committed)
  }

  private endedRow (part: PartRow): EndedRow {
    const { jobId, shardId, from, to, failed, cancelled, done } = part
    return { jobId, shardId, from, to, failed, cancelled, done, endedAt: this.deps.clock.date().toISOString() }
  }
}

function merge (part: PartRow, outcomes: Outcomes): PartRow {
  const done = [...new Set([...part.done, ...outcomes.done])].sort((a, b) => a - b)
  return { ...part, done, failed: { ...part.failed, ...Object.fromEntries(outcomes.failed) } }
}

function isComplete (part: PartRow): boolean {
  return part.done.length + Object.keys(part.failed).length >= part.to - part.from
}
