import { isIPv4, isIPv6 } from 'node:net'
import { nearestName, shieldNumbers, unshieldNumbers } from '@citronnotch/config'
import { Err, Ok } from '@citronnotch/protocol'
import type { Result } from '@citronnotch/protocol'
import { cac } from 'cac'
import {
  GOSSIP_MS, HOLD_MS, LEASE_DRIFT, POLL_MS, SESSION_RENEW_MS, SESSION_TTL_MS, TAKEOVER_AFTER_MS, TASK_LEASE_MS, WORKER_RENEW_MS
} from './constants.js'
import { LOG_LEVELS } from './logger.js'
import type { LogLevel } from './logger.js'

/** Settings of a daemon as read from flags and environment variables; what has no default is required. */
export interface DaemonSettings {
  /** Name of this daemon, unique in the cell. */
  readonly daemonId?: string
  readonly region?: string
  readonly failureDomain?: string
  /** `ip:port` of the callers' listener. */
  readonly callerAddress?: string
  /** `ip:port` of the operators' listener. */
  readonly operatorAddress?: string
  /** `ip:port` of the listener for other daemons. */
  readonly peerAddress?: string
  /** URL of the platform, with a numeric address. */
  readonly platformUrl?: string
  /** Token that operators must show. */
  readonly operatorToken?: string
  /**
   * Peer addresses to contact first, when the table service can't be read.
   * @default []
   */
  readonly peerSeeds?: readonly string[]
  /**
   * `ip:port` of the StatsD server.
   * @default no metrics are sent
   */
  readonly statsdAddress?: string
  /**
   * Lowest level logged, by part.
   * @default { '*': 'info' }
   */
  readonly logLevel?: Readonly<Record<string, LogLevel>>
  /** @default 'json' */
  readonly logFormat?: 'json' | 'pretty'
  /**
   * Interval between writes of the session row, in milliseconds.
   * @default 2000
   */
  readonly sessionRenewMs?: number
  /**
   * Validity of a session after its last renewal, in milliseconds.
   * @default 6000
   */
  readonly sessionTtlMs?: number
  /**
   * Time for which a session must be seen unchanged before its shards are taken over, in milliseconds.
   * @default 7000
   */
  readonly takeoverAfterMs?: number
  /**
   * Time after which a worker stops a task whose lease isn't renewed, in milliseconds.
   * @default 20000
   */
  readonly taskLeaseMs?: number
  /**
   * Interval between renewals of the leases of a worker's tasks, in milliseconds.
   * @default 5000
   */
  readonly workerRenewMs?: number
  /**
   * Time for which an owner without the table service keeps its workers, in milliseconds.
   * @default 3900000
   */
  readonly holdMs?: number
  /**
   * Interval between reads of the configuration, the VM list and the sessions, in milliseconds.
   * @default 1000
   */
  readonly pollMs?: number
  /**
   * Interval between exchanges with peers, in milliseconds.
   * @default 1000
   */
  readonly gossipMs?: number
  /**
   * Time for which /healthz answers 503 before the listeners close, in milliseconds.
   * @default 2000
   */
  readonly drainDelayMs?: number
  /**
   * Time that a planned stop waits for work in flight, in milliseconds.
   * @default 30000
   */
  readonly drainTimeoutMs?: number
}

type OptionalSetting = 'statsdAddress'

/** Checked settings with every default filled in. */
export type ResolvedDaemonSettings = Readonly<Required<Omit<DaemonSettings, OptionalSetting>> & Pick<DaemonSettings, OptionalSetting>>

/** A setting that is unknown, missing or wrong. */
export interface SettingsProblem {
  /** Flag or variable at fault. */
  readonly setting: string
  /** What is wrong and what is allowed instead, in one sentence. */
  readonly reason: string
}

/** A parser returns undefined for a value that is not allowed. */
interface SettingRow<T> {
  readonly placeholder: string
  readonly description: string
  readonly unit: string
  readonly allowed: string
  readonly parse: (text: string) => T | undefined
  /** Undefined means required, unless the setting is optional. */
  readonly defaultText?: string
  readonly optional?: boolean
}

type SettingsTable = { readonly [K in keyof DaemonSettings]-?: SettingRow<NonNullable<DaemonSettings[K]>> }

const DAY_MS = 24 * 60 * 60_000

