/** Case 6: a daemon that leads again gets the late notice of a job that has ended meanwhile, and runs the job again. */
import { Recorder, jobId, send, until } from '../lib-2/cell.mjs'
import { sleep } from '../lib-2/platform.mjs'
import { HOST, PREFIX, RegionCell } from '../lib-2/region-cell.mjs'
import { tasksRunTwice } from '../lib-2/runs.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ROUNDS = Number(process.env.ROUNDS ?? 4)
const TASK_MS = 20
const JOB_INTERVAL_MS = 6
/** A cut of the leader, and the pause until its successor is cut off in its turn. */
const CUT_MS = 5_500
const NEXT_CUT_MS = 6_000
const SETTLE_MS = 1_000
/** Traffic before the first cut. */
const BEFORE_MS = 1_500
const TRAFFIC_MS = 8_000
const AFTER_MS = 17_000

const recorder = new Recorder(new URL('record.txt', import.meta.url).pathname)
const record = event => recorder.add(event)
const violations = []
let exitCode = 0
for (let round = 1; round <= ROUNDS && violations.length === 0 && exitCode === 0; round++) {
  record({ what: 'round', round, trouble: HAS_TROUBLE })
  const first = recorder.events.length
  const cell = new RegionCell(record)
  try {
    if (await cell.start({ workersOf: { 'suva-a': 4, 'labasa-a': 2, 'lakeba-a': 2 }, durationOf: () => TASK_MS, cores: [1, 1, 0.6] })) await play(cell)
    else exitCode = 2
  } catch (err) {
    console.error(err)
    exitCode = 2
  } finally {
    await cell.close()
  }
  violations.push(...tasksRunTwice(recorder.events.slice(first)))
}
for (const violation of violations) record({ what: 'TWICE', ...violation })
record({ what: 'result', rule: 'TWICE', broken: violations.length > 0, violations: violations.length })
console.log(violations.length > 0 ? `TWICE is broken ${violations.length} times: ${JSON.stringify(violations[0])}` : 'TWICE held')
process.exit(violations.length > 0 ? 1 : exitCode)

async function play (cell) {
  await sleep(SETTLE_MS)
  const startedAt = performance.now()
  if (HAS_TROUBLE) for (const afterMs of [BEFORE_MS, BEFORE_MS + NEXT_CUT_MS]) setTimeout(() => cutLeader(cell), afterMs)
  const pending = []
  const daemon = cell.daemons[1]
  while (performance.now() < startedAt + TRAFFIC_MS) {
    pending.push(submit(daemon, jobId()))
    await sleep(JOB_INTERVAL_MS)
  }
  await Promise.all(pending)
  const leaders = []
  await until(() => {
    const name = cell.leader()?.name
    if (leaders.at(-1) !== name) {
      leaders.push(name)
      record({ what: 'leader', daemon: name })
    }
    return false
  }, startedAt + AFTER_MS - performance.now())
}

function cutLeader (cell) {
  const leader = cell.leader()
  record({ what: 'cut', daemon: leader.name, forMs: CUT_MS })
  cell.cutSilently(leader, CUT_MS)
}

async function submit (daemon, id) {
  record({ what: 'POST', daemon: daemon.name, job: id })
  const { status } = await send(daemon.caller, HOST, 'POST', `${PREFIX}${id}`, { spec: 'confirm', steps: [{ count: 1, cpu: 500, mem_mb: 100, estimated_ms: TASK_MS }] })
  record({ what: 'answer', daemon: daemon.name, job: id, status })
}
