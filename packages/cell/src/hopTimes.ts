/**
 * Stations of a job between a caller and its workers, in the order in which it passes them:
 * - `known`: the leader has the job
 * - `ticketed`: the first answer of the placement policy service has arrived
 * - `planned`: the first start was decided on
 * - `recorded`: nothing holds the first start back any more, such as its row
 * - `sent`: the latest order was sent
 * - `confirmed`: the latest order was confirmed
 * - `ended`: the end of the job was decided on
 * - `stored`: its outcome is stored
 */
export type Hop = 'known' | 'ticketed' | 'planned' | 'recorded' | 'sent' | 'confirmed' | 'ended' | 'stored'

/** Stations whose last passage counts, as all tasks have to be there. */
const LAST_PASSAGE_COUNTS: ReadonlySet<Hop> = new Set<Hop>(['sent', 'confirmed'])
/** One job in this many is followed, so that logs stay small beside the work. */
const SAMPLE_INTERVAL = 8

/** Follows a job on its way: tells the time on each station apart where only the whole is known otherwise. */
export class HopTimes {
  private readonly passedAtMs = new Map<Hop, number>()

  private constructor (private readonly admittedAtMs: number) {}

  /** Undefined for the jobs that are not followed; `admittedAtMs` is a Unix time in milliseconds. */
  static create (jobId: string, admittedAtMs: number): HopTimes | undefined {
    return Number.parseInt(jobId.slice(0, 4), 16) % SAMPLE_INTERVAL === 0 ? new HopTimes(admittedAtMs) : undefined
  }

  /** Records that the job passes a station now, a Unix time in milliseconds. */
  note (hop: Hop, unixMs: number): void {
    if (!this.passedAtMs.has(hop) || LAST_PASSAGE_COUNTS.has(hop)) this.passedAtMs.set(hop, unixMs)
  }

  /** Milliseconds from the admission to each station passed. */
  sinceAdmissionMs (): Readonly<Partial<Record<Hop, number>>> {
    return Object.fromEntries([...this.passedAtMs].map(([hop, atMs]) => [hop, atMs - this.admittedAtMs]))
  }
}
