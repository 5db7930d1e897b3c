import { randomUUID } from 'node:crypto'
import { checkConfig, formatIssue, warningsFor } from '@citronnotch/config'
import type { CellUsage, ResolvedCellConfig } from '@citronnotch/config'
import { Err, Ok } from '@citronnotch/protocol'
import type { ApplyConfigRequest, ConfigSummary, ConfigVersion, Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { POLL_MS } from '../constants.js'
import { Failure } from '../errors.js'
import type { Log } from '../logger.js'
import { noMetrics } from '../metrics.js'
import type { Metrics } from '../metrics.js'
import type { RowWrite, TableService } from '../platform/index.js'
import type { Timeline } from '../timeline/index.js'
import { conflict, invalid, unavailable, unknown } from './failures.js'
import type { ConfigFailure } from './failures.js'
import { CONFIG_TABLE, CURRENT_KEY, parseCurrentRow, parseVersionRow, summaryOf, versionKey } from './rows.js'
import type { CurrentRow } from './rows.js'

// With a call timeout of 3 s this bounds an apply to about 20 s.
const SETTLE_ATTEMPTS = 3
const SETTLE_WAIT_MS = 500
// Rows of the history carry whole folders; reading few at once bounds the memory.
const HISTORY_ROWS = 20
const MAX_HISTORY = 100

export interface ConfigStoreOptions {
  readonly tables: TableService
  readonly clock: Clock
  readonly log: Log
  readonly timeline: Timeline
  readonly daemonId: string
  /**
   * Interval in milliseconds between reads of the current version.
   * @default 1000
   */
  readonly pollMs?: number
  /**
   * What runs in the cell now; an accepted configuration is checked against it.
   * @default no usage, which gives no warnings
   */
  readonly usage?: () => CellUsage | undefined | Promise<CellUsage | undefined>
  /** @default no metrics */
  readonly metrics?: Metrics
}

/** Told after a configuration came into force. */
export type ConfigListener = (config: ResolvedCellConfig, version: number) => void

interface InForce {
  readonly config: ResolvedCellConfig
  readonly content: ConfigVersion
  readonly contentJson: string
}

interface Pointer {
  /** Version of the table row; 0 when there is none. */
  readonly rowVersion: number
  readonly current: CurrentRow | undefined
}

/** The configuration in force at this daemon, and the way to change it for all. */
export class ConfigStore {
  private inForce: InForce | undefined
  private readonly listeners = new Set<ConfigListener>()
  /** Stored version that this daemon can't use; not read again. */
  private unusableVersion = 0
  /** Content that a peer offered and that can't be used; not checked again at each gossip round. */
  private unusableOffer = ''
  private isPollFailing = false

  private constructor (private readonly options: ConfigStoreOptions) {}

  static create (options: ConfigStoreOptions): ConfigStore {
    return new ConfigStore(options)
  }

  /** The configuration in force, or undefined before the first one. */
  current (): ResolvedCellConfig | undefined {
    return this.inForce?.config
  }

  /** Version in force; 0 before the first one. */
  version (): number {
    return this.inForce?.content.version ?? 0
  }

  /** The version in force with its files, as applied. */
  content (): ConfigVersion | undefined {
    return this.inForce?.content
  }

  /** The version in force as JSON, for a peer's `offer`; empty before the first one. */
  contentJson (): string {
    return this.inForce?.contentJson ?? ''
  }

  /** Calls `listener` after each change; the returned function removes it. */
  addListener (listener: ConfigListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Reads the current version at each interval until `signal` aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, pollMs = POLL_MS } = this.options
    while (!signal.aborted) {
      await this.poll()
      await clock.sleep(pollMs, signal)
    }
  }

  /** Takes a configuration from a peer. Returns true when it is now in force here. */
  offer (version: number, contentJson: string): boolean {
    if (version <= this.version() || contentJson === this.unusableOffer) return false
    const content = parseVersionRow(parseJson(contentJson))
    const isAdopted = content?.version === version && this.adopt(content, 'from a peer')
    if (content?.version !== version) this.refuse(version, 'a peer offered content that is not a configuration of this version')
    if (!isAdopted) this.unusableOffer = contentJson
    return isAdopted
  }

  /** Checks a folder and makes it the next version, if `expectedVersion` is still current. */
  async apply (req: ApplyConfigRequest): Promise<Result<ConfigVersion, ConfigFailure>> {
    const outcome = await this.tryApply(req)
    const { timeline, log } = this.options
    if (outcome.ok) {
      const { version, author } = outcome.val
      const message = `Configuration ${version} of ${author} was accepted`
      timeline.record('config-accepted', message, { configVersion: version })
      log.info(message, { version, changeId: outcome.val.changeId })
      this.adopt(outcome.val, 'accepted here')
    } else {
      const { code, reason, verdict } = outcome.val.failure
      timeline.record('config-refused', `A configuration of ${req.author} was not accepted: ${reason}`, { configVersion: req.expectedVersion + 1 })
      log.warn('A configuration was not accepted', { author: req.author, code, reason, verdict })
    }
    return outcome
  }

  /** Returns accepted versions, newest first. */
  async history (limit: number): Promise<Result<readonly ConfigSummary[], Failure>> {
    const pointer = await this.readPointer()
    if (pointer.err) return pointer
    const newest = pointer.val.current?.version ?? 0
    const count = Math.max(0, Math.min(limit, newest, MAX_HISTORY))
    if (count === 0) return Ok([])
    const versions: ConfigSummary[] = []
    for (let from = newest; from > newest - count; from -= HISTORY_ROWS) {
      const length = Math.min(HISTORY_ROWS, from - (newest - count))
      const keys = Array.from({ length }, (_, index) => ({ table: CONFIG_TABLE, key: versionKey(from - index) }))
      const rows = await this.options.tables.read(keys)
      if (rows.err) return rows
      versions.push(...rows.val.map(row => parseVersionRow(row.value)).filter(version => version !== undefined).map(summaryOf))
    }
    return Ok(versions.sort((a, b) => b.version - a.version))
  }

  /** Returns one accepted version, or undefined when there is none of this number. */
  async get (version: number): Promise<Result<ConfigVersion | undefined, Failure>> {
    if (this.inForce?.content.version === version) return Ok(this.inForce.content)
    const rows = await this.options.tables.read([{ table: CONFIG_TABLE, key: versionKey(version) }])
    return rows.map(found => parseVersionRow(found[0]?.value))
  }

  private async tryApply (req: ApplyConfigRequest): Promise<Result<ConfigVersion, ConfigFailure>> {
    const checked = checkConfig(req.files)
    if (checked.err) return Err(invalid(checked.val, []))
    const usage = await this.options.usage?.()
    const warnings = usage === undefined ? [] : warningsFor(checked.val.config, usage)
    if (warnings.length > 0 && req.acceptWarnings !== true) return Err(invalid([], warnings))

    const pointer = await this.readPointer()
    if (pointer.err) return Err(unavailable(pointer.val))
    const content: ConfigVersion = {
      version: req.expectedVersion + 1,
      changeId: req.changeId ?? randomUUID(),
      author: req.author,
      acceptedAt: this.options.clock.date().toISOString(),
      files: req.files
    }
    if ((pointer.val.current?.version ?? 0) !== req.expectedVersion) return this.settleConflict(content, req.changeId !== undefined)
    return this.commit(content, pointer.val.rowVersion)
  }

  /**
   * Writes the version. After a lost response the same transaction is sent again: it is conditional on
   * the absence of the version's row, so it commits at most once, even if the first one is still in transit.
   */
  private async commit (content: ConfigVersion, pointerRowVersion: number): Promise<Result<ConfigVersion, ConfigFailure>> {
    const { files, ...pointer } = content
    const writes: readonly RowWrite[] = [
      { table: CONFIG_TABLE, key: versionKey(content.version), ifVersion: 0, value: content },
      { table: CONFIG_TABLE, key: CURRENT_KEY, ifVersion: pointerRowVersion, value: pointer }
    ]
    let mayBeCommitted = false
    for (let attempt = 1; ; attempt++) {
      const outcome = await this.options.tables.transact(writes)
      if (outcome.ok) return outcome.val.committed ? Ok(content) : this.settleConflict(content, true)
      if (outcome.val.verdict === 'not-run' && !mayBeCommitted) return Err(unavailable(outcome.val))
      mayBeCommitted = true
      const row = await this.get(content.version)
      if (row.ok && row.val !== undefined) return this.settleConflict(content, true)
      if (attempt === SETTLE_ATTEMPTS) return Err(unknown(content.changeId, content.version, outcome.val))
      await this.options.clock.sleep(SETTLE_WAIT_MS)
    }
  }

  /**
   * The version's row exists or another version is current: finds out whether the row is this very change.
   * `mayBeStored` is false when this change can't have been sent yet.
   */
  private async settleConflict (content: ConfigVersion, mayBeStored: boolean): Promise<Result<ConfigVersion, ConfigFailure>> {
    const keys = [content.version - 1, content.version].map(version => ({ table: CONFIG_TABLE, key: versionKey(version) }))
    const [rows, pointer] = [await this.options.tables.read(keys), await this.readPointer()]
    if (rows.err) return Err(mayBeStored ? unknown(content.changeId, content.version, rows.val) : unavailable(rows.val))
    const versions = rows.val.map(row => parseVersionRow(row.value))
    const stored = versions.find(version => version?.version === content.version)
    if (stored?.changeId === content.changeId) return Ok(stored)
    const current = pointer.ok ? pointer.val.current : stored
    const expected = versions.find(version => version?.version === content.version - 1)
    const latest = current === undefined ? { ok: false as const } : await this.get(current.version)
    return Err(conflict(content.version - 1, current ?? { version: 0, author: '', acceptedAt: '' }, expected, latest.ok ? latest.val : undefined))
  }

  private async poll (): Promise<void> {
    const pointer = await this.readPointer()
    const current = pointer.ok ? pointer.val.current : undefined
    if (pointer.err) return this.notePollFailure(pointer.val)
    if (current !== undefined && current.version > Math.max(this.version(), this.unusableVersion)) {
      const content = await this.get(current.version)
      if (content.err) return this.notePollFailure(content.val)
      const isAdopted = content.val !== undefined && this.adopt(content.val, 'from the table service')
      if (content.val === undefined) this.refuse(current.version, 'its row is missing or malformed')
      // A peer may have put this version or a later one in force meanwhile.
      if (!isAdopted && this.version() < current.version) this.unusableVersion = current.version
    }
    if (this.isPollFailing) this.options.log.info('The configuration can be read again', { version: this.version() })
    this.isPollFailing = false
  }

  private notePollFailure (failure: Failure): void {
    this.options.metrics?.count('config.poll_failed')
    if (!this.isPollFailing) {
      this.options.log.warn('The configuration can\'t be read; the current one stays in force', { version: this.version(), reason: failure.reason })
    }
    this.isPollFailing = true
  }

  private async readPointer (): Promise<Result<Pointer, Failure>> {
    const rows = await this.options.tables.read([{ table: CONFIG_TABLE, key: CURRENT_KEY }])
    if (rows.err) return rows
    const row = rows.val[0]
    const current = parseCurrentRow(row?.value)
    if (row !== undefined && current === undefined) {
      return Err(Failure.notRun('config-row-malformed', `row ${CONFIG_TABLE}/${CURRENT_KEY} is malformed`, 'restore the row in the table service'))
    }
    return Ok({ rowVersion: row?.version ?? 0, current })
  }

  /** Puts a version in force unless the daemon already has it or a higher one. */
  private adopt (content: ConfigVersion, source: string): boolean {
    if (content.version <= this.version()) return false
    const checked = checkConfig(content.files)
    if (checked.err) {
      const first = checked.val[0]
      this.refuse(content.version, first === undefined ? 'it is not valid' : formatIssue(first))
      return false
    }
    const { config } = checked.val
    this.inForce = { config, content, contentJson: JSON.stringify(content) }
    const { log, timeline, metrics = noMetrics } = this.options
    timeline.record('config-in-force', `Configuration ${content.version} of ${content.author} is in force, ${source}`, { configVersion: content.version })
    log.info('A configuration is in force', { version: content.version, author: content.author, source })
    metrics.gauge('config.version', content.version)
    for (const listener of this.listeners) this.notify(listener, config, content.version)
    return true
  }

  private notify (listener: ConfigListener, config: ResolvedCellConfig, version: number): void {
    try {
      listener(config, version)
    } catch (err) {
      this.options.log.error('A listener failed on a new configuration', { version, error: String(err) })
    }
  }

  private refuse (version: number, reason: string): void {
    const { log, timeline, metrics = noMetrics } = this.options
    timeline.record('config-refused', `Configuration ${version} can't be used, version ${this.version()} stays in force: ${reason}`, { configVersion: version })
    log.error('A configuration can\'t be used; the current one stays in force', { version, inForce: this.version(), reason })
    metrics.count('config.refused')
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
