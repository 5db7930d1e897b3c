import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { READY_PERCENT } from './constants.js'
import type { Directory, VmService, WaveState } from './ports.js'
import type { MaintenanceWave, WorkerVm } from './types.js'
import type { WorkerLink } from './workerLink.js'

/** Interval between reads of the operator's waves while none is active. */
const WAVES_POLL_INTERVAL_MS = 2_000
/** Interval between reads of waves and VMs while a wave is active. */
const VMS_POLL_INTERVAL_MS = 500
/** Time beyond the maintenance itself within which the restart of the worker is seen, also if the order is carried out late. */
const MAINTAINED_WITHIN_MS = 10_000
/** Fraction of a VM's time slot in a wave, after subtracting the maintenance itself, in which its worker may finish its runs. */
const DRAIN_SHARE = 0.6

/** The service that maintains the VMs of the workers, with its timing. */
export interface VmMaintenance {
  readonly vms: VmService
  /** Time after an order for a VM during which no other holder may give an order, in milliseconds. */
  readonly orderGapMs: number
  /** Duration of the maintenance of one VM, in milliseconds. */
  readonly maintenanceMs: number
}

export interface MaintenanceOptions extends VmMaintenance {
  readonly directory: Directory
  readonly holder: string
  /** Higher than the tokens of all earlier leaders. */
  readonly fencingToken: number
  readonly worker: (id: string) => WorkerLink | undefined
  readonly mayIssueCommands: () => boolean
  readonly onChange: () => void
  readonly clock: Clock
  readonly log: Log
}

interface SentOrder {
  /** Worker that ran on the VM when the order was given. */
  readonly workerId: string
  /** Monotonic time at which the order was accepted; undefined until then. */
  acceptedAt: number | undefined
}

interface ActiveWave {
  readonly wave: MaintenanceWave
  readonly startedAt: number
  readonly doneVmIds: Set<string>
  readonly sentOrders: Map<string, SentOrder>
  /** Monotonic time since which the worker of a VM gets no new work, by VM id. */
  readonly drainingSince: Map<string, number>
  isPublished: boolean
}

/** Orders the maintenance of the VMs in the operator's waves, a limited number at a time, idle VMs first. */
export class Maintenance {
  private readonly waves = new Map<number, ActiveWave>()
  private readonly completed = new Set<number>()
  private drainingWorkers: ReadonlySet<string> = new Set()
  /** Monotonic time of the latest order for the VM of a worker, by worker id. */
  private readonly orderedAt = new Map<string, number>()

  private constructor (private readonly options: MaintenanceOptions) {}

  static create (options: MaintenanceOptions): Maintenance {
    return new Maintenance(options)
  }

  /** Whether a worker gets no new work because its VM is about to be maintained. */
  isDraining (workerId: string): boolean {
    return this.drainingWorkers.has(workerId)
  }

  /** Whether the VM of a worker may have been maintained a short time ago: the worker has not crashed. */
  mayHaveMaintained (workerId: string): boolean {
    const orderedAt = this.orderedAt.get(workerId)
    return orderedAt !== undefined && this.options.clock.now() - orderedAt <= this.options.maintenanceMs + MAINTAINED_WITHIN_MS
  }

  async run (signal: AbortSignal): Promise<void> {
    const { clock, mayIssueCommands, orderGapMs } = this.options
    await clock.sleep(orderGapMs, signal)
    while (!signal.aborted) {
      if (mayIssueCommands()) {
        await this.readWaves()
        if (this.waves.size > 0) await this.advance()
      }
      await clock.sleep(this.waves.size > 0 ? VMS_POLL_INTERVAL_MS : WAVES_POLL_INTERVAL_MS, signal)
    }
  }

  private async readWaves () {
    const { directory, clock, log } = this.options
    const res = await directory.listWaves()
    if (res.err) {
      log.warn('Maintenance waves could not be read.', { verdict: res.val.verdict, reason: res.val.reason })
      return
    }
    for (const wave of res.val) {
      if (this.completed.has(wave.number) || this.waves.has(wave.number)) continue
      log.info('Maintenance wave begins.', { wave: wave.number, vms: wave.vmIds.length, maxConcurrent: wave.maxConcurrent, durationMs: wave.durationMs })
      this.waves.set(wave.number, { wave, startedAt: clock.now(), doneVmIds: new Set(), sentOrders: new Map(), drainingSince: new Map(), isPublished: false })
    }
  }

  private async advance () {
    const { vms, log } = this.options
    const listed = await vms.list()
    if (listed.err) {
      log.warn('VMs could not be listed.', { verdict: listed.val.verdict, reason: listed.val.reason })
      return
    }
    const byId = new Map(listed.val.map(vm => [vm.id, vm]))
    for (const active of this.waves.values()) {
      if (!active.isPublished) active.isPublished = await this.publish(active, 'active')
      this.updateProgress(active, byId)
      await this.orderNextVms(active, byId)
      if (active.wave.vmIds.every(id => active.doneVmIds.has(id)) && await this.publish(active, 'completed')) this.finish(active)
    }
    this.drainingWorkers = new Set([...this.waves.values()].flatMap(({ drainingSince }) => [...drainingSince.keys()].flatMap(id => byId.get(id)?.workerId ?? [])))
    this.options.onChange()
  }

