import type { MemoryWorker } from '@citronnotch/cell/testing'
import type { DaemonProcess } from '@citronnotch/platform/testing'
import { pickFaults } from './faults.js'
import type { Fault, FaultTargets } from './faults.js'
import { sourceOf } from './peerProxies.js'
import type { Random } from './random.js'

const LEADER_ROW = ['leader', 'lease', 'lease'] as const
const RENEWAL_ROW = ['leader', 'lease', 'renewal'] as const
const RENEWAL_POLL_MS = 2

/** Faults around leaders and the leases of workers. Most are longer than those that the shorter leases need. */
export const LEADER_FAULTS: Readonly<Record<string, Fault>> = {
  killLeader: targets => leaderOf(targets)?.signal('SIGKILL'),
  killLeaders: (targets, random) => {
    for (let index = 0, atMs = 0; index < 4; index++, atMs += random.between(800, 3_500)) setTimeout(() => leaderOf(targets)?.signal('SIGKILL'), atMs)
  },
  terminateLeader: targets => leaderOf(targets)?.signal('SIGTERM'),
  pauseLeader: (targets, _random, durationMs) => pauseLeader(targets, durationMs),
  pauseLeaderAtRenewal: (targets, _random, durationMs) => {
    const version = targets.store.get(...RENEWAL_ROW)?.version
    const timer = setInterval(() => {
      if (targets.store.get(...RENEWAL_ROW)?.version === version) return
      clearInterval(timer)
      pauseLeader(targets, durationMs)
    }, RENEWAL_POLL_MS)
    setTimeout(() => clearInterval(timer), 1_000)
  },
  /** The leader is taken for dead while it is paused, and wakes under a successor. */
  pauseLeaderAndRefuse: (targets, random, durationMs) => {
    refusePeers(targets, random.between(300, 2_000))
    pauseLeader(targets, durationMs)
  },
  refusePeers: (targets, random) => refusePeers(targets, random.between(300, 4_000)),
  /** One leader after the other is taken for dead while it lives. */
  refusePeersAgain: (targets, random) => {
    for (let index = 0; index < 4; index++) setTimeout(() => refusePeers(targets, random.between(300, 1_500)), index * 1_800)
  },
  refusePeersThenKill: (targets, random) => {
    refusePeers(targets, 600)
    setTimeout(() => leaderOf(targets)?.signal('SIGKILL'), random.between(400, 3_000))
  },
  /** The leader is cut off from the store and taken for dead, lives on, and alone reaches some of the workers. */
  isolateLeader: (targets, random) => isolateLeader(targets, random),
  /** The same, and its successor is replaced at once. */
  isolateLeaderThenKill: (targets, random) => {
    isolateLeader(targets, random)
    for (const atMs of [random.between(200, 900), random.between(900, 1_900)]) setTimeout(() => leaderOf(targets)?.signal(random.pick(['SIGKILL', 'SIGTERM'] as const)), atMs)
  },
  /** One daemon can't reach some of the workers. */
  cutDaemonFromWorkers: (targets, random) => cutFromWorkers([random.pick(targets.daemons)], targets, random),
  cutWorkers: (targets, random) => cutWorkers(targets, random),
  cutWorkersAndKill: (targets, random) => {
    cutWorkers(targets, random)
    setTimeout(() => leaderOf(targets)?.signal('SIGKILL'), random.between(0, 9_000))
  },
  lateOrders: (targets, random) => delayOrders(targets, random, false),
  lateGrants: (targets, random) => delayOrders(targets, random, true),
  lateOrdersThenCut: (targets, random) => delayOrdersThenCut(targets, random, false),
  lateGrantsThenCut: (targets, random) => delayOrdersThenCut(targets, random, true),
  lateOrdersAndKill: (targets, random) => {
    delayOrders(targets, random, false)
    setTimeout(() => leaderOf(targets)?.signal('SIGKILL'), random.between(0, 6_000))
  },
  lostAnswers: ({ workers }, random, durationMs) => {
    for (const worker of workers) {
      worker.fault = () => random.chance(0.2) ? { kind: 'answer-lost' } : undefined
      setTimeout(() => { worker.fault = () => undefined }, durationMs)
    }
  },
  listenerRestarts: ({ storeLinks, workerLinks }, random) => {
    const link = random.pick([...storeLinks, ...workerLinks])
    link.refuse()
    setTimeout(() => link.accept(), random.between(100, 2_000))
  },
  ...pickFaults('kill', 'terminate', 'reload', 'pause', 'storeLink', 'workerLink', 'storeDown', 'storeLosesAnswers', 'storeLosesHistory', 'workerStalls', 'workerRestarts', 'rollingRestart', 'configChange')
}

/** Time for which a leader is cut off from the store, and until its successor is; by then the first one leads again, in milliseconds. */
const CUT_MS = 5_500
const NEXT_CUT_MS = 6_000
/** Time for which a cut holds a message up: TCP repeats it at 6.2 s and at 12.6 s. */
const HELD_MS = 13_000

