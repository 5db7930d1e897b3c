import { FRAME_FLAG, FRAME_TYPE, FrameReader, PREFACE_BYTES } from './frameReader.js'
import type { FrameHeader } from './frameReader.js'

/** Largest header list of a call, all of which a call may hold, in bytes. */
const CALL_BYTES = 64 * 1024
/** Heap of each piece of a message until the message is complete, in bytes. */
const PIECE_BYTES = 256
/** Flag whether a message is compressed, and its length (gRPC over HTTP/2, Length-Prefixed-Message). */
const PREFIX_BYTES = 5

/** Bytes that were received at once; they stay in memory as a whole while an unfinished message has a part of them. */
interface Received {
  readonly bytes: number
  holders: number
}

/** Types of frames of which a flag ends the client's side of a call. */
const ENDING_TYPES: ReadonlySet<number> = new Set([FRAME_TYPE.data, FRAME_TYPE.headers])

interface UnfinishedCall {
  readonly startedAt: number
  /** In order, of which the message has a part. */
  readonly received: Received[]
  pieces: number
  prefixBytes: number
  /** Bytes of the message that are still to come, once its prefix is known. */
  messageLeft: number
}

/** Calls of an HTTP/2 connection that have begun and that the client has not ended, and the memory that they hold. */
export class UnfinishedCalls {
  private readonly calls = new Map<number, UnfinishedCall>()
  private readonly incoming: FrameReader
  private readonly outgoing: FrameReader
  private current: Received = { bytes: 0, holders: 0 }
  private now = 0
  private held = 0
  private foreign = false

  private constructor () {
    this.incoming = FrameReader.create(PREFACE_BYTES, {
      onFrame: frame => this.begin(frame),
      onPayload: (frame, chunk, from, to) => {
        if (frame.type === FRAME_TYPE.data) this.readData(frame, chunk, from, to)
      },
      onEnd: frame => {
        if (ENDING_TYPES.has(frame.type) && (frame.flags & FRAME_FLAG.endStream) !== 0) this.end(frame.streamId)
      }
    })
    this.outgoing = FrameReader.create(0, {
      onFrame: frame => {
        if (frame.type === FRAME_TYPE.rstStream) this.end(frame.streamId)
      },
      onPayload: () => {},
      onEnd: () => {}
    })
  }

  static create (): UnfinishedCalls {
    return new UnfinishedCalls()
  }

  get heldBytes (): number {
    return this.held
  }

  /** When the oldest of these calls began; undefined if there is none. */
  get oldestStartedAt (): number | undefined {
    return this.calls.values().next().value?.startedAt
  }

  /** Whether the client has sent what no daemon sends: padding, compressed messages, more than one message a call. */
  get isForeign (): boolean {
    return this.foreign
  }

  receive (chunk: Buffer, now: number): void {
    this.current = { bytes: chunk.length, holders: 0 }
    this.now = now
    this.incoming.read(chunk)
  }

  send (chunk: Buffer): void {
    this.outgoing.read(chunk)
  }

  private begin (frame: FrameHeader) {
    if (frame.type === FRAME_TYPE.data && (frame.flags & FRAME_FLAG.padded) !== 0) this.foreign = true
    if (frame.type === FRAME_TYPE.rstStream) this.end(frame.streamId)
    if (frame.type !== FRAME_TYPE.headers || this.calls.has(frame.streamId)) return
    this.calls.set(frame.streamId, { startedAt: this.now, received: [], pieces: 0, prefixBytes: 0, messageLeft: 0 })
    this.held += CALL_BYTES
  }

  private readData (frame: FrameHeader, chunk: Buffer, from: number, to: number) {
    const call = this.calls.get(frame.streamId)
    if (call === undefined) return
    if (call.received.at(-1) !== this.current) {
      call.received.push(this.current)
      if (this.current.holders++ === 0) this.held += this.current.bytes
    }
    call.pieces++
    this.held += PIECE_BYTES
    let at = from
    for (; call.prefixBytes < PREFIX_BYTES && at < to; at++, call.prefixBytes++) {
      const byte = chunk[at] ?? 0
      if (call.prefixBytes > 0) call.messageLeft = call.messageLeft * 256 + byte
      else if (byte !== 0) this.foreign = true
    }
    call.messageLeft -= to - at
    if (call.prefixBytes === PREFIX_BYTES && call.messageLeft < 0) this.foreign = true
  }

  private end (streamId: number) {
    const call = this.calls.get(streamId)
    if (call === undefined) return
    this.calls.delete(streamId)
    this.held -= CALL_BYTES + call.pieces * PIECE_BYTES
    for (const received of call.received) if (--received.holders === 0) this.held -= received.bytes
  }
}
