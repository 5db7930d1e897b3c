import { z } from 'zod'
import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Failure } from '../errors.js'
import type { HttpClient } from './httpClient.js'
import type { Vm, VmList } from './types.js'

const vmsSchema = z.object({
  vms: z.array(z.object({
    id: z.string().min(1),
    role: z.enum(['worker', 'entry']),
    address: z.string().min(1),
    region: z.string(),
    failureDomain: z.string(),
    rack: z.string(),
    state: z.enum(['live', 'leaving']),
    cores: z.number().min(0),
    memoryMb: z.number().min(0),
    accelerators: z.number().min(0)
  }))
})

interface Cached { readonly etag: string, readonly vms: readonly Vm[] }

/** Client of the VM list; an unchanged list costs no transfer. */
export class HttpVmList implements VmList {
  private readonly cache = new Map<string, Cached>()

  private constructor (private readonly http: HttpClient) {}

  static create (http: HttpClient): HttpVmList {
    return new HttpVmList(http)
  }

  async list (failureDomain?: string): Promise<Result<readonly Vm[], Failure>> {
    const path = failureDomain === undefined ? '/vms' : `/vms?failureDomain=${encodeURIComponent(failureDomain)}`
    const cached = this.cache.get(path)
    const answer = await this.http.call({
      method: 'GET',
      path,
      ...(cached === undefined ? {} : { headers: { 'if-none-match': cached.etag } })
    })
    if (answer.err) return answer
    if (answer.val.status === 304 && cached !== undefined) return Ok(cached.vms)
    if (answer.val.status !== 200) return Err(this.http.invalidAnswer(answer.val, 'unexpected status'))
    const parsed = this.http.parse(answer.val, vmsSchema)
    if (parsed.err) return parsed
    const { etag } = answer.val.headers
    if (typeof etag === 'string') this.cache.set(path, { etag, vms: parsed.val.vms })
    else this.cache.delete(path)
    return Ok(parsed.val.vms)
  }
}
