import type { QueueTerms } from '@citronnotch/cell'
import { ADMISSION_ORDER, objectiveMsOf, remainingMs } from '@citronnotch/cell/testing'
import type { WaitingOrder, WaitingStep } from '@citronnotch/cell/testing'
import { coreSecondsOf, createRandom, simulateLoad } from './decisions.js'
import type { LoadResult, Variant } from './decisions.js'
import { generateArrivals } from './loads.js'
import type { JobKind, Load, LoadTerms } from './loads.js'

export const OVERLOAD_PATTERN = 'overload'

/** Time after the arrivals for which completions count, in milliseconds: three times the longest objective. */
const DRAIN_MS = 70_000
/** Part of the workers, agents and arrivals of the deployment that is simulated. */
const SCALE = 1 / 2

const TERMS: LoadTerms = {
  gangs: { priority: 1, maxAttempts: 2, slackFactor: 2.2, targetLatencyMs: 1_200, advice: { decisionMs: 485, perWorkerMs: 4.9, validityMs: 2_500 }, approvedShare: 0.35 },
  batch: { priority: 2, maxAttempts: 4, slackFactor: 4, targetLatencyMs: 3_000, advice: { decisionMs: 143, perWorkerMs: 1.4, validityMs: 2_500 }, approvedShare: 0.45 },
  short: { priority: 0, maxAttempts: 4, slackFactor: 1.5, targetLatencyMs: 500, advice: { decisionMs: 15.7, perWorkerMs: 0.16, validityMs: 2_500 }, approvedShare: 0.7 }
} satisfies Record<string, QueueTerms & { approvedShare: number }>

// Wider gangs would not fit into the workers that the policy allows in half a cell.
const KINDS: readonly JobKind[] = [
  { queue: 'gangs', arrivalsPerSecond: 2.84, meanSteps: 1.2, meanTasksPerStep: 20, maxTasksPerStep: 60, meanMilliCores: 9_000, meanMemoryMb: 13_000, meanTaskMs: 4_000, gangShare: 1, maxEstimateError: 0.9, failShare: 0.01, payoff: 7.12 },
  { queue: 'batch', arrivalsPerSecond: 8.11, meanSteps: 1.5, meanTasksPerStep: 25, maxTasksPerStep: 125, meanMilliCores: 3_500, meanMemoryMb: 5_000, meanTaskMs: 2_700, gangShare: 0, maxEstimateError: 0.9, checkpointShare: 0.8, failShare: 0.02, payoff: 2.69 },
  { queue: 'short', arrivalsPerSecond: 42.1, meanSteps: 1, meanTasksPerStep: 3.2, maxTasksPerStep: 19, meanMilliCores: 5_000, meanMemoryMb: 9_100, meanTaskMs: 1_000, gangShare: 0.3, maxEstimateError: 0.5, failShare: 0.02, payoff: 0.421 }
]

const WORKERS = 246
const WORKER_MILLI_CORES = 32_000
const BASE: Load = {
  pattern: `${OVERLOAD_PATTERN}, usual load`,
  workers: WORKERS * SCALE,
  workerMilliCores: WORKER_MILLI_CORES,
  workerMemoryMb: 64_000,
  durationSeconds: 20,
  agents: 42 * SCALE,
  slowShare: 0,
  slowFactor: 1,
  unevenness: 0.1,
  terms: TERMS,
  kinds: KINDS.map(kind => ({ ...kind, arrivalsPerSecond: kind.arrivalsPerSecond * SCALE })),
  arrivalFactor: () => 1
}

/** Duration of the sample by which the usual demand is measured, in seconds; the caps of the samples keep it below the product of the means. */
const SAMPLE_SECONDS = 300
const USUAL_DEMAND = generateArrivals({ ...BASE, durationSeconds: SAMPLE_SECONDS }, createRandom(1)).reduce((sum, arrival) => sum + coreSecondsOf(arrival), 0) /
  (SAMPLE_SECONDS * BASE.workers * WORKER_MILLI_CORES / 1_000)

/** Load that needs this multiple of the processor time of all workers. */
function loadOf (pattern: string, demand: number, fields: Partial<Load> = {}): Load {
  const kinds = BASE.kinds.map(kind => ({ ...kind, arrivalsPerSecond: kind.arrivalsPerSecond * demand / USUAL_DEMAND }))
  return { ...BASE, pattern: `${OVERLOAD_PATTERN}, ${pattern}`, kinds, ...fields }
}

