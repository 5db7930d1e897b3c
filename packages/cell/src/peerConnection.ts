import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

export interface PeerTraffic {
  /** Whether what was received may be passed on; the connection is closed otherwise. */
  readonly onReceived: (chunk: Buffer) => boolean
  readonly onSent: (chunk: Buffer) => void
}

/** Connection of another daemon as the gRPC server sees it: what passes is looked at first. */
export class PeerConnection extends Duplex {
  private constructor (private readonly socket: Socket, private readonly traffic: PeerTraffic) {
    super({ decodeStrings: true })
  }

  static create (socket: Socket, traffic: PeerTraffic): PeerConnection {
    const connection = new PeerConnection(socket, traffic)
    socket.on('data', (chunk: Buffer) => connection.receive(chunk))
      .once('end', () => connection.push(null))
      .once('error', err => connection.destroy(err))
      .once('close', () => connection.reset())
    connection.on('error', () => {}).once('end', () => connection.reset())
    return connection
  }

  override _read (): void {
    this.socket.resume()
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: (err?: Error | null) => void): void {
    this.traffic.onSent(chunk)
    this.socket.write(chunk, callback)
  }

  override _writev (chunks: ReadonlyArray<{ readonly chunk: Buffer }>, callback: (err?: Error | null) => void): void {
    this.socket.cork()
    for (const [index, { chunk }] of chunks.entries()) this._write(chunk, 'binary', index === chunks.length - 1 ? callback : () => {})
    this.socket.uncork()
  }

  override _final (callback: (err?: Error | null) => void): void {
    this.socket.end(() => callback())
  }

  override _destroy (err: Error | null, callback: (err?: Error | null) => void): void {
    this.socket.destroy()
    callback(err)
  }

  private receive (chunk: Buffer) {
    if (!this.traffic.onReceived(chunk)) this.reset()
    else if (!this.push(chunk)) this.socket.pause()
  }

  /** HTTP/2 of Node.js keeps the calls of a stream that it does not open itself unless that ends with an error. */
  private reset () {
    this.destroy(Object.assign(new Error('The connection is closed.'), { code: 'ECONNRESET' }))
  }
}