/** Every setting; flags, environment variables, `--help` and checks are generated from it. */
const SETTINGS: SettingsTable = {
  daemonId: nameRow('id', 'name of this daemon, unique in the cell'),
  region: nameRow('name', 'region of this VM'),
  failureDomain: nameRow('name', 'failure domain of this VM'),
  callerAddress: addressRow('listen address for callers'),
  operatorAddress: addressRow('listen address for operators'),
  peerAddress: addressRow('listen address for other daemons'),
  platformUrl: {
    placeholder: 'url',
    description: 'URL of the platform (table service, object store, VM list)',
    unit: 'URL',
    allowed: 'http://ip:port with a numeric IP address',
    parse: parseUrl
  },
  operatorToken: {
    placeholder: 'token',
    description: 'bearer token of the operators\' interface; prefer the variable, since flags show in process lists',
    unit: 'text',
    allowed: 'at least 16 printable ASCII characters without spaces',
    parse: text => /^[!-~]{16,}$/.test(text) ? text : undefined
  },
  peerSeeds: {
    placeholder: 'ip:port,...',
    description: 'peer addresses to contact first when the table service can\'t be read',
    unit: 'comma-separated addresses',
    allowed: 'numeric addresses such as 10.0.0.1:7003,10.0.0.2:7003',
    defaultText: '',
    parse: text => parseList(text, parseAddress)
  },
  statsdAddress: { ...addressRow('address of a StatsD server for metrics'), optional: true },
  logLevel: {
    placeholder: 'level,part=level,...',
    description: 'lowest level logged, also by part',
    unit: 'level',
    allowed: `one of ${LOG_LEVELS.join(', ')}, and part=level pairs, such as info,scheduler=debug`,
    defaultText: 'info',
    parse: parseLogLevels
  },
  logFormat: {
    placeholder: 'format',
    description: 'form of log lines',
    unit: 'name',
    allowed: 'json or pretty',
    defaultText: 'json',
    parse: text => text === 'json' || text === 'pretty' ? text : undefined
  },
  sessionRenewMs: durationRow('interval between renewals of the session', SESSION_RENEW_MS),
  sessionTtlMs: durationRow('validity of the session after its last renewal', SESSION_TTL_MS),
  takeoverAfterMs: durationRow('time a session must be seen unchanged before a takeover', TAKEOVER_AFTER_MS),
  taskLeaseMs: durationRow('lease of a running task', TASK_LEASE_MS),
  workerRenewMs: durationRow('interval between renewals of a worker\'s task leases', WORKER_RENEW_MS),
  holdMs: durationRow('time an owner keeps its workers without the table service', HOLD_MS),
  pollMs: durationRow('interval between reads of configuration, VM list and sessions', POLL_MS),
  gossipMs: durationRow('interval between exchanges with peers', GOSSIP_MS),
  drainDelayMs: durationRow('time /healthz says 503 before the listeners close', 2_000, 0),
  drainTimeoutMs: durationRow('time a planned stop waits for work in flight', 30_000, 0)
}

const NAMES = Object.keys(SETTINGS) as ReadonlyArray<keyof DaemonSettings>

const VARIABLE_PREFIX = 'CITRONNOTCH_'
// Read by the command line, which may share the daemon's environment.
const COMMAND_LINE_VARIABLES: readonly string[] = ['CITRONNOTCH_URL', 'CITRONNOTCH_OPERATORS', 'CITRONNOTCH_TOKEN']

interface RawSetting {
  /** Flag or variable that gave the value. */
  readonly origin: string
  readonly text: string
}

/**
 * Resolves the settings from the arguments (without node and script) and the environment; flags go
 * before variables. Reports every problem at once.
 */
export function resolveDaemonSettings (
  argv: readonly string[],
  env: Readonly<Record<string, string | undefined>>
): Result<ResolvedDaemonSettings, readonly SettingsProblem[]> {
  const problems: SettingsProblem[] = []
  const raw = { ...readVariables(env, problems), ...readFlags(argv, problems) }
  const settings: Record<string, unknown> = {}
  for (const name of NAMES) {
    const given = raw[name]
    const { parse, allowed, defaultText, optional } = SETTINGS[name]
    if (given === undefined && defaultText === undefined) {
      if (optional !== true) problems.push({ setting: flagOf(name), reason: `is required (or variable ${variableOf(name)}); allowed: ${allowed}` })
      continue
    }
    const text = given?.text ?? defaultText ?? ''
    const value = parse(text)
    if (value === undefined) problems.push({ setting: given?.origin ?? flagOf(name), reason: `is ${quote(name, text)}; allowed: ${allowed}` })
    else settings[name] = value
  }
  problems.push(...checkCombinations(settings, name => raw[name]?.origin ?? flagOf(name)))
  return problems.length > 0 ? Err(problems) : Ok(Object.freeze(settings) as unknown as ResolvedDaemonSettings)
}

/** True when the arguments ask for the help text, which goes before any check. */
export function isHelpRequested (argv: readonly string[]): boolean {
  return argv.includes('--help') || argv.includes('-h')
}

