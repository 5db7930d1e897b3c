import { once } from 'node:events'
import { Readable } from 'node:stream'
import { Metadata } from '@grpc/grpc-js'
import type { Client, ClientDuplexStream } from '@grpc/grpc-js'
import { Err, Ok, peerService } from '@citronnotch/protocol'
import type { Result, Verdict } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { ServiceRequest, ServiceResponse } from '../routing/types.js'
import { FRAME_BYTES } from './constants.js'
import type { RequestFrameProps, ResponseFrame } from './types.js'

type RouteCall = ClientDuplexStream<RequestFrameProps, ResponseFrame>

export interface OpenRouteOptions {
  readonly clock: Clock
  readonly entryRegion: string
  readonly idempotent: boolean
  readonly graceMs: number
  /** Called once when the stream has ended. */
  readonly onClosed: () => void
}

interface Progress {
  /** Set before the `end` frame is written; the owner forwards nothing without that frame. */
  handedOver: boolean
  deadlinePassed: boolean
}

const VERDICTS: ReadonlySet<string> = new Set<Verdict>(['not-run', 'ran', 'may-have-run'])

/** Sends one request over a `Route` stream and returns the head of the response, with the body as it arrives. */
export async function openRoute (client: Client, shardId: string, req: ServiceRequest, options: OpenRouteOptions): Promise<Result<ServiceResponse, Failure>> {
  const { clock, graceMs } = options
  const remainingMs = req.deadline - clock.now()
  const call: RouteCall = client.makeBidiStreamRequest(
    peerService.route.path, peerService.route.requestSerialize, peerService.route.responseDeserialize, new Metadata(),
    // A second limit beside the timer below, in case the owner ignores the cancellation.
    { deadline: Date.now() + remainingMs + graceMs + 1_000 }
  )
  call.on('error', () => {})
  const progress: Progress = { handedOver: false, deadlinePassed: false }
  const ended = new AbortController()
  const cancel = () => call.cancel()
  req.signal.addEventListener('abort', cancel)
  clock.sleep(remainingMs + graceMs, ended.signal).then(() => {
    if (ended.signal.aborted) return
    progress.deadlinePassed = true
    call.cancel()
  })
  const finish = () => {
    if (ended.signal.aborted) return
    ended.abort()
    req.signal.removeEventListener('abort', cancel)
    options.onClosed()
  }

  sendRequest(call, shardId, req, options, progress).catch(() => {})
  const frames = call.iterator({ destroyOnReturn: false }) as AsyncIterator<ResponseFrame>
  const first = await next(frames, progress)
  if (first.ok && first.val.frame === 'head' && first.val.head) {
    const { status, headers, workerId } = first.val.head
    const body = Readable.from(bodyOf(frames, progress), { objectMode: false })
    body.once('close', () => { call.cancel(); finish() })
    return Ok({
      status: status ?? 0,
      headers: (headers ?? []).map(({ name, value }) => [name ?? '', value ?? ''] as const),
      body,
      workerId: workerId ?? ''
    })
  }
  call.cancel()
  finish()
  if (first.err) return first
  return Err(failureOf(first.val) ?? lost(progress, 'The owner sent an invalid frame'))
}

async function sendRequest (call: RouteCall, shardId: string, req: ServiceRequest, { clock, entryRegion, idempotent }: OpenRouteOptions, progress: Progress) {
  await write(call, {
    head: {
      requestId: req.requestId,
      service: req.service,
      shardId,
      method: req.method,
      path: req.path,
      headers: req.headers.map(([name, value]) => ({ name, value })),
      team: req.team,
      deadlineMs: Math.max(0, Math.floor(req.deadline - clock.now())),
      idempotent,
      entryRegion
    }
  })
  for (let at = 0; at < req.body.length; at += FRAME_BYTES) await write(call, { body: req.body.subarray(at, at + FRAME_BYTES) })
  progress.handedOver = true
  await write(call, { end: true })
  call.end()
}

async function write (call: RouteCall, frame: RequestFrameProps) {
  // 'drain' never comes once the stream has failed; once() rejects on 'error' then.
  if (!call.write(frame)) await once(call, 'drain')
}

async function * bodyOf (frames: AsyncIterator<ResponseFrame>, progress: Progress): AsyncGenerator<Buffer> {
  for (;;) {
    const frame = await next(frames, progress)
    if (frame.err) throw frame.val
    if (frame.val.frame === 'end') return
    if (frame.val.frame !== 'body' || !frame.val.body) throw failureOf(frame.val) ?? lost(progress, 'The owner sent an invalid frame')
    const { buffer, byteOffset, length } = frame.val.body
    yield Buffer.from(buffer, byteOffset, length)
  }
}

async function next (frames: AsyncIterator<ResponseFrame>, progress: Progress): Promise<Result<ResponseFrame, Failure>> {
  try {
    const { done, value } = await frames.next()
    return done ? Err(lost(progress, 'The owner ended the stream early')) : Ok(value)
  } catch (err) {
    return Err(lost(progress, `The stream to the owner failed: ${err instanceof Error ? err.message : String(err)}`))
  }
}

function failureOf ({ failure }: ResponseFrame): Failure | undefined {
  if (!failure) return undefined
  const verdict = VERDICTS.has(failure.verdict ?? '') ? failure.verdict as Verdict : 'may-have-run'
  return Failure.create({ verdict, code: failure.code || 'owner-error', reason: failure.reason || 'The owner gave no reason' })
}

function lost ({ handedOver, deadlinePassed }: Progress, reason: string): Failure {
  if (!handedOver) return Failure.notRun('owner-unreachable', `${reason}, before the request was handed over`)
  return deadlinePassed
    ? Failure.mayHaveRun('deadline-exceeded', 'The deadline passed before the owner answered')
    : Failure.mayHaveRun('owner-lost', reason)
}
