import type { MemoryStore, MemoryWorker } from '@citronnotch/cell/testing'
import type { DaemonProcess } from '@citronnotch/platform/testing'
import type { Proxy } from './proxy.js'
import type { Random } from './random.js'

export interface FaultTargets {
  readonly daemons: readonly DaemonProcess[]
  /** Proxies between each daemon and the store. */
  readonly storeLinks: readonly Proxy[]
  /** Proxies between all daemons and each worker. */
  readonly workerLinks: readonly Proxy[]
  readonly store: MemoryStore
  readonly workers: readonly MemoryWorker[]
}

type Fault = (targets: FaultTargets, random: Random, forMs: number) => void

/** Faults by name; each ends by itself. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  kill: ({ daemons }, random) => random.pick(daemons).signal('SIGKILL'),
  killAll: ({ daemons }) => { for (const daemon of daemons) daemon.signal('SIGKILL') },
  terminate: ({ daemons }, random) => random.pick(daemons).signal('SIGTERM'),
  reload: ({ daemons }, random) => {
    const daemon = random.pick(daemons)
    daemon.rewriteSettings()
    daemon.signal('SIGHUP')
  },
  pause: ({ daemons }, random, forMs) => {
    const daemon = random.pick(daemons)
    daemon.signal('SIGSTOP')
    setTimeout(() => daemon.signal('SIGCONT'), forMs)
  },
  storeLink: ({ storeLinks }, random, forMs) => disturb(random.pick(storeLinks), random, forMs),
  workerLink: ({ workerLinks }, random, forMs) => disturb(random.pick(workerLinks), random, forMs),
  resetAll: ({ storeLinks, workerLinks }) => { for (const link of [...storeLinks, ...workerLinks]) link.reset() },
  storeDown: ({ store }, _random, forMs) => {
    store.isDown = true
    setTimeout(() => { store.isDown = false }, forMs)
  },
  storeLosesAnswers: ({ store }, random, forMs) => {
    store.writeFault = () => {
      if (!random.chance(0.3)) return undefined
      return random.chance(0.5) ? { kind: 'answer-lost' } : { kind: 'applied-late', afterMs: random.between(500, 4_000) }
    }
    setTimeout(() => { store.writeFault = () => undefined }, forMs)
  },
  storeLosesHistory: ({ store }) => store.loseHistory(),
  ordersLate: ({ workers }, random, forMs) => {
    for (const worker of workers) {
      worker.fault = () => {
        if (!random.chance(0.1)) return undefined
        return random.chance(0.5) ? { kind: 'answer-lost' } : { kind: 'applied-late', afterMs: random.between(1_000, 6_000) }
      }
      setTimeout(() => { worker.fault = () => undefined }, forMs)
    }
  },
  workerStalls: ({ workers }, random, forMs) => {
    const worker = random.pick(workers)
    worker.isStalled = true
    setTimeout(() => { worker.isStalled = false }, forMs)
  }
}

function disturb (link: Proxy, random: Random, forMs: number) {
  link.fault = random.pick(['delay', 'silence', 'lose-answers', 'reset'] as const)
  if (link.fault === 'reset') link.reset()
  setTimeout(() => { link.fault = 'none' }, forMs)
}
