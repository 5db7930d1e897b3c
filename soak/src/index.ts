import { cac } from 'cac'
import { soak } from './run.js'

/** Seeds that failed once, each with its cause; played with `--regressions`. */
const REGRESSION_SEEDS: readonly number[] = [
  // SIGHUP before the program has installed its handler ends the process; still red, see KNOWN-RED.txt.
  134, 152, 410,
  // A stored cancellation was shown as final before the leader had decided on it.
  107, 108,
  // The soak held an acceptance against a look that had been sent before it.
  117, 138,
  // The stand-in let members of a gang end before all were present.
  100, 121, 140, 142
]

const DEFAULTS = { seeds: 1, seconds: 20, daemons: 3, workers: 6, port: 20_000 }

const cli = cac('soak')
cli.command('', 'Plays random faults against real daemons and checks what callers and workers see')
  .option('--seed <seed>', 'First seed (default: from the time of day)')
  .option('--seeds <count>', 'Number of seeds', { default: DEFAULTS.seeds })
  .option('--seconds <seconds>', 'Time with faults for each seed', { default: DEFAULTS.seconds })
  .option('--daemons <count>', 'Daemons', { default: DEFAULTS.daemons })
  .option('--workers <count>', 'Workers', { default: DEFAULTS.workers })
  .option('--port <port>', 'First port of the daemons, on 127.0.0.1', { default: DEFAULTS.port })
  .option('--regressions', 'Play the seeds that failed once')
  .action(async (options: { seed?: number, seeds: number, seconds: number, daemons: number, workers: number, port: number, regressions?: boolean }) => {
    const first = options.seed ?? Date.now() % 1_000_000
    const seeds = options.regressions === true ? REGRESSION_SEEDS : Array.from({ length: options.seeds }, (_, index) => first + index)
    let failed = 0
    for (const seed of seeds) {
      const { jobs, accepted, faults, violations, logs } = await soak({ seed, faultsMs: options.seconds * 1_000, daemons: options.daemons, workers: options.workers, firstPort: options.port })
      console.log(`seed ${seed}: ${jobs} jobs, ${accepted} accepted, ${faults.length} faults, ${violations.length} violations`)
      if (violations.length === 0) continue
      failed++
      console.log(`  faults: ${faults.join(' ')}\n  logs: ${logs}`)
      for (const violation of violations.slice(0, 20)) console.log(`  ${violation}`)
    }
    console.log(`${seeds.length - failed} passed, ${failed} failed`)
    process.exit(failed === 0 ? 0 : 1)
  })
cli.help()
cli.parse()