/** Text of `--help`: flag, variable, unit and default of every setting. */
export function settingsHelp (): string {
  const rows = NAMES.map(name => {
    const { placeholder, description, unit, defaultText, optional } = SETTINGS[name]
    const fallback = defaultText === undefined ? (optional === true ? 'default: none' : 'required') : `default: ${defaultText === '' ? 'none' : defaultText}`
    return [`${flagOf(name)} <${placeholder}>`, variableOf(name), `${description} (${unit}, ${fallback})`] as const
  })
  const flagWidth = Math.max(...rows.map(([flag]) => flag.length))
  const variableWidth = Math.max(...rows.map(([, variable]) => variable.length))
  return [
    'citronnotchd: daemon of the citronnotch cluster scheduler',
    '',
    'Usage: citronnotchd [flags]; each flag can also be given as a variable, and goes before it.',
    '',
    ...rows.map(([flag, variable, text]) => `  ${flag.padEnd(flagWidth)}  ${variable.padEnd(variableWidth)}  ${text}`),
    '',
    'Exit codes: 0 planned stop, 1 failure, 2 bad settings.'
  ].join('\n')
}

/** Text for a person: one line for each problem. */
export function formatProblems (problems: readonly SettingsProblem[]): string {
  return problems.map(({ setting, reason }) => `${setting} ${reason}`).join('\n')
}

type RawSettings = Partial<Record<keyof DaemonSettings, RawSetting>>

function readFlags (argv: readonly string[], problems: SettingsProblem[]): RawSettings {
  const cli = cac('citronnotchd')
  for (const name of NAMES) cli.option(`${flagOf(name)} <${SETTINGS[name].placeholder}>`, SETTINGS[name].description)
  const { args, options } = cli.parse(['', '', ...shieldNumbers(argv)], { run: false })
  for (const arg of unshieldNumbers([...args])) problems.push({ setting: String(arg), reason: 'is not a flag; allowed: only flags, see --help' })
  const raw: RawSettings = {}
  for (const [key, value] of Object.entries(options)) {
    if (key === '--') {
      for (const arg of unshieldNumbers(value as string[])) problems.push({ setting: arg, reason: 'is not a flag; allowed: only flags, see --help' })
    } else if (!isSetting(key)) {
      const flag = key.length === 1 ? `-${key}` : flagOf(key)
      problems.push({ setting: flag, reason: `is not a known flag${suggest(flag, NAMES.map(flagOf))}` })
    } else if (Array.isArray(value)) {
      problems.push({ setting: flagOf(key), reason: 'is given more than once; allowed: once' })
    } else if (typeof value === 'boolean') {
      problems.push({ setting: flagOf(key), reason: `has no value; allowed: ${SETTINGS[key].allowed}` })
    } else {
      raw[key] = { origin: flagOf(key), text: unshieldNumbers(String(value)) }
    }
  }
  return raw
}

function readVariables (env: Readonly<Record<string, string | undefined>>, problems: SettingsProblem[]): RawSettings {
  const raw: RawSettings = {}
  const names = new Map(NAMES.map(name => [variableOf(name), name]))
  for (const [variable, text] of Object.entries(env)) {
    if (!variable.startsWith(VARIABLE_PREFIX) || text === undefined || COMMAND_LINE_VARIABLES.includes(variable)) continue
    const name = names.get(variable)
    if (name === undefined) problems.push({ setting: variable, reason: `is not a known variable${suggest(variable, [...names.keys()])}` })
    else raw[name] = { origin: variable, text }
  }
  return raw
}

/** Checks settings that must agree; those that are missing or wrong have been reported already. */
function checkCombinations (settings: DaemonSettings, originOf: (name: keyof DaemonSettings) => string): readonly SettingsProblem[] {
  const { sessionRenewMs, sessionTtlMs, takeoverAfterMs, taskLeaseMs, workerRenewMs, holdMs } = settings
  const problems: SettingsProblem[] = []
  const atLeast = (name: keyof DaemonSettings, value: number | undefined, minimum: number | undefined, rule: string) => {
    if (value === undefined || minimum === undefined || value >= minimum) return
    problems.push({ setting: originOf(name), reason: `is ${value}; allowed: at least ${minimum}, ${rule}` })
  }
  // One renewal may be lost without the session ending.
  atLeast('sessionTtlMs', sessionTtlMs, sum(times(sessionRenewMs, 2), 1), 'above twice the session renewal')
  // The candidate's clock may run faster than the owner's.
  atLeast('takeoverAfterMs', takeoverAfterMs, times(sessionTtlMs, 1 + LEASE_DRIFT), 'the session TTL plus 15% for clock drift')
  // A successor must have renewed every lease before it ends.
  atLeast('taskLeaseMs', taskLeaseMs, sum(takeoverAfterMs, times(workerRenewMs, 2), 1), 'above the takeover time plus two worker renewals')
  atLeast('holdMs', holdMs, sessionTtlMs, 'the session TTL')
  return [...problems, ...checkAddresses(settings, originOf)]
}

