/** Types of frames that tell where calls begin and end (RFC 9113, 6). */
export const FRAME_TYPE = { data: 0, headers: 1, rstStream: 3 } as const
/** Flags of these frames. */
export const FRAME_FLAG = { endStream: 1, padded: 8 } as const
/** What a client sends before its first frame, in bytes (RFC 9113, 3.4). */
export const PREFACE_BYTES = 24
const FRAME_HEADER_BYTES = 9
const MAX_STREAM_ID = 0x7fff_ffff

export interface FrameHeader {
  readonly type: number
  readonly flags: number
  readonly streamId: number
}

export interface FrameListener {
  onFrame (frame: FrameHeader): void
  /** Part of the payload of a frame, with its padding; the bytes are those of `chunk` from `from` to `to`. */
  onPayload (frame: FrameHeader, chunk: Buffer, from: number, to: number): void
  /** The payload is complete. */
  onEnd (frame: FrameHeader): void
}

/** Finds the frames in one direction of an HTTP/2 connection, and copies none of them. */
export class FrameReader {
  private readonly header = Buffer.alloc(FRAME_HEADER_BYTES)
  private headerBytes = 0
  private payloadLeft = 0
  private frame: FrameHeader | undefined

  private constructor (private skipLeft: number, private readonly listener: FrameListener) {}

  /** `skipBytes`: what comes before the first frame. */
  static create (skipBytes: number, listener: FrameListener): FrameReader {
    return new FrameReader(skipBytes, listener)
  }

  read (chunk: Buffer): void {
    let at = Math.min(this.skipLeft, chunk.length)
    this.skipLeft -= at
    while (at < chunk.length) {
      if (this.frame === undefined) at = this.readHeader(chunk, at)
      else at = this.readPayload(this.frame, chunk, at)
    }
  }

  private readHeader (chunk: Buffer, from: number): number {
    const to = Math.min(chunk.length, from + FRAME_HEADER_BYTES - this.headerBytes)
    chunk.copy(this.header, this.headerBytes, from, to)
    this.headerBytes += to - from
    if (this.headerBytes < FRAME_HEADER_BYTES) return to
    this.headerBytes = 0
    this.payloadLeft = this.header.readUIntBE(0, 3)
    this.frame = { type: this.header.readUInt8(3), flags: this.header.readUInt8(4), streamId: this.header.readUInt32BE(5) & MAX_STREAM_ID }
    this.listener.onFrame(this.frame)
    if (this.payloadLeft === 0) this.end(this.frame)
    return to
  }

  private readPayload (frame: FrameHeader, chunk: Buffer, from: number): number {
    const to = Math.min(chunk.length, from + this.payloadLeft)
    this.payloadLeft -= to - from
    this.listener.onPayload(frame, chunk, from, to)
    if (this.payloadLeft === 0) this.end(frame)
    return to
  }

  private end (frame: FrameHeader) {
    this.frame = undefined
    this.listener.onEnd(frame)
  }
}
