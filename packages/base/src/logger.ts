import { Logger } from 'tslog'
import type { ILogObj } from 'tslog'
import { LineWriter } from './lineWriter.js'

export const LOG_LEVELS = ['silly', 'trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const
export type LogLevel = typeof LOG_LEVELS[number]

export interface LoggerOptions {
  /**
   * Lowest level written, by part; `*` stands for all others.
   * @default { '*': 'info' }
   */
  readonly levels?: Readonly<Record<string, LogLevel>>
  /**
   * One JSON object a line, or text for a terminal.
   * @default 'json'
   */
  readonly format?: 'json' | 'pretty'
}

const STDOUT_FD = 1
const standardOutput = LineWriter.toDescriptor(STDOUT_FD)
process.once('exit', () => standardOutput.flushSync(STDOUT_FD))

/** Structured fields beside a log line's sentence. */
export type LogFields = Readonly<Record<string, unknown>>

/** Writes short sentences with the fixed prefix of one part. */
export interface Log {
  debug (sentence: string, fields?: LogFields): void
  info (sentence: string, fields?: LogFields): void
  warn (sentence: string, fields?: LogFields): void
  error (sentence: string, fields?: LogFields): void
}

export class LogFactory {
  private constructor (private readonly options: LoggerOptions) {}

  static create (options: LoggerOptions = {}): LogFactory {
    return new LogFactory(options)
  }

  /** Returns the log of a part, such as `scheduler`; its prefix is `[scheduler]`. */
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
      // Nothing secret is logged; masking clones every field.
      maskValuesOfKeys: []
    })
    const limiter = new LineLimiter()
    if (isJson) {
      logger.attachTransport(record => {
        const leftOut = limiter.admit(String(record[1]), performance.now())
        if (leftOut !== undefined) standardOutput.write(formatLine(part, record, leftOut))
      })
    }
    return {
      debug: (sentence, fields) => write(logger.debug.bind(logger), sentence, fields),
      info: (sentence, fields) => write(logger.info.bind(logger), sentence, fields),
      warn: (sentence, fields) => write(logger.warn.bind(logger), sentence, fields),
      error: (sentence, fields) => write(logger.error.bind(logger), sentence, fields)
    }
  }
}

/** Log that drops everything; for tests. */
export const silentLog: Log = { debug () {}, info () {}, warn () {}, error () {} }

/** Lines of one part with the same sentence that are written at once, and the rate after that. */
const LINES_AT_ONCE = 600
const LINES_PER_SECOND = 300

/** Bounds the lines with one sentence; what is left out is counted in the next line. */
class LineLimiter {
  private readonly buckets = new Map<string, { tokens: number, at: number, leftOut: number }>()

  /** Returns the number of lines left out before this one, or undefined to leave this one out. */
  admit (sentence: string, nowMs: number): number | undefined {
    const bucket = this.buckets.get(sentence) ?? { tokens: LINES_AT_ONCE, at: nowMs, leftOut: 0 }
    this.buckets.set(sentence, bucket)
    bucket.tokens = Math.min(LINES_AT_ONCE, bucket.tokens + Math.max(0, nowMs - bucket.at) * LINES_PER_SECOND / 1_000)
    bucket.at = nowMs
    if (bucket.tokens < 1) {
      bucket.leftOut++
      return undefined
    }
    bucket.tokens--
    const { leftOut } = bucket
    bucket.leftOut = 0
    return leftOut
  }
}

/** One line of JSON; tslog's own carries metadata several times as long as the message. */
function formatLine (part: string, record: ILogObj, leftOut: number): string {
  const { 0: prefix, 1: message, 2: fields, _meta: meta } = record as Readonly<Record<string, unknown>>
  const { date, logLevelName: level } = meta as { readonly date: Date, readonly logLevelName: string }
  const line: Record<string, unknown> = { time: date.toISOString(), level: level.toLowerCase(), part: String(prefix ?? part), message, ...(fields as object | undefined) }
  for (const [name, value] of Object.entries(line)) if (value instanceof Error) line[name] = value.stack
  if (leftOut > 0) line.leftOut = leftOut
  return `${JSON.stringify(line)}\n`
}

function write (method: (...args: unknown[]) => unknown, sentence: string, fields?: LogFields) {
  if (fields === undefined) method(sentence)
  else method(sentence, fields)
}
