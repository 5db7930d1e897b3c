import type { WorkerLink } from './workerLink.js'

/** Workers suggested at a time. */
const SUGGESTED = 60
/** Time for which the order of the workers by free processor time is kept, in milliseconds. */
const ORDER_VALID_MS = 200
/** Fraction of the workers that count as having room, those with the most free processor time. */
const ROOMY_SHARE = 0.5

export interface SuggestedWorkersOptions {
  readonly workers: () => Iterable<WorkerLink>
  /** Whether new tasks may be started on a worker now. */
  readonly isUsable: (worker: WorkerLink, now: number) => boolean
}

/** Chooses workers that daemons name when they ask for tickets before the leader knows the job. */
export class SuggestedWorkers {
  private readonly ordered = new Map<string, { readonly ids: readonly string[], readonly orderedAt: number }>()
  private rotation = 0

  private constructor (private readonly options: SuggestedWorkersOptions) {}

  static create (options: SuggestedWorkersOptions): SuggestedWorkers {
    return new SuggestedWorkers(options)
  }

  /** Workers of a service that may have room, other ones in each call; `now` is a monotonic time in milliseconds. */
  of (service: string, now: number): readonly string[] {
    const known = this.ordered.get(service)
    const ids = known !== undefined && now - known.orderedAt < ORDER_VALID_MS ? known.ids : this.order(service, now)
    if (ids.length <= SUGGESTED) return ids
    const first = this.rotation % ids.length
    this.rotation = first + SUGGESTED
    return [...ids.slice(first), ...ids.slice(0, first)].slice(0, SUGGESTED)
  }

  private order (service: string, now: number): readonly string[] {
    const usable = [...this.options.workers()].filter(worker => worker.entry.service === service && worker.canStart(now) && this.options.isUsable(worker, now))
    const byFree = usable.map(worker => ({ id: worker.id, milliCores: worker.freeCapacity().milliCores })).sort((a, b) => b.milliCores - a.milliCores)
    const ids = byFree.slice(0, Math.max(SUGGESTED, Math.ceil(ROOMY_SHARE * byFree.length))).map(({ id }) => id)
    this.ordered.set(service, { ids, orderedAt: now })
    return ids
  }
}
