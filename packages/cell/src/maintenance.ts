import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'
import { AT_WORK_PERCENT } from './constants.js'
import type { Directory, VmService, WaveState } from './ports.js'
import type { MaintenanceWave, WorkerVm } from './types.js'
import type { WorkerLink } from './workerLink.js'

/** Interval between reads of the operator's waves, and between looks at the VMs of an unfinished one. */
const WAVES_POLL_MS = 2_000
const VMS_POLL_MS = 500
/** Part of a VM's share of the time of a wave for which its worker may finish what it runs. */
const DRAIN_SHARE = 0.6

/** The service that maintains the VMs of the workers, and its times. */
export interface VmMaintenance {
  readonly vms: VmService
  /** Time after an order for a VM in which no other holder may give one, in milliseconds. */
  readonly orderGapMs: number
  /** Time that the maintenance of a VM takes, in milliseconds. */
  readonly maintenanceMs: number
}

export interface MaintenanceOptions extends VmMaintenance {
  readonly directory: Directory
  readonly holder: string
  /** Above the tokens of all earlier leaders. */
  readonly fencingToken: number
  readonly worker: (id: string) => WorkerLink | undefined
  readonly mayOrder: () => boolean
  readonly onChange: () => void
  readonly clock: Clock
  readonly log: Log
}

interface Ordered {
  /** Worker that ran on the VM before. */
  readonly workerId: string
  /** Monotonic time of the answer; undefined while there is none. */
  acceptedAt: number | undefined
}

interface ActiveWave {
  readonly wave: MaintenanceWave
  readonly startedAt: number
  readonly done: Set<string>
  readonly ordered: Map<string, Ordered>
  /** Monotonic time since which the worker of a VM gets no new work, by VM. */
  readonly drainingSince: Map<string, number>
  isPublished: boolean
}

/** Has the VMs of the operator's waves maintained, a few at a time, idle ones first. */
export class Maintenance {
  private readonly waves = new Map<number, ActiveWave>()
  private readonly completed = new Set<number>()
  private drained: ReadonlySet<string> = new Set()

  private constructor (private readonly options: MaintenanceOptions) {}

  static create (options: MaintenanceOptions): Maintenance {
    return new Maintenance(options)
  }

  /** Whether a worker gets no new work because its VM is next. */
  isDraining (workerId: string): boolean {
    return this.drained.has(workerId)
  }

  async run (signal: AbortSignal): Promise<void> {
    const { clock, mayOrder, orderGapMs } = this.options
    await clock.sleep(orderGapMs, signal)
    while (!signal.aborted) {
      if (mayOrder()) {
        await this.readWaves()
        if (this.waves.size > 0) await this.advance()
      }
      await clock.sleep(this.waves.size > 0 ? VMS_POLL_MS : WAVES_POLL_MS, signal)
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
      this.waves.set(wave.number, { wave, startedAt: clock.now(), done: new Set(), ordered: new Map(), drainingSince: new Map(), isPublished: false })
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
      this.observe(active, byId)
      await this.orderNext(active, byId)
      if (active.wave.vmIds.every(id => active.done.has(id)) && await this.publish(active, 'completed')) this.finish(active)
    }
    this.drained = new Set([...this.waves.values()].flatMap(({ drainingSince }) => [...drainingSince.keys()].flatMap(id => byId.get(id)?.workerId ?? [])))
    this.options.onChange()
  }

  /** Notes which VMs have come back, and which no longer exist. */
  private observe (active: ActiveWave, byId: ReadonlyMap<string, WorkerVm>) {
    const { clock, maintenanceMs } = this.options
    for (const id of active.wave.vmIds) {
      const vm = byId.get(id)
      const ordered = active.ordered.get(id)
      // A repeated order is accepted at once where the maintenance was done before; the worker stays the same then.
      const isBack = vm?.state === 'up' && ordered?.acceptedAt !== undefined &&
        (vm.workerId !== ordered.workerId || clock.now() - ordered.acceptedAt > maintenanceMs + WAVES_POLL_MS)
      if (vm !== undefined && !isBack) continue
      active.done.add(id)
      active.ordered.delete(id)
      active.drainingSince.delete(id)
    }
  }

