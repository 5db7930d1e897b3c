import { sleep } from './cell.mjs'

const SAMPLE_MS = 250
/** Time for which a job must have nothing running, from the rule LOST, in milliseconds. */
const IDLE_MS = 3_000

/** What the clients sent and what the workers ran, as far as both have seen it. */
export class Jobs {
  jobs = new Map()
  /** Tasks at work: `worker#run` by task. */
  running = new Map()
  done = new Set()
  failures = new Map()
  starts = new Map()
  ends = 0
  noted = 0

  constructor (cell) {
    this.cell = cell
  }

  observe ({ event, worker, task, run, how }) {
    if (event === 'run-starts') {
      this.running.set(task, [...(this.running.get(task) ?? []), `${worker}#${run}`])
      this.starts.set(task, (this.starts.get(task) ?? 0) + 1)
    } else if (event === 'run-ends' || event === 'run-gone') {
      this.running.set(task, (this.running.get(task) ?? []).filter(entry => entry !== `${worker}#${run}`))
      if (how === 'done') this.done.add(task)
      if (how === 'failed') this.failures.set(task, (this.failures.get(task) ?? 0) + 1)
      if (event === 'run-ends') this.ends++
    } else if (event === 'end-noted') {
      this.noted++
    }
  }

  async submit (prefix, body) {
    const id = this.cell.newId()
    const isAccepted = await this.cell.submit(prefix, id, body)
    this.jobs.set(id, { id, prefix, steps: body.steps, isAccepted })
    return id
  }

  tasksOf ({ id, steps }) {
    return steps.flatMap(({ count, ...step }, index) => Array.from({ length: count }, (_, task) => ({ name: `${id}.0.${index}.${task}`, step, index })))
  }

  /** First task of a job that is not done, whose earlier steps are, while nothing of the job is at work. */
  waitingTaskOf (job) {
    const tasks = this.tasksOf(job)
    if (tasks.some(({ name }) => (this.running.get(name) ?? []).length > 0)) return undefined
    const isStepDone = index => tasks.filter(task => task.index === index).every(({ name }) => this.done.has(name))
    return tasks.find(({ name, step }) => !this.done.has(name) && (step.after ?? []).every(isStepDone))
  }

  /** Processor time in use, as a share of the service's, and whether one worker that fits has room for the task twice over. */
  capacityFor ({ step }, cpuOf) {
    let used = 0
    let total = 0
    let hasRoom = false
    for (const { isUp, state, capacity, labels, running } of this.cell.workers) {
      if (!isUp) continue
      const cpu = [...running.values()].reduce((sum, { task }) => sum + cpuOf(task), 0)
      used += cpu
      total += capacity.cpu
      if (state === 'ready' && (step.required_label === undefined || labels.includes(step.required_label)) && capacity.cpu - cpu >= 2 * step.cpu) hasRoom = true
    }
    return { usedShare: used / total, hasRoom }
  }

  cpuOf (task) {
    const [id, , step] = task.split('.')
    return this.jobs.get(id)?.steps[Number(step)]?.cpu ?? 0
  }

  /** Accepted jobs that have nothing running for three seconds on end while a task's turn has come and there is room for it. */
  async findIdle () {
    const idle = new Map([...this.jobs.values()].filter(({ isAccepted, isCancelled }) => isAccepted && !isCancelled).map(job => [job.id, undefined]))
    for (let elapsedMs = 0; elapsedMs <= IDLE_MS; elapsedMs += SAMPLE_MS) {
      for (const id of [...idle.keys()]) {
        const waiting = this.waitingTaskOf(this.jobs.get(id))
        const capacity = waiting === undefined ? undefined : this.capacityFor(waiting, task => this.cpuOf(task))
        if (capacity === undefined || !capacity.hasRoom || capacity.usedShare >= 0.5) idle.delete(id)
        else idle.set(id, { task: waiting.name, starts: this.starts.get(waiting.name) ?? 0, usedShare: Number(capacity.usedShare.toFixed(2)) })
      }
      await sleep(SAMPLE_MS)
    }
    return [...idle].map(([id, found]) => ({ id, ...found }))
  }
}
