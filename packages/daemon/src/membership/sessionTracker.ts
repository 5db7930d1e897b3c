import type { Row } from '../platform/index.js'
import type { Member, SessionRow } from './types.js'

/** Former incarnations remembered per session row. */
const MAX_FORMER = 16

interface Tracked {
  readonly key: string
  readonly failureDomain: string
  /** Absent while the row doesn't exist. */
  row: SessionRow | undefined
  version: number
  /** Time of the first read that showed this version. */
  firstSeenAt: number
  /** Time of the first read that showed this incarnation. */
  incarnationSince: number
  lastReadAt: number
  /** Time of the first read that no longer showed an incarnation; -Infinity when it had released its session. */
  readonly former: Map<string, number>
}

/** Remembers for how long session rows were seen unchanged, by the reader's monotonic clock only. */
export class SessionTracker {
  private readonly tracked = new Map<string, Tracked>()
  private readonly emptySince = new Map<string, number>()

  private constructor (private readonly lapseMs: number) {}

  /** A session counts as live until its row was seen unchanged for `lapseMs`. */
  static create (lapseMs: number): SessionTracker {
    return new SessionTracker(lapseMs)
  }

  /** Takes in all rows of a failure domain, read by one scan that was answered at `now`. */
  observeDomain (failureDomain: string, rows: readonly Row[], now: number): void {
    const present = new Set(rows.map(row => row.key))
    for (const row of rows) this.observe(row.key, row, now)
    for (const { key, failureDomain: domain } of this.tracked.values()) {
      if (domain === failureDomain && !present.has(key)) this.observe(key, undefined, now)
    }
    if (this.live(failureDomain).length > 0) this.emptySince.delete(failureDomain)
    else if (!this.emptySince.has(failureDomain)) this.emptySince.set(failureDomain, now)
  }

  /** Takes in one row, or its absence. */
  observe (key: string, row: Row | undefined, now: number): void {
    const session = row?.value as SessionRow | undefined
    const version = row?.version ?? 0
    const known = this.tracked.get(key)
    if (known === undefined) {
      this.tracked.set(key, {
        key,
        failureDomain: key.slice(0, key.lastIndexOf('/')),
        row: session,
        version,
        firstSeenAt: now,
        incarnationSince: now,
        lastReadAt: now,
        former: new Map()
      })
      return
    }
    // Answers can arrive out of order; versions only grow.
    if (version !== 0 && version < known.version) return
    known.lastReadAt = Math.max(known.lastReadAt, now)
    if (version === known.version) return
    if (known.row?.incarnation !== session?.incarnation) {
      if (known.row !== undefined) remember(known, known.row.incarnation, known.row.released ? -Infinity : now)
      known.incarnationSince = now
    }
    known.row = session
    known.version = version
    known.firstSeenAt = now
  }

  has (key: string): boolean {
    return this.tracked.has(key)
  }

  /** Version of a session row at the last read; 0 when it is absent or was never read. */
  version (key: string): number {
    return this.tracked.get(key)?.version ?? 0
  }

  /**
   * Monotonic time since which this incarnation of a daemon has certainly not renewed its session.
   * -Infinity when it has released it, undefined when its row was never read.
   */
  unchangedSince (member: Member): number | undefined {
    const known = this.tracked.get(sessionKey(member))
    if (known === undefined) return undefined
    if (known.row?.incarnation === member.incarnation) return known.row.released ? -Infinity : known.firstSeenAt
    // An incarnation whose row was overwritten can't renew any more. One that was never seen may have
    // renewed until just before the present one was first seen.
    const goneSince = known.former.get(member.incarnation)
    if (goneSince !== undefined) return goneSince
    remember(known, member.incarnation, known.incarnationSince)
    return known.incarnationSince
  }

  /** Time over which reads have shown no renewal by this incarnation; Infinity when it has released its session. */
  unchangedForMs (member: Member): number {
    const since = this.unchangedSince(member)
    const known = this.tracked.get(sessionKey(member))
    return since === undefined || known === undefined ? 0 : known.lastReadAt - since
  }

  /** Daemons of a failure domain, or of all, whose sessions look live. */
  live (failureDomain?: string): readonly SessionRow[] {
    return [...this.tracked.values()]
      .filter(known => failureDomain === undefined || known.failureDomain === failureDomain)
      .filter(known => known.lastReadAt - known.firstSeenAt < this.lapseMs)
      .flatMap(known => known.row === undefined || known.row.released ? [] : [known.row])
  }

  /** Monotonic time since which reads have shown no live session in a failure domain. */
  emptyDomainSince (failureDomain: string): number | undefined {
    return this.emptySince.get(failureDomain)
  }
}

export function sessionKey (member: Pick<Member, 'failureDomain' | 'daemonId'>): string {
  return `${member.failureDomain}/${member.daemonId}`
}

function remember (known: Tracked, incarnation: string, since: number) {
  known.former.delete(incarnation)
  known.former.set(incarnation, since)
  const oldest = known.former.keys().next()
  if (known.former.size > MAX_FORMER && !oldest.done) known.former.delete(oldest.value)
}
