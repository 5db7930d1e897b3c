/** Case 9: more large jobs are accepted than a daemon can hold in memory, and each daemon that leads ends. */
import { Recorder, jobId, send } from '../lib-2/cell.mjs'
import { sleep } from '../lib-2/platform.mjs'
import { HOST, PREFIX, RegionCell } from '../lib-2/region-cell.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const LARGE_JOBS = HAS_TROUBLE ? 40 : 4
const TASKS = 10_000
const LARGE_INTERVAL_MS = 250
const TASK_MS = 2_000
const WATCH_MS = 30_000
const RESTART_MS = 300
/** RULES, LOST: no job may wait for so long while less than half of the capacity is in use. */
const MAX_IDLE_MS = 3_000
/** Time that the cell gets after the last large job. */
const SETTLE_MS = 10_000

const recorder = new Recorder(new URL('record.txt', import.meta.url).pathname)
const record = event => recorder.add(event)
const cell = new RegionCell(observeRun)
const exits = {}
/** Number of runs on all workers now, and the time since which there is none. */
let running = 0
let idleSince = performance.now()
let longestIdleMs = 0
const runs = { started: 0, ended: 0 }
let isClosing = false
let exitCode = 2
try {
  if (await cell.start({ workersOf: { 'suva-a': 4, 'labasa-a': 2, 'lakeba-a': 2 }, durationOf: () => TASK_MS })) exitCode = await play()
  else record({ what: 'not started' })
} catch (err) {
  console.error(err)
} finally {
  isClosing = true
  await cell.close()
}
process.exit(exitCode)

async function play () {
  cell.daemons.forEach(keepRunning)
  setInterval(() => record({ what: 'runs', ...runs, running }), 1_000)
  const small = []
  for (let index = 0; index < LARGE_JOBS; index++) {
    const id = jobId()
    record({ what: 'POST', job: id, tasks: TASKS })
    const { status } = await send(cell.daemons[index % cell.daemons.length].caller, HOST, 'POST', `${PREFIX}${id}`, { spec: 'print', steps: [{ count: TASKS, cpu: 500, mem_mb: 500, estimated_ms: TASK_MS }] })
    record({ what: 'answer', job: id, status })
    await sleep(LARGE_INTERVAL_MS)
  }
  await sleep(SETTLE_MS)
  longestIdleMs = 0
  idleSince = performance.now()
  const end = performance.now() + WATCH_MS
  while (performance.now() < end) {
    const id = jobId()
    const daemon = cell.daemons[small.length % cell.daemons.length]
    const { status } = await send(daemon.caller, HOST, 'POST', `${PREFIX}${id}`, { spec: 'confirm', steps: [{ count: 1, cpu: 500, mem_mb: 100, estimated_ms: 100 }] })
    record({ what: 'small job', daemon: daemon.name, job: id, status, running })
    small.push({ id, status })
    await sleep(2_000)
  }
  if (running === 0) longestIdleMs = Math.max(longestIdleMs, performance.now() - idleSince)
  const states = []
  for (const { id } of small.filter(({ status }) => status === 200)) states.push((await send(cell.daemons[1].caller, HOST, 'GET', `${PREFIX}${id}`)).body?.state)
  const isBroken = longestIdleMs > MAX_IDLE_MS && states.some(state => state !== 'completed')
  record({ what: 'result', rule: 'LOST', broken: isBroken, idleMs: Math.round(longestIdleMs), exits, smallJobs: small, states })
  console.log(`LOST ${isBroken ? 'is broken' : 'held'}: nothing ran for ${Math.round(longestIdleMs)} ms on end; processes that ended by themselves: ${JSON.stringify(exits)}`)
  return isBroken ? 1 : 0
}

/** Counts the runs, which are recorded each second: there are too many to record each. */
function observeRun ({ what }) {
  if (what in runs) runs[what]++
  if (what === 'started' && running++ === 0) longestIdleMs = Math.max(longestIdleMs, performance.now() - idleSince)
  if (what === 'ended' && --running === 0) idleSince = performance.now()
}

/** Starts a daemon again after a short delay, as the platform does, and counts the ends that nobody asked for. */
function keepRunning (daemon) {
  daemon.child.once('exit', (code, signal) => {
    if (isClosing) return
    exits[daemon.name] = (exits[daemon.name] ?? 0) + 1
    record({ what: 'process ended by itself', daemon: daemon.name, code, signal })
    setTimeout(() => {
      if (isClosing) return
      daemon.start()
      keepRunning(daemon)
    }, RESTART_MS)
  })
}
