import { write as writeFd, writeSync } from 'node:fs'

/** Lines that come within this time are written together, in milliseconds. */
const GATHER_MS = 20
/** Text that waits for a reader that doesn't keep up; further lines are left out and counted. */
const MAX_WAITING_CHARS = 1024 * 1024
/** Pause before a descriptor that can take nothing now is tried again, in milliseconds. */
const RETRY_MS = 20

/** Writes data and calls back with the number of bytes that were taken. */
export type WriteBytes = (data: Buffer, callback: (err: NodeJS.ErrnoException | null, written: number) => void) => void

/** Writes lines from another thread: a full pipe, on which Node's own standard output blocks, delays nothing here. */
export class LineWriter {
  private waiting: string[] = []
  private waitingChars = 0
  private leftOut = 0
  private isBusy = false

  private constructor (private readonly writeBytes: WriteBytes) {}

  static create (writeBytes: WriteBytes): LineWriter {
    return new LineWriter(writeBytes)
  }

  static toDescriptor (fd: number): LineWriter {
    return new LineWriter((data, callback) => writeFd(fd, data, 0, data.length, null, callback))
  }

  write (line: string): void {
    if (this.waitingChars + line.length > MAX_WAITING_CHARS) {
      this.leftOut++
      return
    }
    this.waiting.push(line)
    this.waitingChars += line.length
    if (this.isBusy) return
    this.isBusy = true
    setTimeout(() => this.writeNext(), GATHER_MS).unref()
  }

  /** Writes what waits at once, for a process that is about to end; what the descriptor doesn't take is lost. */
  flushSync (fd: number): void {
    const data = this.take()
    if (data.length === 0) return
    try {
      writeSync(fd, data)
    } catch {
      // The reader is gone or doesn't keep up, and there is nowhere else to say so.
    }
  }

  private writeNext () {
    const data = this.take()
    if (data.length === 0) this.isBusy = false
    else this.writeAll(data)
  }

  private writeAll (data: Buffer) {
    this.writeBytes(data, (err, written) => {
      if (err?.code === 'EAGAIN') setTimeout(() => this.writeAll(data), RETRY_MS).unref()
      else if (err !== null || written >= data.length) this.writeNext()
      else this.writeAll(data.subarray(written))
    })
  }

  private take (): Buffer {
    const lines = this.leftOut === 0
      ? this.waiting
      : [...this.waiting, `${JSON.stringify({ time: new Date().toISOString(), level: 'warn', part: '[log]', message: 'Lines left out, since they are not read.', leftOut: this.leftOut })}\n`]
    this.leftOut = 0
    this.waiting = []
    this.waitingChars = 0
    return Buffer.from(lines.join(''))
  }
}
