import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Err, Ok, VERDICT_HEADER } from '@citronnotch/protocol'
import type { Result, Verdict } from '@citronnotch/protocol'
import { Failure } from '../errors.js'
import type { Log } from '../logger.js'
import { parseAddress } from '../utils.js'

export interface RouteContext {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly url: URL
  /** Path parameters, decoded. */
  readonly params: readonly string[]
}

export interface HttpRoute {
  readonly method: string
  /** Matches the path; its groups become `params`. */
  readonly pattern: RegExp
  handle (ctx: RouteContext): Promise<void>
}

export interface HttpServerOptions {
  /** `ip:port` */
  readonly listen: string
  readonly log: Log
  readonly routes: readonly HttpRoute[]
  /** Checked before every route. */
  readonly authorize?: (req: IncomingMessage) => Failure | undefined
}

/** Status of a refusal by its code; others get 503 for `not-run` and 504 for `may-have-run`. */
const statusByCode: Readonly<Record<string, number>> = {
  'invalid-job': 400,
  'invalid-request': 400,
  unauthorized: 401,
  'unknown-team': 422,
  'never-fits': 422,
  'quota-exceeded': 422,
  'key-reused': 422,
  'unknown-job': 404,
  'unknown-service': 404,
  'not-found': 404,
  'too-large': 413,
  'version-conflict': 409,
  'deadline-exceeded': 504
}

/** HTTP listener with a table of routes. Every answer carries the verdict header. */
export class HttpServer {
  private readonly server: Server

  private constructor (private readonly options: HttpServerOptions) {
    this.server = createServer((req, res) => {
      this.dispatch(req, res).catch((err: unknown) => this.fail(res, err))
    })
  }

  static create (options: HttpServerOptions): HttpServer {
    return new HttpServer(options)
  }

  listen (): Promise<string> {
    const { host, port } = parseAddress(this.options.listen)
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, () => {
        const address = this.server.address()
        resolve(typeof address === 'object' && address !== null ? `${host}:${address.port}` : this.options.listen)
      })
    })
  }

  /** Stops accepting connections and resolves once every request in flight has been answered. */
  close (): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve())
      this.server.closeIdleConnections()
    })
  }

  private async dispatch (req: IncomingMessage, res: ServerResponse) {
    const url = new URL(req.url ?? '/', 'http://daemon')
    const refused = this.options.authorize?.(req)
    if (refused !== undefined) return sendFailure(res, refused)
    for (const route of this.options.routes) {
      const match = route.pattern.exec(url.pathname)
      if (match === null || (route.method !== '*' && route.method !== req.method)) continue
      const params = decodeParams(match.slice(1))
      if (params === undefined) return sendFailure(res, Failure.notRun('invalid-request', 'The path has an invalid escape sequence.'))
      return route.handle({ req, res, url, params })
    }
    sendFailure(res, Failure.notRun('not-found', `There is no ${req.method} ${url.pathname} on this interface.`, 'Check the path and the port.'))
  }

  private fail (res: ServerResponse, err: unknown) {
    this.options.log.error('A request failed in the daemon.', { err })
    if (res.headersSent) res.destroy()
    else sendFailure(res, Failure.mayHaveRun('internal', 'The daemon failed while it handled the request.', 'Look for the error in the log of the daemon.'))
  }
}

export function sendJson (res: ServerResponse, status: number, body: unknown, verdict: Verdict = 'ran'): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), [VERDICT_HEADER]: verdict })
  res.end(text)
}

/** Sends a refusal; the verdict stands in the header and in the body. */
export function sendFailure (res: ServerResponse, failure: Failure): void {
  const status = statusByCode[failure.code] ?? (failure.verdict === 'not-run' ? 503 : 504)
  sendJson(res, status, failure.toRefusal(), failure.verdict)
}

/** Reads a request's body of at most `maxBytes`. */
export async function readBody (req: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Failure>> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maxBytes) return Err(Failure.notRun('too-large', `The body exceeds ${maxBytes} bytes.`, 'Send a smaller body.'))
    chunks.push(chunk)
  }
  return Ok(Buffer.concat(chunks))
}

export async function readJson (req: IncomingMessage, maxBytes: number): Promise<Result<unknown, Failure>> {
  const body = await readBody(req, maxBytes)
  if (!body.ok) return body
  try {
    return Ok(JSON.parse(body.val.toString('utf8')))
  } catch {
    return Err(Failure.notRun('invalid-request', 'The body is not valid JSON.', 'Send a JSON object.'))
  }
}

function decodeParams (groups: readonly string[]): readonly string[] | undefined {
  try {
    return groups.map(decodeURIComponent)
  } catch {
    return undefined
  }
}
