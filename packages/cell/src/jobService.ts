import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import type { Log } from '@citronnotch/base/logger'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import { EVERYONE, maySee } from './accounts/index.js'
import type { AccountAdmission, Requester } from './accounts/index.js'
import { TABLES } from './constants.js'
import { cancelKeyOf, leaderPartitionName, leaderPartitionOf, admissionPartitionOf } from './jobs.js'
import { accountOfRow, encodeJob, termsOf } from './jobRecord.js'
import type { AdmissionRoom, LikelyRefusal } from './admissionRoom.js'
import { MAX_JOB_BYTES, jobBytes } from './jobMemory.js'
import type { EarlyAdvice, StepAnswers } from './earlyAdvice.js'
import { ID_OF_OTHER_ACCOUNT } from './finalFailures.js'
import { HeldRequests } from './heldRequests.js'
import type { JobRecord } from './jobRecord.js'
import { LeaderRoute } from './leaderRoute.js'
import type { CellMetrics } from './metrics.js'
import type { RowStore, StoredRow } from './ports.js'
import { FORWARD_TIMEOUT_MS, RequestRunner } from './requestRunner.js'
import type { Revalidation, StoreRequest } from './requestRunner.js'
import { decodeEnded } from './storedProgress.js'
import type { StoreHealth } from './storeHealth.js'
import type { JobOutcome, JobSpec, JobState, Queue } from './types.js'

export const JOB_TOO_LARGE = 'job-too-large'

const OTHER_ACCOUNT = Failure.notRun(ID_OF_OTHER_ACCOUNT, 'The id is that of a job of another account.', 'Choose another id.')

/**
 * Time without an answer of the store after which nothing is sent to it for other daemons, in milliseconds: a leader renews
 * its lease every 500 ms. The other daemon may know sooner than this one that the store is silent, and an attempt would
 * be of unknown outcome.
 */
const MAX_ANSWER_AGE_MS = 700

/** Memory of a held cancellation, in bytes: that of a request without a body. */
const CANCELLATION_BYTES = 2_000

/** Client of the cell's current leader, which may be another daemon. Every call may fail. */
export interface LeaderClient {
  /** Notifies the leader that an admission is stored. */
  admitted (job: AdmittedJob): void
  /** Notifies the leader that a cancellation is stored. */
  cancelled (jobId: string): void
  /** Makes the leader admit a job. Used when this daemon can't reach the store. */
  submit (jobId: string, record: JobRecord, payload: string, requester: Requester, timeoutMs: number): Promise<Result<'admitted' | 'known', Failure>>
  /** Makes the leader cancel a job. Used when this daemon can't reach the store. */
  cancel (jobId: string, requester: Requester, timeoutMs: number): Promise<Result<'cancelled' | 'unknown', Failure>>
  /** Undefined if the leader doesn't have the job or doesn't answer. */
  statusOf (jobId: string): Promise<JobStatus | undefined>
  pendingOf (queue: string): Promise<number | undefined>
}

export interface JobStatus {
  readonly state: JobState
  /** Client account that submitted the job; missing if it was stored without one. */
  readonly account?: string | undefined
}

/** A job whose admission is stored. */
export interface AdmittedJob {
  readonly jobId: string
  readonly record: JobRecord
  readonly payload: string
  /** Version of the row that admitted the job. */
  readonly version: number
  /** Answers of the placement policy service that the daemon has got already. */
  readonly answers?: readonly StepAnswers[]
  /** Latest time at which the notice was sent, on the store's clock in milliseconds; missing if that isn't known. */
  readonly sentByMs?: number
}

/** State of a job according to the store. */
interface StoredState {
  /** Row that admitted the job; undefined if it was moved to the ended jobs or there is no such job. */
  readonly job: StoredRow | undefined
  readonly isCancelled: boolean
  readonly outcome: JobOutcome | undefined
  readonly account: string | undefined
}

/** What a request may rely on while it waits for the store. */
export interface CallerOptions {
  /** Aborts when the caller has gone, so that its request need not be held any longer. */
  readonly signal?: AbortSignal
  /**
   * Whether the request may still be carried out after it was held, since the configuration may have changed meanwhile.
   * @default it may
   */
  readonly mayStillRun?: Revalidation
  /** Whether to ask `mayStillRun` also before a request is sent that was not held, because its configuration is old. */
  readonly isUnconfirmed?: boolean
}

export interface JobServiceOptions {
  readonly store: RowStore
  readonly storeHealth: StoreHealth
  readonly leader: LeaderClient
  readonly earlyAdvice?: EarlyAdvice
  readonly room: AdmissionRoom
  readonly accountAdmission: AccountAdmission
  /** Version of the configuration in force. */
  readonly configVersion: () => number
  /** Sends a small read to the store, to learn whether it answers; called while requests are held. */
  readonly probe: () => Promise<unknown>
  readonly random: () => number
  readonly clock: Clock
  readonly log: Log
  readonly metrics: CellMetrics
}

