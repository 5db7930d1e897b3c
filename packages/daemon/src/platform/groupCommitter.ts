import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { MAX_TRANSACTION_ROWS } from '../constants.js'
import { Failure } from '../errors.js'
import { rowId } from './rowId.js'
import type { GroupCommit, RowConflict, RowWrite, TableService, TransactOutcome } from './types.js'

export interface GroupCommitterOptions {
  readonly tables: TableService
  readonly clock: Clock
  /**
   * Transactions in flight at the same time.
   * @default 2
   */
  readonly maxInFlight?: number
  /**
   * Rows that may wait; further units are refused.
   * @default 50000
   */
  readonly maxQueuedRows?: number
  /**
   * Delays before a transaction that was refused for rate is sent again; after the last it fails.
   * @default [50, 100, 200, 400, 800]
   */
  readonly backoffMs?: readonly number[]
  /**
   * Source of the jitter, from 0 to 1, that keeps daemons from retrying at the same time.
   * @default Math.random
   */
  readonly random?: () => number
}

type ResolvedGroupCommitterOptions = Readonly<Required<GroupCommitterOptions>>

interface Unit {
  readonly writes: readonly RowWrite[]
  readonly ids: readonly string[]
  readonly settle: (result: Result<TransactOutcome, Failure>) => void
}

/** Bounds the work of one selection when many waiting units touch the same rows. */
const MAX_UNITS_SCANNED = 1_000

/**
 * Puts the units of many callers into few transactions. Units that touch the same
 * row are committed in the order in which they came, each in its own transaction.
 */
export class GroupCommitter implements GroupCommit {
  private readonly queue: Unit[] = []
  private queuedRows = 0
  private inFlight = 0
  private readonly rowsInFlight = new Set<string>()
  private pumpScheduled = false
  private readonly closing = new AbortController()

  private constructor (private readonly options: ResolvedGroupCommitterOptions) {}

  static create (options: GroupCommitterOptions): GroupCommitter {
    return new GroupCommitter(resolveGroupCommitterOptions(options))
  }

  commit (writes: readonly RowWrite[]): Promise<Result<TransactOutcome, Failure>> {
    if (writes.length === 0) return Promise.resolve(Ok({ committed: true as const, versions: [] }))
    const ids = writes.map(rowId)
    const failure = this.refusal(ids)
    if (failure !== undefined) return Promise.resolve(Err(failure))
    return new Promise(resolve => {
      this.queue.push({ writes, ids, settle: resolve })
      this.queuedRows += writes.length
      this.schedulePump()
    })
  }

  /** Refuses the waiting units, none of which was sent, and all later ones. */
  close (): void {
    this.closing.abort()
    for (const unit of this.queue.splice(0)) unit.settle(Err(closedFailure()))
    this.queuedRows = 0
  }

  private refusal (ids: readonly string[]): Failure | undefined {
    if (this.closing.signal.aborted) return closedFailure()
    if (ids.length > MAX_TRANSACTION_ROWS) {
      return Failure.notRun('transaction-invalid', `A unit has ${ids.length} rows; at most ${MAX_TRANSACTION_ROWS} are allowed.`)
    }
    if (new Set(ids).size !== ids.length) return Failure.notRun('transaction-invalid', 'A row occurs more than once in a unit.')
    if (this.queuedRows + ids.length > this.options.maxQueuedRows) {
      return Failure.notRun('store-queue-full', `More than ${this.options.maxQueuedRows} rows wait to be written.`, 'Repeat the request later.')
    }
    return undefined
  }

  /** Runs after the current synchronous code, so that units committed together share a transaction. */
  private schedulePump () {
    if (this.pumpScheduled) return
    this.pumpScheduled = true
    queueMicrotask(() => {
      this.pumpScheduled = false
      while (this.inFlight < this.options.maxInFlight) {
        const units = this.takeUnits()
        if (units.length === 0) return
        this.run(units)
      }
    })
  }

  /** Removes the units of the next transaction from the queue. */
  private takeUnits (): readonly Unit[] {
    const taken: Unit[] = []
    const skipped: Unit[] = []
    // Rows of skipped units are blocked too, so that no later unit overtakes them.
    const blocked = new Set(this.rowsInFlight)
    let rows = 0
    let scanned = 0
    while (scanned < this.queue.length && scanned < MAX_UNITS_SCANNED && rows < MAX_TRANSACTION_ROWS) {
      const unit = this.queue[scanned++] as Unit
      const fits = rows + unit.ids.length <= MAX_TRANSACTION_ROWS && !unit.ids.some(id => blocked.has(id))
      for (const id of unit.ids) blocked.add(id)
      if (!fits) {
        skipped.push(unit)
        continue
      }
      taken.push(unit)
      rows += unit.ids.length
    }
    if (taken.length > 0) {
      this.queue.splice(0, scanned, ...skipped)
      this.queuedRows -= rows
    }
    return taken
  }

  /** Commits the units in one transaction; those left over by a conflict are sent again without the conflicting ones. */
  private async run (units: readonly Unit[]) {
    this.inFlight++
    for (const unit of units) for (const id of unit.ids) this.rowsInFlight.add(id)
    let pending = units
    while (pending.length > 0) {
      const outcome = await this.transact(pending.flatMap(unit => unit.writes))
      pending = settleUnits(pending, outcome)
    }
    for (const unit of units) for (const id of unit.ids) this.rowsInFlight.delete(id)
    this.inFlight--
    this.schedulePump()
  }

  private async transact (writes: readonly RowWrite[]): Promise<Result<TransactOutcome, Failure>> {
    const { tables, clock, backoffMs, random } = this.options
    for (let attempt = 0; ; attempt++) {
      const outcome = await tables.transact(writes)
      const delay = backoffMs[attempt]
      if (outcome.ok || outcome.val.code !== 'store-rate-limited' || delay === undefined) return outcome
      await clock.sleep(delay * (0.5 + random() / 2), this.closing.signal)
      if (this.closing.signal.aborted) return outcome
    }
  }
}

export function resolveGroupCommitterOptions (options: GroupCommitterOptions): ResolvedGroupCommitterOptions {
  return { maxInFlight: 2, maxQueuedRows: 50_000, backoffMs: [50, 100, 200, 400, 800], random: Math.random, ...options }
}

/** Tells each unit its own outcome and returns the units that must be sent again. */
function settleUnits (units: readonly Unit[], outcome: Result<TransactOutcome, Failure>): readonly Unit[] {
  if (outcome.err) {
    for (const unit of units) unit.settle(outcome)
    return []
  }
  const { val } = outcome
  if (val.committed) {
    let start = 0
    for (const unit of units) {
      unit.settle(Ok({ committed: true, versions: val.versions.slice(start, start + unit.writes.length) }))
      start += unit.writes.length
    }
    return []
  }
  const conflicts = new Map<string, RowConflict>(val.conflicts.map(conflict => [rowId(conflict), conflict]))
  return units.filter(unit => {
    const own = unit.ids.flatMap(id => conflicts.get(id) ?? [])
    if (own.length > 0) unit.settle(Ok({ committed: false, conflicts: own }))
    return own.length === 0
  })
}

function closedFailure (): Failure {
  return Failure.notRun('store-closed', 'The client of the platform is closed.')
}
