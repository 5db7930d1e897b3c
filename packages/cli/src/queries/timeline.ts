/** One line of a daemon's log. */
interface LogLine {
  readonly time: string
  readonly part: string
  readonly message: string
  readonly daemon: string
  readonly fields: Readonly<Record<string, unknown>>
}

const STANDARD_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'part', 'message'])

/**
 * Merges the logs of several daemons into the time line of what names a job, or of everything.
 * Lines that aren't JSON, such as a stack trace, are left out.
 */
export function timeline (logs: ReadonlyMap<string, string>, jobId?: string): readonly string[] {
  const lines: LogLine[] = []
  for (const [daemon, content] of logs) {
    for (const text of content.split('\n')) {
      const line = parseLine(daemon, text)
      if (line !== undefined && (jobId === undefined || text.includes(jobId))) lines.push(line)
    }
  }
  return lines
    .sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
    .map(({ time, daemon, part, message, fields }) => `${time} ${daemon} ${part} ${message}${Object.entries(fields).map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join('')}`)
}

function parseLine (daemon: string, text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const record = JSON.parse(text.slice(start)) as Record<string, unknown>
    if (typeof record.time !== 'string') return undefined
    const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !STANDARD_FIELDS.has(name)))
    return { time: record.time, part: String(record.part), message: String(record.message), daemon, fields }
  } catch {
    return undefined
  }
}
