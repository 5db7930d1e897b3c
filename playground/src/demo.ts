import { setTimeout as sleep } from 'node:timers/promises'
import { timeline } from '@citronnotch/cli'
import { cac } from 'cac'
import { HOST, PATH, LocalCell } from './localCell.js'

const DEFAULT_PORT = 21_000
const STORE_OUTAGE_MS = 3_000
const WAIT_TIMEOUT_MS = 40_000
const POLL_INTERVAL_MS = 200

const cli = cac('demo')
cli.command('', 'Starts a cell on loopback, submits jobs of every kind and injects failures')
  .option('--port <port>', 'First port of the daemons, on 127.0.0.1', { default: DEFAULT_PORT })
  .option('--keep', 'Leave the cell running at the end')
  .action((flags: { readonly port: number, readonly keep?: boolean }) => runDemo(flags.port, flags.keep === true))
cli.help()
cli.parse()

async function runDemo (firstPort: number, keepRunning: boolean) {
  print('Starting three daemons and six workers.')
  const cell = await LocalCell.create({ daemons: 3, workers: 6, firstPort })
  try {
    await waitFor('the first daemon to answer', async () => await cell.statusOf(0, 'GET', '') === 200)
    const jobs = new Map<string, string>()
    const task = { cpu: 500, mem_mb: 200, estimated_ms: 800 }
    jobs.set('batch of eight tasks', await cell.submit([{ ...task, count: 8 }]))
    jobs.set('two steps, one after the other', await cell.submit([{ ...task, count: 3 }, { ...task, count: 2, after: [0] }]))
    jobs.set('gang of four tasks', await cell.submit([{ ...task, count: 4, gang: true }]))
    jobs.set('spread over workers', await cell.submit([{ ...task, count: 4, anti_affinity: 1 }]))
    jobs.set('three occurrences', await cell.submit([{ ...task, count: 1 }], { repetitions: 3, first_run_ms: Date.now() + 1_000, interval_ms: 1_000 }))
    const service = await cell.submit([{ ...task, count: 2, long_running: true }])
    for (const [kind, id] of jobs) print(`Accepted: ${kind}, ${id}.`)
    print(`Accepted: service that runs until it is cancelled, ${service}.`)

    print('Killing the first daemon.')
    cell.daemons[0]?.signal('SIGKILL')
    jobs.set('submitted during the takeover', await cell.submit([{ ...task, count: 2 }]))
    print(`Making the store unavailable for ${STORE_OUTAGE_MS / 1_000} s.`)
    cell.store.isUnavailable = true
    await sleep(STORE_OUTAGE_MS)
    cell.store.isUnavailable = false
    jobs.set('submitted after the outage', await cell.submit([{ ...task, count: 2 }]))

    for (const [kind, id] of jobs) {
      await waitFor(`${kind} to complete`, async () => await cell.stateOf(id) === 'completed')
      print(`Completed: ${kind}.`)
    }
    await waitFor('the cancellation of the service to be accepted', async () => await cell.statusOf(1, 'DELETE', service) === 200)
    await waitFor('the service to be reported as cancelled', async () => await cell.stateOf(service) === 'cancelled')
    print('Cancelled: the service.')

    print('Timeline of the gang, from the logs of all daemons:')
    for (const line of timeline(cell.readLogs(), jobs.get('gang of four tasks'))) console.log(`  ${line}`)
    const violations = [...cell.audit.violations, ...cell.daemons.flatMap(daemon => daemon.unexpectedExits())]
    for (const violation of violations) print(`Violation: ${violation}`)
    print(violations.length === 0 ? 'No task ran twice, before the steps it depends on, or beyond the capacity of its worker.' : `Logs: ${cell.logFolder}`)
    process.exitCode = violations.length === 0 ? 0 : 1
  } catch (err) {
    print(`${err instanceof Error ? err.message : String(err)} Logs: ${cell.logFolder}`)
    process.exitCode = 1
  }
  if (keepRunning) print(`The cell is left running. Try: node packages/cli/dist/main.js --address 127.0.0.1:${firstPort} --host ${HOST} --path ${PATH} pending. Press Ctrl+C to stop it.`)
  else cell.close()
}

async function waitFor (description: string, condition: () => Promise<boolean>) {
  const deadlineMs = Date.now() + WAIT_TIMEOUT_MS
  while (!(await condition())) {
    if (Date.now() > deadlineMs) throw new Error(`Timed out after ${WAIT_TIMEOUT_MS / 1_000} s waiting for ${description}.`)
    await sleep(POLL_INTERVAL_MS)
  }
}

function print (text: string) {
  console.log(text)
}
