import { createHash, randomUUID } from 'node:crypto'
import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { Log } from '../logger.js'
import type { GroupCommit, Row, TableService } from '../platform/types.js'
import { REPEAT_POLL_MAX_MS, REPEAT_POLL_MS, STORE_RETRY_FOR_MS, STORE_RETRY_MAX_MS, STORE_RETRY_MS } from './constants.js'
import { DrainCounter } from './drainCounter.js'
import type { ServiceRequest, ServiceResponse } from './types.js'

export interface IdempotencyStoreOptions {
  readonly groupCommit: GroupCommit
  readonly tables: Pick<TableService, 'read'>
  readonly clock: Clock
  readonly daemonId: string
  readonly log?: Log
}

/** Value of a row of table `requests`, key `<service>/<key>`. */
export interface RequestRow {
  /** `released` means that nothing was run, and a repeat may run. */
  readonly state: 'started' | 'finished' | 'released'
  /** Hash of team, method, path and body. */
  readonly requestHash: string
  /** Random, one for each attempt to create the row. */
  readonly token: string
  readonly daemonId: string
  /** Wall clock of the daemon, ISO 8601; only for people. */
  readonly writtenAt: string
  readonly outcome?: Outcome
}

/** How a request that was forwarded ended. */
export type Outcome =
  | { readonly verdict: 'ran', readonly status: number, readonly headers: ServiceResponse['headers'], readonly workerId: string, /** Base64; absent when it was too large to keep. */ readonly body?: string }
  | { readonly verdict: 'may-have-run', readonly code: string, readonly reason: string }

/** Right to forward a request once. */
export interface Ticket {
  readonly key: string
  readonly token: string
  readonly requestHash: string
  readonly version: number
}

export type Begun =
  | { readonly kind: 'created', readonly ticket: Ticket }
  | { readonly kind: 'finished', readonly outcome: Outcome }

const TABLE = 'requests'
/** Rounds of writing and reading back before an attempt is given up. */
const MAX_ROUNDS = 5

/** Makes sure that a non-idempotent request with a key is forwarded at most once. */
export class IdempotencyStore {
  private readonly writing = DrainCounter.create()

  private constructor (private readonly options: IdempotencyStoreOptions) {}

  static create (options: IdempotencyStoreOptions): IdempotencyStore {
    return new IdempotencyStore(options)
  }

  /**
   * Creates the row of a request, or finds the outcome of an earlier attempt; waits for the outcome
   * until the deadline while another attempt runs.
   */
  async begin (req: ServiceRequest): Promise<Result<Begun, Failure>> {
    const { clock } = this.options
    const key = keyOf(req)
    const attempt = { key, token: randomUUID(), requestHash: hashOf(req) }
    let ifVersion = 0
    let pollMs = REPEAT_POLL_MS
    let mayHaveWritten = false
    for (let round = 0; round < MAX_ROUNDS;) {
      const written = await this.write(attempt, 'started', ifVersion)
      if (written.ok && written.val.committed) return Ok({ kind: 'created', ticket: { ...attempt, version: written.val.versions[0]! } })
      if (written.err && written.val.verdict === 'not-run' && !mayHaveWritten) return Err(storeUnavailable(written.val))
      if (written.err) {
        mayHaveWritten = true
        round++
      }
      const found = await this.waitWhileStarted(attempt, req, () => {
        const ms = pollMs
        pollMs = Math.min(REPEAT_POLL_MAX_MS, pollMs * 2)
        return ms
      })
      if (found.err) {
        if (mayHaveWritten && found.val.verdict === 'not-run') this.abandon(attempt)
        return found
      }
      const row = found.val
      if (row?.value.token === attempt.token) return Ok({ kind: 'created', ticket: { ...attempt, version: row.version } })
      if (row?.value.state === 'finished') return Ok({ kind: 'finished', outcome: row.value.outcome! })
      if (clock.now() >= req.deadline) break
      // The row is absent or released: write again, under the version that was read.
      ifVersion = row?.version ?? 0
      if (written.ok) round++
    }
    if (mayHaveWritten) this.abandon(attempt)
    return Err(Failure.notRun('store-unavailable', 'The request could not be recorded in time, so it was not forwarded', 'Repeat the request with the same key'))
  }

  /** Records the outcome, in the background while the store is down. */
  finish (ticket: Ticket, outcome: Outcome): Promise<void> {
    return this.persist(ticket, 'finished', outcome)
  }

  /** Gives up the right to forward, so that a repeat may run. Nothing may have been forwarded. */
  release (ticket: Ticket): Promise<void> {
    return this.persist(ticket, 'released')
  }

  /** Resolves when no write is pending. */
  drained (): Promise<void> {
    return this.writing.drained()
  }

