#!/usr/bin/env node
import { SystemClock } from './clock.js'
import { Daemon } from './daemon.js'
import { LogFactory } from './logger.js'
import { StatsdMetrics, noMetrics } from './metrics.js'
import { isHelpRequested, resolveDaemonSettings, settingsHelp } from './settings.js'
import type { ResolvedDaemonSettings } from './settings.js'
import { parseAddress } from './utils.js'

const EXIT_USAGE = 2
const EXIT_FAILED = 1

await main(process.argv.slice(2))

async function main (argv: readonly string[]) {
  if (isHelpRequested(argv)) {
    console.log(settingsHelp())
    return
  }
  const settings = resolveDaemonSettings(argv, process.env)
  if (settings.ok) return run(settings.val)
  for (const { setting, reason } of settings.val) console.error(`citronnotchd: ${setting} ${reason}`)
  process.exitCode = EXIT_USAGE
}

async function run (settings: ResolvedDaemonSettings) {
  const logs = LogFactory.create({ levels: settings.logLevel, format: settings.logFormat })
  const daemon = Daemon.create({ settings, logs, clock: SystemClock.create(), metrics: createMetrics(settings) })
  try {
    await daemon.start()
  } catch (err) {
    logs.for('daemon').error('The daemon could not start.', { err })
    process.exit(EXIT_FAILED)
  }
  let isStopping = false
  for (const name of ['SIGTERM', 'SIGINT'] as const) {
    process.on(name, () => {
      if (isStopping) return
      isStopping = true
      daemon.stop()
        .then(() => process.exit(0))
        .catch((err: unknown) => {
          logs.for('daemon').error('The daemon did not stop cleanly.', { err })
          process.exit(EXIT_FAILED)
        })
    })
  }
}

function createMetrics (settings: ResolvedDaemonSettings) {
  if (settings.statsdAddress === undefined) return noMetrics
  return StatsdMetrics.create({ ...parseAddress(settings.statsdAddress), daemonId: settings.daemonId })
}
