import { readFileSync } from 'node:fs'
import type { LogFields } from '@citronnotch/base/logger'
import { TOKENS_PER_EPOCH } from '@citronnotch/cell/testing'
import type { DoubleRun } from '@citronnotch/cell/testing'

interface RecordedRun {
  readonly worker: string
  readonly task: string
  readonly run: number
  readonly token: number
  readonly isLate: boolean
  readonly fromMs: number
  untilMs: number | undefined
  end: string
  isAcknowledged: boolean
}

interface LogLine extends LogFields {
  readonly message: string
}

const CRASHED = 'crashed'

/** Keeps who ordered each run of the workers, and how it ended. */
export class RunRecord {
  private readonly runs: RecordedRun[] = []

  private constructor () {}

  static create (): RunRecord {
    return new RunRecord()
  }

  /** Takes a line of the log of the workers; `now` is the time of day in milliseconds. */
  add (message: string, fields: LogFields, now: number): void {
    const { worker, task, run, token, isLate, status } = fields
    if (message === 'Run started.') this.runs.push({ worker: String(worker), task: String(task), run: Number(run), token: Number(token), isLate: isLate === true, fromMs: now, untilMs: undefined, end: 'running', isAcknowledged: false })
    if (message === 'Run ended.') this.end(run => run.worker === worker && run.task === task && run.run === fields.run, String(status), now)
    if (message === 'Crashed.') this.end(run => run.worker === worker, CRASHED, now)
    if (message !== 'End acknowledged.') return
    for (const ended of this.find(String(task), Number(run), String(worker))) ended.isAcknowledged = ended.end !== CRASHED
  }

  /** Describes both runs of each pair: who ordered them, whether late, how they ended, and why a leader counted them as lost. */
  describe (doubleRuns: readonly DoubleRun[], logsOfDaemons: ReadonlyMap<string, string>): readonly string[] {
    const leaders = new Map<number, string>()
    const losses = new Map<string, string>()
    for (const [name, path] of logsOfDaemons) {
      for (const { message, epoch, task, run, reason } of linesOf(path)) {
        if (message === 'Leadership gained.') leaders.set(Number(epoch), name)
        if (message === 'Run lost.') losses.set(`${String(task)}#${String(run)}`, `, lost by ${name} as ${String(reason)}`)
      }
    }
    const describeRun = ({ task, run, worker, token, isLate, fromMs, untilMs, end, isAcknowledged }: RecordedRun) => {
      const epoch = Math.floor(token / TOKENS_PER_EPOCH)
      const times = untilMs === undefined ? timeOf(fromMs) : `${timeOf(fromMs)} to ${timeOf(untilMs)}`
      return `run ${run} on ${worker} by ${leaders.get(epoch) ?? '?'} (epoch ${epoch}${isLate ? ', late' : ''}) ${times} ${end}${isAcknowledged ? ', acknowledged' : ''}${losses.get(`${task}#${run}`) ?? ''}`
    }
    return doubleRuns.map(({ task, run, workerId, earlier }) => {
      const both = [...this.find(task, earlier.run, earlier.workerId), ...this.find(task, run, workerId)]
      return `${task}: ${both.map(describeRun).join(' / ')}`
    })
  }

  private find (task: string, number: number, workerId: string): readonly RecordedRun[] {
    return this.runs.filter(({ worker, task: other, run }) => worker === workerId && other === task && run === number).slice(-1)
  }

  private end (matches: (run: RecordedRun) => boolean, end: string, now: number) {
    for (const run of this.runs) if (run.untilMs === undefined && matches(run)) Object.assign(run, { end, untilMs: now })
  }
}

function linesOf (path: string): readonly LogLine[] {
  return readFileSync(path, 'utf8').split('\n').filter(line => line.includes('"Leadership gained."') || line.includes('"Run lost."')).map(line => JSON.parse(line) as LogLine)
}

function timeOf (ms: number): string {
  return new Date(ms).toISOString().slice('2000-01-01T'.length, -1)
}