  /** Returns the row once its state is not `started` by another attempt; undefined when it is absent. */
  private async waitWhileStarted (attempt: { key: string, token: string, requestHash: string }, req: ServiceRequest, nextPollMs: () => number): Promise<Result<Row<RequestRow> | undefined, Failure>> {
    const { clock } = this.options
    for (;;) {
      const read = await this.read(attempt.key)
      if (read.err) return Err(storeUnavailable(read.val))
      const row = read.val
      if (row === undefined || row.value.token === attempt.token || row.value.state === 'released') return Ok(row)
      if (row.value.requestHash !== attempt.requestHash) {
        return Err(Failure.notRun('idempotency-key-reused', 'The idempotency key was used for a different request', 'Use a new key for a new request'))
      }
      if (row.value.state === 'finished') return Ok(row)
      const remainingMs = req.deadline - clock.now()
      if (remainingMs <= 0 || req.signal.aborted) {
        return Err(Failure.mayHaveRun('still-running', 'An earlier attempt with this key was started, and its outcome is not known', 'Repeat the request with the same key to learn the outcome'))
      }
      await clock.sleep(Math.min(nextPollMs(), remainingMs), req.signal)
    }
  }

  private async persist (ticket: Ticket, state: 'finished' | 'released', outcome?: Outcome) {
    const { clock, log } = this.options
    this.writing.enter()
    const startedAt = clock.now()
    let pauseMs = STORE_RETRY_MS
    let ifVersion = ticket.version
    while (clock.now() - startedAt <= STORE_RETRY_FOR_MS) {
      const written = await this.write(ticket, state, ifVersion, outcome)
      if (written.ok && written.val.committed) break
      if (written.ok) {
        const read = await this.read(ticket.key)
        // An earlier write whose answer was lost took effect, or a repeat has taken over a released row.
        if (read.ok && (read.val?.value.token !== ticket.token || read.val.value.state === state)) break
        if (read.ok) {
          ifVersion = read.val!.version
          continue
        }
      }
      await clock.sleep(pauseMs)
      pauseMs = Math.min(STORE_RETRY_MAX_MS, pauseMs * 2)
      if (clock.now() - startedAt > STORE_RETRY_FOR_MS) log?.warn('Outcome of a request could not be recorded', { key: ticket.key, state })
    }
    this.writing.leave()
  }

  /** Releases the row of an attempt whose create may still take effect. */
  private abandon (attempt: { key: string, token: string, requestHash: string }) {
    this.writing.enter()
    this.fence(attempt).finally(() => this.writing.leave())
  }

  private async fence (attempt: { key: string, token: string, requestHash: string }) {
    const { clock } = this.options
    const startedAt = clock.now()
    for (let pauseMs = STORE_RETRY_MS; clock.now() - startedAt <= STORE_RETRY_FOR_MS; pauseMs = Math.min(STORE_RETRY_MAX_MS, pauseMs * 2)) {
      const read = await this.read(attempt.key)
      if (read.ok) {
        const row = read.val
        const isOwn = row?.value.token === attempt.token
        // Once another attempt has written, a late write of this one conflicts.
        if (row !== undefined && !isOwn && row.value.state !== 'released') return
        if (isOwn && row?.value.state === 'released') return
        const written = await this.write(attempt, 'released', row?.version ?? 0)
        if (written.ok && written.val.committed) return
      }
      await clock.sleep(pauseMs)
    }
  }

  private write ({ key, token, requestHash }: { key: string, token: string, requestHash: string }, state: RequestRow['state'], ifVersion: number, outcome?: Outcome) {
    const { groupCommit, clock, daemonId } = this.options
    const value: RequestRow = { state, requestHash, token, daemonId, writtenAt: clock.date().toISOString(), ...(outcome === undefined ? {} : { outcome }) }
    return groupCommit.commit([{ table: TABLE, key, ifVersion, value }])
  }

  private async read (key: string): Promise<Result<Row<RequestRow> | undefined, Failure>> {
    const read = await this.options.tables.read([{ table: TABLE, key }])
    return read.err ? read : Ok(read.val[0] as Row<RequestRow> | undefined)
  }
}

function keyOf ({ service, idempotencyKey }: ServiceRequest): string {
  return `${service}/${encodeURIComponent(idempotencyKey ?? '')}`
}

function hashOf ({ team, method, path, body }: ServiceRequest): string {
  return createHash('sha256').update(JSON.stringify([team, method, path])).update(body).digest('base64')
}

function storeUnavailable ({ reason }: Failure): Failure {
  return Failure.notRun('store-unavailable', `The request can't be recorded, so it was not forwarded: ${reason}`, 'Repeat the request with the same key')
}
