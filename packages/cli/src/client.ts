import { request } from 'undici'

export interface QueueOptions {
  /** Address of a daemon's listener for callers, as `ip:port`. */
  readonly address: string
  /** Host name of the queue. */
  readonly host: string
  /** Path of the queue, with a slash at both ends, such as `/renewals/`. */
  readonly path: string
}

export interface QueueResponse {
  readonly status: number
  readonly body: Readonly<Record<string, unknown>>
}

const RESPONSE_TIMEOUT_MS = 3_000

/** HTTP client for one queue of one daemon. */
export class QueueClient {
  private constructor (private readonly options: QueueOptions) {}

  static create (options: QueueOptions): QueueClient {
    return new QueueClient(options)
  }

  /**
   * Sends a request to `relativePath` below the path of the queue. Rejects if no response arrives within
   * RESPONSE_TIMEOUT_MS; the daemon may still have run the request.
   */
  async send (method: 'GET' | 'POST' | 'DELETE', relativePath: string, body?: string): Promise<QueueResponse> {
    const { address, host, path } = this.options
    const res = await request(`http://${address}${path}${relativePath}`, {
      method,
      headers: { host, 'content-type': 'application/json' },
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
      ...(body === undefined ? {} : { body })
    })
    const text = await res.body.text()
    return { status: res.statusCode, body: text === '' ? {} : JSON.parse(text) as Record<string, unknown> }
  }
}
