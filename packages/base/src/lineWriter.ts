import { write as writeFd, writeSync } from 'node:fs'

/** Delay before a write, so that lines logged in the meantime join the same write. */
const BATCH_DELAY_MS = 20
/** Limit of the text that is buffered for a slow reader; further lines are dropped and counted. */
const MAX_BUFFERED_CHARS = 1024 * 1024
/** Delay before a write that failed with EAGAIN is retried. */
const RETRY_DELAY_MS = 20

/** Writes `data` and calls back with the number of bytes written, which may be fewer than given. */
export type WriteBytes = (data: Buffer, callback: (err: NodeJS.ErrnoException | null, written: number) => void) => void

/**
 * Writes lines with `fs.write`, which runs in another thread. Node's own standard output would
 * block the event loop while a pipe is full.
 */
export class LineWriter {
  private bufferedLines: string[] = []
  private bufferedChars = 0
  private droppedLines = 0
  private isWritePending = false

  private constructor (private readonly writeBytes: WriteBytes) {}

  static create (writeBytes: WriteBytes): LineWriter {
    return new LineWriter(writeBytes)
  }

  static forDescriptor (fd: number): LineWriter {
    return new LineWriter((data, callback) => writeFd(fd, data, 0, data.length, null, callback))
  }

  write (line: string): void {
    if (this.bufferedChars + line.length > MAX_BUFFERED_CHARS) {
      this.droppedLines++
      return
    }
    this.bufferedLines.push(line)
    this.bufferedChars += line.length
    if (this.isWritePending) return
    this.isWritePending = true
    setTimeout(() => this.writeBuffered(), BATCH_DELAY_MS).unref()
  }

  /** Writes the buffered lines synchronously before the process exits; data that the descriptor does not accept is lost. */
  flushSync (fd: number): void {
    const data = this.drainBuffer()
    if (data.length === 0) return
    try {
      writeSync(fd, data)
    } catch {
      // The reader is gone or too slow, and there is no other output to report it to.
    }
  }

  private writeBuffered () {
    const data = this.drainBuffer()
    if (data.length === 0) this.isWritePending = false
    else this.writeAll(data)
  }

  private writeAll (data: Buffer) {
    this.writeBytes(data, (err, written) => {
      if (err?.code === 'EAGAIN') setTimeout(() => this.writeAll(data), RETRY_DELAY_MS).unref()
      else if (err !== null || written >= data.length) this.writeBuffered()
      else this.writeAll(data.subarray(written))
    })
  }

  private drainBuffer (): Buffer {
    const lines = this.droppedLines === 0
      ? this.bufferedLines
      : [...this.bufferedLines, `${JSON.stringify({ time: new Date().toISOString(), level: 'warn', part: '[log]', message: 'Log lines were dropped because the reader of the output is too slow.', leftOut: this.droppedLines })}\n`]
    this.droppedLines = 0
    this.bufferedLines = []
    this.bufferedChars = 0
    return Buffer.from(lines.join(''))
  }
}
