import { Pool } from 'undici'
import { Err, Ok } from './result.js'
import type { Result } from './result.js'
import type { Clock } from './clock.js'
import { Failure } from './errors.js'

export interface HttpClientOptions {
  /** `http://ip:port`, optionally followed by a base path for all requests. */
  readonly url: string
  readonly clock: Clock
  /** Timeout of a call, from its start to the end of the response. */
  readonly timeoutMs: number
  /** Maximum number of connections to the server; each carries one request at a time. */
  readonly connections: number
  /** Prefix of the failure codes, such as `store`. */
  readonly codePrefix: string
  /** Name of the server in the reasons of failures, such as `table service`. */
  readonly serverName: string
}

export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Buffer
  /**
   * Timeout of this call, from its start to the end of the response.
   * @default the client's `timeoutMs`
   */
  readonly timeoutMs?: number
  /** Given for a call whose answer may take long to arrive: `timeoutMs` then counts only until the answer begins. */
  readonly transfer?: TransferLimits
  /** Called when the status and the headers of the response have arrived. */
  readonly onResponseStart?: (status: number) => void
}

/** Limits of a large answer once it has begun, in milliseconds. */
export interface TransferLimits {
  /** Time from one piece of the answer to the next. */
  readonly stallMs: number
  /** Time from the start of the call to the end of the response. */
  readonly totalMs: number
}

export interface HttpResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

/** Schema for the body of a response, for example one of zod. */
export interface ResponseSchema<T> {
  safeParse (body: unknown): { readonly success: true, readonly data: T } | { readonly success: false, readonly error: SchemaError }
}

interface SchemaError {
  readonly issues: ReadonlyArray<{ readonly path: readonly PropertyKey[], readonly message: string }>
}

/**
 * Time after which an unused connection is closed, in milliseconds. Opening one costs more than a call; a connection
 * that was cut off while it was idle fails only the next call on it.
 */
const KEEP_ALIVE_MS = 20_000

/** Limits the memory that one response can take. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024

/**
 * HTTP client of one server. A failure has the verdict `not-run` only if no byte of the
 * request was handed to a connection, or if the server refused it with 429 or 503.
 */
export class HttpClient {
  private readonly pool: Pool
  private readonly basePath: string
  /** Monotonic time in milliseconds at which a call was sent last; a call that waited since before then has waited for a connection. */
  private lastSentAt = -Infinity

  private constructor (private readonly options: HttpClientOptions) {
    const url = new URL(options.url)
    this.basePath = url.pathname.replace(/\/$/, '')
    this.pool = new Pool(url.origin, {
      connections: options.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      // The injected clock limits the time of the whole call instead.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: options.timeoutMs }
    })
  }

  static create (options: HttpClientOptions): HttpClient {
    return new HttpClient(options)
  }

  async call (req: HttpRequest): Promise<Result<HttpResponse, Failure>> {
    const { codePrefix, serverName } = this.options
    const res = await this.send(req)
    if (res.err) return res
    if (res.val.status === 429) {
      return Err(Failure.notRun(`${codePrefix}-rate-limited`, `The ${serverName} refused the call because its rate limit is exceeded.`))
    }
    if (res.val.status === 503) {
      return Err(Failure.notRun(`${codePrefix}-unavailable`, `The ${serverName} answered that it is unavailable.`))
    }
    return res
  }