const BURST_SECONDS: readonly [number, number] = [4, 10]

const OVERLOADS: readonly Load[] = [
  BASE,
  loadOf('1 times the capacity', 1),
  loadOf('1.5 times the capacity', 1.5),
  loadOf('2 times the capacity', 2),
  loadOf('4 times the capacity', 4, { durationSeconds: 10 }),
  loadOf('a minute at 2 times', 2, { durationSeconds: 60 }),
  loadOf('burst of two queues', USUAL_DEMAND, { arrivalFactor: (queue, second) => queue !== 'batch' && second >= BURST_SECONDS[0] && second < BURST_SECONDS[1] ? 3 : 1 }),
  loadOf('one account at five times its share', 1, { accounts: { count: 20, firstFactor: 5 } }),
  loadOf('a third of the workers lost', 1, { workerLoss: { share: 1 / 3, atSecond: 4 } })
]

/** Order by a key, smallest first, which is computed once a round for each step. */
function byKey (keyOf: (waiting: WaitingStep, unixMs: number) => number): WaitingOrder {
  return {
    at: unixMs => {
      const keys = new Map<unknown, number>()
      const keyAt = (waiting: WaitingStep) => {
        const key = keys.get(waiting.step) ?? keyOf(waiting, unixMs)
        keys.set(waiting.step, key)
        return key
      }
      return (a, b) => keyAt(a) - keyAt(b)
    },
    goesFirst: () => false,
    keepsRoom: () => false,
    maxReservingGangs: ADMISSION_ORDER.maxReservingGangs
  }
}

const deadlineOf = ({ step: { job }, queue }: WaitingStep) => job.record.admittedAtMs + (objectiveMsOf(job, queue) ?? 0)

/** The orders that are compared. */
const ORDERS: Readonly<Record<string, Variant>> = {
  admission: {},
  'value plan': { shedsLoad: true },
  deadline: { orderOf: () => byKey(deadlineOf) },
  slack: { orderOf: () => byKey((waiting, unixMs) => deadlineOf(waiting) - unixMs - remainingMs(waiting.step.job)) },
  // Knows what the scheduler doesn't: what a job is worth, and the processor time that it takes.
  'value density': {
    orderOf: arrivalOf => byKey(({ step }) => {
      const arrival = arrivalOf(step.job.id)
      return arrival === undefined ? 0 : -arrival.kind.payoff / coreSecondsOf(arrival)
    })
  }
}

const MEDIANS_AND_90 = ['0.5', '0.9']

/** Prints how each order serves each load, for the loads and orders whose names hold the texts. */
export async function compareOrders (pattern: string, seeds: readonly number[], order = ''): Promise<void> {
  for (const load of OVERLOADS.filter(({ pattern: name }) => name.includes(pattern))) {
    for (const [name, variant] of Object.entries(ORDERS).filter(([name]) => name.includes(order))) {
      for (const seed of seeds) printResult(`${load.pattern}, ${name}, seed ${seed}`, await simulateLoad(load, seed, { drainMs: DRAIN_MS, random: createRandom(seed), skipsChecks: true, ...variant }))
    }
  }
}

function printResult (title: string, { queues, payoffShare, completedCoreSeconds, usedShare, forecastErrors, violations }: LoadResult) {
  const inTime = queues.reduce((sum, queue) => sum + queue.inTime, 0)
  const perQueue = queues.map(queue => `${queue.queue} ${queue.payoffShare.toFixed(3)} (${queue.submitted}: ${queue.inTime} in time, ${queue.late} late, ${queue.refused} refused, ${queue.unfinished} unfinished)`)
  console.log(`${title}: payoff ${payoffShare.toFixed(3)}, ${inTime} in time, ${Math.round(completedCoreSeconds)} core s done, ${usedShare.toFixed(2)} in use; ${perQueue.join('; ')}${violations.length > 0 ? `; ${violations.length} violations: ${violations[0]}` : ''}`)
  for (const name of ['start', 'end']) {
    const medians = queues.map(({ queue }) => `${queue} ${MEDIANS_AND_90.map(quantile => forecastErrors.find(line => line.includes(`_${name}_error_ms_${queue}{quantile="${quantile}"`))?.split(' ')[1] ?? '-').join('/')}`)
    if (forecastErrors.length > 0) console.log(`  error of the forecast ${name}, ms, median/90%: ${medians.join(', ')}`)
  }
}
