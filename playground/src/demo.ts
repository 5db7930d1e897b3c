import { setTimeout as sleep } from 'node:timers/promises'
import { timeline } from '@citronnotch/cli'
import { cac } from 'cac'
import { HOST, PATH, Playground } from './cell.js'

const DEFAULT_PORT = 21_000
const STORE_AWAY_MS = 3_000
const LIMIT_MS = 40_000
const POLL_MS = 200

const cli = cac('demo')
cli.command('', 'Starts a cell on loopback, submits every kind of work, and disturbs it')
  .option('--port <port>', 'First port of the daemons, on 127.0.0.1', { default: DEFAULT_PORT })
  .option('--keep', 'Leave the cell running at the end')
  .action((flags: { readonly port: number, readonly keep?: boolean }) => run(flags.port, flags.keep === true))
cli.help()
cli.parse()

async function run (firstPort: number, isKept: boolean) {
  say('Starting three daemons and six workers.')
  const cell = await Playground.create({ daemons: 3, workers: 6, firstPort })
  try {
    await until('the daemons answer', async () => await cell.statusOf(0, 'GET', '') === 200)
    const jobs = new Map<string, string>()
    const task = { cpu: 500, mem_mb: 200, estimated_ms: 800 }
    jobs.set('batch of eight tasks', await cell.submit([{ ...task, count: 8 }]))
    jobs.set('two steps, one after the other', await cell.submit([{ ...task, count: 3 }, { ...task, count: 2, after: [0] }]))
    jobs.set('gang of four tasks', await cell.submit([{ ...task, count: 4, gang: true }]))
    jobs.set('spread over workers', await cell.submit([{ ...task, count: 4, anti_affinity: 1 }]))
    jobs.set('three occurrences', await cell.submit([{ ...task, count: 1 }], { repetitions: 3, first_run_ms: Date.now() + 1_000, interval_ms: 1_000 }))
    const service = await cell.submit([{ ...task, count: 2, long_running: true }])
    for (const [kind, id] of jobs) say(`Accepted: ${kind}, ${id}.`)
    say(`Accepted: service that runs until it is cancelled, ${service}.`)

    say('Killing the first daemon.')
    cell.daemons[0]?.signal('SIGKILL')
    jobs.set('submitted during the takeover', await cell.submit([{ ...task, count: 2 }]))
    say(`Taking the store away for ${STORE_AWAY_MS / 1_000} s.`)
    cell.store.isDown = true
    await sleep(STORE_AWAY_MS)
    cell.store.isDown = false
    jobs.set('submitted after the outage', await cell.submit([{ ...task, count: 2 }]))

    for (const [kind, id] of jobs) {
      await until(`completed: ${kind}`, async () => await cell.stateOf(id) === 'completed')
      say(`Completed: ${kind}.`)
    }
    await until('the service is cancelled', async () => await cell.statusOf(1, 'DELETE', service) === 200)
    await until('the service is shown as cancelled', async () => await cell.stateOf(service) === 'cancelled')
    say('Cancelled: the service.')

    say('Time line of the gang, from the logs of all daemons:')
    for (const line of timeline(cell.logs(), jobs.get('gang of four tasks'))) console.log(`  ${line}`)
    const violations = [...cell.audit.violations, ...cell.daemons.flatMap(daemon => daemon.unexpectedEnds())]
    for (const violation of violations) say(`Broken promise: ${violation}`)
    say(violations.length === 0 ? 'Nothing ran twice, out of turn or beyond a capacity.' : `Logs: ${cell.logFolder}`)
    process.exitCode = violations.length === 0 ? 0 : 1
  } catch (err) {
    say(`${err instanceof Error ? err.message : String(err)} Logs: ${cell.logFolder}`)
    process.exitCode = 1
  }
  if (isKept) say(`Left running. Try: node packages/cli/dist/main.js --address 127.0.0.1:${firstPort} --host ${HOST} --path ${PATH} pending. Ctrl+C ends it.`)
  else cell.close()
}

async function until (what: string, condition: () => Promise<boolean>) {
  const end = Date.now() + LIMIT_MS
  while (!(await condition())) {
    if (Date.now() > end) throw new Error(`Not within ${LIMIT_MS / 1_000} s: ${what}.`)
    await sleep(POLL_MS)
  }
}

function say (text: string) {
  console.log(text)
}
