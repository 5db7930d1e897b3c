import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { VERDICT_HEADER } from '@citronnotch/protocol'
import type { Clock } from '../clock.js'
import { Failure } from '../errors.js'
import type { JobAdmission, JobCancellation, JobQueries } from '../jobs/index.js'
import type { Log } from '../logger.js'
import type { RequestRouter, ServiceRequest, ServiceResponse } from '../routing/index.js'
import { readBody, readJson, sendFailure, sendJson } from './httpServer.js'
import type { HttpRoute, RouteContext } from './httpServer.js'

const MAX_JOB_BYTES = 1024 * 1024
const MAX_REQUEST_BYTES = 8 * 1024 * 1024
const DEFAULT_PAGE = 100
const MAX_DEADLINE_MS = 10 * 60_000
/** Headers that belong to one connection and are not forwarded. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'expect'
])

export interface CallersApiDeps {
  readonly clock: Clock
  readonly log: Log
  readonly admission: JobAdmission
  readonly cancellation: JobCancellation
  readonly queries: JobQueries
  readonly router: RequestRouter
  /** Time in milliseconds that a request to the service may take when the caller names no deadline; undefined for an unknown service. */
  serviceTimeoutMs (service: string): number | undefined
  /** Team of a request that names none. */
  serviceTeam (service: string): string
  /** False while the daemon is stopping, so that the balancer sends nothing new. */
  isHealthy (): boolean
}

/** Routes of the callers' interface. */
export function createCallersRoutes (deps: CallersApiDeps): readonly HttpRoute[] {
  return [
    { method: 'GET', pattern: /^\/healthz$/, handle: async ({ res }) => sendHealth(deps, res) },
    { method: 'POST', pattern: /^\/v1\/jobs$/, handle: ctx => submitJob(deps, ctx) },
    { method: 'GET', pattern: /^\/v1\/jobs$/, handle: ctx => listJobs(deps, ctx) },
    { method: 'GET', pattern: /^\/v1\/jobs\/([^/]+)$/, handle: ctx => showJob(deps, ctx) },
    { method: 'POST', pattern: /^\/v1\/jobs\/([^/]+)\/cancel$/, handle: ctx => cancelJob(deps, ctx) },
    { method: '*', pattern: /^\/s\/([^/]+)(?:\/.*)?$/, handle: ctx => callService(deps, ctx) }
  ]
}

function sendHealth (deps: CallersApiDeps, res: ServerResponse) {
  if (deps.isHealthy()) sendJson(res, 200, { status: 'ok' })
  else sendFailure(res, Failure.notRun('stopping', 'The daemon is stopping.', 'Use another daemon.'))
}

async function submitJob (deps: CallersApiDeps, { req, res }: RouteContext) {
  const body = await readJson(req, MAX_JOB_BYTES)
  if (!body.ok) return sendFailure(res, body.val)
  const admitted = await deps.admission.submit(body.val, headerOf(req, 'idempotency-key'))
  if (admitted.ok) sendJson(res, 201, admitted.val)
  else sendFailure(res, admitted.val)
}

async function listJobs (deps: CallersApiDeps, { res, url }: RouteContext) {
  const limit = Number(url.searchParams.get('limit') ?? DEFAULT_PAGE)
  if (!Number.isInteger(limit) || limit < 1) return sendFailure(res, Failure.notRun('invalid-request', 'The limit must be a whole number above 0.'))
  const jobs = await deps.queries.list(url.searchParams.get('team') ?? undefined, url.searchParams.get('after') ?? undefined, limit)
  if (jobs.ok) sendJson(res, 200, { jobs: jobs.val })
  else sendFailure(res, jobs.val)
}

async function showJob (deps: CallersApiDeps, { res, params }: RouteContext) {
  const job = await deps.queries.get(params[0] ?? '')
  if (job.ok) sendJson(res, 200, job.val)
  else sendFailure(res, job.val)
}

async function cancelJob (deps: CallersApiDeps, { req, res, params }: RouteContext) {
  req.resume()
  const cancelled = await deps.cancellation.cancel(params[0] ?? '')
  if (cancelled.ok) sendJson(res, 202, { jobId: params[0] })
  else sendFailure(res, cancelled.val)
}

async function callService (deps: CallersApiDeps, ctx: RouteContext) {
  const { req, res, params } = ctx
  const service = params[0] ?? ''
  const timeoutMs = deps.serviceTimeoutMs(service)
  if (timeoutMs === undefined) return sendFailure(res, Failure.notRun('unknown-service', `Service "${service}" is not in the configuration in force.`, 'Check the name of the service.'))
  const deadlineMs = parseDeadline(req, timeoutMs)
  if (deadlineMs === undefined) return sendFailure(res, Failure.notRun('invalid-request', `The header citronnotch-deadline-ms must be a number of milliseconds from 1 to ${MAX_DEADLINE_MS}.`))
  const deadline = deps.clock.now() + deadlineMs
  const body = await readBody(req, MAX_REQUEST_BYTES)
  if (!body.ok) return sendFailure(res, body.val)
  const gone = new AbortController()
  res.on('close', () => gone.abort())
  const result = await deps.router.handle(toServiceRequest(deps, ctx, service, body.val, deadline, gone.signal))
  if (result.ok) await sendResponse(deps, res, result.val)
  else sendFailure(res, result.val)
}

function toServiceRequest (deps: CallersApiDeps, { req, url }: RouteContext, service: string, body: Buffer, deadline: number, signal: AbortSignal): ServiceRequest {
  const path = url.pathname.replace(/^\/s\/[^/]+/, '') || '/'
  const idempotencyKey = headerOf(req, 'idempotency-key')
  return {
    requestId: headerOf(req, 'x-request-id') ?? randomUUID(),
    service,
    team: headerOf(req, 'citronnotch-team') ?? deps.serviceTeam(service),
    method: req.method ?? 'GET',
    path: path + url.search,
    headers: forwardedHeaders(req),
    body,
    deadline,
    signal,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey })
  }
}

/** Streams the answer. An answer that is cut ends the connection, so that it never looks whole. */
async function sendResponse (deps: CallersApiDeps, res: ServerResponse, response: ServiceResponse) {
  const headers = response.headers.filter(([name]) => !hopByHopHeaders.has(name.toLowerCase()))
  res.writeHead(response.status, [...headers.flat(), VERDICT_HEADER, 'ran'])
  try {
    await pipeline(response.body, res)
  } catch (err) {
    deps.log.debug('An answer was cut.', { worker: response.workerId, err })
    res.destroy()
  }
}

function forwardedHeaders (req: IncomingMessage): ReadonlyArray<readonly [string, string]> {
  const headers: Array<readonly [string, string]> = []
  for (let i = 0; i + 1 < req.rawHeaders.length; i += 2) {
    const name = req.rawHeaders[i] ?? ''
    if (!hopByHopHeaders.has(name.toLowerCase())) headers.push([name, req.rawHeaders[i + 1] ?? ''])
  }
  return headers
}

function parseDeadline (req: IncomingMessage, timeoutMs: number): number | undefined {
  const text = headerOf(req, 'citronnotch-deadline-ms')
  if (text === undefined) return timeoutMs
  const deadlineMs = Number(text)
  return deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS ? deadlineMs : undefined
}

function headerOf (req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}
