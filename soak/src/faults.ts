import type { MemoryStore, MemoryWorker } from '@citronnotch/cell/testing'
import type { DaemonProcess, Emulator } from '@citronnotch/platform/testing'
import type { TcpProxy } from './proxy.js'
import type { Random } from './random.js'

export interface FaultTargets {
  readonly daemons: readonly DaemonProcess[]
  /** One proxy in front of the store for each daemon. */
  readonly storeLinks: readonly TcpProxy[]
  /** One proxy in front of each worker, shared by all daemons. */
  readonly workerLinks: readonly TcpProxy[]
  readonly store: MemoryStore
  readonly workers: readonly MemoryWorker[]
  readonly emulator: Emulator
  /** Daemons whose listener for peers refuses connections; each fault removes its own. */
  readonly refusedPeers: Set<DaemonProcess>
  /** Daemons whose connections from peers hold what is sent until the fault is over; each fault removes its own. */
  readonly heldPeers: Set<DaemonProcess>
  /** Writes the next version of the configuration. */
  readonly changeConfig: () => void
}

/** Ends all that runs on a worker, which returns under its id after `downMs` with nothing. */
export function crashWorker ({ workers, workerLinks, emulator }: Pick<FaultTargets, 'workers' | 'workerLinks' | 'emulator'>, index: number, downMs: number): void {
  const [worker, link] = [workers[index], workerLinks[index]]
  if (worker === undefined || worker.isCutOff) return
  worker.crash()
  setTimeout(() => {
    link?.reset()
    worker.restart(Date.now())
    emulator.register(worker.entry)
  }, downMs)
}

export type Fault = (targets: FaultTargets, random: Random, durationMs: number) => void

/** Faults by name; each one ends by itself. A seed picks faults by their position in this list. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  kill: ({ daemons }, random) => random.pick(daemons).signal('SIGKILL'),
  killAll: ({ daemons }) => { for (const daemon of daemons) daemon.signal('SIGKILL') },
  terminate: ({ daemons }, random) => random.pick(daemons).signal('SIGTERM'),
  reload: ({ daemons }, random) => {
    const daemon = random.pick(daemons)
    daemon.rewriteSettings()
    daemon.signal('SIGHUP')
  },
  pause: ({ daemons }, random, durationMs) => {
    const daemon = random.pick(daemons)
    daemon.signal('SIGSTOP')
    setTimeout(() => daemon.signal('SIGCONT'), durationMs)
  },
  storeLink: ({ storeLinks }, random, durationMs) => injectLinkFault(random.pick(storeLinks), random, durationMs),
  workerLink: ({ workerLinks }, random, durationMs) => injectLinkFault(random.pick(workerLinks), random, durationMs),
  resetAll: ({ storeLinks, workerLinks }) => { for (const link of [...storeLinks, ...workerLinks]) link.reset() },
  storeDown: ({ store }, _random, durationMs) => {
    store.isUnavailable = true
    setTimeout(() => { store.isUnavailable = false }, durationMs)
  },
  storeLosesAnswers: ({ store }, random, durationMs) => {
    store.writeFault = () => {
      if (!random.chance(0.3)) return undefined
      return random.chance(0.5) ? { kind: 'answer-lost' } : { kind: 'applied-late', afterMs: random.between(500, 4_000) }
    }
    setTimeout(() => { store.writeFault = () => undefined }, durationMs)
  },
  storeLosesHistory: ({ store }) => store.loseHistory(),
  workerCallFaults: ({ workers }, random, durationMs) => {
    for (const worker of workers) {
      worker.fault = () => {
        if (!random.chance(0.1)) return undefined
        return random.chance(0.5) ? { kind: 'answer-lost' } : { kind: 'applied-late', afterMs: random.between(1_000, 6_000), isQueued: true }
      }
      setTimeout(() => { worker.fault = () => undefined }, durationMs)
    }
  },
  workerStalls: ({ workers }, random, durationMs) => {
    const worker = random.pick(workers)
    worker.isStalled = true
    setTimeout(() => { worker.isStalled = false }, durationMs)
  }
}

/** Interval between the signals of a series, in milliseconds. */
const SERIES_INTERVAL_MS = 1_300
/** Time without power of a worker that returns under its id, in milliseconds. */
const MIN_DOWN_MS = 2_000
const MAX_DOWN_MS = 4_500
const ODD_VALUES: readonly unknown[] = [
  null, 'odd', { service: 'dispatch' }, { service: 'dispatch', state: 'ready', born: 1e308, address: '127.0.0.9:80', capacity: {} },
  { service: 'dispatch', state: 'ready', address: '127.0.0.9:80800', capacity: { cpu: 64_000, mem_mb: 64_000 }, labels: [] }
]

