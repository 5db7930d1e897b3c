import { Pool } from 'undici'
import { Err, Ok } from './result.js'
import type { Result } from './result.js'
import type { Clock } from './clock.js'
import { Failure } from './errors.js'

export interface HttpClientOptions {
  /** `http://ip:port`, optionally with a path that every request path is appended to. */
  readonly url: string
  readonly clock: Clock
  /** Time without a complete answer after which a call counts as lost. */
  readonly timeoutMs: number
  /** Connections kept to the server; each carries one request at a time. */
  readonly connections: number
  /** Prefix of the failure codes, such as `store`. */
  readonly codePrefix: string
  /** Name of the server in the reason of a failure, such as `table service`. */
  readonly serverName: string
}

export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Buffer
  /**
   * Time without a complete answer after which this call counts as lost.
   * @default the client's `timeoutMs`
   */
  readonly timeoutMs?: number
}

export interface HttpAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

/** What checks the body of an answer, such as a schema of zod. */
export interface AnswerSchema<T> {
  safeParse (body: unknown): { readonly success: true, readonly data: T } | { readonly success: false, readonly error: SchemaError }
}

interface SchemaError {
  readonly issues: ReadonlyArray<{ readonly path: readonly PropertyKey[], readonly message: string }>
}

/** Bounds the memory that one answer can take. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024

/**
 * HTTP client of one server. A failure says `not-run` only when no byte of the
 * request was handed to a connection, or when the server refused with 429 or 503.
 */
export class HttpClient {
  private readonly pool: Pool
  private readonly basePath: string

  private constructor (private readonly options: HttpClientOptions) {
    const url = new URL(options.url)
    this.basePath = url.pathname.replace(/\/$/, '')
    this.pool = new Pool(url.origin, {
      connections: options.connections,
      pipelining: 1,
      // The injected clock measures the time of the whole call.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: options.timeoutMs }
    })
  }

  static create (options: HttpClientOptions): HttpClient {
    return new HttpClient(options)
  }

  async call (req: HttpRequest): Promise<Result<HttpAnswer, Failure>> {
    const { codePrefix, serverName } = this.options
    const answer = await this.exchange(req)
    if (answer.err) return answer
    if (answer.val.status === 429) {
      return Err(Failure.notRun(`${codePrefix}-rate-limited`, `The ${serverName} refused the call because its rate limit is exceeded.`))
    }
    if (answer.val.status === 503) {
      return Err(Failure.notRun(`${codePrefix}-unavailable`, `The ${serverName} answered that it is unavailable.`))
    }
    return answer
  }

  /** Sends `body` as JSON. */
  post (path: string, body: unknown): Promise<Result<HttpAnswer, Failure>> {
    return this.call({
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify(body))
    })
  }

  /** Checks the JSON body of an answer against a schema. */
  parse<T> (answer: HttpAnswer, schema: AnswerSchema<T>): Result<T, Failure> {
    let json: unknown
    try {
      json = JSON.parse(answer.body.toString('utf8'))
    } catch {
      return Err(this.invalidAnswer(answer, 'its body is not JSON'))
    }
    const parsed = schema.safeParse(json)
    if (parsed.success) return Ok(parsed.data)
    const issue = parsed.error.issues[0]
    return Err(this.invalidAnswer(answer, `${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'invalid'}`))
  }

  /** Failure for an answer that the interface doesn't allow; the call may have taken effect. */
  invalidAnswer (answer: HttpAnswer, problem: string): Failure {
    const { codePrefix, serverName } = this.options
    return Failure.mayHaveRun(`${codePrefix}-answer-invalid`, `The ${serverName} gave an invalid answer with status ${answer.status}: ${problem}.`)
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }

  private exchange (req: HttpRequest): Promise<Result<HttpAnswer, Failure>> {
    const { clock, codePrefix, serverName } = this.options
    const timeoutMs = req.timeoutMs ?? this.options.timeoutMs
    return new Promise(resolve => {
      let abort: ((err: Error) => void) | undefined
      let started = false
      let settled = false
      let status = 0
      let headers: HttpAnswer['headers'] = {}
      let size = 0
      const chunks: Buffer[] = []

      const settle = (result: Result<HttpAnswer, Failure>) => {
        if (settled) return
        settled = true
        cancelTimer()
        resolve(result)
      }
      const fail = (problem: string) => settle(Err(started
        ? Failure.mayHaveRun(`${codePrefix}-answer-lost`, `The answer of the ${serverName} was lost: ${problem}.`)
        : Failure.notRun(`${codePrefix}-unreachable`, `The ${serverName} could not be reached: ${problem}.`)))

      const cancelTimer = clock.after(timeoutMs, () => {
        const problem = `no complete answer within ${timeoutMs} ms`
        fail(problem)
        abort?.(new Error(problem))
      })
      try {
        this.pool.dispatch({
          method: req.method,
          path: this.basePath + req.path,
          ...(req.headers === undefined ? {} : { headers: { ...req.headers } }),
          ...(req.body === undefined ? {} : { body: req.body })
        }, {
          // undici calls this directly before it writes the request to a connection.
          onRequestStart: controller => {
            abort = err => controller.abort(err)
            // A call that was given up while it waited for a connection must not be sent,
            // and one that was sent must not be sent again.
            if (settled || started) {
              fail('the connection was closed')
              controller.abort(new Error('call is no longer wanted'))
              return
            }
            started = true
          },
          onResponseStart: (_controller, statusCode, responseHeaders) => {
            status = statusCode
            headers = responseHeaders
          },
          onResponseData: (controller, chunk) => {
            size += chunk.length
            if (size > MAX_ANSWER_BYTES) {
              fail(`it is larger than ${MAX_ANSWER_BYTES} bytes`)
              controller.abort(new Error('answer too large'))
              return
            }
            chunks.push(chunk)
          },
          onResponseEnd: () => settle(Ok({ status, headers, body: Buffer.concat(chunks) })),
          onResponseError: (_controller, err) => fail(err.message)
        })
      } catch (err) {
        fail(err instanceof Error ? err.message : String(err))
      }
    })
  }
}
