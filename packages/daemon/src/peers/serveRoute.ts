import { once } from 'node:events'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { Log } from '../logger.js'
import type { ServiceRequest, ServiceResponse } from '../routing/types.js'
import { checkMessage } from './checkMessage.js'
import { FRAME_BYTES, MAX_ROUTE_BODY_BYTES, ROUTE_REQUEST_TIMEOUT_MS } from './constants.js'
import type { PeerHandlers, RequestFrame, ResponseFrameProps } from './types.js'

type RouteCall = ServerDuplexStream<RequestFrame, ResponseFrameProps>

export interface ServeRouteOptions {
  readonly route: PeerHandlers['route']
  readonly clock: Clock
  readonly log: Log
}

/** Serves one `Route` stream. The request is forwarded only after its `end` frame has arrived. */
export async function serveRoute (call: RouteCall, { route, clock, log }: ServeRouteOptions): Promise<void> {
  const gone = new AbortController()
  for (const event of ['cancelled', 'error', 'close']) call.on(event, () => gone.abort())
  try {
    const received = await receiveWithin(call, clock, gone)
    call.resume()
    const result = received.err ? received : await route(received.val.shardId, received.val.req)
    if (result.err) await write(call, { failure: failureFrame(result.val) }, gone.signal)
    else await sendResponse(call, result.val, gone.signal)
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err)
    if (!gone.signal.aborted) {
      log.warn('Route stream failed', { reason })
      call.write({ failure: { verdict: 'may-have-run', code: 'owner-error', reason } })
    }
  } finally {
    call.end()
  }
}

async function receiveWithin (call: RouteCall, clock: Clock, gone: AbortController) {
  const received = new AbortController()
  const request = receive(call, clock, gone.signal)
    .catch((err: unknown) => Err(Failure.notRun('invalid-frame', `The request can't be read: ${err instanceof Error ? err.message : String(err)}`)))
    .finally(() => received.abort())
  const timeout = clock.sleep(ROUTE_REQUEST_TIMEOUT_MS, AbortSignal.any([received.signal, gone.signal]))
    .then((): Result<never, Failure> => Err(Failure.notRun('request-incomplete', `The request did not arrive within ${ROUTE_REQUEST_TIMEOUT_MS} ms`)))
  const first = await Promise.race([request, timeout])
  // The timeout also resolves when the request has arrived, because its sleep is aborted then.
  return received.signal.aborted ? await request : first
}

async function receive (call: RouteCall, clock: Clock, signal: AbortSignal): Promise<Result<{ shardId: string, req: ServiceRequest }, Failure>> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  let head: RequestFrame['head']
  let arrivedAt = clock.now()
  for await (const frame of call.iterator({ destroyOnReturn: false }) as AsyncIterable<RequestFrame>) {
    const fault = faultOf(frame, head !== undefined && head !== null)
    if (fault !== undefined) return Err(Failure.notRun('invalid-frame', fault))
    if (frame.frame === 'head') {
      head = frame.head
      arrivedAt = clock.now()
    } else if (frame.frame === 'body') {
      bytes += frame.body!.length
      if (bytes > MAX_ROUTE_BODY_BYTES) return Err(Failure.notRun('body-too-large', `The request body exceeds ${MAX_ROUTE_BODY_BYTES} bytes`))
      chunks.push(frame.body!)
    } else {
      return Ok({ shardId: head!.shardId ?? '', req: toRequest(head!, Buffer.concat(chunks), arrivedAt, signal) })
    }
  }
  return Err(Failure.notRun('request-incomplete', 'The stream ended before the request was complete'))
}

function faultOf (frame: RequestFrame, hasHead: boolean): string | undefined {
  if (frame.frame === undefined) return 'The frame is empty'
  if (frame.frame === 'head' && hasHead) return 'The stream has a second head'
  if (frame.frame !== 'head' && !hasHead) return 'The first frame is not a head'
  if (frame.frame !== 'head') return undefined
  const head = frame.head!
  for (const field of ['requestId', 'service', 'shardId', 'method', 'path'] as const) {
    if (!head[field]) return `The head has no ${field}`
  }
  return checkMessage(head, 'head')
}

function toRequest (head: NonNullable<RequestFrame['head']>, body: Buffer, arrivedAt: number, signal: AbortSignal): ServiceRequest {
  return {
    requestId: head.requestId!,
    service: head.service!,
    team: head.team ?? '',
    method: head.method!,
    path: head.path!,
    headers: (head.headers ?? []).map(({ name, value }) => [name ?? '', value ?? ''] as const),
    body,
    deadline: arrivedAt + (head.deadlineMs ?? 0),
    signal
  }
}

async function sendResponse (call: RouteCall, res: ServiceResponse, gone: AbortSignal) {
  gone.addEventListener('abort', () => res.body.destroy(), { once: true })
  res.body.on('error', () => {})
  if (gone.aborted) res.body.destroy()
  await write(call, {
    head: { status: res.status, headers: res.headers.map(([name, value]) => ({ name, value })), workerId: res.workerId }
  }, gone)
  try {
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      for (let at = 0; at < chunk.length; at += FRAME_BYTES) await write(call, { body: chunk.subarray(at, at + FRAME_BYTES) }, gone)
    }
    await write(call, { end: true }, gone)
  } catch (err) {
    const failure = err instanceof Failure ? err : Failure.mayHaveRun('response-truncated', 'The response was cut off')
    if (!gone.aborted) await write(call, { failure: failureFrame(failure) }, gone)
  }
}

/** Writes a frame, and waits while the peer reads more slowly than frames arrive. */
async function write (call: RouteCall, frame: ResponseFrameProps, gone: AbortSignal) {
  if (gone.aborted) return
  if (!call.write(frame)) await once(call, 'drain', { signal: gone })
}

function failureFrame ({ verdict, code, reason }: Failure) {
  return { verdict, code, reason }
}
