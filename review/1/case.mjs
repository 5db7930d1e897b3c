import { fileURLToPath } from 'node:url'
import { isTrouble, manifest, route, runCase, sleep } from '../lib/cell.mjs'

// While small jobs keep coming, two of 15 workers lose power and come back two to three seconds later under the ids that they had.

const RACKS = 5
const WORKERS_PER_RACK = 3
const PREFIX = '/renewals/'
const CRASHED_AT_ONCE = 2
/** Times without power: at least `reuse_after_s`, 2 s, at most 4.5 s. */
const DOWN_MS = [2_100, 2_400, 2_700]
const CRASH_EVERY_MS = 6_000
const TRAFFIC_MS = 84_000
const SUBMIT_EVERY_MS = 125
const RUN_MS = 2_000

await runCase(fileURLToPath(new URL('.', import.meta.url)), async cell => {
  /** Runs at work, by task. */
  const open = new Map()
  const doneOn = new Map()
  const breaches = []
  cell.onEvent = ({ event, ms, worker, born, task, run, how }) => {
    if (event === 'run-starts') {
      const others = open.get(task) ?? []
      for (const other of others) breaches.push(`TWICE: run ${run} of ${task} starts on ${worker} at ${ms} ms, while run ${other.run} is at work on ${other.worker} (its life since ${other.born}) since ${other.ms} ms`)
      open.set(task, [...others, { worker, born, run, ms }])
    } else if (event === 'run-ends' || event === 'run-gone') {
      open.set(task, (open.get(task) ?? []).filter(other => other.worker !== worker || other.run !== run))
      if (how === 'done') doneOn.set(task, [...(doneOn.get(task) ?? []), `${worker}#${run}`])
    }
  }
  await cell.start({
    daemons: 3,
    workers: Array.from({ length: RACKS * WORKERS_PER_RACK }, (_, index) => ({ capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 }, labels: ['a', `r1-${index % RACKS}`] })),
    config: manifest(1, [route('renewals', PREFIX)]),
    behaviour: () => ({ ms: RUN_MS, end: 'done' })
  })
  let submitted = 0
  const submit = setInterval(() => {
    const step = { count: 1, cpu: 200, mem_mb: 100, estimated_ms: 1_800, required_label: `r1-${submitted++ % RACKS}` }
    cell.submit(PREFIX, cell.newId(), { spec: 'renewal', steps: [step] })
  }, SUBMIT_EVERY_MS)
  const endsAt = performance.now() + TRAFFIC_MS
  await sleep(5_000)
  for (let round = 0; performance.now() < endsAt; round++) {
    const downMs = DOWN_MS[round % DOWN_MS.length]
    const busiestInRack = rack => cell.workers.filter(({ labels }) => labels[1] === `r1-${rack % RACKS}`).sort((a, b) => b.running.size - a.running.size)[0]
    const victims = Array.from({ length: CRASHED_AT_ONCE }, (_, index) => busiestInRack(round * CRASHED_AT_ONCE + index))
    if (isTrouble) for (const victim of victims) victim.crash()
    await sleep(downMs)
    if (isTrouble) for (const victim of victims) await victim.boot()
    await sleep(CRASH_EVERY_MS - downMs)
  }
  clearInterval(submit)
  await sleep(6_000)
  const doneTwice = [...doneOn].filter(([, ends]) => ends.length > 1)
  for (const [task, ends] of doneTwice) cell.record('done-twice', { task, ends })
  console.log(`${submitted} jobs, ${doneTwice.length} tasks ended done twice`)
  return breaches
})
