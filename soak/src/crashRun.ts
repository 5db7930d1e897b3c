import { formatTaskId } from '@citronnotch/cell'
import type { TaskId } from '@citronnotch/cell'
import { LEASE_PARTITION, LEASE_ROW, parseState } from '@citronnotch/cell/testing'
import type { MemoryWorker, WriteFault } from '@citronnotch/cell/testing'
import type { SoakClient } from './client.js'
import { crashWorker } from './faults.js'
import type { FaultTargets } from './faults.js'

/**
 * What happens to the leader beside the crashes.
 * `killed-at-start`: SIGKILL at each start of a deadly task.
 * `killed-at-crash`: SIGKILL in the same moment as each second crash.
 * `killed-before-crash`: SIGKILL shortly before each crash.
 * `answers-lost`: after each crash the store loses its answers for a while, and the leader is killed before they return.
 * `refused-at-return`: the store refuses all writes for a while from the worker's return on, and the leader is killed before it accepts them.
 */
export const LEADER_TROUBLES = ['none', 'killed-at-start', 'killed-at-crash', 'killed-before-crash', 'answers-lost', 'refused-at-return'] as const
export type LeaderTrouble = typeof LEADER_TROUBLES[number]

export interface CrashRunOptions {
  readonly trouble: LeaderTrouble
  /** Whether each deadly job is a gang of two, or a single task. */
  readonly isGang: boolean
}

/** `recoveryMs`: time between the last job and the last crash. `calmMs`: time after that within which killed daemons answer again. */
export const CRASH_RUN = { submitIntervalMs: 450, recoveryMs: 9_000, calmMs: 3_000 }
const DEADLY_JOBS = 2
/** Duration of a deadly run whose worker survives it, in milliseconds. */
const DEADLY_RUN_MS = 600_000
const CRASH_AFTER_MS = 300
const BACK_AFTER_MS = 3_000
/** Time from a kill of the leader to the crash that follows it. */
const KILLED_BEFORE_MS = 50
const STORE_FAULT_MS = 1_200
const KILLED_AFTER_MS = 1_100
/** A task has crashed its workers for certain after so many crashes, and may start again fewer than three times (issue 37). */
const CONVICTING_CRASHES = 3
const MAX_LATER_STARTS = 2

interface DeadlyTask {
  starts: number
  crashes: number
  startsAfterThirdCrash: number
}

/** Plays jobs whose tasks crash each worker that starts them, and counts how often they are started. */
export class CrashRun {
  private readonly tasks = new Map<string, DeadlyTask>()
  private readonly jobIds: string[] = []
  private targets: FaultTargets | undefined
  private client: SoakClient | undefined
  private crashCount = 0
  /** Number of moments at which workers crash: those of a gang crash together. */
  private crashMoments = 0
  private kills = 0
  private killedHolder = ''
  private storeFaultEndMs = 0

  private constructor (private readonly options: CrashRunOptions) {}

  static create (options: CrashRunOptions): CrashRun {
    return new CrashRun(options)
  }

  /** Submits the deadly jobs. */
  async start (targets: FaultTargets, client: SoakClient): Promise<void> {
    this.targets = targets
    this.client = client
    const { isGang } = this.options
    const steps = [{ count: isGang ? 2 : 1, cpu: 1_000, mem_mb: 100, estimated_ms: 500, ...(isGang ? { gang: true } : {}) }]
    await Promise.all(Array.from({ length: DEADLY_JOBS }, () => {
      const id = client.newJobId()
      this.jobIds.push(id)
      return client.submit(id, steps, true)
    }))
  }

  /** Ends the crashes and kills. */
  stop (): void {
    this.targets = undefined
  }

