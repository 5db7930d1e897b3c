#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import { basename } from 'node:path'
import { cac } from 'cac'
import { QueueClient } from './client.js'
import type { QueueOptions } from './client.js'
import { cancel } from './commands/cancel.js'
import { submit } from './commands/submit.js'
import { EXIT_CODES } from './output.js'
import type { CommandResult } from './output.js'
import { accounts } from './queries/accounts.js'
import { checkFolder, diffFolders, explainPath } from './queries/config.js'
import { explain } from './queries/explain.js'
import type { ExplainQuestion } from './queries/explain.js'
import { pending, show, wait } from './queries/show.js'
import { timeline } from './queries/timeline.js'

const ENVIRONMENT_VARIABLES = { address: 'CITRONNOTCH_ADDRESS', host: 'CITRONNOTCH_HOST', path: 'CITRONNOTCH_PATH', operator: 'CITRONNOTCH_OPERATOR_ADDRESS' } as const

const cli = cac('citronnotch')
cli.option('--address <ip:port>', `Address of a daemon's listener for callers (${ENVIRONMENT_VARIABLES.address})`)
cli.option('--host <name>', `Host name of the queue (${ENVIRONMENT_VARIABLES.host})`)
cli.option('--path <path>', `Path of the queue, such as /renewals/ (${ENVIRONMENT_VARIABLES.path})`)
cli.command('submit <file>', 'Submit the job in a JSON file and print its id')
  .option('--id <id>', 'Job id, 16 hexadecimal digits (default: random)')
  .action((file: string, flags: QueueFlags) => printResult(submit(createClient(flags), file, flags.id)))
cli.command('cancel <id>', 'Cancel a job').action((id: string, flags: QueueFlags) => printResult(cancel(createClient(flags), id)))
cli.command('show <id>', 'Print the state of a job').action((id: string, flags: QueueFlags) => printResult(show(createClient(flags), id)))
cli.command('wait <id>', 'Wait until a job ends and print its final state').action((id: string, flags: QueueFlags) => printResult(wait(createClient(flags), id)))
cli.command('pending', 'Print the number of pending jobs (no task has started)').action((flags: QueueFlags) => printResult(pending(createClient(flags))))
cli.command('accounts', 'List limit, usage, waiting and refused jobs of the client accounts')
  .option('--operator <ip:port>', `Address of a daemon's operator listener (${ENVIRONMENT_VARIABLES.operator})`)
  .option('--json', 'Print them as JSON')
  .action((flags: { readonly operator?: string, readonly json?: boolean }) => printResult(accounts(requiredOption(flags, 'operator'), { asJson: flags.json === true })))
cli.command('explain <job>', 'Show where a job would go now and why, without sending it: the job in a JSON file, or the id of one that waits')
  .option('--operator <ip:port>', `Address of a daemon's operator listener (${ENVIRONMENT_VARIABLES.operator})`)
  .option('--account <name>', 'Client account on whose behalf the job would be submitted; not a key')
  .option('--json', 'Print the explanation as JSON')
  .action((job: string, flags: ExplainFlags) => printResult(explain(requiredOption(flags, 'operator'), explainQuestion(job, flags), { asJson: flags.json === true })))
cli.command('timeline [...logs]', 'Merge the logs of several daemons, ordered by time')
  .option('--job <id>', 'Print only log lines that contain this job id')
  .action((files: readonly string[], flags: { readonly job?: string }) => {
    const logs = new Map(files.map(file => [basename(file), readFileSync(file, 'utf8')]))
    for (const line of timeline(logs, flags.job)) console.log(line)
  })
cli.command('config-check <folder>', 'Check a configuration folder').action((folder: string) => printResult(Promise.resolve(checkFolder(folder))))
cli.command('config-explain <folder> <path>', 'Show a value, such as teams.press.share, and the files that set it').action((folder: string, path: string) => printResult(Promise.resolve(explainPath(folder, path))))
cli.command('config-diff <before> <after>', 'List the values that differ between two configuration folders').action((before: string, after: string) => printResult(Promise.resolve(diffFolders(before, after))))
cli.help()

type ExplainFlags = Partial<QueueOptions> & { readonly operator?: string, readonly account?: string, readonly json?: boolean }
type QueueFlags = Partial<QueueOptions> & { readonly id?: string }

try {
  cli.parse()
  if (cli.matchedCommand === undefined && cli.options.help !== true) {
    cli.outputHelp()
    process.exitCode = EXIT_CODES.usage
  }
} catch (err) {
  reportUsageError(err)
}

function createClient (flags: QueueFlags): QueueClient {
  return QueueClient.create({ address: requiredOption(flags, 'address'), host: requiredOption(flags, 'host'), path: requiredOption(flags, 'path') })
}

function explainQuestion (job: string, flags: ExplainFlags): ExplainQuestion {
  if (/^[0-9a-f]{16}$/i.test(job)) return { jobId: job }
  const { account } = flags
  return { file: job, host: requiredOption(flags, 'host'), path: requiredOption(flags, 'path'), ...(account === undefined ? {} : { account }) }
}

function requiredOption<Name extends keyof typeof ENVIRONMENT_VARIABLES> (flags: Partial<Record<Name, string>>, name: Name): string {
  const value = flags[name] ?? process.env[ENVIRONMENT_VARIABLES[name]]
  if (value === undefined) throw new Error(`--${name} or ${ENVIRONMENT_VARIABLES[name]} is required`)
  return value
}

async function printResult (resultPromise: Promise<CommandResult>) {
  try {
    const { exitCode, text } = await resultPromise
    if (exitCode === EXIT_CODES.success) console.log(text)
    else console.error(text)
    process.exitCode = exitCode
  } catch (err) {
    console.error(`No answer; the request may have run: ${err instanceof Error ? err.message : String(err)}`)
    process.exitCode = EXIT_CODES.unknownOutcome
  }
}

function reportUsageError (err: unknown) {
  console.error(`citronnotch: ${err instanceof Error ? err.message : String(err)}`)
  process.exitCode = EXIT_CODES.usage
}
