import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { Readable } from 'node:stream'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import { CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS } from './constants.js'
import { requestHeaders, responseHeaders } from './headers.js'
import type { ServiceRequest, ServiceResponse } from './types.js'

export interface SendOptions {
  /** Asked right before the first byte is written; a failure is returned instead of sending. */
  readonly mayWrite: () => Failure | undefined
  /** Ends the request and closes the connection. The reason is a Failure with verdict `may-have-run`. */
  readonly giveUp: AbortSignal
}

/** How a request on a connection ended. */
export interface Exchange {
  readonly response: Promise<Result<ServiceResponse, Failure>>
  /** Resolves when the whole answer has arrived or the request has failed. */
  readonly ended: Promise<{ readonly written: boolean, readonly complete: boolean, readonly status?: number }>
}

/** One TCP connection to a backend server, which serves one request at a time and is never reopened. */
export class BackendConnection {
  private readonly client: Client
  private socket: Socket | undefined
  private isOpen = true
  private readonly closed: Promise<void>
  private resolveClosed!: () => void

  private constructor (address: string, private readonly workerId: string, private readonly clock: Clock) {
    this.closed = new Promise(resolve => { this.resolveClosed = resolve })
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      // Deadlines are kept by the pool.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      connect: ({ hostname, port }, callback) => this.open(hostname, Number(port), callback)
    })
  }

  static create (address: string, workerId: string, clock: Clock): BackendConnection {
    return new BackendConnection(address, workerId, clock)
  }

  get isReusable (): boolean {
    return this.isOpen && this.socket !== undefined && !this.socket.destroyed && this.socket.writable
  }

  /** Resolves when the connection is closed, by either side. */
  whenClosed (): Promise<void> {
    return this.closed
  }

  /** Closes the connection and resolves once it is closed. */
  async close (): Promise<void> {
    this.isOpen = false
    this.client.destroy().catch(() => {})
    if (this.socket === undefined) this.resolveClosed()
    else this.socket.destroy()
    await this.closed
  }

  send (req: ServiceRequest, { mayWrite, giveUp }: SendOptions): Exchange {
    const handler = new ExchangeHandler(this.workerId, mayWrite)
    const onGiveUp = () => handler.abort(giveUp.reason as Failure, () => { this.close() })
    giveUp.addEventListener('abort', onGiveUp, { once: true })
    handler.ended.then(() => giveUp.removeEventListener('abort', onGiveUp))
    this.client.dispatch({
      path: req.path.startsWith('/') ? req.path : `/${req.path}`,
      method: req.method as Dispatcher.HttpMethod,
      headers: requestHeaders(req.headers).flat(),
      body: req.body.length > 0 ? req.body : null
    }, handler)
    if (giveUp.aborted) onGiveUp()
    return { response: handler.response, ended: handler.ended }
  }

  private open (host: string, port: number, callback: (...args: [null, Socket] | [Error, null]) => void) {
    // The library reconnects by itself, and would send a request again that may have run.
    if (this.socket !== undefined || !this.isOpen) {
      callback(new Error('The connection is closed'), null)
      return
    }
    const socket = connect({ host: host.replace(/^\[(.*)\]$/, '$1'), port, noDelay: true })
    this.socket = socket
    const settled = new AbortController()
    const onError = (err: Error) => callback(err, null)
    socket.once('error', onError)
    socket.once('connect', () => {
      socket.off('error', onError)
      settled.abort()
      callback(null, socket)
    })
    this.clock.sleep(CONNECT_TIMEOUT_MS, settled.signal).then(() => {
      if (socket.connecting) socket.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`))
    })
    socket.once('close', () => {
      settled.abort()
      this.isOpen = false
      this.resolveClosed()
    })
  }
}

/** Turns the callbacks of one request into a response with a body stream. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly response: Promise<Result<ServiceResponse, Failure>>
  readonly ended: Exchange['ended']
  private resolveResponse!: (result: Result<ServiceResponse, Failure>) => void
  private resolveEnded!: (end: { written: boolean, complete: boolean, status?: number }) => void
  private controller: Dispatcher.DispatchController | undefined
  private body: Readable | undefined
  private written = false
  private hasEnded = false
  private status: number | undefined
  private abortReason: Failure | undefined

  constructor (private readonly workerId: string, private readonly mayWrite: () => Failure | undefined) {
    this.response = new Promise(resolve => { this.resolveResponse = resolve })
    this.ended = new Promise(resolve => { this.resolveEnded = resolve })
  }

  /** Ends the request with `reason`; `close` closes the connection. */
  abort (reason: Failure, close: () => void): void {
    if (this.hasEnded) return
    this.abortReason = reason
    this.controller?.abort(reason)
    close()
    this.fail(reason)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    const refusal = this.written
      ? Failure.mayHaveRun('backend-lost', 'The connection to the backend server closed after the request was written')
      : this.abortReason ?? this.mayWrite()
    if (refusal !== undefined) {
      this.abortReason = refusal
      controller.abort(refusal)
      return
    }
    this.controller = controller
    this.written = true
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200) return
    this.status = status
    const body = new Readable({
      read: () => controller.resume(),
      destroy: (err, callback) => {
        if (!this.hasEnded) this.abort(Failure.mayHaveRun('caller-gone', 'The reader of the response has gone away'), () => controller.abort(new Error('The reader has gone away')))
        callback(err)
      }
    })
    // The error is also seen by whoever reads the body; nobody may be reading yet.
    body.on('error', () => {})
    this.body = body
    this.resolveResponse(Ok({ status, headers: responseHeaders(pairsOf(controller.rawHeaders)), body, workerId: this.workerId }))
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.body?.push(chunk) === false) controller.pause()
  }

  onResponseEnd (): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.body?.push(null)
    this.resolveEnded({ written: true, complete: true, ...(this.status === undefined ? {} : { status: this.status }) })
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.fail(this.abortReason ?? this.failureOf(err))
  }

  private fail (reason: Failure) {
    if (this.hasEnded) return
    this.hasEnded = true
    // Before the first byte is written the verdict is certain, whatever ended the request.
    const failure = this.written || reason.verdict === 'not-run' ? reason : Failure.notRun(reason.code, reason.reason)
    this.resolveResponse(Err(failure))
    this.body?.destroy(failure)
    this.resolveEnded({ written: this.written, complete: false })
  }

  private failureOf (err: Error): Failure {
    if ('code' in err && err.code === 'UND_ERR_INVALID_ARG') return Failure.notRun('invalid-request', `The request can't be sent: ${err.message}`)
    if (!this.written) return Failure.notRun('backend-unreachable', `No connection to the backend server: ${err.message}`)
    return this.body === undefined
      ? Failure.mayHaveRun('backend-lost', `The backend server gave no answer: ${err.message}`)
      : Failure.mayHaveRun('response-truncated', `The backend server's answer was cut off: ${err.message}`)
  }
}

function pairsOf (raw: Dispatcher.DispatchController['rawHeaders']): ServiceResponse['headers'] {
  if (!Array.isArray(raw)) return []
  const pairs: Array<readonly [string, string]> = []
  for (let i = 0; i + 1 < raw.length; i += 2) pairs.push([raw[i]!.toString('latin1'), raw[i + 1]!.toString('latin1')])
  return pairs
}