type Admission = 'admitted' | 'known'
type Cancellation = 'cancelled' | 'unknown'

/** Admits and cancels jobs and reports their state. Runs in every daemon, not only in the leader. */
export class JobService {
  private readonly runner: RequestRunner

  private constructor (private readonly options: JobServiceOptions) {
    const { storeHealth: health, clock } = options
    const leaderRoute = LeaderRoute.create(clock)
    const held = HeldRequests.create({ ...options, health, leaderRoute })
    this.runner = RequestRunner.create({ ...options, health, held, leaderRoute })
  }

  static create (options: JobServiceOptions): JobService {
    return new JobService(options)
  }

  // Commands

  /**
   * Resolves with Ok once the job is stored, within `budgetMs`. Submitting an id again doesn't create a second job and
   * returns `known`. Fails with the code `ID_OF_OTHER_ACCOUNT` if the id is that of a job which doesn't exist for the
   * requester.
   */
  async submit (jobId: string, queue: Queue, spec: JobSpec, budgetMs: number, requester = EVERYONE, caller: CallerOptions = {}): Promise<Result<Admission, Failure>> {
    const { clock, leader, room, accountAdmission, metrics } = this.options
    const { payload } = spec
    const { account } = requester
    const record = this.recordOf(queue, spec, account)
    const bytes = jobBytes(record, payload.length)
    const sizeRefusal = refusalOfSize(bytes)
    if (sizeRefusal !== undefined) return Err(sizeRefusal)
    const deadlineAt = clock.now() + budgetMs
    const refusal = accountAdmission.check(account, spec) ?? room.admit(queue, spec, bytes)
    if (refusal !== undefined) return this.refuse(jobId, refusal, deadlineAt, requester, caller)
    const res = await this.runner.run({
      ...this.admission(jobId, record, payload, deadlineAt, requester),
      ...caller,
      ...this.revalidation(account, spec, caller),
      bytes,
      viaLeader: timeoutMs => {
        metrics.count('submitted_by_leader')
        return leader.submit(jobId, record, payload, requester, timeoutMs)
      },
      mayBeHeld: true
    })
    if (res.err && res.val.verdict === 'not-run') room.giveBack(queue.name, bytes)
    return res
  }

  /** Compares a job that was held with the limit of its account too, which may have been lowered meanwhile. */
  private revalidation (account: string | undefined, spec: JobSpec, { mayStillRun }: CallerOptions): Pick<CallerOptions, 'mayStillRun'> {
    if (mayStillRun === undefined) return {}
    return {
      mayStillRun: async via => {
        const answer = await mayStillRun(via)
        return answer === 'yes' && this.options.accountAdmission.check(account, spec) !== undefined ? 'no' : answer
      }
    }
  }

  /** Refuses a job, unless an earlier request has admitted it: "has not run" would be wrong then. */
  private async refuse (jobId: string, refusal: Failure, deadlineAt: number, requester: Requester, caller: CallerOptions): Promise<Result<'known', Failure>> {
    const stored = await this.runner.run({ ...caller, jobId, operation: 'submit', deadlineAt, bytes: 0, viaStore: timeoutMs => this.readJob(jobId, timeoutMs), isRead: true, mayBeHeld: true })
    if (stored.err) return Err(Failure.mayHaveRun('store-answer-lost', 'Whether the job was admitted before can not be read.', 'Send the same request again.'))
    const { job, outcome, account } = stored.val
    return job !== undefined || outcome !== undefined ? answerKnown(account, requester) : Err(refusal)
  }

  /** Admits a job on behalf of another daemon, through this daemon's connection to the store; fails at once while that is unavailable. */
  admitInStore (jobId: string, record: JobRecord, payload: string, requester = EVERYONE): Promise<Result<Admission, Failure>> {
    return this.runForPeer(this.admission(jobId, record, payload, this.options.clock.now() + FORWARD_TIMEOUT_MS, requester))
  }

  private admission (jobId: string, record: JobRecord, payload: string, deadlineAt: number, requester: Requester): StoreRequest<Admission> {
    const { earlyAdvice, storeHealth } = this.options
    // Tickets would expire while the store doesn't answer.
    const early = storeHealth.isAnswering() ? earlyAdvice?.ask(jobId, record, record.terms ?? {}) : undefined
    return { jobId, operation: 'submit', deadlineAt, bytes: 0, viaStore: timeoutMs => this.storeAdmission({ jobId, record, payload, requester }, early, timeoutMs), mayBeHeld: false }
  }