  /** Takes note of a start. Returns the duration of the run in milliseconds if its task is deadly. */
  started (host: MemoryWorker, task: TaskId): number | undefined {
    if (!this.jobIds.includes(task.jobId)) return undefined
    const name = formatTaskId(task)
    const counts = this.tasks.get(name) ?? { starts: 0, crashes: 0, startsAfterThirdCrash: 0 }
    this.tasks.set(name, counts)
    counts.starts++
    if (counts.crashes >= CONVICTING_CRASHES) counts.startsAfterThirdCrash++
    const { born } = host.entry
    const ifStillRunning = (act: () => void) => () => { if (host.entry.born === born && host.runningTasks().includes(name)) act() }
    if (this.options.trouble === 'killed-at-start') this.killLeader()
    if (this.options.trouble === 'killed-before-crash') setTimeout(ifStillRunning(() => this.killLeader()), CRASH_AFTER_MS - KILLED_BEFORE_MS)
    setTimeout(ifStillRunning(() => this.crashHosts(task.jobId)), CRASH_AFTER_MS)
    return DEADLY_RUN_MS
  }

  violations (): readonly string[] {
    const violations: string[] = []
    for (const [name, { startsAfterThirdCrash }] of this.tasks) {
      if (startsAfterThirdCrash > MAX_LATER_STARTS) violations.push(`${name} was started ${startsAfterThirdCrash} times after its third crash`)
    }
    for (const id of this.jobIds) if (!this.isGivenUp(id)) violations.push(`${id} crashes its workers, but is not reported as failed`)
    return violations
  }

  report (): readonly string[] {
    const tasks = [...this.tasks].map(([name, { starts, crashes, startsAfterThirdCrash }]) => {
      const isGivenUp = this.isGivenUp(name.split('.')[0] ?? '')
      return `${name}: ${starts} starts, ${crashes} crashes, ${startsAfterThirdCrash} starts after the third crash, ${isGivenUp ? 'given up' : 'not given up'}`
    })
    // A cancellation whose answer was lost may have taken effect.
    const sound = (this.client?.jobs ?? []).filter(({ isDeadly, isAccepted, isCancelled, lastState }) => !isDeadly && isAccepted && !isCancelled && lastState !== 'cancelled')
    const completed = sound.filter(({ lastState }) => lastState === 'completed')
    return [...tasks, `${this.crashCount} crashes of workers, ${this.kills} kills of leaders; ${completed.length} of ${sound.length} accepted sound jobs completed`]
  }

  private isGivenUp (jobId: string): boolean {
    return this.client?.jobs.find(({ id }) => id === jobId)?.lastState === 'failed'
  }

  /** Crashes all workers on which tasks of the job run. */
  private crashHosts (jobId: string) {
    if (this.targets === undefined) return
    const { workers } = this.targets
    const hosts = workers.filter(worker => worker.runningTasks().some(name => name.startsWith(`${jobId}.`)))
    for (const host of hosts) {
      for (const name of host.runningTasks()) {
        const counts = this.tasks.get(name)
        if (counts !== undefined) counts.crashes++
      }
    }
    for (const host of hosts) {
      crashWorker(this.targets, workers.indexOf(host), BACK_AFTER_MS)
      this.crashCount++
    }
    this.crashMoments++
    const { trouble } = this.options
    if (trouble === 'killed-at-crash' && this.crashMoments % 2 === 0) this.killLeader()
    if (trouble === 'answers-lost') this.disturbStore({ kind: 'answer-lost' })
    if (trouble === 'refused-at-return') setTimeout(() => this.disturbStore({ kind: 'refused' }), BACK_AFTER_MS)
  }

  private disturbStore (fault: WriteFault) {
    if (this.targets === undefined) return
    this.storeFaultEndMs = Date.now() + STORE_FAULT_MS
    this.targets.store.writeFault = () => Date.now() < this.storeFaultEndMs ? fault : undefined
    setTimeout(() => this.killLeader(), KILLED_AFTER_MS)
  }

  /** Kills the holder of the stored lease, once in its life. */
  private killLeader () {
    const row = this.targets?.store.get(LEASE_ROW.table, LEASE_PARTITION, LEASE_ROW.key)
    const holder = row === undefined ? undefined : parseState([row]).value
    const leader = this.targets?.daemons.find(({ settings }) => holder?.peerAddress.endsWith(`:${settings.peerPort}`))
    if (leader === undefined || holder === undefined || holder.holder === this.killedHolder) return
    this.killedHolder = holder.holder
    this.kills++
    leader.signal('SIGKILL')
  }
}
