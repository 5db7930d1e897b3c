import { cac } from 'cac'
import { SystemClock } from '@citronnotch/daemon'
import { CellStandIn } from './cellStandIn.js'
import type { FailureDomainOptions } from './cellStandIn.js'

const cli = cac('citronnotch-standins')

cli.command('', 'Start a platform and workers on 127.0.0.1 and print their addresses as one JSON line')
  .option('--failure-domains <list>', 'Comma-separated region/failure-domain=workers', { default: 'viti-levu/suva-a=8,vanua-levu/labasa-a=8,lau/lakeba-a=8' })
  .option('--cores <n>', 'Processors of each worker, in cores', { default: 16 })
  .option('--memory-mb <n>', 'Memory of each worker, in MiB', { default: 65_536 })
  .option('--accelerators <n>', 'Accelerators of each worker', { default: 0 })
  .option('--speed <n>', 'Declared seconds of a task that pass in one second', { default: 1 })
  .option('--work-ms <n>', 'Time that a request to a backend server takes, in ms', { default: 5 })
  .option('--vm-lag-ms <n>', 'Age of the VM list, in ms', { default: 2_000 })
  .action(run)
cli.help()

try {
  cli.parse(process.argv, { run: false })
  await cli.runMatchedCommand()
} catch (err) {
  console.error(err instanceof Error ? err.message : String(err))
  process.exitCode = 2
}

interface Flags {
  readonly failureDomains: string
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly speed: number
  readonly workMs: number
  readonly vmLagMs: number
}

async function run (flags: Flags) {
  for (const [name, value] of Object.entries(flags)) {
    if (name !== 'failureDomains' && name !== '--' && !(Number.isFinite(value) && value >= 0)) {
      throw new Error(`${name}: "${value}" is not a number of at least 0`)
    }
  }
  const cell = await CellStandIn.create({
    clock: SystemClock.create(),
    failureDomains: flags.failureDomains.split(',').map(parseFailureDomain),
    capacity: { cores: flags.cores, memoryMb: flags.memoryMb, accelerators: flags.accelerators },
    worker: { speed: flags.speed, backend: { workMs: flags.workMs } },
    platform: { vmLagMs: flags.vmLagMs }
  })
  console.log(JSON.stringify({
    platform: cell.platform.url(),
    control: `${cell.platform.url()}/control`,
    workers: cell.platform.vms.visible().vms
  }))
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { cell.close() })
}

function parseFailureDomain (text: string): FailureDomainOptions {
  const match = /^([^/=]+)\/([^/=]+)=(\d+)$/.exec(text)
  if (match === null) throw new Error(`--failure-domains: "${text}" is not of the form region/failure-domain=workers`)
  return { region: match[1] as string, failureDomain: match[2] as string, workers: Number(match[3]) }
}
