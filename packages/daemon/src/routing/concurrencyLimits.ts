import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import { Failure } from '../errors.js'
import { CALLER_CONCURRENCY, ENTRY_CONCURRENCY, TEAM_CONCURRENCY } from './constants.js'

export interface ConcurrencyLimitsOptions {
  /**
   * Requests in flight at this entry.
   * @default 4096
   */
  readonly total?: number
  /**
   * Requests in flight of one team.
   * @default 1024
   */
  readonly perTeam?: number
  /**
   * Requests in flight of one caller.
   * @default 256
   */
  readonly perCaller?: number
}

/**
 * Limits requests in flight by team and caller. A team may hold at most as many as are still free in
 * total, so that however many one team sends, there is room for the others.
 */
export class ConcurrencyLimits {
  private readonly byTeam = new Map<string, number>()
  private readonly byCaller = new Map<string, number>()
  private used = 0

  private constructor (private readonly options: Required<ConcurrencyLimitsOptions>) {}

  static create (options: ConcurrencyLimitsOptions = {}): ConcurrencyLimits {
    return new ConcurrencyLimits({ total: ENTRY_CONCURRENCY, perTeam: TEAM_CONCURRENCY, perCaller: CALLER_CONCURRENCY, ...options })
  }

  /** Takes room for one request; the returned function gives it back. */
  enter (team: string, caller: string | undefined): Result<() => void, Failure> {
    const { total, perTeam, perCaller } = this.options
    const ofTeam = this.byTeam.get(team) ?? 0
    if (ofTeam >= Math.min(perTeam, total - this.used)) return Err(Failure.notRun('team-limit', `Team "${team}" has ${ofTeam} requests in flight at this entry`, 'Send fewer requests at the same time'))
    const ofCaller = caller === undefined ? 0 : this.byCaller.get(caller) ?? 0
    if (ofCaller >= perCaller) return Err(Failure.notRun('caller-limit', `The caller has ${ofCaller} requests in flight at this entry`, 'Send fewer requests at the same time'))
    this.add(team, caller, 1)
    return Ok(() => this.add(team, caller, -1))
  }

  private add (team: string, caller: string | undefined, change: number) {
    this.used += change
    addTo(this.byTeam, team, change)
    if (caller !== undefined) addTo(this.byCaller, caller, change)
  }
}

function addTo (counts: Map<string, number>, key: string, change: number) {
  const count = (counts.get(key) ?? 0) + change
  if (count === 0) counts.delete(key)
  else counts.set(key, count)
}
