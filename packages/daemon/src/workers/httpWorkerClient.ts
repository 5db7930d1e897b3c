import { z } from 'zod'
import { Err } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import type { Failure } from '../errors.js'
import { HttpClient } from '../platform/index.js'
import type { CommandOutcome, Grant, StartTask, WorkerClient, WorkerClientFactory } from './types.js'

export interface HttpWorkerClientOptions {
  readonly clock: Clock
  /** Time without a complete answer after which a call counts as lost. */
  readonly timeoutMs: number
}

const resourcesSchema = z.object({
  cores: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0)
})
const reportSchema = z.object({
  incarnation: z.string().min(1),
  time: z.number(),
  capacity: resourcesSchema,
  tasks: z.array(z.object({
    taskId: z.string().min(1),
    attempt: z.int().min(0),
    state: z.enum(['running', 'finished', 'failed', 'stopped']),
    resources: resourcesSchema,
    usage: z.object({ cores: z.number().min(0), memoryMb: z.number().min(0) }).exactOptional(),
    serviceAddress: z.string().exactOptional(),
    service: z.string().exactOptional(),
    checkpoint: z.string().exactOptional(),
    reason: z.string().exactOptional()
  }))
})
const fencedSchema = z.object({ fencingToken: z.int().min(0), incarnation: z.string().min(1) })

/** A call that hangs must not keep a later adoption waiting. */
const CONNECTIONS = 2

/** Creates clients of workers that speak HTTP. */
export class HttpWorkerClientFactory implements WorkerClientFactory {
  private constructor (private readonly options: HttpWorkerClientOptions) {}

  static create (options: HttpWorkerClientOptions): HttpWorkerClientFactory {
    return new HttpWorkerClientFactory(options)
  }

  create (address: string): WorkerClient {
    return HttpWorkerClient.create(address, this.options)
  }
}

class HttpWorkerClient implements WorkerClient {
  private constructor (readonly address: string, private readonly http: HttpClient) {}

  static create (address: string, options: HttpWorkerClientOptions): HttpWorkerClient {
    return new HttpWorkerClient(address, HttpClient.create({
      ...options,
      url: `http://${address}`,
      connections: CONNECTIONS,
      codePrefix: 'worker',
      serverName: `worker at ${address}`
    }))
  }

  adopt (fencingToken: number): Promise<Result<CommandOutcome, Failure>> {
    return this.command('adopt', { fencingToken })
  }

  start (grant: Grant, tasks: readonly StartTask[], leaseUntil: number): Promise<Result<CommandOutcome, Failure>> {
    return this.command('start', { ...grant, tasks, leaseUntil })
  }

  renew (grant: Grant, taskIds: readonly string[], leaseUntil: number): Promise<Result<CommandOutcome, Failure>> {
    return this.command('renew', { ...grant, taskIds, leaseUntil })
  }

  stop (grant: Grant, taskIds: readonly string[], graceMs: number): Promise<Result<CommandOutcome, Failure>> {
    return this.command('stop', { ...grant, taskIds, graceMs })
  }

  checkpoint (grant: Grant, taskIds: readonly string[]): Promise<Result<CommandOutcome, Failure>> {
    return this.command('checkpoint', { ...grant, taskIds })
  }

  throttle (grant: Grant, taskId: string, cores: number): Promise<Result<CommandOutcome, Failure>> {
    return this.command('throttle', { ...grant, taskId, cores })
  }

  forget (grant: Grant, taskIds: readonly string[]): Promise<Result<CommandOutcome, Failure>> {
    return this.command('forget', { ...grant, taskIds })
  }

  close (): Promise<void> {
    return this.http.close()
  }

  private async command (name: string, body: object): Promise<Result<CommandOutcome, Failure>> {
    const answer = await this.http.post(`/v1/${name}`, body)
    if (answer.err) return answer
    const { val } = answer
    if (val.status === 200) return this.http.parse(val, reportSchema).map(report => ({ accepted: true, report }))
    if (val.status === 409) return this.http.parse(val, fencedSchema).map(fenced => ({ accepted: false, ...fenced }))
    return Err(this.http.invalidAnswer(val, 'unexpected status'))
  }
}