/** Faults that came later: a list of their own, so that earlier seeds still pick the same faults. */
export const MORE_FAULTS: Readonly<Record<string, Fault>> = {
  workerRestarts: ({ workers, workerLinks, emulator }, random) => {
    const index = random.between(0, workers.length - 1)
    const downMs = random.between(MIN_DOWN_MS, MAX_DOWN_MS)
    crashWorker({ workers, workerLinks, emulator }, index, downMs)
  },
  oddEntry: ({ emulator }, random, durationMs) => {
    const id = `odd-${random.between(0, 99)}`
    emulator.putOddEntry(id, random.pick(ODD_VALUES))
    setTimeout(() => emulator.removeEntry(id), durationMs)
  },
  workerFails: ({ workers }, random, durationMs) => {
    const worker = random.pick(workers)
    worker.failsEverything = true
    setTimeout(() => { worker.failsEverything = false }, durationMs)
  },
  rollingRestart: ({ daemons }) => daemons.forEach((daemon, index) => setTimeout(() => daemon.signal('SIGTERM'), index * SERIES_INTERVAL_MS)),
  reloads: ({ daemons }, random) => {
    for (let index = 0; index < 5; index++) setTimeout(() => random.pick(daemons).signal('SIGHUP'), index * SERIES_INTERVAL_MS / 5)
  },
  configChange: ({ changeConfig }) => changeConfig(),
  configStorm: ({ changeConfig }) => { for (let index = 0; index < 8; index++) setTimeout(changeConfig, 150 * index) }
}

/** Part of the daemons that the store serves, at least one, in `storeServesFew`. */
const FEW_FRACTION = 0.25
/** Duration of `storeServesFew`: well beyond the time within which a configuration must be in force, in milliseconds. */
const MIN_FEW_MS = 5_000
const MAX_FEW_MS = 12_000

/** Faults of the shape `refused-daemons`. */
export const REFUSAL_FAULTS: Readonly<Record<string, Fault>> = {
  /** The store resets the connections of most daemons. Those that it serves may stand still, so that the others can't learn of a change. */
  storeServesFew: ({ daemons, storeLinks, changeConfig }, random) => {
    const durationMs = random.between(MIN_FEW_MS, MAX_FEW_MS)
    const served = Math.max(1, Math.round(FEW_FRACTION * daemons.length))
    const first = random.between(0, daemons.length - 1)
    const isServed = (index: number) => (index - first + daemons.length) % daemons.length < served
    const standsStill = random.chance(0.7)
    for (const [index, link] of storeLinks.entries()) if (!isServed(index)) injectReset(link, durationMs)
    for (const [index, daemon] of daemons.entries()) {
      if (!isServed(index) || !standsStill) continue
      daemon.signal('SIGSTOP')
      setTimeout(() => daemon.signal('SIGCONT'), durationMs)
    }
    changeConfig()
  },
  ...pickFaults('kill', 'terminate', 'reload', 'pause', 'storeLink', 'storeDown', 'storeLosesHistory', 'rollingRestart', 'configChange', 'configStorm')
}

export function pickFaults (...names: readonly string[]): Readonly<Record<string, Fault>> {
  return Object.fromEntries(Object.entries({ ...FAULTS, ...MORE_FAULTS }).filter(([name]) => names.includes(name)))
}

function injectReset (link: TcpProxy, durationMs: number) {
  link.fault = 'reset'
  link.reset()
  setTimeout(() => { link.fault = 'none' }, durationMs)
}

/** Time between two changes of a series, and duration of the fault that each begins with, in milliseconds. */
const CHANGE_INTERVAL_MS = 3_500
const MIN_CUT_MS = 4_000
const MAX_CUT_MS = 8_000
const CHANGE_DELAY_MS = 200

/** Changes the configuration again and again while daemons, one after the other, can't reach the store; beside all other faults. */
export function startChangeSeries (targets: FaultTargets, random: Random, durationMs: number): void {
  for (let atMs = 0; atMs < durationMs; atMs += CHANGE_INTERVAL_MS) {
    const link = random.pick(targets.storeLinks)
    const cutMs = random.between(MIN_CUT_MS, MAX_CUT_MS)
    setTimeout(() => injectLinkFault(link, random, cutMs), atMs)
    setTimeout(targets.changeConfig, atMs + CHANGE_DELAY_MS)
  }
}

function injectLinkFault (link: TcpProxy, random: Random, durationMs: number) {
  link.fault = random.pick(['delay', 'drop-all', 'drop-responses', 'reset'] as const)
  if (link.fault === 'reset') link.reset()
  setTimeout(() => { link.fault = 'none' }, durationMs)
}
