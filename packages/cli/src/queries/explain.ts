import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { EXIT_CODES, toCommandResult } from '../output.js'
import type { CommandResult } from '../output.js'

/** The leader is asked by the daemon within 0.4 s; the rest is for a slow link to the daemon. */
const RESPONSE_TIMEOUT_MS = 3_000

export type ExplainQuestion = { readonly jobId: string } | { readonly file: string, readonly host: string, readonly path: string, readonly account?: string }

type Fields = Readonly<Record<string, unknown>>

/** Explains by the data of a daemon, asked at its operator listener at `ip:port`, where a job would go now; as text or as JSON. */
export async function explain (address: string, question: ExplainQuestion, { asJson }: { readonly asJson: boolean }): Promise<CommandResult> {
  const { file, ...params } = 'jobId' in question ? { job: question.jobId, file: undefined } : question
  const job = file === undefined ? '' : readFile(file)
  if (job instanceof Error) return { exitCode: EXIT_CODES.usage, text: `Nothing was asked: ${job.message}` }
  const res = await request(`http://${address}/explain?${new URLSearchParams(params).toString()}`, { signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS), ...(file === undefined ? {} : { method: 'POST', body: job }) })
  const text = await res.body.text()
  const body = parseObject(text)
  if (res.statusCode !== 200) return toCommandResult({ status: res.statusCode, body: body ?? {} }, '')
  if (body === undefined || !('leader' in body)) return { exitCode: EXIT_CODES.rejected, text: `There is no explanation at ${address}; is it the address of a daemon's operator listener?` }
  return { exitCode: EXIT_CODES.success, text: asJson ? JSON.stringify(body, undefined, 2) : formatExplanation(body) }
}

function formatExplanation ({ queue, account, submission, forecastAgeMs, leader }: Fields): string {
  const job = fieldsOf(leader)
  const steps = Array.isArray(job.steps) ? job.steps.map(fieldsOf) : []
  const leftOut = Number(job.leftOutSteps ?? 0)
  return [
    line('queue', queue, ({ name, service, host, pathPrefix, priority, needsTickets }) => `${name} (http://${host}${pathPrefix}), served by ${service}, priority ${priority}${needsTickets === true ? ', placement policy' : ''}`),
    account === undefined ? 'account: none' : line('account', account, ({ name, limit, inUse, left }) => `${name}; limit ${resources(limit, 0)}; in use ${resources(inUse)}; left ${resources(left, null)}`),
    ...submission === undefined ? [] : [line('submission now', submission, formatSubmission) + (forecastAgeMs === undefined ? '' : ` (forecast of the leader: ${forecastAgeMs} ms old)`)],
    line('leader', leader, ({ state, ageMs, obstacles }) => [state === undefined ? 'the job as if it were submitted now' : `job is ${state}, admitted ${ageMs} ms ago`, ...Array.isArray(obstacles) && obstacles.length > 0 ? [`nothing of it is started: ${obstacles.join(', ')}`] : []].join('; ')),
    ...job.forecast === undefined ? [] : [line('start, if submitted now', job.forecast, ({ startInMs, earliestStartInMs, sizeClass }) => `in ${ms(startInMs)}, at best in ${ms(earliestStartInMs)} (size class ${sizeClass})`)],
    ...steps.flatMap(formatStep),
    ...leftOut > 0 ? [`${leftOut} more steps are not shown.`] : []
  ].join('\n')
}

function formatSubmission ({ answer, status, code, reason, retryAfterMs, admittedShare }: Fields): string {
  if (answer !== 'refused') return answer === 'held' ? 'held until the store answers, as long as the caller has time left' : 'admitted'
  const retry = retryAfterMs === undefined ? '' : ` Retry-After: ${Math.round(Number(retryAfterMs) / 1_000)} s or up to a quarter more.`
  return `${Number(admittedShare) > 0 ? `refused, but ${Math.round(100 * Number(admittedShare))}% are admitted,` : 'refused'} with ${status} ${code}: ${reason}${retry}`
}

function formatStep ({ occurrence, step, gang, count, waiting, need, obstacle, allowed, startable, groups, waitsFor, place }: Fields): readonly string[] {
  const workers = Array.isArray(groups) ? groups.map(fieldsOf) : []
  return [
    `step ${step}${occurrence === 0 ? '' : ` of occurrence ${occurrence}`}: ${waiting} of ${count} tasks wait, each ${resources(need)}${gang === true ? ', as a gang' : ''}; ${startable} could start now${Number(allowed) < Number(waiting) ? `; the limit of the account allows ${allowed}` : ''}${obstacle === undefined ? '' : `; not tried: ${obstacle}`}${waitsFor === undefined ? '' : `; waits for ${waitsFor}`}`,
    ...place === undefined ? [] : ['  ' + line('place', place, formatPlace)],
    ...workers.map(group => `  ${group.obstacle === 'no-ticket' ? 'no-ticket (the placement policy has not approved it yet)' : group.obstacle ?? 'can start'}: ${group.workers} ${group.workers === 1 ? 'worker' : 'workers'}${Number(group.tasks) > 0 ? `, room for ${group.tasks} of the tasks` : ''} (${Array.isArray(group.examples) ? group.examples.join(', ') : ''}${Array.isArray(group.examples) && group.examples.length < Number(group.workers) ? ', ...' : ''})`)
  ]
}

const LATENESS = ['on time', 'late', 'too late to count']
const STANDINGS = ['to be on time', 'could be on time in place of others', 'late', 'too late to count']

function formatPlace ({ lateness, standing, isExcess, goesFirst, ahead }: Fields): string {
  const { steps, tasks, milliCores } = fieldsOf(ahead)
  return `${standing === undefined ? LATENESS[Number(lateness)] : STANDINGS[Number(standing)]}${isExcess === true ? ', beyond the share of its account' : ''}${goesFirst === true ? ', goes first' : ''}; ahead of it: ${steps} steps with ${tasks} tasks, ${Number(milliCores) / 1_000} cores`
}

/** A line of text, or why its content isn't known. */
function line (heading: string, value: unknown, format: (fields: Fields) => string): string {
  const fields = fieldsOf(value)
  return `${heading}: ${typeof fields.unknown === 'string' ? `unknown. ${fields.unknown}` : format(fields)}`
}

/** `unlimited`: the value of a resource without a limit. */
function resources (value: unknown, unlimited?: 0 | null): string {
  const { unknown, milliCores, memoryMb, accelerators } = fieldsOf(value)
  if (unknown !== undefined) return 'unknown'
  const amount = (of: unknown, unit: string, divisor = 1) => unlimited !== undefined && of === unlimited ? '-' : `${Number(of) / divisor} ${unit}`
  return [amount(milliCores, 'cores', 1_000), amount(memoryMb, 'MB'), ...accelerators === 0 && unlimited !== 0 ? [] : [amount(accelerators, 'accelerators')]].join(' ')
}

function ms (value: unknown): string {
  return `${Math.round(Number(value))} ms`
}

function fieldsOf (value: unknown): Fields {
  return typeof value === 'object' && value !== null ? value as Fields : {}
}

function readFile (path: string): string | Error {
  try {
    return readFileSync(path, 'utf8')
  } catch (err) {
    return err instanceof Error ? err : new Error(String(err))
  }
}

function parseObject (text: string): Fields | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? value as Fields : undefined
  } catch {
    return undefined
  }
}
