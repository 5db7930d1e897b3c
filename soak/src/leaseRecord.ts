import { createWriteStream, readFileSync } from 'node:fs'
import type { WriteStream } from 'node:fs'
import { join } from 'node:path'
import type { Log, LogFields } from '@citronnotch/base/logger'
import { RunRecord } from './runRecord.js'

interface HeldLease {
  readonly fromMs: number
  readonly untilMs: number
}

/** What marks the log lines of daemons that count leases of a worker as lapsed. */
const LAPSE_MARKS = ['"reason":"lease-lapsed"', '"message":"Leases of earlier leaders have expired."']

/** Writes the log of the workers beside those of the daemons, and keeps the leases that the workers have held. */
export class LeaseRecord implements Log {
  readonly runs = RunRecord.create()
  private readonly leases = new Map<unknown, HeldLease[]>()

  private constructor (private readonly file: WriteStream) {}

  static create (folder: string): LeaseRecord {
    return new LeaseRecord(createWriteStream(join(folder, 'workers.log')))
  }

  readonly debug = (message: string, fields: LogFields = {}): void => this.info(message, fields)
  readonly warn = (message: string, fields: LogFields = {}): void => this.info(message, fields)
  readonly error = (message: string, fields: LogFields = {}): void => this.info(message, fields)

  info (message: string, fields: LogFields = {}): void {
    const now = Date.now()
    this.runs.add(message, fields, now)
    const leases = this.leases.get(fields.worker) ?? []
    this.leases.set(fields.worker, leases)
    if (message === 'Lease extended.') leases.push({ fromMs: now, untilMs: now + Number(fields.endsInMs) })
    if (message === 'Crashed.') this.leases.set(fields.worker, leases.map(({ fromMs, untilMs }) => ({ fromMs, untilMs: Math.min(untilMs, now) })))
    this.file.write(`${JSON.stringify({ time: new Date(now).toISOString(), level: 'info', part: '[worker]', message, ...fields })}\n`)
  }

  /** Lines of the daemons' logs that count a lease as lapsed although its worker held it then, each with the time that was left. */
  earlyLapses (logPaths: readonly string[]): readonly string[] {
    const lines = logPaths.flatMap(path => readFileSync(path, 'utf8').split('\n')).filter(line => LAPSE_MARKS.some(mark => line.includes(mark)))
    return lines.flatMap(line => {
      const { time, worker, task, run } = JSON.parse(line) as { readonly time: string, readonly worker: string, readonly task?: string, readonly run?: number }
      const atMs = Date.parse(time)
      const leftMs = Math.max(0, ...(this.leases.get(worker) ?? []).filter(({ fromMs }) => fromMs < atMs).map(({ untilMs }) => untilMs - atMs))
      return leftMs > 0 ? [`${time} ${task === undefined ? 'the runs of earlier leaders' : `${task} run ${run}`} counted as lapsed, but the lease of ${worker} had ${Math.round(leftMs)} ms left`] : []
    })
  }
}
