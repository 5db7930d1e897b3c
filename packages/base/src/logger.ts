import { Logger } from 'tslog'
import type { ILogObj } from 'tslog'
import { LineWriter } from './lineWriter.js'

export const LOG_LEVELS = ['silly', 'trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const
export type LogLevel = typeof LOG_LEVELS[number]

export interface LoggerOptions {
  /**
   * Lowest level that is written, for each part; `*` stands for all other parts.
   * @default { '*': 'info' }
   */
  readonly levels?: Readonly<Record<string, LogLevel>>
  /**
   * `json` writes one JSON object per line, `pretty` writes text for a terminal.
   * @default 'json'
   */
  readonly format?: 'json' | 'pretty'
}

const STDOUT_FD = 1
const standardOutput = LineWriter.forDescriptor(STDOUT_FD)
process.once('exit', () => standardOutput.flushSync(STDOUT_FD))

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>

/** Log of one part. Messages are short sentences; the prefix is fixed. */
export interface Log {
  debug (message: string, fields?: LogFields): void
  info (message: string, fields?: LogFields): void
  warn (message: string, fields?: LogFields): void
  error (message: string, fields?: LogFields): void
}

export class LogFactory {
  private constructor (private readonly options: LoggerOptions) {}

  static create (options: LoggerOptions = {}): LogFactory {
    return new LogFactory(options)
  }

  /** Creates the log of a part, such as `scheduler`; its prefix is `[scheduler]`. */
  for (part: string): Log {
    const levels = this.options.levels ?? {}
    const level = levels[part] ?? levels['*'] ?? 'info'
    const isJson = (this.options.format ?? 'json') === 'json'
    const logger = new Logger<ILogObj>({
      name: part,
      type: isJson ? 'hidden' : 'pretty',
      minLevel: LOG_LEVELS.indexOf(level),
      prefix: [`[${part}]`],
      hideLogPositionForProduction: true,
      // Masking is off: no secrets are logged, and masking would clone every field.
      maskValuesOfKeys: []
    })
    const limiter = new LogRateLimiter()
    if (isJson) {
      logger.attachTransport(record => {
        const droppedLines = limiter.admit(String(record[1]), performance.now())
        if (droppedLines !== undefined) standardOutput.write(formatLine(part, record, droppedLines))
      })
    }
    return {
      debug: (message, fields) => write(logger.debug.bind(logger), message, fields),
      info: (message, fields) => write(logger.info.bind(logger), message, fields),
      warn: (message, fields) => write(logger.warn.bind(logger), message, fields),
      error: (message, fields) => write(logger.error.bind(logger), message, fields)
    }
  }
}

/** Discards all messages; for tests. */
export const silentLog: Log = { debug () {}, info () {}, warn () {}, error () {} }

/** Rate limit for lines with the same message in one log: burst size and sustained rate. */
const MAX_BURST_LINES = 600
const MAX_LINES_PER_SECOND = 300

/** Token bucket for each message. Dropped lines are counted in the next line with that message. */
class LogRateLimiter {
  private readonly buckets = new Map<string, { tokens: number, refilledAtMs: number, droppedLines: number }>()

  /** Returns the number of lines dropped since the last written one, or undefined to drop this line. */
  admit (message: string, nowMs: number): number | undefined {
    const bucket = this.buckets.get(message) ?? { tokens: MAX_BURST_LINES, refilledAtMs: nowMs, droppedLines: 0 }
    this.buckets.set(message, bucket)
    bucket.tokens = Math.min(MAX_BURST_LINES, bucket.tokens + Math.max(0, nowMs - bucket.refilledAtMs) * MAX_LINES_PER_SECOND / 1_000)
    bucket.refilledAtMs = nowMs
    if (bucket.tokens < 1) {
      bucket.droppedLines++
      return undefined
    }
    bucket.tokens--
    const { droppedLines } = bucket
    bucket.droppedLines = 0
    return droppedLines
  }
}

/** Formats a record as one line of JSON. tslog's own format adds metadata several times as long as the message. */
function formatLine (part: string, record: ILogObj, droppedLines: number): string {
  const { 0: prefix, 1: message, 2: fields, _meta: meta } = record as Readonly<Record<string, unknown>>
  const { date, logLevelName: level } = meta as { readonly date: Date, readonly logLevelName: string }
  const line: Record<string, unknown> = { time: date.toISOString(), level: level.toLowerCase(), part: String(prefix ?? part), message, ...(fields as object | undefined) }
  for (const [name, value] of Object.entries(line)) if (value instanceof Error) line[name] = value.stack
  if (droppedLines > 0) line.leftOut = droppedLines
  return `${JSON.stringify(line)}\n`
}

function write (method: (...args: unknown[]) => unknown, message: string, fields?: LogFields) {
  if (fields === undefined) method(message)
  else method(message, fields)
}
