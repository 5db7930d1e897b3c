import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import type { Job } from '../jobs.js'
import type { CellMetrics } from '../metrics.js'
import { add, dominantShare } from '../resources.js'
import type { ResourceVector } from '../types.js'
import { accountLabel } from './accountLabel.js'
import type { AccountTerms } from './accountTerms.js'
import type { CellAccounts } from './cellAccounts.js'

/** Interval between two log lines, in milliseconds: what an operator looks at lasts for seconds. */
const REPORT_INTERVAL_MS = 1_000
/** Maximum number of accounts in one log line, of which a reader takes in no more. */
const MAX_LOGGED = 50
/** Maximum number of accounts with gauges, so that a metrics store holds few series. */
const MAX_GAUGES = 10
/** Maximum number of accounts in an answer, which has to fit into a message between daemons. */
const MAX_REPORTED = 1_000
/** Gauge of the share of the cell that an account has in use, in thousandths. */
const SHARE_GAUGE = 'account_share_permille'

/** How an account stands on the leader. */
export interface AccountStanding {
  readonly name: string
  readonly weight: number
  /** Resources that it may have in use; 0: no limit. */
  readonly limit: ResourceVector
  readonly inUse: ResourceVector
  /** What it may have in use beyond that without this leader knowing, and what counts against all accounts. */
  readonly unknown: ResourceVector
  readonly runs: number
  /** Numbers of jobs with tasks to start: those that the account is owed, and those beyond its rate. */
  readonly waitingOwed: number
  readonly waitingExcess: number
}

export interface AccountReportOptions {
  readonly accounts: CellAccounts
  readonly terms: AccountTerms
  readonly jobs: () => Iterable<Job>
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

/** Reports the accounts of the cell: once a second in the log, as gauges, and when it is asked. */
export class AccountReport {
  private reportedAt = -Infinity

  private constructor (private readonly options: AccountReportOptions) {}

  static create (options: AccountReportOptions): AccountReport {
    return new AccountReport(options)
  }

  /** Accounts with the largest share of the cell first, then those with the most waiting jobs; at most 1,000. */
  standings (): readonly AccountStanding[] {
    const { accounts, terms } = this.options
    const waiting = this.waitingJobs()
    const capacity = accounts.capacity()
    const rows = terms.all().map(({ name, weight, limit }) => {
      const { runs, ...inUse } = accounts.usage.of(name)
      const { owed, excess } = waiting.get(name) ?? { owed: 0, excess: 0 }
      return { share: dominantShare(inUse, capacity), standing: { name, weight, limit, inUse, unknown: add(accounts.usage.unknown(), accounts.hidden.of(name)), runs, waitingOwed: owed, waitingExcess: excess } }
    })
    const waitingOf = ({ standing }: typeof rows[number]) => standing.waitingOwed + standing.waitingExcess
    return rows.sort((a, b) => b.share - a.share || waitingOf(b) - waitingOf(a)).slice(0, MAX_REPORTED).map(({ standing }) => standing)
  }

  /** Logs the accounts and sets the gauges, if the cell has accounts and the last report is at least an interval ago. */
  tick (): void {
    const { accounts, terms, clock, log, metrics } = this.options
    if (!terms.areInUse() || clock.now() - this.reportedAt < REPORT_INTERVAL_MS) return
    this.reportedAt = clock.now()
    const standings = this.standings()
    const capacity = accounts.capacity()
    const logged = standings.slice(0, MAX_LOGGED).map(({ name, limit, inUse, unknown, waitingOwed, waitingExcess }) => ({ name: accountLabel(name), limit: format(limit), inUse: format(inUse), unknown: format(unknown), waitingOwed, waitingExcess }))
    log.info('Account usage.', { accounts: logged, leftOutAccounts: terms.all().length - logged.length })
    metrics.gaugeByLabel(SHARE_GAUGE, 'account', new Map(standings.slice(0, MAX_GAUGES).map(({ name, inUse }) => [accountLabel(name), Math.round(1_000 * dominantShare(inUse, capacity))])))
  }

  /** Removes the gauges, once another daemon leads. */
  stop (): void {
    this.options.metrics.gaugeByLabel(SHARE_GAUGE, 'account', new Map())
  }

  private waitingJobs (): ReadonlyMap<string, { owed: number, excess: number }> {
    const { accounts, jobs, clock } = this.options
    const unixMs = clock.date().getTime()
    const counts = new Map<string, { owed: number, excess: number }>()
    for (const job of jobs()) {
      const { account } = job.record
      if (account === undefined || job.outcome !== undefined || !hasTasksToStart(job)) continue
      const count = counts.get(account) ?? { owed: 0, excess: 0 }
      count[accounts.isExcess(job, unixMs) ? 'excess' : 'owed']++
      counts.set(account, count)
    }
    return counts
  }
}

function hasTasksToStart (job: Job): boolean {
  for (const step of job.liveSteps()) if (step.hasWaitingTasks() && step.isReady()) return true
  return false
}

/** Thousandths of a core, MB and accelerators. */
function format ({ milliCores, memoryMb, accelerators }: ResourceVector): string {
  return `${milliCores}/${memoryMb}/${accelerators}`
}
