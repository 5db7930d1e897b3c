import { setTimeout as sleep } from 'node:timers/promises'
import type { JobSpec } from '@citronnotch/cell'
import type { Audit } from '@citronnotch/cell/testing'
import { decodeJob } from '@citronnotch/platform/testing'
import { Agent, request } from 'undici'
import type { Random } from './random.js'

export const HOST = 'soak.example'
export const PREFIX = '/jobs/'
const TIMEOUT_MS = 3_000
const ATTEMPTS = 5
const RETRY_MS = 250

interface Submitted {
  readonly id: string
  readonly answers: number[]
  isAccepted: boolean
  isCancelled: boolean
  /** Last state that an answer showed. */
  shown?: string
}

/** Callers: submit, cancel and look at jobs through random daemons over connections that they keep open. */
export class Client {
  readonly jobs: Submitted[] = []
  private readonly agent = new Agent({ connections: 4, pipelining: 1 })
  private nextJob = 1

  private constructor (private readonly addresses: readonly string[], private readonly audit: Audit, private readonly random: Random) {}

  static create (addresses: readonly string[], audit: Audit, random: Random): Client {
    return new Client(addresses, audit, random)
  }

  async submitOne (): Promise<void> {
    const id = (this.nextJob++).toString(16).padStart(16, '0')
    const steps = this.steps()
    const job: Submitted = { id, answers: [], isAccepted: false, isCancelled: false }
    this.jobs.push(job)
    this.audit.expectJob(id, expectedJob({ spec: id, steps }))
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const status = await this.call('POST', id, { spec: id, steps })
      job.answers.push(status)
      job.isAccepted ||= status === 200
      if (status === 200) break
      await sleep(RETRY_MS)
    }
    if (job.isAccepted && this.random.chance(0.1)) job.isCancelled = [200, 410].includes(await this.call('DELETE', id))
  }

  /** Looks at a job; a final state never changes, and an accepted job is never unknown. */
  async look (job: Submitted): Promise<void> {
    // Only what was known before the look was sent can be held against its answer.
    const { isAccepted, shown } = job
    const { status, state } = await this.send('GET', job.id)
    if (status === 410 && isAccepted) this.audit.violations.push(`${job.id} was accepted and is unknown`)
    if (state === undefined) return
    if (isFinal(shown) && state !== shown) this.audit.violations.push(`${job.id} was shown as ${shown} and then as ${state}`)
    if (state === 'failed') this.audit.violations.push(`${job.id} is shown as failed, and no run has failed`)
    if (state === 'completed' && !this.audit.isDone({ jobId: job.id, occurrence: 0, step: 0, index: 0 })) this.audit.violations.push(`${job.id} is shown as completed and is not`)
    if (!isFinal(job.shown)) job.shown = state
  }

  /** What must hold at the end, when all is calm. */
  checkEnd (): void {
    for (const { id, answers, isAccepted, shown } of this.jobs) {
      if (isAccepted && !isFinal(shown)) this.audit.violations.push(`${id} was accepted and is shown as ${shown ?? 'nothing'} at the end`)
      const isRefused = answers.every(status => status === 503 || status === 429)
      if (isRefused && this.audit.hasStarted(id)) this.audit.violations.push(`${id} was refused by every answer and has started`)
    }
  }

  close (): Promise<void> {
    return this.agent.destroy()
  }

  private steps () {
    const count = this.random.between(1, 4)
    const first = { count, cpu: this.random.between(200, 1_500), mem_mb: 100, estimated_ms: 500, ...(this.random.chance(0.3) ? { gang: true } : {}) }
    return this.random.chance(0.4) ? [first, { count: 1, cpu: 500, mem_mb: 100, after: [0] }] : [first]
  }

  private async call (method: 'POST' | 'DELETE', id: string, body?: unknown): Promise<number> {
    return (await this.send(method, id, body)).status
  }

  /** Status 0 means that there was no answer. */
  private async send (method: 'GET' | 'POST' | 'DELETE', id: string, body?: unknown): Promise<{ readonly status: number, readonly state?: string | undefined }> {
    try {
      const res = await request(`http://${this.random.pick(this.addresses)}${PREFIX}${id}`, {
        method,
        dispatcher: this.agent,
        headers: { host: HOST, 'x-citronnotch-deadline-ms': String(TIMEOUT_MS) },
        signal: AbortSignal.timeout(TIMEOUT_MS),
        ...(body === undefined ? {} : { body: JSON.stringify(body) })
      })
      const text = await res.body.text()
      const state = res.statusCode === 200 && method === 'GET' ? (JSON.parse(text) as { readonly state?: string }).state : undefined
      return { status: res.statusCode, state }
    } catch {
      return { status: 0 }
    }
  }
}

function expectedJob (body: unknown): JobSpec {
  const spec = decodeJob(body)
  if (typeof spec === 'string') throw new Error(spec)
  return spec
}

function isFinal (state: string | undefined): boolean {
  return state === 'completed' || state === 'cancelled' || state === 'failed'
}
