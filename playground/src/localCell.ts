import { mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Audit, GangRegistry, MemoryStore, MemoryWorker, createWorkerEntry } from '@citronnotch/cell/testing'
import { QueueClient } from '@citronnotch/cli'
import { SystemClock } from '@citronnotch/base/clock'
import { DaemonProcess, Emulator, decodeJob, oneQueueConfig } from '@citronnotch/platform/testing'

export const HOST = 'pamphlets.example'
export const PATH = '/pamphlets/'
const REGISTER_INTERVAL_MS = 1_500
const TASK_DURATION_MS = 800
const RETRY_DELAY_MS = 300
const SUBMIT_ATTEMPTS = 20

export interface LocalCellOptions {
  readonly daemons: number
  readonly workers: number
  /** First of the ports that the daemons listen on; each daemon takes four. */
  readonly firstPort: number
}

/** Cell on loopback: each daemon is a process, and the emulator of the platform runs in this process. */
export class LocalCell {
  readonly audit = Audit.create()
  readonly daemons: readonly DaemonProcess[]
  readonly logFolder = mkdtempSync(join(tmpdir(), 'citronnotch-demo-'))
  private nextJobNumber = 1

  private constructor (readonly store: MemoryStore, private readonly emulator: Emulator, private readonly registerTimer: NodeJS.Timeout, options: LocalCellOptions, addresses: { readonly store: string, readonly policy: string }) {
    this.daemons = Array.from({ length: options.daemons }, (_, index) => {
      const port = options.firstPort + 4 * index
      return DaemonProcess.create({
        name: `d${index}`, callerAddress: `127.0.0.1:${port}`, readyAddress: `127.0.0.1:${port + 1}`, peerPort: port + 2, storeAddress: addresses.store, policyAddress: addresses.policy
      }, this.logFolder)
    })
  }

  static async create (options: LocalCellOptions): Promise<LocalCell> {
    const clock = SystemClock.create()
    const store = MemoryStore.create({ clock })
    const emulator = Emulator.create(store)
    emulator.putConfig(oneQueueConfig(HOST, PATH))
    const addresses = { store: await emulator.serveStore(), policy: await emulator.servePolicy(() => true) }
    const workers: MemoryWorker[] = []
    const registerTimer = setInterval(() => { for (const { entry } of workers) emulator.register(entry) }, REGISTER_INTERVAL_MS)
    const cell = new LocalCell(store, emulator, registerTimer, options, addresses)
    const gangs = GangRegistry.create()
    for (let index = 0; index < options.workers; index++) {
      const worker = MemoryWorker.create({
        entry: createWorkerEntry(`w${index}`),
        clock,
        audit: cell.audit,
        behaviour: task => ({ durationMs: cell.isLongRunning(task.jobId) ? Infinity : TASK_DURATION_MS, end: 'done' }),
        needOf: task => cell.audit.needOf(task),
        gangSizeOf: task => cell.audit.gangSizeOf(task),
        gangs
      })
      worker.entry = { ...worker.entry, address: await emulator.serveWorker(worker) }
      emulator.register(worker.entry)
      workers.push(worker)
    }
    return cell
  }

  /** Returns a client of the queue that calls the daemon with this index. */
  client (index: number): QueueClient {
    return QueueClient.create({ address: this.daemons[index % this.daemons.length]?.settings.callerAddress ?? '', host: HOST, path: PATH })
  }

  /** Submits a job and returns its id. Tries the next daemon after each attempt that is not accepted. */
  async submit (steps: readonly unknown[], fields: Readonly<Record<string, unknown>> = {}): Promise<string> {
    const id = (this.nextJobNumber++).toString(16).padStart(16, '0')
    const body = { spec: `job ${id}`, steps, ...fields }
    const spec = decodeJob(body)
    if (typeof spec === 'string') throw new Error(spec)
    this.audit.expectJob(id, spec)
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
      if ((await this.statusOf(attempt, 'POST', id, JSON.stringify(body))) === 200) return id
      await sleep(RETRY_DELAY_MS)
    }
    throw new Error(`job ${id} was not accepted by any daemon`)
  }

  /** Sends a request to one daemon and returns the status, 0 if there was no answer. */
  async statusOf (daemon: number, method: 'GET' | 'POST' | 'DELETE', id: string, body?: string): Promise<number> {
    try {
      return (await this.client(daemon).send(method, id, body)).status
    } catch {
      return 0
    }
  }

  /** Returns the state of a job from the first daemon that answers with it; undefined if none does. */
  async stateOf (id: string): Promise<unknown> {
    for (let index = 0; index < this.daemons.length; index++) {
      try {
        const { status, body } = await this.client(index).send('GET', id)
        if (status === 200) return body.state
      } catch {
        // Try the next daemon.
      }
    }
    return undefined
  }

  /** Returns the logs of all daemons by name. */
  readLogs (): ReadonlyMap<string, string> {
    return new Map(this.daemons.map(({ settings: { name } }) => [name, readFileSync(join(this.logFolder, `${name}.log`), 'utf8')]))
  }

  close (): void {
    clearInterval(this.registerTimer)
    for (const daemon of this.daemons) daemon.stop()
    this.emulator.close()
  }

  private isLongRunning (jobId: string): boolean {
    return this.audit.specOf(jobId)?.steps.some(({ longRunning }) => longRunning) === true
  }
}
