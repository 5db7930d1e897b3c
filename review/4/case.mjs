import { fileURLToPath } from 'node:url'
import { BOUNDS, isTrouble, manifest, route, runCase, sleep } from '../lib/cell.mjs'
import { Jobs } from '../lib/jobs.mjs'

// A job that only two of 14 workers may run: one of them is full of a lasting job, the other fails what it starts for 6 s and is sound again.

const WORKERS = 14
const PREFIX = '/typesetting/'
const GREY_MS = 6_000
const TRAFFIC_MS = 30_000
const SUBMIT_EVERY_MS = 500
const CAPACITY = { cpu: 16_000, mem_mb: 65_536, gpu: 0 }

await runCase(fileURLToPath(new URL('.', import.meta.url)), async cell => {
  const jobs = new Jobs(cell)
  cell.onEvent = event => jobs.observe(event)
  let grey
  await cell.start({
    daemons: 3,
    workers: Array.from({ length: WORKERS }, (_, index) => ({ capacity: CAPACITY, labels: [index < 2 ? 'b' : 'a', `r1-${index % 2}`] })),
    config: manifest(1, [route('typesetting', PREFIX)]),
    behaviour: (_task, spec, worker) => worker === grey ? { ms: 300, end: 'failed' } : { ms: spec === 'watcher' ? Infinity : 600, end: 'done' }
  })
  const endsAt = performance.now() + TRAFFIC_MS
  await jobs.submit(PREFIX, { spec: 'watcher', steps: [{ count: 1, cpu: CAPACITY.cpu, mem_mb: 1_000, required_label: 'b', long_running: true }] })
  const submissions = []
  const submit = setInterval(() => submissions.push(jobs.submit(PREFIX, { spec: 'page', steps: [{ count: 1, cpu: 500, mem_mb: 200, estimated_ms: 600, required_label: 'a' }] })), SUBMIT_EVERY_MS)
  await sleep(3_000)
  const free = cell.workers.find(({ labels, running }) => labels[0] === 'b' && running.size === 0)
  if (isTrouble) grey = free
  cell.record('worker-fails-its-starts', { worker: grey?.id })
  await sleep(500)
  const id = await jobs.submit(PREFIX, { spec: 'pamphlet', steps: [{ count: 1, cpu: 2_000, mem_mb: 1_000, estimated_ms: 600, required_label: 'b' }] })
  await sleep(GREY_MS - 500)
  grey = undefined
  cell.record('worker-is-sound', { worker: free.id })
  await sleep(endsAt - performance.now())
  clearInterval(submit)
  await Promise.all(submissions)
  await sleep(BOUNDS.finish_s * 1_000)
  const idle = await jobs.findIdle()
  console.log(`the job is shown as ${await cell.stateOf(PREFIX, id)}; its task was started ${jobs.starts.get(`${id}.0.0.0`) ?? 0} times and failed ${jobs.failures.get(`${id}.0.0.0`) ?? 0} times; ${free.id} runs ${free.running.size} tasks`)
  return idle.map(({ id, task, starts, usedShare }) => `LOST: job ${id} has nothing running for 3 s, ${BOUNDS.finish_s} s after the end of the traffic; ${task}, whose turn has come, was started ${starts} times; ${usedShare} of the capacity is in use`)
})
