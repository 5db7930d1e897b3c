import { tmpdir } from 'node:os'
import { mkdtempSync } from 'node:fs'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Audit, GangRegistry, MemoryStore, MemoryWorker, createWorkerEntry } from '@citronnotch/cell/testing'
import { SystemClock } from '@citronnotch/base/clock'
import { SoakClient, HOST, PATH_PREFIX } from './client.js'
import { CRASH_RUN, CrashRun } from './crashRun.js'
import type { CrashRunOptions } from './crashRun.js'
import { ConfigProbe } from './configProbe.js'
import { DaemonProcess, Emulator } from '@citronnotch/platform/testing'
import { FAULTS, startChangeSeries } from './faults.js'
import type { Fault, FaultTargets } from './faults.js'
import { LeaseRecord } from './leaseRecord.js'
import { TcpProxy } from './proxy.js'
import { PeerProxies, sourceOf } from './peerProxies.js'
import { Random } from './random.js'
import { DEFAULT_SHAPE } from './shape.js'
import type { Shape } from './shape.js'

export interface SoakOptions {
  readonly seed: number
  /** Period in which faults are injected. */
  readonly faultPeriodMs: number
  readonly daemons: number
  readonly workers: number
  /** Whether all kinds of faults are injected, or those that earlier seeds were found with. */
  readonly allFaults: boolean
  readonly shape: Shape
  /** Names of the faults to draw from; all of the shape if it is empty. Only with `allFaults`. */
  readonly only: readonly string[]
  /** First of the ports that the daemons listen on; each daemon takes `PORTS_PER_DAEMON`. */
  readonly firstPort: number
  /** Tasks that crash their workers, in place of the random faults; undefined for these. */
  readonly crashes: CrashRunOptions | undefined
  /** Program of the daemons; undefined for the bundle of this repository. */
  readonly program: string | undefined
}

export interface SoakResult {
  readonly jobs: number
  readonly accepted: number
  readonly faults: readonly string[]
  readonly violations: readonly string[]
  /** Starts after an end that counts as taken note of only if a lease doesn't lapse by its time. */
  readonly startsAfterIdleLapse: readonly string[]
  /** Leases that a leader counted as lapsed too early. */
  readonly earlyLapses: readonly string[]
  /** Longest time for which this process, and the workers and the store in it, stood still, in milliseconds. */
  readonly longestStallMs: number
  /** Exits by a signal that arrived before Node.js had started; see KNOWN-RED.txt. */
  readonly knownFailures: readonly string[]
  /** Both runs of each task that ran twice at once, one line each. */
  readonly doubleRuns: readonly string[]
  readonly logFolder: string
  /** What was seen of the tasks that crash their workers, one line each. */
  readonly crashReport: readonly string[]
}

export const PORTS_PER_DAEMON = 5
/** Time before the first fault. */
const STARTUP_MS = 3_000
const POLL_INTERVAL_MS = 40
const PROBE_INTERVAL_MS = 400
const REGISTER_INTERVAL_MS = 1_500
const NANOSECONDS_PER_MS = 1e6
const MAX_SEED = 2 ** 30

interface NextFault {
  readonly name: string
  readonly inject: Fault
  /** Decides where the fault is injected. */
  readonly random: Random
  readonly durationMs: () => number
  /** Time until the next fault. */
  readonly pauseMs: () => number
}

/** Draws each fault from the sequence that the clients use too, as the regression seeds were found. */
function * drawFaults (random: Random): Iterable<NextFault> {
  for (;;) {
    const name = random.pick(Object.keys(FAULTS))
    yield { name, inject: FAULTS[name] ?? noFault, random, durationMs: () => random.between(500, 5_000), pauseMs: () => random.between(300, 3_000) }
  }
}

/** Draws faults of all kinds from sequences of their own: a seed always injects the same ones at the same times. */
export function * planFaults (seed: number, kinds: Shape['faults'] = DEFAULT_SHAPE.faults, maxPauseMs = DEFAULT_SHAPE.maxPauseMs): Iterable<NextFault> {
  const random = Random.create(seed)
  for (;;) {
    const name = random.pick(Object.keys(kinds))
    const [durationMs, pauseMs] = [random.between(500, 5_000), random.between(300, maxPauseMs)]
    yield { name, inject: kinds[name] ?? noFault, random: Random.create(random.between(0, MAX_SEED)), durationMs: () => durationMs, pauseMs: () => pauseMs }
  }
}

function noFault () {}

