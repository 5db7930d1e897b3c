/** Checks on what workers have recorded. */

/** Runs by task, in the order of their starts; each has the times of its start, its end and of the note of its end. */
export function runsByTask (events) {
  const byTask = new Map()
  const runOf = ({ task, run, worker }) => byTask.get(task)?.find(other => other.run === run && other.worker === worker && other.notedAt === undefined)
  for (const event of events) {
    if (event.what === 'started') byTask.set(event.task, [...byTask.get(event.task) ?? [], { task: event.task, run: event.run, worker: event.worker, startedAt: event.ms }])
    const run = event.what === 'ended' || event.what === 'noted' ? runOf(event) : undefined
    if (event.what === 'ended' && run !== undefined) Object.assign(run, { endedAt: event.ms, how: event.how })
    if (event.what === 'noted' && run !== undefined) run.notedAt = event.ms
  }
  return byTask
}

/** Breaks of TWICE: two runs of a task at a time, or a start after an end `done` that is taken note of. */
export function tasksRunTwice (events) {
  return [...runsByTask(events).values()].flatMap(runs => runs.flatMap((later, index) => runs.slice(0, index).flatMap(earlier => {
    if (earlier.endedAt === undefined || earlier.endedAt > later.startedAt) return [{ kind: 'at the same time', earlier, later }]
    return earlier.how === 'done' && earlier.notedAt !== undefined ? [{ kind: 'after its end', earlier, later }] : []
  })))
}
