import { createHash } from 'node:crypto'
import type { AdviceAgent, Queue } from '@citronnotch/cell'
import { TestCell, createEntry, createQueue } from '@citronnotch/cell/testing'
import { Ok } from '@citronnotch/base/result'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { EventClock } from './eventClock.js'
import { arrivalsOf } from './loads.js'
import type { Arrival, JobKind, Load } from './loads.js'

/** Agents that the cell can ask for advice. */
const AGENTS = 32
/** Time given to what is still running when the arrivals end. */
const DRAIN_MS = 20_000
const START_MS = 3_000
const STEP_MS = 50
/** Multiple of its objective until which a job counts as late, and what it is worth then. */
const LATE_MULTIPLE = 3
const LATE_WORTH = 0.2
const WAY_TO_AGENT_MS = 20
/** A job is worth this part of its kind's worth and the rest by its work against the mean, up to a multiple. */
const FIXED_SIZE = 0.3
const MAX_SIZE = 4

interface QueuePolicy {
  readonly queue: Queue
  /** Part of the workers that the policy allows for a step. */
  readonly approvedShare: number
}

const POLICIES: Readonly<Record<string, QueuePolicy>> = {
  typeset: policy('typeset', { priority: 1, slackFactor: 2.2, targetLatencyMs: 1_200, advice: { decisionMs: 390, perWorkerMs: 5.6, validityMs: 2_500 } }, 0.35),
  royalty: policy('royalty', { priority: 2, slackFactor: 4, targetLatencyMs: 3_000, advice: { decisionMs: 140, perWorkerMs: 2, validityMs: 2_500 } }, 0.45),
  renewal: policy('renewal', { priority: 0, slackFactor: 1.5, targetLatencyMs: 500, advice: { decisionMs: 16, perWorkerMs: 0.23, validityMs: 2_500 } }, 0.7)
}

/** Result of one queue; times in milliseconds. */
export interface QueueResult {
  readonly queue: string
  readonly asked: number
  readonly inTime: number
  readonly late: number
  readonly worthShare: number
  readonly medianMs: number
}

export interface DayResult {
  readonly queues: readonly QueueResult[]
  /** Payoff earned of that owed, over the whole load and in its worst two seconds. */
  readonly worthShare: number
  readonly worstWindow: number
  readonly adviceCalls: number
  readonly violations: readonly string[]
}

interface Submitted {
  readonly arrival: Arrival
  readonly jobId: string
  endedAt: number | undefined
}

/** Plays a load on a whole cell in memory, on simulated time. */
export async function playDay (load: Load, seed: number): Promise<DayResult> {
  const generator = xoroshiro128plus(seed)
  const random = () => uniformFloat64(generator)
  const arrivals = arrivalsOf(load, random)
  const clock = EventClock.create()
  const submitted = new Map<string, Submitted>()
  const advice = { calls: 0 }
  const cell = TestCell.create({
    clock,
    workers: Array.from({ length: load.workers }, (_, index) => createEntry(`w${index}`, {
      service: createQueue().service, capacity: { milliCores: load.workerMilliCores, memoryMb: load.workerMemoryMb, accelerators: 0 }
    })),
    queues: Object.values(POLICIES).map(({ queue }) => queue),
    agents: Array.from({ length: AGENTS }, (_, index) => createAgent(`agent-${index}`, clock, submitted, advice)),
    behaviour: ({ jobId, step, index }, run) => {
      const arrival = submitted.get(jobId)?.arrival
      const noise = fraction(`${jobId}.${step}.${index}`)
      return {
        durationMs: Math.round((arrival?.stepMs[step] ?? 100) * (0.85 + 0.3 * noise)),
        end: fraction(`${jobId}.${step}.${index}#${run}`) < (arrival?.kind.failShare ?? 0) ? 'failed' : 'done'
      }
    }
  })
  const daemon = cell.startDaemon('a')
  await clock.advance(START_MS)
  const first = clock.now()
  let next = 0
  while (clock.now() < first + load.seconds * 1_000 + DRAIN_MS) {
    for (; next < arrivals.length && first + (arrivals[next] as Arrival).atMs <= clock.now(); next++) {
      const arrival = arrivals[next] as Arrival
      const jobId = cell.newJobId()
      const spec = { payload: `payload of ${jobId}`, steps: arrival.steps }
      cell.audit.expectJob(jobId, spec)
      submitted.set(jobId, { arrival, jobId, endedAt: undefined })
      daemon.jobs.submit(jobId, queueOf(arrival.kind), spec, 3_000).catch((err: unknown) => cell.audit.violations.push(String(err)))
    }
    await clock.advance(STEP_MS)
    for (const job of submitted.values()) {
      if (job.endedAt === undefined && daemon.leader()?.stateOf(job.jobId) === 'completed') job.endedAt = clock.now() - first
    }
  }
  daemon.kill()
  return resultOf(load, [...submitted.values()], advice.calls, cell.audit.violations)
}