  private async storeAdmission ({ jobId, record, payload, requester }: Pick<AdmittedJob, 'jobId' | 'record' | 'payload'> & { readonly requester: Requester }, early: ReturnType<EarlyAdvice['ask']> | undefined, timeoutMs: number): Promise<Result<Admission, Failure>> {
    const { store, leader, clock, log } = this.options
    const res = await store.transact({
      partition: admissionPartitionOf(jobId),
      expect: [{ table: TABLES.jobs, key: jobId, version: 0 }, { table: TABLES.ended, key: jobId, version: 0 }],
      puts: [{ table: TABLES.jobs, key: jobId, value: encodeJob(record) }, { table: TABLES.payloads, key: jobId, value: { payload } }],
      removes: []
    }, timeoutMs)
    if (res.err) return res
    if (!res.val.committed) return this.recognize(jobId, res.val.current, timeoutMs, requester)
    const job: AdmittedJob = { jobId, record, payload, version: res.val.version }
    // Nothing can start without tickets, so the leader loses no time; callers get their answer meanwhile.
    if (early === undefined) leader.admitted(job)
    else {
      early.then(({ answers, answeredAt }) => {
        // The transaction may have taken much longer than the answers.
        const ageMs = clock.now() - answeredAt
        const sentByMs = store.clockMs()?.latest
        leader.admitted({ ...job, answers: answers.map(answer => ({ ...answer, ageMs })), ...(sentByMs === undefined ? {} : { sentByMs }) })
      }, (err: unknown) => {
        log.error('Early placement advice failed unexpectedly.', { job: jobId, err })
        leader.admitted(job)
      })
    }
    return Ok('admitted')
  }

  /** Resolves with `cancelled` once the cancellation is stored, within `budgetMs`, or with `unknown` if there is no such live job. */
  cancel (jobId: string, budgetMs: number, requester = EVERYONE, caller: CallerOptions = {}): Promise<Result<Cancellation, Failure>> {
    return this.runner.run({
      ...this.cancellation(jobId, budgetMs, requester),
      ...caller,
      viaLeader: timeoutMs => this.options.leader.cancel(jobId, requester, timeoutMs),
      mayBeHeld: true
    })
  }

  /** Cancels a job on behalf of another daemon, through this daemon's connection to the store; fails at once while that is unavailable. */
  cancelInStore (jobId: string, requester = EVERYONE): Promise<Result<Cancellation, Failure>> {
    return this.runForPeer(this.cancellation(jobId, FORWARD_TIMEOUT_MS, requester))
  }

  private async runForPeer<T> (req: StoreRequest<T>): Promise<Result<T, Failure>> {
    return this.options.storeHealth.unansweredMs() > MAX_ANSWER_AGE_MS ? Err(this.runner.unavailable(req)) : this.runner.run(req)
  }

  private cancellation (jobId: string, budgetMs: number, requester: Requester): StoreRequest<Cancellation> {
    return { jobId, operation: 'cancel', deadlineAt: this.options.clock.now() + budgetMs, bytes: CANCELLATION_BYTES, viaStore: timeoutMs => this.storeCancellation(jobId, requester, timeoutMs), mayBeHeld: false }
  }

  private async storeCancellation (jobId: string, requester: Requester, timeoutMs: number): Promise<Result<Cancellation, Failure>> {
    const { store, clock, leader } = this.options
    const startedAt = clock.now()
    for (;;) {
      const stored = await this.readJob(jobId, timeoutMs - (clock.now() - startedAt))
      if (stored.err) return stored
      const { job, isCancelled, outcome, account } = stored.val
      if (!maySee(requester, account)) return Ok('unknown')
      if (outcome === 'cancelled' || isCancelled) return Ok('cancelled')
      if (job === undefined || outcome !== undefined) return Ok('unknown')
      const res = await store.transact({
        partition: admissionPartitionOf(jobId),
        expect: [{ table: TABLES.jobs, key: jobId, version: job.version }],
        puts: [{ table: TABLES.jobs, key: cancelKeyOf(jobId), value: { atMs: clock.date().getTime() } }],
        removes: []
      }, timeoutMs)
      if (res.err) return res
      if (!res.val.committed) continue
      leader.cancelled(jobId)
      return Ok('cancelled')
    }
  }

  // Queries

  /** The record that a submission would store now. */
  recordOf (queue: Queue, { payload, ...spec }: JobSpec, account: string | undefined): JobRecord {
    const { clock, configVersion } = this.options
    return { queue: queue.name, service: queue.service, ...(account === undefined ? {} : { account }), terms: termsOf(queue), spec, admittedAtMs: clock.date().getTime(), configVersion: configVersion() }
  }

