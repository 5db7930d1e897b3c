import type { MemoryStore, MemoryWorker } from '@citronnotch/cell/testing'
import type { DaemonProcess } from '@citronnotch/platform/testing'
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
}

type Fault = (targets: FaultTargets, random: Random, durationMs: number) => void

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
        return random.chance(0.5) ? { kind: 'answer-lost' } : { kind: 'applied-late', afterMs: random.between(1_000, 6_000) }
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

function injectLinkFault (link: TcpProxy, random: Random, durationMs: number) {
  link.fault = random.pick(['delay', 'drop-all', 'drop-responses', 'reset'] as const)
  if (link.fault === 'reset') link.reset()
  setTimeout(() => { link.fault = 'none' }, durationMs)
}