function checkAddresses (settings: DaemonSettings, originOf: (name: keyof DaemonSettings) => string): readonly SettingsProblem[] {
  const listeners = ['callerAddress', 'operatorAddress', 'peerAddress'] as const
  return listeners.flatMap((name, index) => {
    const address = settings[name]
    const twin = listeners.slice(0, index).find(other => settings[other] === address)
    return address === undefined || twin === undefined
      ? []
      : [{ setting: originOf(name), reason: `is ${address}, the same as ${originOf(twin)}; allowed: a separate address for each listener` }]
  })
}

function sum (...values: ReadonlyArray<number | undefined>): number | undefined {
  return values.reduce((total, value) => total === undefined || value === undefined ? undefined : total + value, 0)
}

function times (value: number | undefined, factor: number): number | undefined {
  // Rounded, since 6000 * 1.15 is 6899.999 in floating point.
  return value === undefined ? undefined : Math.round(value * factor)
}

function isSetting (name: string): name is keyof DaemonSettings {
  return Object.hasOwn(SETTINGS, name)
}

function flagOf (name: string): string {
  return `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`
}

function variableOf (name: string): string {
  return VARIABLE_PREFIX + name.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()
}

function suggest (name: string, known: readonly string[]): string {
  const nearest = nearestName(name, known)
  return nearest === undefined ? '; --help lists all' : `; did you mean ${nearest}?`
}

/** The token must not reach a log. */
function quote (name: keyof DaemonSettings, text: string): string {
  return name === 'operatorToken' ? `${text.length} characters long` : JSON.stringify(text)
}

function nameRow (placeholder: string, description: string): SettingRow<string> {
  return {
    placeholder,
    description,
    unit: 'name',
    allowed: 'up to 64 letters, digits, "-" and "_", starting with a letter or digit',
    parse: text => /^[a-zA-Z0-9][a-zA-Z0-9_-]{0,63}$/.test(text) ? text : undefined
  }
}

function addressRow (description: string): SettingRow<string> {
  return {
    placeholder: 'ip:port',
    description,
    unit: 'address',
    allowed: 'ip:port with the numeric IP address at which others reach this VM, such as 10.0.0.1:7001 or [fd00::1]:7001',
    parse: parseAddress
  }
}

function durationRow (description: string, defaultMs: number, minimum = 1): SettingRow<number> {
  return {
    placeholder: 'ms',
    description,
    unit: 'ms',
    allowed: `a whole number of milliseconds from ${minimum} to ${DAY_MS}`,
    defaultText: String(defaultMs),
    parse: text => {
      const value = /^\d{1,9}$/.test(text) ? Number(text) : NaN
      return value >= minimum && value <= DAY_MS ? value : undefined
    }
  }
}

function parseAddress (text: string): string | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  const [, ipv6, ipv4, port] = match ?? []
  const isNumeric = ipv6 !== undefined ? isIPv6(ipv6) : ipv4 !== undefined && isIPv4(ipv4)
  // An unspecified address would be published to peers, who can't connect to it.
  const isReachable = ipv4 !== '0.0.0.0' && ipv6 !== '::'
  return isNumeric && isReachable && Number(port) >= 1 && Number(port) <= 65_535 ? text : undefined
}

function parseUrl (text: string): string | undefined {
  const match = /^http:\/\/([^/?#]+)\/?$/.exec(text)
  const address = match?.[1] === undefined ? undefined : parseAddress(match[1])
  return address === undefined ? undefined : `http://${address}`
}

function parseList<T> (text: string, parse: (item: string) => T | undefined): readonly T[] | undefined {
  const items = text.split(',').map(item => item.trim()).filter(item => item !== '').map(parse)
  return items.every((item): item is T & ({} | null) => item !== undefined) ? items : undefined
}

function parseLogLevels (text: string): Readonly<Record<string, LogLevel>> | undefined {
  const pairs = parseList(text, item => {
    const [part, level] = item.includes('=') ? item.split('=', 2) : ['*', item]
    const known = LOG_LEVELS.find(name => name === level)
    return known === undefined || part === undefined || part === '' ? undefined : [part, known] as const
  })
  return pairs === undefined || pairs.length === 0 ? undefined : { '*': 'info', ...Object.fromEntries(pairs) }
}