  /** Why a submission would be refused now; undefined if it would be sent to the store. Takes no room and counts nothing. */
  refusalOf (queue: Queue, spec: JobSpec, account: string | undefined): LikelyRefusal | undefined {
    const { room, accountAdmission } = this.options
    const bytes = jobBytes(this.recordOf(queue, spec, account), spec.payload.length)
    const failure = refusalOfSize(bytes) ?? accountAdmission.refusalOf(account, spec)
    return failure === undefined ? room.refusalOf(queue, spec, bytes) : { failure, admittedShare: 0 }
  }

  /** Age of the leader's forecast by which submissions to a queue are refused, in milliseconds; undefined if there is none. */
  forecastAgeMs (queue: string): number | undefined {
    return this.options.room.forecastAgeMs(queue)
  }

  /** State of a job; undefined if there is no such job for the requester. Not held while the store is unavailable: callers ask again by themselves. */
  async stateOf (jobId: string, budgetMs: number, requester = EVERYONE): Promise<Result<JobState | undefined, Failure>> {
    const atLeader = await this.options.leader.statusOf(jobId)
    if (atLeader !== undefined) return Ok(maySee(requester, atLeader.account) ? atLeader.state : undefined)
    const deadlineAt = this.options.clock.now() + budgetMs
    const stored = await this.runner.run({ jobId, operation: 'show', deadlineAt, bytes: 0, viaStore: timeoutMs => this.readJob(jobId, timeoutMs), isRead: true, mayBeHeld: false })
    if (stored.err) return stored
    const { job, outcome, account } = stored.val
    if (!maySee(requester, account)) return Ok(undefined)
    // A stored cancellation isn't an outcome yet: the leader may complete the job before it reads the cancellation.
    return Ok(outcome ?? (job === undefined ? undefined : 'active'))
  }

  async pendingOf (queue: Queue): Promise<Result<number, Failure>> {
    const pending = await this.options.leader.pendingOf(queue.name)
    if (pending !== undefined) return Ok(pending)
    return Err(Failure.notRun('leader-unknown', 'The leader of the cell can not be asked now.', 'Ask again in a second.'))
  }

  /** Answers a submission that the store refused because of the rows that the id has already. */
  private async recognize (jobId: string, rows: readonly StoredRow[], timeoutMs: number, requester: Requester): Promise<Result<'known', Failure>> {
    if (requester.seesAllJobs) return Ok('known')
    const row = rows.find(({ key, value }) => key === jobId && value !== undefined)
    if (row !== undefined) return answerKnown(accountOfRow(row.value), requester)
    const stored = await this.readJob(jobId, timeoutMs)
    return stored.err ? Err(Failure.mayHaveRun(stored.val.code, stored.val.reason)) : answerKnown(stored.val.account, requester)
  }

  /** Reads the state of a job from the store. A read has no effect, so that a failed one has the verdict `not-run`. */
  private async readJob (jobId: string, timeoutMs: number): Promise<Result<StoredState, Failure>> {
    const jobRows = await this.readRows(TABLES.jobs, admissionPartitionOf(jobId), jobId, `${jobId}/`, timeoutMs)
    if (jobRows.err) return jobRows
    const job = jobRows.val.find(({ key }) => key === jobId)
    const isCancelled = jobRows.val.some(({ key }) => key === cancelKeyOf(jobId))
    // If the admission row is missing, the job was moved to the ended jobs or never existed.
    const outcomeRows = job === undefined
      ? await this.readRows(TABLES.ended, admissionPartitionOf(jobId), jobId, `${jobId}\0`, timeoutMs)
      : await this.readRows(TABLES.progress, leaderPartitionName(leaderPartitionOf(jobId)), jobId, `${jobId}\0`, timeoutMs)
    if (outcomeRows.err) return outcomeRows
    const ended = decodeEnded(outcomeRows.val[0]?.value)
    return Ok({ job, isCancelled, outcome: ended?.outcome, account: job === undefined ? ended?.account : accountOfRow(job.value) })
  }

  private async readRows (table: string, partition: string, from: string, to: string, timeoutMs: number): Promise<Result<readonly StoredRow[], Failure>> {
    const page = await this.options.store.range({ table, partition, from, to }, timeoutMs)
    return page.ok ? Ok(page.val.rows) : Err(Failure.notRun(page.val.code, page.val.reason))
  }
}

function refusalOfSize (bytes: number): Failure | undefined {
  if (bytes <= MAX_JOB_BYTES) return undefined
  return Failure.notRun(JOB_TOO_LARGE, `The job takes ${bytes} bytes of a leader's memory, and at most ${MAX_JOB_BYTES} are allowed.`, 'Divide the job, or repeat it less often.')
}

/** Answers a submission of an id that an admitted job has; `account` is that of the job. */
function answerKnown (account: string | undefined, requester: Requester): Result<'known', Failure> {
  return maySee(requester, account) ? Ok('known') : Err(OTHER_ACCOUNT)
}