/** Faults of the shape `late-messages`: messages between daemons arrive after two takeovers, and leaders live on under their successors. */
export const LATE_MESSAGE_FAULTS: Readonly<Record<string, Fault>> = {
  holdLeaders: targets => {
    holdLeader(targets)
    setTimeout(() => holdLeader(targets), NEXT_CUT_MS)
  },
  refusePeers: (targets, random) => refusePeers(targets, random.between(1_000, 4_000)),
  refusePeersAgain: (targets, random) => {
    for (let index = 0; index < 4; index++) setTimeout(() => refusePeers(targets, random.between(300, 1_500)), index * 1_800)
  },
  ...pickFaults('kill', 'terminate', 'pause', 'storeLosesHistory')
}

/** Time before a restart within which calls are carried out by the next incarnation only, and the spread of these after it is back, in milliseconds. */
const CALLS_HELD_MS = 300
const HELD_SPREAD_MS = 250
/** Longest time without power of a worker that restarts within the time of a call, in milliseconds. */
const MAX_SHORT_DOWN_MS = 1_200
/** Time from the return of a worker until it is cut off again, and for which it stays so, in milliseconds. */
const MIN_UNTIL_CUT_MS = 300
const MAX_UNTIL_CUT_MS = 2_500
const MIN_CUT_MS = 8_000
const MAX_CUT_MS = 10_000

/** Faults of the shape `short-restarts`: workers are back under their ids before calls to them have ended, and are cut off soon after. */
export const SHORT_RESTART_FAULTS: Readonly<Record<string, Fault>> = {
  restartThenCut: (targets, random) => restartThenCut(targets, random),
  restartThenCutAndKill: (targets, random) => {
    const restartAfterMs = restartThenCut(targets, random)
    setTimeout(() => leaderOf(targets)?.signal('SIGKILL'), random.between(0, restartAfterMs + MAX_UNTIL_CUT_MS))
  },
  ...pickFaults('terminate')
}

/** Time for which an answer to a heartbeat is held up, within the timeout of the call, and without power after it has left, in milliseconds. */
const MIN_ANSWER_HELD_MS = 700
const MAX_ANSWER_HELD_MS = 860
const MIN_BRIEF_DOWN_MS = 150
const MAX_BRIEF_DOWN_MS = 450

/** Faults of the shape `late-answers`: answers of former incarnations arrive when the next ones have taken starts. */
export const LATE_ANSWER_FAULTS: Readonly<Record<string, Fault>> = {
  restartBehindHeldAnswer: (targets, random) => restartBehindHeldAnswer(targets, random),
  ...SHORT_RESTART_FAULTS
}

const restartingWorkers = new WeakSet<MemoryWorker>()

/** A third of the workers restart while the answers to their latest heartbeats are held up. The registry shows the restarts when it is next renewed. */
function restartBehindHeldAnswer ({ workers }: FaultTargets, random: Random) {
  const first = random.between(0, workers.length - 1)
  for (let offset = 0; offset < Math.ceil(workers.length / 3); offset++) {
    const worker = workers[(first + offset) % workers.length]
    const heldMs = random.between(MIN_ANSWER_HELD_MS, MAX_ANSWER_HELD_MS)
    const downMs = random.between(MIN_BRIEF_DOWN_MS, MAX_BRIEF_DOWN_MS)
    if (worker === undefined || restartingWorkers.has(worker)) continue
    restartingWorkers.add(worker)
    const restart = () => {
      worker.fault = () => undefined
      worker.restart(Date.now())
      restartingWorkers.delete(worker)
    }
    const onLeft = () => {
      worker.crash()
      setTimeout(restart, downMs)
    }
    let isHeld = false
    worker.fault = command => {
      if (command !== 'hold' || isHeld) return undefined
      isHeld = true
      return { kind: 'answer-late', afterMs: heldMs, outlivesCrash: true, onLeft }
    }
  }
}

/** A third of the workers return under their ids, carry out what was sent to their former incarnations, and are cut off. Returns the time until they are back. */
function restartThenCut ({ workers, workerLinks, emulator }: FaultTargets, random: Random): number {
  const first = random.between(0, workers.length - 1)
  const restartAfterMs = CALLS_HELD_MS + random.between(0, MAX_SHORT_DOWN_MS)
  const cutAfterMs = restartAfterMs + random.between(MIN_UNTIL_CUT_MS, MAX_UNTIL_CUT_MS)
  const cutMs = random.between(MIN_CUT_MS, MAX_CUT_MS)
  const fault = random.pick(['hold', 'drop-all'] as const)
  for (let offset = 0; offset < Math.ceil(workers.length / 3); offset++) {
    const index = (first + offset) % workers.length
    const [worker, link] = [workers[index], workerLinks[index]]
    if (worker === undefined || link === undefined || restartingWorkers.has(worker)) continue
    restartingWorkers.add(worker)
    const backAtMs = Date.now() + restartAfterMs
    worker.fault = () => ({ kind: 'applied-late', afterMs: Math.max(0, backAtMs - Date.now()) + random.between(1, HELD_SPREAD_MS) })
    setTimeout(() => {
      worker.crash()
      // Calls arrive, and the network holds them until the worker is back.
      worker.isCutOff = false
    }, CALLS_HELD_MS)
    setTimeout(() => {
      worker.fault = () => undefined
      worker.restart(Date.now())
      emulator.register(worker.entry)
      restartingWorkers.delete(worker)
    }, restartAfterMs)
    setTimeout(() => { link.fault = fault }, cutAfterMs)
    setTimeout(() => { link.fault = 'none' }, cutAfterMs + cutMs)
  }
  return restartAfterMs
}

