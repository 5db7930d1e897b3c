import { request } from 'undici'
import { EXIT_CODES, toCommandResult } from '../output.js'
import type { CommandResult } from '../output.js'

/** The leader is asked by the daemon within 0.4 s; the rest is for a slow link to the daemon. */
const RESPONSE_TIMEOUT_MS = 3_000

interface Resources {
  /** Processor time in thousandths of a core; in a limit, 0 means that there is none. */
  readonly milliCores: number
  readonly memoryMb: number
  readonly accelerators: number
}

interface Account {
  readonly name: string
  readonly limit: Resources
  readonly inUse: Resources
  /** Jobs with tasks to start, by whether the account is owed them. */
  readonly waitingOwed: number
  readonly waitingExcess: number
  /** Jobs that the asked daemon has refused. */
  readonly refusedHere: number
}

const NUMBERS = ['waitingOwed', 'waitingExcess', 'refusedHere'] as const
const RESOURCES = ['milliCores', 'memoryMb', 'accelerators'] as const
const HEADINGS = ['account', 'limit', 'in use', 'owed waiting', 'excess waiting', 'refused here']

/** Lists the client accounts as a daemon's operator listener at `ip:port` shows them, as a table or as JSON. */
export async function accounts (address: string, { asJson }: { readonly asJson: boolean }): Promise<CommandResult> {
  const res = await request(`http://${address}/accounts`, { signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) })
  const text = await res.body.text()
  const body = parseObject(text)
  if (res.statusCode !== 200) return toCommandResult({ status: res.statusCode, body: body ?? {} }, '')
  const rows: unknown = body?.accounts
  if (!Array.isArray(rows) || !rows.every(isAccount)) return { exitCode: EXIT_CODES.rejected, text: `There is no list of accounts at ${address}; is it the address of a daemon's operator listener?` }
  if (asJson) return { exitCode: EXIT_CODES.success, text: JSON.stringify(rows, undefined, 2) }
  return { exitCode: EXIT_CODES.success, text: rows.length === 0 ? 'The cell has no client accounts.' : formatTable([HEADINGS, ...rows.map(cellsOf)]) }
}

function cellsOf ({ name, limit, inUse, waitingOwed, waitingExcess, refusedHere }: Account): readonly string[] {
  const limits = RESOURCES.map(resource => limit[resource] === 0 ? '-' : formatAmount(resource, limit[resource]))
  return [name, limits.join(' '), RESOURCES.map(resource => formatAmount(resource, inUse[resource])).join(' '), ...[waitingOwed, waitingExcess, refusedHere].map(String)]
}

const UNITS: Readonly<Record<typeof RESOURCES[number], string>> = { milliCores: ' cores', memoryMb: ' MB', accelerators: ' accelerators' }

function formatAmount (resource: typeof RESOURCES[number], amount: number): string {
  return `${resource === 'milliCores' ? amount / 1_000 : amount}${UNITS[resource]}`
}

function formatTable (rows: ReadonlyArray<readonly string[]>): string {
  const widths = HEADINGS.map((_, column) => Math.max(...rows.map(cells => cells[column]?.length ?? 0)))
  return rows.map(cells => cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}

function isAccount (value: unknown): value is Account {
  return isObject(value) && typeof value.name === 'string' && [value.limit, value.inUse].every(isResources) && NUMBERS.every(field => typeof value[field] === 'number')
}

function isResources (value: unknown): value is Resources {
  return isObject(value) && RESOURCES.every(resource => typeof value[resource] === 'number')
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null
}

function parseObject (text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isObject(value) ? value : undefined
  } catch {
    return undefined
  }
}
