import type { Resources } from '@citronnotch/daemon'
import type { TruthLog, TruthRecord } from './truthLog.js'

export const VIOLATION_KINDS = [
  'task-in-two-places', 'worker-over-capacity', 'work-executed-twice', 'slots-exceeded', 'connections-exceeded'
] as const
export type ViolationKind = typeof VIOLATION_KINDS[number]

/** A guarantee that was broken, at the record of the truth log that broke it. */
export interface Violation {
  readonly kind: ViolationKind
  /** Id of the task, worker, work or server. */
  readonly subject: string
  readonly at: number
  readonly seq: number
  readonly message: string
}

interface Run { readonly workerId: string, readonly attempt: number, readonly resources: Resources }
interface ServerState { readonly slots: number, readonly connections: number, busy: number, open: number }

/** What the records so far add up to. */
interface AuditState {
  readonly capacities: Map<string, Resources>
  readonly runs: Map<number, Run>
  readonly runsOfTask: Map<string, Set<number>>
  readonly runsOfWorker: Map<string, Set<number>>
  readonly executions: Map<string, string>
  readonly servers: Map<string, ServerState>
}

type RecordOf<T extends TruthRecord['type']> = Extract<TruthRecord, { readonly type: T }>
type Report = (kind: ViolationKind, subject: string, message: string) => void
type Handlers = { readonly [T in TruthRecord['type']]: (record: RecordOf<T>, state: AuditState, report: Report) => void }

/** Floating-point sums of declared cores differ in the last digits. */
const CORES_TOLERANCE = 1e-6

/** Checks what happened against the guarantees; knows nothing of the product's state. */
export function auditCell (log: TruthLog): readonly Violation[] {
  const violations: Violation[] = []
  const state: AuditState = {
    capacities: new Map(), runs: new Map(), runsOfTask: new Map(), runsOfWorker: new Map(), executions: new Map(), servers: new Map()
  }
  // An end that was noticed late is recorded late with its true time.
  const records = [...log.records()].sort((a, b) => a.at - b.at || a.seq - b.seq)
  for (const record of records) {
    const handle = handlers[record.type] as (record: TruthRecord, state: AuditState, report: Report) => void
    handle(record, state, (kind, subject, message) => violations.push({ kind, subject, message, at: record.at, seq: record.seq }))
  }
  return violations
}

const handlers: Handlers = {
  'worker-started': (record, state) => {
    state.capacities.set(record.workerId, record.capacity)
  },
  'task-started': (record, state, report) => {
    const { taskId, workerId, attempt, resources } = record
    const others = [...runsIn(state.runsOfTask, taskId)].flatMap(run => state.runs.get(run) ?? [])
    for (const other of others) {
      report('task-in-two-places', taskId,
        `attempt ${attempt} started at ${workerId} while attempt ${other.attempt} ran at ${other.workerId}`)
    }
    state.runs.set(record.run, { workerId, attempt, resources })
    runsIn(state.runsOfTask, taskId).add(record.run)
    runsIn(state.runsOfWorker, workerId).add(record.run)
    reportOverCapacity(workerId, state, report)
  },
  'task-ended': (record, state) => {
    state.runs.delete(record.run)
    removeRun(state.runsOfTask, record.taskId, record.run)
    removeRun(state.runsOfWorker, record.workerId, record.run)
  },
  'task-start-failed': () => {},
  'server-started': (record, state) => {
    state.servers.set(record.server, { slots: record.slots, connections: record.connections, busy: 0, open: 0 })
  },
  'connection-opened': (record, state, report) => {
    const server = state.servers.get(record.server)
    if (server === undefined || ++server.open <= server.connections) return
    report('connections-exceeded', record.server, `${server.open} connections were open; ${server.connections} are allowed`)
  },
  'connection-closed': (record, state) => {
    const server = state.servers.get(record.server)
    if (server !== undefined) server.open--
  },
  'request-started': (record, state, report) => {
    const server = state.servers.get(record.server)
    if (server !== undefined && ++server.busy > server.slots) {
      report('slots-exceeded', record.server, `${server.busy} requests were executed at once; ${server.slots} are allowed`)
    }
    if (record.workId === undefined) return
    const earlier = state.executions.get(record.workId)
    if (earlier !== undefined) {
      report('work-executed-twice', record.workId, `executed at ${record.server} after an execution at ${earlier}`)
    }
    state.executions.set(record.workId, record.server)
  },
  'request-ended': (record, state) => {
    const server = state.servers.get(record.server)
    if (server !== undefined) server.busy--
  },
  transaction: () => {}
}

function reportOverCapacity (workerId: string, state: AuditState, report: Report) {
  const capacity = state.capacities.get(workerId)
  if (capacity === undefined) return
  const runs = [...runsIn(state.runsOfWorker, workerId)].flatMap(run => state.runs.get(run) ?? [])
  for (const name of ['cores', 'memoryMb', 'accelerators'] as const) {
    const used = runs.reduce((sum, run) => sum + run.resources[name], 0)
    if (used <= capacity[name] + CORES_TOLERANCE) continue
    report('worker-over-capacity', workerId, `${used} ${name} were given to the worker; it has ${capacity[name]}`)
  }
}

function runsIn (map: Map<string, Set<number>>, id: string): Set<number> {
  const existing = map.get(id)
  if (existing !== undefined) return existing
  const runs = new Set<number>()
  map.set(id, runs)
  return runs
}

function removeRun (map: Map<string, Set<number>>, id: string, run: number) {
  const runs = map.get(id)
  if (runs?.delete(run) === true && runs.size === 0) map.delete(id)
}