/** Runs one seed: starts daemons as processes and the platform's emulator behind proxies, and injects random faults. */
export async function runSeed ({ seed, faultPeriodMs, daemons: daemonCount, workers: workerCount, allFaults, shape, only, firstPort, program, crashes }: SoakOptions): Promise<SoakResult> {
  const stalls = monitorEventLoopDelay({ resolution: 20 })
  stalls.enable()
  const random = Random.create(seed)
  const clock = SystemClock.create()
  const audit = Audit.create()
  const store = MemoryStore.create({ clock })
  const emulator = Emulator.create(store)
  const logFolder = mkdtempSync(join(tmpdir(), `citronnotch-soak-${seed}-`))
  const policyAddress = await emulator.servePolicy(() => true)
  const storeAddress = await emulator.serveStore()

  const gangs = GangRegistry.create()
  const clocks = Random.create(seed)
  const leases = LeaseRecord.create(logFolder)
  const workers: MemoryWorker[] = []
  const workerLinks: TcpProxy[] = []
  const crashRun = crashes === undefined ? undefined : CrashRun.create(crashes)
  for (let index = 0; index < workerCount; index++) {
    const worker: MemoryWorker = MemoryWorker.create({
      entry: createWorkerEntry(`w${index}`, { capacity: shape.workerCapacity }),
      clock,
      audit,
      behaviour: task => ({ durationMs: crashRun?.started(worker, task) ?? shape.durationMsOf(task, audit.specOf(task.jobId)), end: 'done' }),
      needOf: task => audit.needOf(task),
      gangSizeOf: task => audit.gangSizeOf(task),
      gangs,
      log: leases,
      ...shape.workerOptions(clocks)
    })
    const link = await TcpProxy.create(await emulator.serveWorker(worker))
    worker.entry = { ...worker.entry, address: link.address }
    workers.push(worker)
    workerLinks.push(link)
  }
  const registerTimer = setInterval(() => { for (const worker of workers) emulator.register(worker.entry) }, REGISTER_INTERVAL_MS)
  for (const worker of workers) emulator.register(worker.entry)

  const callerAddresses = Array.from({ length: daemonCount }, (_, index) => `127.0.0.1:${firstPort + PORTS_PER_DAEMON * index}`)
  const configProbe = ConfigProbe.create(callerAddresses, emulator, HOST, PATH_PREFIX, audit, clock)
  configProbe.change()

  const storeLinks: TcpProxy[] = []
  const daemons: DaemonProcess[] = []
  const stopDaemons = () => Promise.all(daemons.map(daemon => daemon.stop()))
  process.once('exit', stopDaemons)
  for (const [index, callerAddress] of callerAddresses.entries()) {
    const link = await TcpProxy.create(storeAddress)
    const port = firstPort + PORTS_PER_DAEMON * index
    storeLinks.push(link)
    daemons.push(DaemonProcess.create({
      name: `d${index}`, callerAddress, readyAddress: `127.0.0.1:${port + 1}`, peerPort: port + 2, storeAddress: link.address, policyAddress, maxTaskLeaseMs: shape.maxTaskLeaseMs
    }, logFolder, program, shape.hasPeerProxies ? PeerProxies.nodeArguments(port + 2, port + 4, sourceOf(`d${index}`)) : []))
  }
  const peerProxies = await PeerProxies.create(shape.hasPeerProxies ? daemons : [], 2)

  const client = SoakClient.create(callerAddresses, audit, random, clock, shape.randomSteps)
  await sleep(STARTUP_MS)
  const pendingCalls = new Set<Promise<void>>()
  const track = (call: Promise<void>) => {
    pendingCalls.add(call)
    call.finally(() => pendingCalls.delete(call)).catch(() => {})
  }
  const submitTimer = setInterval(() => track(client.submitOne()), crashRun === undefined ? shape.submitIntervalMs : CRASH_RUN.submitIntervalMs)
  const pollTimer = setInterval(() => { if (client.jobs.length > 0) track(client.poll(random.pick(client.jobs))) }, POLL_INTERVAL_MS)
  const probeTimer = setInterval(() => track(configProbe.probe()), PROBE_INTERVAL_MS)

  const faults: string[] = []
  const targets: FaultTargets = { daemons, storeLinks, workerLinks, store, workers, emulator, refusedPeers: peerProxies.refused, heldPeers: peerProxies.held, changeConfig: () => configProbe.change() }
  const kinds = Object.fromEntries(Object.entries(shape.faults).filter(([name]) => only.length === 0 || only.includes(name)))
  if (allFaults && shape.hasChangeSeries) startChangeSeries(targets, Random.create(seed), faultPeriodMs)
  const faultsEndMs = clock.now() + faultPeriodMs
  if (crashRun !== undefined) {
    await crashRun.start(targets, client)
    await sleep(faultsEndMs - clock.now())
  }
  for (const { name, inject, durationMs, pauseMs, random: choices } of allFaults ? planFaults(seed, kinds, shape.maxPauseMs) : drawFaults(random)) {
    if (crashRun !== undefined || clock.now() >= faultsEndMs) break
    faults.push(name)
    inject(targets, choices, durationMs())
    await sleep(pauseMs())
  }
  clearInterval(submitTimer)
  const capacity = workers.reduce((sum, { entry }) => sum + entry.capacity.milliCores, 0)
  await sleep(crashRun === undefined ? shape.recoveryMs + client.remainingWork(shape.durationMsOf) / capacity : CRASH_RUN.recoveryMs)
  if (crashRun !== undefined) {
    crashRun.stop()
    await sleep(CRASH_RUN.calmMs)
  }
  clearInterval(pollTimer)
  clearInterval(probeTimer)
  await Promise.all(pendingCalls)
  await client.pollAll()
  client.checkFinalStates()

  const violations = [...audit.violations, ...daemons.flatMap(daemon => daemon.unexpectedExits()), ...crashRun?.violations() ?? []]
  const knownFailures = daemons.flatMap(daemon => daemon.exitsByEarlySignal())
  await stopDaemons()
  const logsOfDaemons = new Map(daemons.map(({ settings: { name } }) => [name, join(logFolder, `${name}.log`)]))
  const earlyLapses = leases.earlyLapses([...logsOfDaemons.values()])
  process.off('exit', stopDaemons)
  clearInterval(registerTimer)
  emulator.close()
  peerProxies.close()
  for (const link of [...storeLinks, ...workerLinks]) link.close()
  await Promise.all([client.close(), configProbe.close()])
  return {
    jobs: client.jobs.length,
    accepted: client.jobs.filter(({ isAccepted }) => isAccepted).length,
    faults,
    violations: [...violations, ...(shape.checksLeases ? earlyLapses : [])],
    startsAfterIdleLapse: audit.startsAfterIdleLapse,
    earlyLapses,
    longestStallMs: stalls.max / NANOSECONDS_PER_MS,
    knownFailures,
    doubleRuns: leases.runs.describe(audit.doubleRuns, logsOfDaemons),
    logFolder,
    crashReport: crashRun?.report() ?? []
  }
}
