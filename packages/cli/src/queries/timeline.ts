/** Parsed line of a daemon's log; `fields` holds everything but the standard fields. */
interface LogEntry {
  readonly time: string
  readonly part: string
  readonly message: string
  readonly daemon: string
  readonly fields: Readonly<Record<string, unknown>>
}

const STANDARD_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'part', 'message'])

/**
 * Merges the logs of several daemons, given by daemon name, into one list ordered by time. If `jobId` is given,
 * only lines that contain it are kept. Lines without JSON, such as those of a stack trace, are skipped.
 */
export function timeline (logs: ReadonlyMap<string, string>, jobId?: string): readonly string[] {
  const entries: LogEntry[] = []
  for (const [daemon, content] of logs) {
    for (const text of content.split('\n')) {
      const entry = parseLine(daemon, text)
      if (entry !== undefined && (jobId === undefined || text.includes(jobId))) entries.push(entry)
    }
  }
  return entries
    .sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
    .map(({ time, daemon, part, message, fields }) => `${time} ${daemon} ${part} ${message}${Object.entries(fields).map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join('')}`)
}

function parseLine (daemon: string, text: string): LogEntry | undefined {
  const jsonStart = text.indexOf('{')
  if (jsonStart < 0) return undefined
  try {
    const record = JSON.parse(text.slice(jsonStart)) as Record<string, unknown>
    if (typeof record.time !== 'string') return undefined
    const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !STANDARD_FIELDS.has(name)))
    return { time: record.time, part: String(record.part), message: String(record.message), daemon, fields }
  } catch {
    return undefined
  }
}