  private async orderNext (active: ActiveWave, byId: ReadonlyMap<string, WorkerVm>) {
    const { clock } = this.options
    const open = active.wave.vmIds.filter(id => !active.done.has(id)).flatMap(id => byId.get(id) ?? [])
    // An order of an earlier leader shows only in the state of the VM.
    const busy = open.filter(vm => active.ordered.has(vm.id) || vm.state === 'maintenance')
    for (const vm of busy) if (active.ordered.get(vm.id)?.acceptedAt === undefined) await this.order(active, vm)
    const waiting = open.filter(vm => !busy.includes(vm) && vm.state === 'up')
      .sort((a, b) => Number(active.drainingSince.has(b.id)) - Number(active.drainingSince.has(a.id)) || this.load(a) - this.load(b))
    for (const vm of waiting.slice(0, Math.max(0, active.wave.maxConcurrent - busy.length))) {
      const since = active.drainingSince.get(vm.id) ?? clock.now()
      active.drainingSince.set(vm.id, since)
      const isDue = this.load(vm) === 0 || clock.now() - since >= this.drainMs(active.wave)
      if (isDue && this.mayInterrupt(vm)) await this.order(active, vm)
    }
  }

  private async order (active: ActiveWave, vm: WorkerVm) {
    const { vms, clock, holder, fencingToken, mayOrder, log } = this.options
    if (!mayOrder()) return
    const ordered = active.ordered.get(vm.id) ?? { workerId: vm.workerId, acceptedAt: undefined }
    active.ordered.set(vm.id, ordered)
    const res = await vms.startMaintenance({ vmId: vm.id, wave: active.wave.number, holder, fencingToken })
    log.info('Maintenance ordered.', { wave: active.wave.number, vm: vm.id, worker: vm.workerId, token: fencingToken, runs: this.load(vm), outcome: res.ok ? res.val : res.val.reason })
    if (res.err) {
      if (res.val.verdict === 'not-run') active.ordered.delete(vm.id)
      return
    }
    if (res.val === 'accepted') ordered.acceptedAt = clock.now()
    // A VM that is busy because of this very order keeps its place until it is up again.
    else if (vm.state !== 'maintenance') active.ordered.delete(vm.id)
    if (res.val === 'not-in-wave') active.done.add(vm.id)
  }

  private load ({ workerId }: WorkerVm): number {
    return this.options.worker(workerId)?.runs.size ?? 0
  }

  /** Time for which a worker may finish what it runs, so that the wave ends in time. */
  private drainMs ({ durationMs, maxConcurrent, vmIds }: MaintenanceWave): number {
    return Math.max(0, DRAIN_SHARE * (durationMs * maxConcurrent / Math.max(1, vmIds.length) - this.options.maintenanceMs))
  }

  /** Whether the steps of the tasks on a VM allow that these are away, beside those that are away already. */
  private mayInterrupt ({ workerId }: WorkerVm): boolean {
    const perStep = new Map<object, number>()
    for (const { task } of this.options.worker(workerId)?.runs.values() ?? []) {
      const { step } = task ?? {}
      if (step === undefined || step.spec.maxUnavailable === 0) continue
      const away = perStep.get(step) ?? step.tasks.filter(each => !each.runs.some(run => run.percent >= AT_WORK_PERCENT)).length
      if (away + 1 > step.spec.maxUnavailable) return false
      perStep.set(step, away + 1)
    }
    return true
  }

  private async publish ({ wave }: ActiveWave, state: WaveState): Promise<boolean> {
    const { directory, log } = this.options
    const res = await directory.publishWave(wave.number, state)
    if (res.ok) return true
    log.warn('State of a wave is not published yet.', { wave: wave.number, state, verdict: res.val.verdict, reason: res.val.reason })
    return false
  }

  private finish ({ wave, startedAt }: ActiveWave) {
    const { clock, log } = this.options
    this.waves.delete(wave.number)
    this.completed.add(wave.number)
    log.info('Maintenance wave is completed.', { wave: wave.number, tookMs: Math.round(clock.now() - startedAt), durationMs: wave.durationMs })
  }
}