  /** Marks VMs as done once they are up again after maintenance or no longer exist. */
  private updateProgress (active: ActiveWave, byId: ReadonlyMap<string, WorkerVm>) {
    const { clock, maintenanceMs } = this.options
    for (const id of active.wave.vmIds) {
      const vm = byId.get(id)
      const sentOrder = active.sentOrders.get(id)
      // A repeated order for a VM that was already maintained is accepted without new maintenance, and the VM keeps its worker.
      const isMaintained = vm?.state === 'up' && sentOrder?.acceptedAt !== undefined &&
        (vm.workerId !== sentOrder.workerId || clock.now() - sentOrder.acceptedAt > maintenanceMs + WAVES_POLL_INTERVAL_MS)
      if (vm !== undefined && !isMaintained) continue
      active.doneVmIds.add(id)
      active.sentOrders.delete(id)
      active.drainingSince.delete(id)
    }
  }

  private async orderNextVms (active: ActiveWave, byId: ReadonlyMap<string, WorkerVm>) {
    const { clock } = this.options
    const remainingVms = active.wave.vmIds.filter(id => !active.doneVmIds.has(id)).flatMap(id => byId.get(id) ?? [])
    // An order that an earlier leader gave is visible only in the state of the VM.
    const inMaintenance = remainingVms.filter(vm => active.sentOrders.has(vm.id) || vm.state === 'maintenance')
    for (const vm of inMaintenance) if (active.sentOrders.get(vm.id)?.acceptedAt === undefined) await this.order(active, vm)
    const waiting = remainingVms.filter(vm => !inMaintenance.includes(vm) && vm.state === 'up')
      .sort((a, b) => Number(active.drainingSince.has(b.id)) - Number(active.drainingSince.has(a.id)) || this.runCount(a) - this.runCount(b))
    for (const vm of waiting.slice(0, Math.max(0, active.wave.maxConcurrent - inMaintenance.length))) {
      const drainingSince = active.drainingSince.get(vm.id) ?? clock.now()
      active.drainingSince.set(vm.id, drainingSince)
      const isDue = this.runCount(vm) === 0 || clock.now() - drainingSince >= this.drainPeriodMs(active.wave)
      if (isDue && this.mayInterruptTasks(vm)) await this.order(active, vm)
    }
  }

  private async order (active: ActiveWave, vm: WorkerVm) {
    const { vms, clock, holder, fencingToken, mayIssueCommands, log } = this.options
    if (!mayIssueCommands()) return
    const sentOrder = active.sentOrders.get(vm.id) ?? { workerId: vm.workerId, acceptedAt: undefined }
    active.sentOrders.set(vm.id, sentOrder)
    this.orderedAt.set(vm.workerId, clock.now())
    const res = await vms.startMaintenance({ vmId: vm.id, wave: active.wave.number, holder, fencingToken })
    log.info('Maintenance ordered.', { wave: active.wave.number, vm: vm.id, worker: vm.workerId, token: fencingToken, runs: this.runCount(vm), outcome: res.ok ? res.val : res.val.reason })
    if (res.err) {
      if (res.val.verdict === 'not-run') {
        active.sentOrders.delete(vm.id)
        this.orderedAt.delete(vm.workerId)
      }
      return
    }
    if (res.val === 'accepted') sentOrder.acceptedAt = clock.now()
    // A VM in maintenance may be busy because of this order, so the order is kept until the VM is up again.
    else if (vm.state !== 'maintenance') active.sentOrders.delete(vm.id)
    if (res.val === 'not-in-wave') active.doneVmIds.add(vm.id)
  }

  private runCount ({ workerId }: WorkerVm): number {
    return this.options.worker(workerId)?.runs.size ?? 0
  }

  /** Time that a worker gets to finish its runs, short enough that the wave completes in time; in milliseconds. */
  private drainPeriodMs ({ durationMs, maxConcurrent, vmIds }: MaintenanceWave): number {
    return Math.max(0, DRAIN_SHARE * (durationMs * maxConcurrent / Math.max(1, vmIds.length) - this.options.maintenanceMs))
  }

  /** Whether interrupting the tasks on a VM keeps the number of unavailable tasks of each step within its limit. */
  private mayInterruptTasks ({ workerId }: WorkerVm): boolean {
    const unavailableByStep = new Map<object, number>()
    for (const { task } of this.options.worker(workerId)?.runs.values() ?? []) {
      const { step } = task ?? {}
      if (step === undefined || step.spec.maxUnavailable === 0) continue
      const unavailable = unavailableByStep.get(step) ?? step.spec.count - [...step.knownTasks()].filter(stepTask => stepTask.runs.some(run => run.percent >= READY_PERCENT)).length
      if (unavailable + 1 > step.spec.maxUnavailable) return false
      unavailableByStep.set(step, unavailable + 1)
    }
    return true
  }

  private async publish ({ wave }: ActiveWave, state: WaveState): Promise<boolean> {
    const { directory, log } = this.options
    const res = await directory.publishWave(wave.number, state)
    if (res.ok) return true
    log.warn('Maintenance wave state could not be published.', { wave: wave.number, state, verdict: res.val.verdict, reason: res.val.reason })
    return false
  }

  private finish ({ wave, startedAt }: ActiveWave) {
    const { clock, log } = this.options
    this.waves.delete(wave.number)
    this.completed.add(wave.number)
    for (const workerId of this.orderedAt.keys()) if (!this.mayHaveMaintained(workerId)) this.orderedAt.delete(workerId)
    log.info('Maintenance wave is completed.', { wave: wave.number, tookMs: Math.round(clock.now() - startedAt), durationMs: wave.durationMs })
  }
}
