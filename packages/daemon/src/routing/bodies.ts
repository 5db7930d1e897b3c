import { Readable } from 'node:stream'

/** Returns a body that passes on `body` and reports the size of each chunk. */
export function countedBody (body: Readable, onBytes: (bytes: number) => void): Readable {
  return bodyFrom(body, async function * () {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      onBytes(chunk.length)
      yield chunk
    }
  })
}

export type Collected =
  | { readonly kind: 'complete', readonly data: Buffer }
  /** More than the limit; `body` starts with what was read. */
  | { readonly kind: 'too-large', readonly body: Readable }
  | { readonly kind: 'failed', readonly error: unknown }

/** Reads a body of at most `limit` bytes. */
export async function collectBody (body: Readable, limit: number): Promise<Collected> {
  const chunks: Buffer[] = []
  let bytes = 0
  const iterator = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  try {
    for (;;) {
      const { done, value } = await iterator.next()
      if (done) return { kind: 'complete', data: Buffer.concat(chunks) }
      chunks.push(value)
      bytes += value.length
      if (bytes <= limit) continue
      return {
        kind: 'too-large',
        body: bodyFrom(body, async function * () {
          yield * chunks.splice(0)
          yield * { [Symbol.asyncIterator]: () => iterator }
        })
      }
    }
  } catch (error) {
    return { kind: 'failed', error }
  }
}

function bodyFrom (source: Readable, generate: () => AsyncGenerator<Buffer>): Readable {
  const body = Readable.from(generate(), { objectMode: false })
  body.on('error', () => {})
  // A generator that waits for a chunk doesn't notice that its reader has gone away.
  body.once('close', () => source.destroy())
  return body
}
