import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'

/** What a handler answers. */
export interface Answer {
  readonly status: number
  readonly headers?: Readonly<Record<string, string>>
  /** Sent as it is when it is a buffer, as JSON otherwise; undefined for no body. */
  readonly body?: unknown
}

/** Returns undefined to cut the connection without an answer. */
export type Handler = (req: IncomingMessage, url: URL, body: Buffer) => Promise<Answer | undefined>

/** HTTP listener on 127.0.0.1 whose handler may cut the connection. */
export class JsonListener {
  private readonly server: Server
  private port = 0

  private constructor (handler: Handler) {
    this.server = createServer((req, res) => { serve(req, res, handler) })
  }

  static async create (handler: Handler): Promise<JsonListener> {
    const listener = new JsonListener(handler)
    await listener.open()
    return listener
  }

  address (): string {
    return `127.0.0.1:${this.port}`
  }

  /** Closes the listener and cuts all connections. */
  async close (): Promise<void> {
    if (!this.server.listening) return
    const closed = once(this.server, 'close')
    this.server.close()
    this.server.closeAllConnections()
    await closed
  }

  /** Opens the listener, at the same port as before if there was one. */
  async open (): Promise<void> {
    if (this.server.listening) return
    // An outgoing connection of another process may use the port for a moment.
    for (let attempt = 0; ; attempt++) {
      try {
        this.server.listen(this.port, '127.0.0.1')
        await once(this.server, 'listening')
        this.port = (this.server.address() as AddressInfo).port
        return
      } catch (err) {
        if (attempt === 50) throw err
        await delay(100)
      }
    }
  }

  /** Cuts all connections; new ones are accepted. */
  cutConnections (): void {
    this.server.closeAllConnections()
  }
}

/** Answer to a request that the interface doesn't allow. */
export function badRequest (problem: string): Answer {
  return { status: 400, body: { error: problem } }
}

export async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

async function serve (req: IncomingMessage, res: ServerResponse, handler: Handler) {
  res.on('error', () => {})
  try {
    const body = await readBody(req)
    const answer = await handler(req, new URL(req.url ?? '/', 'http://127.0.0.1'), body)
    if (answer === undefined) {
      req.socket.destroy()
      return
    }
    send(res, answer)
  } catch (err) {
    // A client that gave up leaves its connection destroyed.
    if (req.socket.destroyed) return
    send(res, badRequest(err instanceof Error ? err.message : String(err)))
  }
}

function send (res: ServerResponse, { status, headers, body }: Answer) {
  const isJson = body !== undefined && !Buffer.isBuffer(body)
  const data = isJson ? Buffer.from(JSON.stringify(body)) : body as Buffer | undefined
  res.writeHead(status, {
    ...headers,
    ...(isJson ? { 'content-type': 'application/json' } : {}),
    ...(data === undefined ? {} : { 'content-length': String(data.length) })
  })
  res.end(data)
}