function policy (name: string, fields: Partial<Queue>, approvedShare: number): QueuePolicy {
  return { queue: createQueue({ name, pathPrefix: `/${name}/`, ...fields }), approvedShare }
}

function queueOf ({ queue }: JobKind): Queue {
  const found = POLICIES[queue]?.queue
  if (found === undefined) throw new Error(`queue ${queue} has no policy`)
  return found
}

/** Answers one call after another, as the placement policy service does for each VM. */
function createAgent (name: string, clock: EventClock, submitted: ReadonlyMap<string, Submitted>, count: { calls: number }): AdviceAgent {
  let idleAt = 0
  return {
    name,
    approve: async (step, workerIds) => {
      count.calls++
      const kind = submitted.get(step.split('.')[0] ?? '')?.arrival.kind
      const { queue, approvedShare } = POLICIES[kind?.queue ?? ''] as QueuePolicy
      const { decisionMs = 0, perWorkerMs = 0 } = queue.advice ?? {}
      idleAt = Math.max(idleAt, clock.now()) + decisionMs + perWorkerMs * workerIds.length
      await clock.sleep(idleAt - clock.now() + 2 * WAY_TO_AGENT_MS)
      return Ok(new Map(workerIds.filter(id => fraction(`${step}/${id}`) < approvedShare).map(id => [id, `${step}/${id}`])))
    }
  }
}

/** A number from 0 to 1 that depends on nothing but the text. */
function fraction (text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0) / 2 ** 32
}

function worthOf ({ arrival, endedAt }: Submitted): number {
  if (endedAt === undefined) return 0
  const { slackFactor, targetLatencyMs, advice } = queueOf(arrival.kind)
  const chainMs = arrival.stepMs.reduce((sum, ms) => sum + ms + (advice === undefined ? 0 : advice.decisionMs + 30 * advice.perWorkerMs), 0)
  const objectiveMs = slackFactor * chainMs + targetLatencyMs
  const tookMs = endedAt - arrival.atMs
  if (tookMs <= objectiveMs) return 1
  return tookMs <= LATE_MULTIPLE * objectiveMs ? LATE_WORTH : 0
}

function coreSeconds ({ steps, stepMs }: Arrival): number {
  return steps.reduce((sum, { count, need }, index) => sum + count * need.milliCores * (stepMs[index] ?? 0), 0) / 1e6
}

function resultOf (load: Load, jobs: readonly Submitted[], adviceCalls: number, violations: readonly string[]): DayResult {
  const share = (some: readonly Submitted[]) => {
    const owed = some.reduce((sum, { arrival }) => sum + owedFor(arrival), 0)
    return owed === 0 ? 1 : some.reduce((sum, job) => sum + worthOf(job) * owedFor(job.arrival), 0) / owed
  }
  const owedFor = (arrival: Arrival) => arrival.kind.worth * Math.min(MAX_SIZE, FIXED_SIZE + (1 - FIXED_SIZE) * coreSeconds(arrival) / (meanWork.get(arrival.kind) ?? 1))
  const meanWork = new Map(load.kinds.map(kind => {
    const own = jobs.filter(({ arrival }) => arrival.kind === kind)
    return [kind, own.reduce((sum, { arrival }) => sum + coreSeconds(arrival), 0) / Math.max(1, own.length)]
  }))
  const windows = Array.from({ length: load.seconds / 2 }, (_, index) => share(jobs.filter(({ arrival }) => Math.floor(arrival.atMs / 2_000) === index)))
  const queues = load.kinds.map(({ queue }): QueueResult => {
    const own = jobs.filter(({ arrival }) => arrival.kind.queue === queue)
    const took = own.map(({ arrival, endedAt }) => endedAt === undefined ? Infinity : endedAt - arrival.atMs).sort((a, b) => a - b)
    return {
      queue,
      asked: own.length,
      inTime: own.filter(job => worthOf(job) === 1).length,
      late: own.filter(job => worthOf(job) === LATE_WORTH).length,
      worthShare: share(own),
      medianMs: took[Math.floor(took.length / 2)] ?? 0
    }
  })
  return { queues, worthShare: share(jobs), worstWindow: Math.min(...windows), adviceCalls, violations }
}
