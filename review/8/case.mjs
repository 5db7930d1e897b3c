/** Case 8: a job whose progress doesn't fit into a row of the store is accepted, and keeps other jobs from ending. */
import { Recorder, jobId, send } from '../lib-2/cell.mjs'
import { sleep } from '../lib-2/platform.mjs'
import { HOST, PREFIX, RegionCell } from '../lib-2/region-cell.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const WIDE_STEPS = 7
const WIDE_TASKS = HAS_TROUBLE ? 10_000 : 1_000
const TASK_MS = 40
const TRAFFIC_MS = Number(process.env.TRAFFIC_MS ?? 60_000)
/** The bound `finish_s` of RULES, LOST. */
const FINISH_MS = 14_000

const recorder = new Recorder(new URL('record.txt', import.meta.url).pathname)
const record = event => recorder.add(event)
const cell = new RegionCell(record)
let exitCode = 2
try {
  if (await cell.start({ workersOf: { 'suva-a': 4, 'labasa-a': 2, 'lakeba-a': 2 }, durationOf: () => TASK_MS })) exitCode = await play()
  else record({ what: 'not started' })
} catch (err) {
  console.error(err)
} finally {
  await cell.close()
}
process.exit(exitCode)

async function play () {
  const wide = jobId()
  await submit(wide, Array.from({ length: WIDE_STEPS }, (_, step) => ({ count: WIDE_TASKS, cpu: 500, mem_mb: 500, estimated_ms: TASK_MS, ...(step === 0 ? {} : { after: [step - 1] }) })))
  const accepted = []
  const end = performance.now() + TRAFFIC_MS
  while (performance.now() < end) {
    const id = jobId()
    if (await submit(id, [{ count: 2, cpu: 500, mem_mb: 100, estimated_ms: TASK_MS }]) === 200) accepted.push(id)
    await sleep(1_000)
  }
  await sleep(FINISH_MS)
  const states = await Promise.all(accepted.map(ask))
  const notEnded = accepted.filter((_, index) => states[index] !== 'completed')
  record({ what: 'result', rule: 'LOST', broken: notEnded.length > 0, accepted: accepted.length, notEnded, wide: await ask(wide) })
  console.log(notEnded.length > 0 ? `LOST is broken: ${notEnded.length} of ${accepted.length} small jobs have not ended` : `LOST held: ${accepted.length} small jobs have ended`)
  return notEnded.length > 0 ? 1 : 0
}

async function submit (id, steps) {
  record({ what: 'POST', job: id, steps: steps.length, tasks: steps[0].count })
  const { status } = await send(cell.daemons[0].caller, HOST, 'POST', `${PREFIX}${id}`, { spec: 'print', steps })
  record({ what: 'answer', job: id, status })
  return status
}

async function ask (id) {
  const res = await send(cell.daemons[1].caller, HOST, 'GET', `${PREFIX}${id}`)
  record({ what: 'state', job: id, status: res.status, state: res.body?.state })
  return res.body?.state
}
