import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Failure } from '../errors.js'
import type { HttpAnswer, HttpClient } from './httpClient.js'
import type { ObjectStore } from './types.js'

/** Client of the object store. */
export class HttpObjectStore implements ObjectStore {
  private constructor (private readonly http: HttpClient) {}

  static create (http: HttpClient): HttpObjectStore {
    return new HttpObjectStore(http)
  }

  async put (key: string, data: Buffer): Promise<Result<void, Failure>> {
    const answer = await this.http.call({ method: 'PUT', path: pathOf(key), body: data })
    return answer.andThen(val => this.done(val))
  }

  async get (key: string): Promise<Result<Buffer | undefined, Failure>> {
    const answer = await this.http.call({ method: 'GET', path: pathOf(key) })
    if (answer.err) return answer
    const { val } = answer
    if (val.status === 404) return Ok(undefined)
    return val.status === 200 ? Ok(val.body) : Err(this.http.invalidAnswer(val, 'unexpected status'))
  }

  async delete (key: string): Promise<Result<void, Failure>> {
    const answer = await this.http.call({ method: 'DELETE', path: pathOf(key) })
    return answer.andThen(val => val.status === 404 ? Ok(undefined) : this.done(val))
  }

  private done (answer: HttpAnswer): Result<void, Failure> {
    return answer.status >= 200 && answer.status < 300 ? Ok(undefined) : Err(this.http.invalidAnswer(answer, 'unexpected status'))
  }
}

/** Keeps the slashes of a key, which are part of its name. */
function pathOf (key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`
}
