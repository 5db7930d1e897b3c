import { fileURLToPath } from 'node:url'
import { BOUNDS, isTrouble, manifest, route, runCase, sleep } from '../lib/cell.mjs'
import { Jobs } from '../lib/jobs.mjs'

// Another writer's entry stands among the workers: its address is none, as the port is too large.

const WORKERS = 8
const PREFIX = '/renewals/'
const TRAFFIC_MS = 25_000
const SUBMIT_EVERY_MS = 500

await runCase(fileURLToPath(new URL('.', import.meta.url)), async cell => {
  const jobs = new Jobs(cell)
  cell.onEvent = event => jobs.observe(event)
  if (isTrouble) {
    const entry = { service: 'dispatch', address: '127.0.0.9:80800', zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 }, labels: ['a', 'r1-1'], clock_ms: 1, sequence: 1 }
    cell.record('entry-of-another-writer', entry)
    cell.store.put('servers', 'copy-of-i-00000000', entry)
  }
  await cell.start({
    daemons: 3,
    workers: Array.from({ length: WORKERS }, () => ({ capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 }, labels: ['a', 'r1-1'] })),
    config: manifest(1, [route('renewals', PREFIX)]),
    behaviour: () => ({ ms: 600, end: 'done' })
  })
  const submissions = []
  const submit = setInterval(() => submissions.push(jobs.submit(PREFIX, { spec: 'renewal', steps: [{ count: 1, cpu: 500, mem_mb: 200, estimated_ms: 600 }] })), SUBMIT_EVERY_MS)
  await sleep(TRAFFIC_MS)
  clearInterval(submit)
  await Promise.all(submissions)
  await sleep(BOUNDS.finish_s * 1_000)
  const idle = await jobs.findIdle()
  const accepted = [...jobs.jobs.values()].filter(({ isAccepted }) => isAccepted).length
  console.log(`${jobs.jobs.size} jobs, ${accepted} accepted, ${jobs.done.size} tasks done`)
  return idle.map(({ id, task, starts, usedShare }) => `LOST: job ${id} has nothing running for 3 s, ${BOUNDS.finish_s} s after the end of the traffic; ${task}, whose turn has come, was started ${starts} times; ${usedShare} of the capacity is in use`)
})
