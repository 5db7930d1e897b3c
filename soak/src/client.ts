import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '@citronnotch/base/clock'
import { isFinal } from '@citronnotch/cell'
import type { JobSpec, JobState } from '@citronnotch/cell'
import type { Audit } from '@citronnotch/cell/testing'
import { decodeJob } from '@citronnotch/platform/testing'
import { Agent, request } from 'undici'
import type { Random } from './random.js'
import type { Shape } from './shape.js'

export const HOST = 'soak.example'
export const PATH_PREFIX = '/jobs/'
const REQUEST_TIMEOUT_MS = 3_000
/** Number of connections to each daemon. */
const CONNECTIONS = 4
const SUBMIT_ATTEMPTS = 5
const RETRY_DELAY_MS = 250

interface SubmittedJob {
  readonly id: string
  readonly spec: JobSpec
  readonly statuses: number[]
  isAccepted: boolean
  isCancelled: boolean
  /** Whether its tasks crash their workers, so that it has to be given up. */
  readonly isDeadly: boolean
  /** Last state that was reported; a final state is kept. */
  lastState?: JobState
}

/** Simulates callers: submits, cancels and polls jobs through random daemons over persistent connections. */
export class SoakClient {
  readonly jobs: SubmittedJob[] = []
  private readonly agent = new Agent({ connections: CONNECTIONS, pipelining: 1 })
  private nextJobNumber = 1

  private constructor (private readonly addresses: readonly string[], private readonly audit: Audit, private readonly random: Random, private readonly clock: Clock, private readonly randomSteps: Shape['randomSteps']) {}

  static create (addresses: readonly string[], audit: Audit, random: Random, clock: Clock, randomSteps: Shape['randomSteps']): SoakClient {
    return new SoakClient(addresses, audit, random, clock, randomSteps)
  }

  submitOne (): Promise<void> {
    return this.submit(this.newJobId(), this.randomSteps(this.random))
  }

  newJobId (): string {
    return (this.nextJobNumber++).toString(16).padStart(16, '0')
  }

  async submit (id: string, steps: readonly object[], isDeadly = false): Promise<void> {
    const spec = decodeSpec({ spec: id, steps })
    const job: SubmittedJob = { id, spec, statuses: [], isAccepted: false, isCancelled: false, isDeadly }
    this.jobs.push(job)
    this.audit.expectJob(id, spec)
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
      const status = await this.sendForStatus('POST', id, { spec: id, steps })
      job.statuses.push(status)
      job.isAccepted ||= status === 200
      if (status === 200) break
      await sleep(RETRY_DELAY_MS)
    }
    if (job.isAccepted && !isDeadly && this.random.chance(0.1)) job.isCancelled = [200, 410].includes(await this.sendForStatus('DELETE', id))
  }

  /** Reads a job and checks the answer: a final state never changes, and an accepted job is never unknown. */
  async poll (job: SubmittedJob): Promise<void> {
    // The answer is compared only with what this client knew before it sent the request.
    const { isAccepted, lastState } = job
    const { status, state } = await this.send('GET', job.id)
    if (status === 410 && isAccepted) this.audit.violations.push(`${job.id} was accepted, but is reported as unknown`)
    if (state === undefined) return
    if (hasEnded(lastState) && state !== lastState) this.audit.violations.push(`${job.id} was reported as ${lastState} and later as ${state}`)
    if (state === 'failed' && !job.isDeadly) this.audit.violations.push(`${job.id} is reported as failed, but no run has failed`)
    if (state === 'completed' && !this.audit.isDone({ jobId: job.id, occurrence: 0, step: 0, index: 0 })) this.audit.violations.push(`${job.id} is reported as completed, but its first task is not done`)
    if (state === 'completed') this.audit.recordCompleted(job.id, this.clock.now())
    if (!hasEnded(job.lastState)) job.lastState = state
  }

  /** Reads every job once, as many at a time as there are connections: a request that waits for one would use up its time. */
  async pollAll (): Promise<void> {
    for (let first = 0; first < this.jobs.length; first += CONNECTIONS) await Promise.all(this.jobs.slice(first, first + CONNECTIONS).map(job => this.poll(job)))
  }

  /** Work of the tasks of accepted jobs that aren't done, in thousandths of a core times milliseconds. */
  remainingWork (durationMsOf: Shape['durationMsOf']): number {
    let work = 0
    for (const { id, spec } of this.jobs.filter(({ isAccepted, isCancelled }) => isAccepted && !isCancelled)) {
      spec.steps.forEach(({ count, need }, step) => {
        for (let index = 0; index < count; index++) if (!this.audit.isDone({ jobId: id, occurrence: 0, step, index })) work += need.milliCores * durationMsOf({ jobId: id, step }, spec)
      })
    }
    return work
  }

  /** Checks the final states after the recovery time: accepted jobs have ended, refused ones never started. */
  checkFinalStates (): void {
    for (const { id, statuses, isAccepted, isDeadly, lastState } of this.jobs) {
      if (isAccepted && !isDeadly && !hasEnded(lastState)) this.audit.violations.push(`${id} was accepted, but has not ended; its last reported state is ${lastState ?? 'none'}`)
      const isAlwaysRefused = statuses.every(status => status === 503 || status === 429)
      if (isAlwaysRefused && this.audit.hasStarted(id)) this.audit.violations.push(`${id} was refused by every answer, but has started`)
    }
  }

  close (): Promise<void> {
    return this.agent.destroy()
  }

  private async sendForStatus (method: 'POST' | 'DELETE', id: string, body?: unknown): Promise<number> {
    return (await this.send(method, id, body)).status
  }

  /** Returns status 0 if there was no complete answer. */
  private async send (method: 'GET' | 'POST' | 'DELETE', id: string, body?: unknown): Promise<{ readonly status: number, readonly state?: JobState | undefined }> {
    try {
      const res = await request(`http://${this.random.pick(this.addresses)}${PATH_PREFIX}${id}`, {
        method,
        dispatcher: this.agent,
        headers: { host: HOST, 'x-citronnotch-deadline-ms': String(REQUEST_TIMEOUT_MS) },
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
        ...(body === undefined ? {} : { body: JSON.stringify(body) })
      })
      const text = await res.body.text()
      const state = res.statusCode === 200 && method === 'GET' ? (JSON.parse(text) as { readonly state?: JobState }).state : undefined
      return { status: res.statusCode, state }
    } catch {
      return { status: 0 }
    }
  }
}

function decodeSpec (body: unknown): JobSpec {
  const spec = decodeJob(body)
  if (typeof spec === 'string') throw new Error(spec)
  return spec
}

function hasEnded (state: JobState | undefined): boolean {
  return state !== undefined && isFinal(state)
}
