/** Case 7: the leader is cut off from the other daemons only, and another one takes over while it goes on. */
import { Recorder, jobId, send, until } from '../lib-2/cell.mjs'
import { sleep } from '../lib-2/platform.mjs'
import { HOST, PREFIX, RegionCell } from '../lib-2/region-cell.mjs'
import { tasksRunTwice } from '../lib-2/runs.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ROUNDS = Number(process.env.ROUNDS ?? 8)
const TASK_MS = 10
const JOB_INTERVAL_MS = 15
const CUT_AFTER_MS = 700
const TRAFFIC_MS = 1_700
const SETTLE_MS = 1_500
const AFTER_MS = 3_000

const recorder = new Recorder(new URL('record.txt', import.meta.url).pathname)
const record = event => recorder.add(event)

const violations = []
for (let round = 1; round <= ROUNDS && violations.length === 0; round++) {
  record({ what: 'round', round, trouble: HAS_TROUBLE })
  const first = recorder.events.length
  const cell = new RegionCell(record)
  try {
    const isStarted = await cell.start({ workersOf: { 'suva-a': 4, 'labasa-a': 2, 'lakeba-a': 2 }, durationOf: () => TASK_MS })
    if (!isStarted) {
      record({ what: 'not started' })
      process.exitCode = 2
      break
    }
    await sleep(SETTLE_MS)
    await play(cell)
  } catch (err) {
    console.error(err)
    process.exitCode = 2
    break
  } finally {
    await cell.close()
  }
  violations.push(...tasksRunTwice(recorder.events.slice(first)))
}
for (const violation of violations) record({ what: 'TWICE', ...violation })
const shown = violations.length
record({ what: 'result', rule: 'TWICE', broken: shown > 0, violations: shown })
console.log(shown > 0 ? `TWICE is broken: ${JSON.stringify(violations[0])}` : 'TWICE held')
process.exit(process.exitCode === 2 ? 2 : Number(shown > 0))

async function play (cell) {
  const jobs = []
  const trafficEnd = performance.now() + TRAFFIC_MS
  const pending = []
  const cutting = HAS_TROUBLE ? sleep(CUT_AFTER_MS).then(() => cutOff(cell)) : Promise.resolve()
  let index = 0
  while (performance.now() < trafficEnd) {
    const id = jobId()
    jobs.push(id)
    pending.push(submit(cell.daemons[0], id))
    // Clients of the other daemons ask for the state of jobs.
    if (index++ % 4 === 0) for (const daemon of cell.daemons.slice(1)) pending.push(ask(daemon, jobs[Math.floor(jobs.length / 2)]))
    await sleep(JOB_INTERVAL_MS)
  }
  await Promise.all([...pending, cutting])
  await sleep(AFTER_MS)
  await until(async () => (await ask(cell.daemons[1], jobs[0])).status === 200, 2_000)
}

async function cutOff (cell) {
  record({ what: 'cut', daemon: 'd1', from: 'd2, d3' })
  await cell.cut()
}

async function submit (daemon, id) {
  record({ what: 'POST', daemon: daemon.name, job: id })
  const { status } = await send(daemon.caller, HOST, 'POST', `${PREFIX}${id}`, { spec: 'confirm', steps: [{ count: 1, cpu: 500, mem_mb: 100, estimated_ms: TASK_MS }] })
  record({ what: 'answer', daemon: daemon.name, job: id, status })
}

async function ask (daemon, id) {
  const res = await send(daemon.caller, HOST, 'GET', `${PREFIX}${id}`)
  record({ what: 'state', daemon: daemon.name, job: id, status: res.status, state: res.body?.state })
  return res
}
