import { timingSafeEqual, createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { applyConfigRequestSchema } from '@citronnotch/protocol'
import type { DaemonsView, WorkersView } from '@citronnotch/protocol'
import type { ConfigFailure, ConfigStore } from '../config/index.js'
import { Failure } from '../errors.js'
import type { Timeline } from '../timeline/index.js'
import { readJson, sendFailure, sendJson } from './httpServer.js'
import type { HttpRoute, RouteContext } from './httpServer.js'

const MAX_CONFIG_BYTES = 4 * 1024 * 1024
const DEFAULT_EVENTS = 1_000
const MAX_EVENTS = 5_000
const DEFAULT_HISTORY = 20

export interface OperatorsApiDeps {
  readonly config: ConfigStore
  readonly timeline: Timeline
  daemons (): DaemonsView
  workers (): WorkersView
  /** Records an operator's declaration that a failure domain is lost. */
  declareLost (failureDomain: string): Promise<Failure | undefined>
}

/** Refuses requests without the operators' token. */
export function requireToken (token: string): (req: IncomingMessage) => Failure | undefined {
  const expected = digest(`Bearer ${token}`)
  return req => timingSafeEqual(digest(req.headers.authorization ?? ''), expected)
    ? undefined
    : Failure.notRun('unauthorized', 'The operators\' interface needs a token.', 'Set CITRONNOTCH_TOKEN to the token of the daemons.')
}

/** Routes of the operators' interface. */
export function createOperatorsRoutes (deps: OperatorsApiDeps): readonly HttpRoute[] {
  return [
    { method: 'GET', pattern: /^\/ops\/daemons$/, handle: async ({ res }) => sendJson(res, 200, deps.daemons()) },
    { method: 'GET', pattern: /^\/ops\/workers$/, handle: async ({ res }) => sendJson(res, 200, deps.workers()) },
    { method: 'GET', pattern: /^\/ops\/timeline$/, handle: async ctx => showTimeline(deps, ctx) },
    { method: 'GET', pattern: /^\/ops\/config$/, handle: async ({ res }) => showConfig(deps, res) },
    { method: 'GET', pattern: /^\/ops\/config\/history$/, handle: ctx => showHistory(deps, ctx) },
    { method: 'GET', pattern: /^\/ops\/config\/(\d+)$/, handle: ctx => showVersion(deps, ctx) },
    { method: 'POST', pattern: /^\/ops\/config$/, handle: ctx => applyConfig(deps, ctx) },
    { method: 'POST', pattern: /^\/ops\/domains\/([^/]+)\/lost$/, handle: ctx => declareLost(deps, ctx) }
  ]
}

function showTimeline ({ timeline }: OperatorsApiDeps, { res, url }: RouteContext) {
  const after = Number(url.searchParams.get('after') ?? 0)
  const limit = Number(url.searchParams.get('limit') ?? DEFAULT_EVENTS)
  if (!Number.isInteger(after) || !Number.isInteger(limit) || after < 0 || limit < 1) {
    return sendFailure(res, Failure.notRun('invalid-request', '"after" and "limit" must be whole numbers.'))
  }
  sendJson(res, 200, timeline.page(after, Math.min(limit, MAX_EVENTS)))
}

function showConfig ({ config }: OperatorsApiDeps, res: ServerResponse) {
  const current = config.content()
  sendJson(res, 200, { version: config.version(), ...(current === undefined ? {} : { current }) })
}

async function showHistory ({ config }: OperatorsApiDeps, { res, url }: RouteContext) {
  const limit = Number(url.searchParams.get('limit') ?? DEFAULT_HISTORY)
  if (!Number.isInteger(limit) || limit < 1) return sendFailure(res, Failure.notRun('invalid-request', '"limit" must be a whole number above 0.'))
  const versions = await config.history(limit)
  if (versions.ok) sendJson(res, 200, { versions: versions.val })
  else sendFailure(res, versions.val)
}

async function showVersion ({ config }: OperatorsApiDeps, { res, params }: RouteContext) {
  const version = await config.get(Number(params[0]))
  if (!version.ok) return sendFailure(res, version.val)
  if (version.val === undefined) return sendFailure(res, Failure.notRun('not-found', `There is no configuration ${params[0]}.`))
  sendJson(res, 200, version.val)
}

type ConfigFailureHandler = (res: ServerResponse, failure: ConfigFailure) => void

const configFailureHandlers: Readonly<Record<ConfigFailure['type'], ConfigFailureHandler>> = {
  invalid: (res, failure) => {
    if (failure.type === 'invalid') sendJson(res, 422, { ...failure.failure.toRefusal(), issues: failure.issues, warnings: failure.warnings }, 'not-run')
  },
  conflict: (res, failure) => {
    if (failure.type === 'conflict') sendJson(res, 409, { ...failure.failure.toRefusal(), current: failure.current, changes: failure.changes }, 'not-run')
  },
  unavailable: (res, { failure }) => sendFailure(res, failure),
  unknown: (res, { failure }) => sendFailure(res, failure)
}

async function applyConfig ({ config }: OperatorsApiDeps, { req, res }: RouteContext) {
  const body = await readJson(req, MAX_CONFIG_BYTES)
  if (!body.ok) return sendFailure(res, body.val)
  const parsed = applyConfigRequestSchema.safeParse(body.val)
  if (!parsed.success) {
    const issues = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')
    return sendFailure(res, Failure.notRun('invalid-request', `The request is not valid: ${issues}.`))
  }
  const result = await config.apply(parsed.data)
  if (result.ok) sendJson(res, 200, result.val)
  else configFailureHandlers[result.val.type](res, result.val)
}

async function declareLost (deps: OperatorsApiDeps, { req, res, params }: RouteContext) {
  req.resume()
  const failure = await deps.declareLost(params[0] ?? '')
  if (failure === undefined) sendJson(res, 200, { failureDomain: params[0] })
  else sendFailure(res, failure)
}

/** Digests have one length, which the comparison in constant time needs. */
function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
