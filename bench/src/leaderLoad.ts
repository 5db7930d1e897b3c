import { fork, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, readdirSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { SystemClock } from '@citronnotch/base/clock'
import { HttpClient } from '@citronnotch/base/httpClient'
import type { StepSpec, Transaction, WorkerEntry } from '@citronnotch/cell'
import { MemoryStore } from '@citronnotch/cell/testing'
import { Emulator, renderSettings, settingsEnvironment } from '@citronnotch/platform/testing'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { ExpectedJob } from './emulatedWorkers.js'
import { TERMS, generateArrivals } from './loads.js'
import type { Arrival, Load } from './loads.js'
import { summarizeProfile } from './profile.js'

export interface LeaderLoadOptions {
  readonly load: Load
  readonly seed: number
  readonly seconds: number
  /** Multiplier of the arrival rates of the load, which is made for a third of a large deployment. */
  readonly scale: number
  /** Further multiplier of the arrival rates. */
  readonly pressure: number
  /** First of eight ports for the daemons. */
  readonly firstPort: number
  /** Path of the daemon's program. */
  readonly program: string
}

export interface LeaderLoadResult {
  readonly submitted: number
  readonly refused: number
  readonly starts: number
  /** Cores that the leader used during the load, on average. */
  readonly cores: number
  /** Percentiles 50, 90 and 99 of the time from admission to the first start by queue, in milliseconds. */
  readonly firstStartMs: Readonly<Record<string, readonly number[]>>
  /** What was written to the store for each start, by tables of the rows: transactions, rows, and bytes of their values. */
  readonly writesPerStart: Readonly<Record<string, readonly [number, number, number]>>
  readonly profile: readonly string[]
  readonly logFolder: string
}

const WORKER_PROCESSES = 3
const HOST = 'load.example'
/** Time for the first daemon to lead and to connect to its workers. */
const WARM_UP_MS = 4_000
const REGISTER_INTERVAL_MS = 1_500
const SUBMIT_TICK_MS = 10

/**
 * Plays a load against real daemons on loopback: the first leads, the second takes the submissions. Reports the
 * processor time of the leader, what it was spent on, and how long jobs waited for their first start. Rejects if a
 * daemon ends early.
 */
export async function runLeaderLoad (options: LeaderLoadOptions): Promise<LeaderLoadResult> {
  const processes: ChildProcess[] = []
  try {
    return await playLoad(options, processes)
  } finally {
    for (const child of processes) child.kill('SIGKILL')
  }
}

async function playLoad ({ load, seed, seconds, scale, pressure, firstPort, program }: LeaderLoadOptions, processes: ChildProcess[]): Promise<LeaderLoadResult> {
  const generator = xoroshiro128plus(seed)
  // The workers of a gang would be in several processes, which don't know of each other's gang members.
  const arrivals = generateArrivals({ ...load, durationSeconds: seconds, kinds: load.kinds.map(kind => ({ ...kind, arrivalsPerSecond: kind.arrivalsPerSecond * scale * pressure, gangShare: 0 })) }, () => uniformFloat64(generator))
  const clock = SystemClock.create()
  const logFolder = mkdtempSync(join(tmpdir(), 'citronnotch-load-'))
  const store = MemoryStore.create({ clock })
  const emulator = Emulator.create(store)
  const children: ChildProcess[] = []
  const daemons: ChildProcess[] = []
  const workers = Array.from({ length: Math.round(load.workers * scale) }, (_, index) => `w${index}`)
  const fields: Partial<WorkerEntry> = { capacity: { milliCores: load.workerMilliCores, memoryMb: load.workerMemoryMb, accelerators: 0 } }
  const entries = (await Promise.all(Array.from({ length: WORKER_PROCESSES }, (_, part) => {
    const ids = workers.filter((_id, index) => index % WORKER_PROCESSES === part)
    const child = fork(fileURLToPath(new URL('emulatedWorkers.js', import.meta.url)), [JSON.stringify({ ids, fields })])
    children.push(child)
    processes.push(child)
    return new Promise<readonly WorkerEntry[]>(resolve => child.once('message', message => resolve(message as readonly WorkerEntry[])))
  }))).flat()
  const register = () => { for (const entry of entries) emulator.register(entry) }
  register()
  const registerTimer = setInterval(register, REGISTER_INTERVAL_MS)
  const storeAddress = await emulator.serveStore()
  const policyAddress = await emulator.servePolicy(() => true)
  emulator.putConfig({
    version: 1,
    routes: load.kinds.map(({ queue }) => {
      const { priority, maxAttempts, slackFactor, targetLatencyMs, advice } = termsOf(queue)
      return {
        name: queue,
        host: HOST,
        path_prefix: `/${queue}/`,
        service: 'dispatch',
        priority,
        max_attempts: maxAttempts,
        slack_factor: slackFactor,
        target_latency_ms: targetLatencyMs,
        placement_advice: { decision_ms: advice.decisionMs, per_item_ms: advice.perWorkerMs, validity_ms: advice.validityMs }
      }
    })
  })

  const startDaemon = (index: number, nodeArgs: readonly string[]) => {
    const port = firstPort + 4 * index
    const settings = { name: `d${index}`, callerAddress: `127.0.0.1:${port}`, readyAddress: `127.0.0.1:${port + 1}`, peerPort: port + 2, storeAddress, policyAddress }
    const path = join(logFolder, `d${index}.yaml`)
    writeFileSync(path, renderSettings(settings))
    const daemon = spawn(process.execPath, [...nodeArgs, program], { env: { PATH: process.env.PATH ?? '', ...settingsEnvironment(path) }, stdio: ['ignore', 'pipe', 'pipe'] })
    daemon.stdout.pipe(createWriteStream(join(logFolder, `d${index}.log`)))
    daemon.stderr.pipe(process.stderr)
    daemons.push(daemon)
    processes.push(daemon)
    return settings.callerAddress
  }
  startDaemon(0, ['--cpu-prof', `--cpu-prof-dir=${logFolder}`])
  await sleep(WARM_UP_MS)
  const callerAddress = startDaemon(1, [])
  await sleep(WARM_UP_MS)

  const client = HttpClient.create({ url: `http://${callerAddress}`, clock, timeoutMs: 3_000, connections: 100, codePrefix: 'load', serverName: 'daemon' })
  let refused = 0
  const submit = async (arrival: Arrival, jobId: string) => {
    const body = { spec: `payload of ${jobId}`, steps: arrival.steps.map(wireStep) }
    const expected: ExpectedJob = { jobId, payload: body.spec, steps: arrival.steps, taskMsByStep: arrival.meanTaskMsByStep }
    for (const child of children) child.send(expected)
    const res = await client.call({ method: 'POST', path: `/${arrival.kind.queue}/${jobId}`, headers: { host: HOST, 'content-type': 'application/json' }, body: Buffer.from(JSON.stringify(body)) })
    if (res.err || res.val.status !== 200) refused++
  }
  if (daemons.some(({ exitCode }) => exitCode !== null)) throw new Error(`a daemon has ended; is the program built, and are the ports free? Its output is above or in ${logFolder}`)
  const leaderPid = daemons[0]?.pid ?? 0
  const cpuBefore = processorSeconds(leaderPid)
  const firstTransaction = store.committedTransactions.length
  const startedAt = clock.now()
  for (let next = 0; next < arrivals.length;) {
    for (; next < arrivals.length && (arrivals[next] as Arrival).atMs <= clock.now() - startedAt; next++) {
      submit(arrivals[next] as Arrival, (next + 1).toString(16).padStart(16, '0')).catch(() => { refused++ })
    }
    await sleep(SUBMIT_TICK_MS)
  }
  const cores = (processorSeconds(leaderPid) - cpuBefore) / ((clock.now() - startedAt) / 1_000)
  const transactions = store.committedTransactions.slice(firstTransaction)
  daemons[0]?.kill('SIGTERM')
  await new Promise(resolve => daemons[0]?.once('exit', resolve))
  for (const child of children) child.kill('SIGKILL')
  clearInterval(registerTimer)
  emulator.close()
  await client.close()
  const log = readFileSync(join(logFolder, 'd0.log'), 'utf8')
  const starts = summarizeStarts(log, arrivals)
  const profilePath = readdirSync(logFolder).find(name => name.endsWith('.cpuprofile'))
  return {
    submitted: arrivals.length,
    refused,
    cores,
    ...starts,
    writesPerStart: summarizeWrites(transactions, starts.starts),
    profile: profilePath === undefined ? [] : summarizeProfile(readFileSync(join(logFolder, profilePath), 'utf8')),
    logFolder
  }
}

function termsOf (queue: string): NonNullable<typeof TERMS[string]> {
  const terms = TERMS[queue]
  if (terms === undefined) throw new Error(`queue ${queue} has no terms`)
  return terms
}

function summarizeWrites (transactions: readonly Transaction[], starts: number): LeaderLoadResult['writesPerStart'] {
  const totals: Record<string, [number, number, number]> = {}
  for (const { puts, removes } of transactions) {
    const tables = [...new Set([...puts, ...removes].map(({ table }) => table))].sort().join('+')
    const total = totals[tables] ??= [0, 0, 0]
    total[0]++
    total[1] += puts.length + removes.length
    total[2] += puts.reduce((sum, { value }) => sum + JSON.stringify(value).length, 0)
  }
  return Object.fromEntries(Object.entries(totals).map(([tables, [count, rows, bytes]]) => [tables, [count / starts, rows / starts, bytes / starts]]))
}

/** Processor time of a process so far, in seconds. */
function processorSeconds (pid: number): number {
  const [userTicks, systemTicks] = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ').slice(11, 13) ?? []
  return (Number(userTicks) + Number(systemTicks)) / 100
}

function wireStep ({ count, need, estimateMs, after }: StepSpec) {
  return { count, cpu: need.milliCores, mem_mb: need.memoryMb, estimated_ms: estimateMs, after }
}

function summarizeStarts (log: string, arrivals: readonly Arrival[]): Pick<LeaderLoadResult, 'starts' | 'firstStartMs'> {
  const firstStarts = new Map<string, number>()
  let starts = 0
  for (const line of log.split('\n')) {
    if (!line.includes('"Runs started."')) continue
    const { job, ageMs, runs } = JSON.parse(line) as { readonly job: string, readonly ageMs: number, readonly runs: readonly string[] }
    starts += runs.length
    if (!firstStarts.has(job)) firstStarts.set(job, ageMs)
  }
  const agesByQueue = new Map<string, number[]>()
  for (const [job, ageMs] of firstStarts) {
    const queue = arrivals[Number.parseInt(job, 16) - 1]?.kind.queue ?? 'unknown'
    agesByQueue.set(queue, [...(agesByQueue.get(queue) ?? []), ageMs])
  }
  const percentile = (sorted: readonly number[], share: number) => sorted[Math.floor(sorted.length * share)] ?? 0
  return {
    starts,
    firstStartMs: Object.fromEntries([...agesByQueue].map(([queue, ages]) => {
      const sorted = ages.sort((a, b) => a - b)
      return [queue, [percentile(sorted, 0.5), percentile(sorted, 0.9), percentile(sorted, 0.99)]]
    }))
  }
}
