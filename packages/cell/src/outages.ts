import type { Clock } from '@citronnotch/base/clock'
import type { WorkerEntry } from './types.js'

/** Time within which restarts have a common cause, in milliseconds: workers that fail together are found to be back up to 1.7 s apart. */
export const OUTAGE_WINDOW_MS = 2_000
/** Share of the workers in service of a failure domain or rack that must restart for an outage of it, and their minimum number: fewer may have crashed under tasks. */
const MIN_SHARE = 0.75
const MIN_WORKERS = 4
/** Largest number of workers that crash elsewhere meanwhile, as a share of those of the outage: beside more, these may be of the same storm of tasks. */
const MAX_ELSEWHERE_SHARE = 1 / 3

/** A worker by where it stands. */
export type PlacedWorker = Pick<WorkerEntry, 'id' | 'zone' | 'labels'>

export interface MemberWorker extends PlacedWorker {
  /** Whether it has not answered for longer than a worker that is up takes, so that it may have crashed. */
  readonly isSilent: boolean
}

/** The restart of a worker that had not announced that it leaves. */
export interface WorkerCrash<Charge> {
  readonly worker: PlacedWorker
  /** What was held against the runs that the worker had. */
  readonly charges: readonly Charge[]
}

export interface Outage<Charge> {
  /** `zone NAME` or `rack ZONE/NAME`. */
  readonly domain: string
  readonly crashes: ReadonlyArray<WorkerCrash<Charge>>
}

interface RecordedCrash<Charge> extends WorkerCrash<Charge> {
  /** Monotonic time in milliseconds at which the leader learned of it. */
  readonly at: number
}

export interface OutagesOptions {
  /** Workers in service, and those that may be back soon. */
  readonly workers: () => Iterable<MemberWorker>
  readonly clock: Clock
}

/**
 * Tells crashes of workers with a common cause, the outage of a failure domain or rack, from those under tasks. Crashes all
 * over the cell are none, however many: they may be those of many tasks.
 */
export class Outages<Charge> {
  private crashes: ReadonlyArray<RecordedCrash<Charge>> = []

  private constructor (private readonly options: OutagesOptions) {}

  static create<Charge> (options: OutagesOptions): Outages<Charge> {
    return new Outages<Charge>(options)
  }

  /** Whether a crash of the worker may prove to be of an outage. */
  mayHaveOutage (worker: PlacedWorker): boolean {
    const silent = [...this.options.workers()].filter(({ isSilent }) => isSilent)
    return domainsOf(worker).some(domain => this.isMost(domain, [...this.crashesIn(domain).map(crash => crash.worker), ...silent.filter(other => domainsOf(other).includes(domain))]))
  }

  /** Records a crash and returns the outages that it belongs to, with all of their crashes so far. */
  record (crash: WorkerCrash<Charge>): ReadonlyArray<Outage<Charge>> {
    const at = this.options.clock.now()
    this.crashes = [...this.crashes.filter(earlier => at - earlier.at < OUTAGE_WINDOW_MS), { ...crash, at }]
    return this.outagesOf(crash.worker)
  }

  /** Outages that the latest crash of a worker belongs to, until the next crash that is recorded after the window. */
  outagesOf (worker: PlacedWorker): ReadonlyArray<Outage<Charge>> {
    return domainsOf(worker).map(domain => ({ domain, crashes: this.crashesIn(domain) })).filter(outage => this.isOutage(outage))
  }

  private isOutage ({ domain, crashes }: Outage<Charge>): boolean {
    if (!this.isMost(domain, crashes.map(({ worker }) => worker))) return false
    const outages = new Set(this.crashes.flatMap(({ worker }) => domainsOf(worker)).filter(other => this.isMost(other, this.crashesIn(other).map(crash => crash.worker))))
    const elsewhere = this.crashes.filter(({ worker }) => !domainsOf(worker).some(other => outages.has(other)))
    return countWorkers(elsewhere.map(({ worker }) => worker)) <= MAX_ELSEWHERE_SHARE * countWorkers(crashes.map(({ worker }) => worker))
  }

  private isMost (domain: string, workers: readonly PlacedWorker[]): boolean {
    const count = countWorkers(workers)
    return count >= MIN_WORKERS && count >= MIN_SHARE * this.membersOf(domain).size
  }

  private crashesIn (domain: string): ReadonlyArray<RecordedCrash<Charge>> {
    return this.crashes.filter(({ worker }) => domainsOf(worker).includes(domain))
  }

  /** Ids of the workers of a domain, including those that have crashed. */
  private membersOf (domain: string): ReadonlySet<string> {
    const workers = [...this.options.workers(), ...this.crashes.map(({ worker }) => worker)]
    return new Set(workers.filter(worker => domainsOf(worker).includes(domain)).map(({ id }) => id))
  }
}

function countWorkers (workers: readonly PlacedWorker[]): number {
  return new Set(workers.map(({ id }) => id)).size
}

function domainsOf ({ zone, labels }: PlacedWorker): readonly string[] {
  const rack = labels.slice(1).join('/')
  return [`zone ${zone}`, ...rack === '' ? [] : [`rack ${zone}/${rack}`]]
}
