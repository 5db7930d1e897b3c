#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import { basename } from 'node:path'
import { cac } from 'cac'
import { QueueClient } from './client.js'
import type { QueueOptions } from './client.js'
import { cancel } from './commands/cancel.js'
import { submit } from './commands/submit.js'
import { EXIT } from './output.js'
import type { Outcome } from './output.js'
import { checkFolder, diffFolders, explainPath } from './queries/config.js'
import { pending, show, wait } from './queries/show.js'
import { timeline } from './queries/timeline.js'

const VARIABLES = { address: 'CITRONNOTCH_ADDRESS', host: 'CITRONNOTCH_HOST', path: 'CITRONNOTCH_PATH' } as const

const cli = cac('citronnotch')
cli.option('--address <ip:port>', `Listener for callers of a daemon (${VARIABLES.address})`)
cli.option('--host <name>', `Host name of the queue (${VARIABLES.host})`)
cli.option('--path <path>', `Path of the queue, such as /renewals/ (${VARIABLES.path})`)
cli.command('submit <file>', 'Submit the job in a JSON file and print its id')
  .option('--id <id>', 'Id of 16 hexadecimal digits (default: a random one)')
  .action((file: string, flags: Flags) => finish(submit(clientOf(flags), file, flags.id)))
cli.command('cancel <id>', 'Cancel a job').action((id: string, flags: Flags) => finish(cancel(clientOf(flags), id)))
cli.command('show <id>', 'Print the state of a job').action((id: string, flags: Flags) => finish(show(clientOf(flags), id)))
cli.command('wait <id>', 'Wait for the end of a job').action((id: string, flags: Flags) => finish(wait(clientOf(flags), id)))
cli.command('pending', 'Print the number of jobs of which no task has started').action((flags: Flags) => finish(pending(clientOf(flags))))
cli.command('timeline [...logs]', 'Merge the logs of several daemons into one time line')
  .option('--job <id>', 'Only what names this job')
  .action((files: readonly string[], flags: { readonly job?: string }) => {
    const logs = new Map(files.map(file => [basename(file), readFileSync(file, 'utf8')]))
    for (const line of timeline(logs, flags.job)) console.log(line)
  })
cli.command('config-check <folder>', 'Check a configuration folder').action((folder: string) => finish(Promise.resolve(checkFolder(folder))))
cli.command('config-explain <folder> <path>', 'Tell which files set a value, such as teams.press.share').action((folder: string, path: string) => finish(Promise.resolve(explainPath(folder, path))))
cli.command('config-diff <before> <after>', 'List the values that differ between two folders').action((before: string, after: string) => finish(Promise.resolve(diffFolders(before, after))))
cli.help()

type Flags = Partial<QueueOptions> & { readonly id?: string }

try {
  cli.parse()
  if (cli.matchedCommand === undefined && cli.options.help !== true) {
    cli.outputHelp()
    process.exitCode = EXIT.usage
  }
} catch (err) {
  fail(err)
}

function clientOf (flags: Flags): QueueClient {
  const value = (name: keyof QueueOptions) => {
    const text = flags[name] ?? process.env[VARIABLES[name]]
    if (text === undefined) throw new Error(`--${name} or ${VARIABLES[name]} is needed`)
    return text
  }
  return QueueClient.create({ address: value('address'), host: value('host'), path: value('path') })
}

async function finish (outcome: Promise<Outcome>) {
  try {
    const { code, text } = await outcome
    if (code === EXIT.served) console.log(text)
    else console.error(text)
    process.exitCode = code
  } catch (err) {
    console.error(`No answer; the request may have run: ${err instanceof Error ? err.message : String(err)}`)
    process.exitCode = EXIT.unknown
  }
}

function fail (err: unknown) {
  console.error(`citronnotch: ${err instanceof Error ? err.message : String(err)}`)
  process.exitCode = EXIT.usage
}