  /** Posts `body` as JSON. */
  post (path: string, body: unknown): Promise<Result<HttpResponse, Failure>> {
    return this.call({
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify(body))
    })
  }

  /** Parses the JSON body of a response and checks it against a schema. */
  parse<T> (res: HttpResponse, schema: ResponseSchema<T>): Result<T, Failure> {
    let json: unknown
    try {
      json = JSON.parse(res.body.toString('utf8'))
    } catch {
      return Err(this.invalidResponse(res, 'its body is not JSON'))
    }
    const parsed = schema.safeParse(json)
    if (parsed.success) return Ok(parsed.data)
    const issue = parsed.error.issues[0]
    return Err(this.invalidResponse(res, `${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'invalid'}`))
  }

  /** Failure for a response that violates the interface; the call may have taken effect. */
  invalidResponse (res: HttpResponse, problem: string): Failure {
    const { codePrefix, serverName } = this.options
    return Failure.mayHaveRun(`${codePrefix}-answer-invalid`, `The ${serverName} gave an invalid answer with status ${res.status}: ${problem}.`)
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }

  private send (req: HttpRequest): Promise<Result<HttpResponse, Failure>> {
    const { clock, codePrefix, serverName } = this.options
    const timeoutMs = req.timeoutMs ?? this.options.timeoutMs
    return new Promise(resolve => {
      let abort: ((err: Error) => void) | undefined
      const queuedAt = clock.now()
      let isSent = false
      let isSettled = false
      let status = 0
      let headers: HttpResponse['headers'] = {}
      let receivedBytes = 0
      /** Monotonic time at which a part of the answer arrived last. */
      let receivedAt: number | undefined
      const chunks: Buffer[] = []

      const settle = (result: Result<HttpResponse, Failure>) => {
        if (isSettled) return
        isSettled = true
        cancelTimer()
        resolve(result)
      }
      const fail = (problem: string) => settle(Err(isSent
        ? Failure.mayHaveRun(`${codePrefix}-answer-lost`, `The answer of the ${serverName} was lost: ${problem}.`)
        : this.lastSentAt >= queuedAt
          ? Failure.notRun(`${codePrefix}-queued`, `The call to the ${serverName} waited for a free connection: ${problem}.`)
          : Failure.notRun(`${codePrefix}-unreachable`, `The ${serverName} could not be reached: ${problem}.`)))

      const end = (problem: string) => {
        fail(problem)
        abort?.(new Error(problem))
      }
      let cancelTimer = clock.after(timeoutMs, () => {
        if (req.transfer === undefined || receivedAt === undefined) end(`no complete answer within ${timeoutMs} ms`)
        else checkTransfer(req.transfer, receivedAt)
      })
      // The pieces of an answer are many, so that only the timer looks at their times.
      const checkTransfer = ({ stallMs, totalMs }: TransferLimits, lastReceivedAt: number) => {
        const now = clock.now()
        const dueAt = Math.min(lastReceivedAt + stallMs, queuedAt + totalMs)
        if (now < dueAt) cancelTimer = clock.after(dueAt - now, () => checkTransfer({ stallMs, totalMs }, receivedAt ?? lastReceivedAt))
        else end(`${receivedBytes} bytes of it after ${Math.round(now - queuedAt)} ms, the last ${Math.round(now - lastReceivedAt)} ms ago`)
      }
      try {
        this.pool.dispatch({
          method: req.method,
          path: this.basePath + req.path,
          ...(req.headers === undefined ? {} : { headers: { ...req.headers } }),
          ...(req.body === undefined ? {} : { body: req.body })
        }, {
          // undici calls this immediately before it writes the request to a connection.
          onRequestStart: controller => {
            abort = err => controller.abort(err)
            // A call that failed while it waited for a connection must not be sent,
            // and a call that was sent must not be sent again.
            if (isSettled || isSent) {
              fail('the connection was closed')
              controller.abort(new Error('the call has already failed or was already sent'))
              return
            }
            isSent = true
            this.lastSentAt = clock.now()
          },
          onResponseStart: (_controller, statusCode, responseHeaders) => {
            status = statusCode
            headers = responseHeaders
            receivedAt = clock.now()
            if (!isSettled) req.onResponseStart?.(statusCode)
          },
          onResponseData: (controller, chunk) => {
            receivedBytes += chunk.length
            receivedAt = clock.now()
            if (receivedBytes > MAX_RESPONSE_BYTES) {
              fail(`it is larger than ${MAX_RESPONSE_BYTES} bytes`)
              controller.abort(new Error('response body is too large'))
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