function holdLeader (targets: FaultTargets) {
  const { daemons, storeLinks, heldPeers } = targets
  const leader = leaderOf(targets)
  const storeLink = leader === undefined ? undefined : storeLinks[daemons.indexOf(leader)]
  if (leader === undefined || storeLink === undefined) return
  heldPeers.add(leader)
  setTimeout(() => heldPeers.delete(leader), HELD_MS)
  storeLink.fault = 'drop-all'
  setTimeout(() => { storeLink.fault = 'none' }, CUT_MS)
}

/** The daemon that the store names as the leader. */
function leaderOf ({ daemons, store }: FaultTargets) {
  const row = store.get(...LEADER_ROW)?.value as { readonly holder: string } | undefined
  return daemons.find(({ settings }) => row?.holder.startsWith(`${settings.name}/`))
}

function pauseLeader (targets: FaultTargets, durationMs: number) {
  const leader = leaderOf(targets)
  leader?.signal('SIGSTOP')
  setTimeout(() => leader?.signal('SIGCONT'), durationMs)
}

/** The leader lives on, but its connections to and from its peers are reset and new ones refused. */
function refusePeers (targets: FaultTargets, durationMs: number) {
  const leader = leaderOf(targets)
  if (leader === undefined) return
  targets.refusedPeers.add(leader)
  setTimeout(() => targets.refusedPeers.delete(leader), durationMs)
}

function isolateLeader (targets: FaultTargets, random: Random) {
  const { daemons, storeLinks } = targets
  const leader = leaderOf(targets)
  const storeLink = leader === undefined ? undefined : storeLinks[daemons.indexOf(leader)]
  if (storeLink === undefined) return
  cutFromWorkers(daemons.filter(daemon => daemon !== leader), targets, random)
  storeLink.fault = random.pick(['hold', 'drop-all', 'drop-responses'] as const)
  setTimeout(() => { storeLink.fault = 'none' }, random.between(2_000, 5_000))
  refusePeers(targets, random.between(1_000, 3_000))
}

function cutFromWorkers (daemons: readonly DaemonProcess[], { workerLinks }: FaultTargets, random: Random) {
  const links = workerLinks.filter(() => random.chance(0.3))
  const fault = random.pick(['hold', 'drop-all', 'drop-responses'] as const)
  const sources = daemons.map(({ settings }) => sourceOf(settings.name))
  for (const link of links) for (const source of sources) link.sourceFaults.set(source, fault)
  setTimeout(() => { for (const link of links) for (const source of sources) link.sourceFaults.delete(source) }, random.between(6_000, 13_000))
}

/** Cuts off up to a third of the workers, which run on. */
function cutWorkers ({ workers, workerLinks }: FaultTargets, random: Random) {
  for (let index = 0; index < Math.ceil(workers.length / 3); index++) {
    const link = workerLinks[random.between(0, workers.length - 1)]
    if (link === undefined) continue
    link.fault = random.pick(['hold', 'drop-all', 'drop-responses'] as const)
    setTimeout(() => { link.fault = 'none' }, random.between(6_000, 13_000))
  }
}

/** A third of the workers leave orders unanswered and carry them out 2 to 12 s later. */
function delayOrders ({ workers }: FaultTargets, random: Random, isGrant: boolean) {
  const durationMs = random.between(3_000, 8_000)
  for (let index = 0; index < Math.ceil(workers.length / 3); index++) {
    const worker = random.pick(workers)
    worker.fault = () => random.chance(0.3) ? { kind: 'applied-late', afterMs: random.between(2_000, 12_000), isQueued: true, isGrant } : undefined
    setTimeout(() => { worker.fault = () => undefined }, durationMs)
  }
}

/** What a worker was sent last before it was cut off is carried out while nobody reaches it. */
function delayOrdersThenCut ({ workers, workerLinks }: FaultTargets, random: Random, isGrant: boolean) {
  const index = random.between(0, workers.length - 1)
  const [worker, link] = [workers[index], workerLinks[index]]
  if (worker === undefined || link === undefined) return
  worker.fault = () => ({ kind: 'applied-late', afterMs: random.between(2_000, 8_000), isQueued: true, isGrant })
  setTimeout(() => {
    link.fault = 'drop-all'
    worker.fault = () => undefined
    setTimeout(() => { link.fault = 'none' }, random.between(8_000, 13_000))
  }, random.between(100, 900))
}
