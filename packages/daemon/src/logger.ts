import { Logger } from 'tslog'
import type { ILogObj } from 'tslog'

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
    const logger = new Logger<ILogObj>({
      name: part,
      type: this.options.format ?? 'json',
      minLevel: LOG_LEVELS.indexOf(level),
      prefix: [`[${part}]`],
      hideLogPositionForProduction: true
    })
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

function write (method: (...args: unknown[]) => unknown, sentence: string, fields?: LogFields) {
  if (fields === undefined) method(sentence)
  else method(sentence, fields)
}
