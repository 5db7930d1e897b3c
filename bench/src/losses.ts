import { readFileSync } from 'node:fs'

/** Cause of a missed objective; of several, the one that took the most time counts. */
const CAUSES = ['no leader', 'storing the outcome', 'waiting to start', 'failed or lost runs', 'running'] as const
type Cause = typeof CAUSES[number]

interface LogLine {
  readonly atMs: number
  readonly daemon: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

interface Interval {
  readonly startMs: number
  readonly endMs: number
}

/** What the logs say about one job; times are Unix milliseconds. */
interface JobTrace {
  readonly starts: number[]
  readonly repeatedRunsMs: number[]
}

/** Attributes the time of each job that missed its objective, from the merged logs of all daemons. */
export function findLosses (text: string): ReadonlyMap<string, ReadonlyMap<Cause, number>> {
  const lines = text.split('\n').flatMap(parseLine).sort((a, b) => a.atMs - b.atMs)
  const gaps = leaderlessIntervals(lines)
  const traces = new Map<string, JobTrace>()
  const losses = new Map<string, Map<Cause, number>>()
  for (const { atMs, message, fields } of lines) {
    const jobId = String(fields.job ?? String(fields.task ?? '').split('.')[0])
    const trace = traces.get(jobId) ?? { starts: [], repeatedRunsMs: [] }
    traces.set(jobId, trace)
    if (message === 'Runs started.') trace.starts.push(atMs)
    if ((message === 'Run ended.' && fields.end !== 'stopped') || message === 'Run lost.') trace.repeatedRunsMs.push(atMs)
    if (message !== 'Job ended.' || fields.outcome === 'cancelled' || Number(fields.ageMs) <= Number(fields.objectiveMs ?? Infinity)) continue
    const causes = losses.get(String(fields.queue)) ?? new Map<Cause, number>()
    losses.set(String(fields.queue), causes)
    const cause = causeOf(trace, { startMs: atMs - Number(fields.ageMs), endMs: atMs }, Number(fields.storedAfterMs), gaps)
    causes.set(cause, (causes.get(cause) ?? 0) + 1)
  }
  return losses
}

function causeOf ({ starts, repeatedRunsMs }: JobTrace, lifetime: Interval, storedAfterMs: number, gaps: readonly Interval[]): Cause {
  const leaderlessMs = totalOverlapMs(gaps, lifetime)
  const firstStartMs = starts[0] ?? lifetime.endMs
  const waitedMs = firstStartMs - lifetime.startMs - totalOverlapMs(gaps, { startMs: lifetime.startMs, endMs: firstStartMs })
  const repeatedMs = repeatedRunsMs.length === 0 ? 0 : Math.max(...repeatedRunsMs) - firstStartMs
  const runningMs = lifetime.endMs - lifetime.startMs - leaderlessMs - storedAfterMs - waitedMs - repeatedMs
  const shares: ReadonlyArray<readonly [Cause, number]> = [
    ['no leader', leaderlessMs], ['storing the outcome', storedAfterMs], ['waiting to start', waitedMs], ['failed or lost runs', repeatedMs],
    // A job runs for about half of its objective when nothing is in its way.
    ['running', runningMs / 2]
  ]
  return shares.reduce((most, share) => share[1] > most[1] ? share : most)[0]
}

/** Times without a leader that schedules: from the last line of a leader, or the end of its lease, until a leader has loaded its state. */
function leaderlessIntervals (lines: readonly LogLine[]): readonly Interval[] {
  const gaps: Interval[] = []
  let leader: string | undefined
  let lastLineMs = 0
  for (const { atMs, daemon, message, fields } of lines) {
    if (message === 'Scheduling of jobs from earlier epochs enabled.' || message === 'Lease is valid again.') {
      if (lastLineMs > 0) gaps.push({ startMs: lastLineMs, endMs: atMs })
      leader = daemon
    }
    if (message === 'Leadership lost.' && daemon === leader) leader = undefined
    if (daemon === leader && (message === 'Runs started.' || fields.epoch !== undefined)) lastLineMs = atMs
  }
  return gaps
}

function totalOverlapMs (intervals: readonly Interval[], { startMs, endMs }: Interval): number {
  return intervals.reduce((sum, interval) => sum + Math.max(0, Math.min(interval.endMs, endMs) - Math.max(interval.startMs, startMs)), 0)
}

function parseLine (text: string): readonly LogLine[] {
  const jsonStart = text.indexOf('{')
  if (jsonStart < 0) return []
  try {
    const { time, message, ...fields } = JSON.parse(text.slice(jsonStart)) as Record<string, unknown>
    if (typeof time !== 'string' || typeof message !== 'string') return []
    return [{ atMs: Date.parse(time), daemon: text.slice(0, jsonStart).trim().split(/\s+/).pop() ?? '', message, fields }]
  } catch {
    return []
  }
}

const [, , ...paths] = process.argv
for (const path of paths) {
  console.log(path)
  for (const [queue, causes] of findLosses(readFileSync(path, 'utf8'))) {
    console.log(`  ${queue}: ${CAUSES.map(cause => `${cause} ${causes.get(cause) ?? 0}`).join(', ')}`)
  }
}
