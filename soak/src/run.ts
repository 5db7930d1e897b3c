import { tmpdir } from 'node:os'
import { mkdtempSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Audit, GangRoom, MemoryStore, MemoryWorker, createEntry } from '@citronnotch/cell/testing'
import { SystemClock } from '@citronnotch/base/clock'
import { Client, HOST, PREFIX } from './client.js'
import { DaemonProcess, Emulator, oneQueueConfig } from '@citronnotch/platform/testing'
import { FAULTS } from './faults.js'
import { Proxy } from './proxy.js'
import { Random } from './random.js'

export interface SoakOptions {
  readonly seed: number
  /** Time with faults, in milliseconds. */
  readonly faultsMs: number
  readonly daemons: number
  readonly workers: number
  /** First of the ports that the daemons listen on; each takes four. */
  readonly firstPort: number
}

export interface SoakResult {
  readonly jobs: number
  readonly accepted: number
  readonly faults: readonly string[]
  readonly violations: readonly string[]
  readonly logs: string
}

/** Time before the first fault, and time in calm at the end in which all that was accepted must be done. */
const WARM_UP_MS = 3_000
const CALM_MS = 25_000
const SUBMIT_EVERY_MS = 60
const LOOK_EVERY_MS = 40
const HEARTBEAT_MS = 1_500

/** Plays one seed: real daemons as processes, the platform's emulator behind proxies, and a schedule of faults. */
export async function soak ({ seed, faultsMs, daemons: daemonCount, workers: workerCount, firstPort }: SoakOptions): Promise<SoakResult> {
  const random = Random.create(seed)
  const clock = SystemClock.create()
  const audit = Audit.create()
  const store = MemoryStore.create({ clock })
  const emulator = Emulator.create(store)
  const logs = mkdtempSync(join(tmpdir(), `citronnotch-soak-${seed}-`))
  const policyAddress = await emulator.servePolicy(() => true)
  const storeAddress = await emulator.serveStore()
  emulator.putConfig(oneQueueConfig(HOST, PREFIX))

  const gangs = GangRoom.create()
  const workers: MemoryWorker[] = []
  const workerLinks: Proxy[] = []
  for (let index = 0; index < workerCount; index++) {
    const worker = MemoryWorker.create({
      entry: createEntry(`w${index}`),
      clock,
      audit,
      behaviour: task => ({ durationMs: 100 + Number.parseInt(task.jobId.slice(-3), 16) % 1_500, end: 'done' }),
      needOf: task => audit.needOf(task),
      gangSizeOf: task => audit.gangSizeOf(task),
      gangs
    })
    const link = await Proxy.create(await emulator.serveWorker(worker))
    worker.entry = { ...worker.entry, address: link.address }
    workers.push(worker)
    workerLinks.push(link)
  }
  const heartbeat = setInterval(() => { for (const worker of workers) emulator.register(worker.entry) }, HEARTBEAT_MS)
  for (const worker of workers) emulator.register(worker.entry)

  const storeLinks: Proxy[] = []
  const daemons: DaemonProcess[] = []
  for (let index = 0; index < daemonCount; index++) {
    const link = await Proxy.create(storeAddress)
    const port = firstPort + 4 * index
    storeLinks.push(link)
    daemons.push(DaemonProcess.create({
      name: `d${index}`, callerAddress: `127.0.0.1:${port}`, readyAddress: `127.0.0.1:${port + 1}`, peerPort: port + 2, storeAddress: link.address, policyAddress
    }, logs))
  }

  const client = Client.create(daemons.map(({ settings }) => settings.callerAddress), audit, random)
  await sleep(WARM_UP_MS)
  const calls = new Set<Promise<void>>()
  const track = (call: Promise<void>) => {
    calls.add(call)
    call.finally(() => calls.delete(call)).catch(() => {})
  }
  const submitting = setInterval(() => track(client.submitOne()), SUBMIT_EVERY_MS)
  const looking = setInterval(() => { if (client.jobs.length > 0) track(client.look(random.pick(client.jobs))) }, LOOK_EVERY_MS)

  const faults: string[] = []
  const targets = { daemons, storeLinks, workerLinks, store, workers }
  const end = clock.now() + faultsMs
  while (clock.now() < end) {
    const name = random.pick(Object.keys(FAULTS))
    faults.push(name)
    FAULTS[name]?.(targets, random, random.between(500, 5_000))
    await sleep(random.between(300, 3_000))
  }
  clearInterval(submitting)
  await sleep(CALM_MS)
  clearInterval(looking)
  await Promise.all(calls)
  await Promise.all(client.jobs.map(job => client.look(job)))
  client.checkEnd()

  const violations = [...audit.violations, ...daemons.flatMap(daemon => daemon.unexpectedEnds())]
  for (const daemon of daemons) daemon.stop()
  clearInterval(heartbeat)
  emulator.close()
  for (const link of [...storeLinks, ...workerLinks]) link.close()
  await client.close()
  return { jobs: client.jobs.length, accepted: client.jobs.filter(({ isAccepted }) => isAccepted).length, faults, violations, logs }
}
