import type { Clock, Resources, Vm } from '@citronnotch/daemon'
import { auditCell } from './auditCell.js'
import { PlatformStandIn } from './platformStandIn.js'
import type { PlatformStandInOptions } from './platformStandIn.js'
import { TruthLog } from './truthLog.js'
import { WorkerStandIn } from './workerStandIn.js'
import type { WorkerFaults, WorkerStandInOptions } from './workerStandIn.js'

/** Workers of one failure domain. */
export interface FailureDomainOptions {
  readonly region: string
  readonly failureDomain: string
  readonly workers: number
}

export interface CellStandInOptions {
  readonly clock: Clock
  readonly failureDomains: readonly FailureDomainOptions[]
  /** @default { cores: 16, memoryMb: 65536, accelerators: 0 } */
  readonly capacity?: Resources
  /**
   * Workers that share a rack.
   * @default 8
   */
  readonly rackSize?: number
  /** Options of every worker. */
  readonly worker?: Pick<WorkerStandInOptions, 'speed' | 'usageLagMs' | 'usageSpread' | 'backend'>
  /** Options of the platform. */
  readonly platform?: Omit<PlatformStandInOptions, 'clock' | 'log'>
}

/** Body of `POST /control/workers`. */
interface WorkerControl {
  readonly id: string
  readonly action?: string
  readonly faults?: Partial<WorkerFaults>
}

/** A platform and workers in one process, all on 127.0.0.1. */
export class CellStandIn {
  private constructor (
    readonly log: TruthLog,
    readonly platform: PlatformStandIn,
    readonly workers: ReadonlyMap<string, WorkerStandIn>
  ) {
    platform.onControl('workers', body => this.controlWorker(body as WorkerControl))
    platform.onControl('audit', async () => ({ violations: auditCell(log), records: log.records().length }))
  }

  static async create (options: CellStandInOptions): Promise<CellStandIn> {
    const { clock, failureDomains, worker = {}, platform: platformOptions = {}, rackSize = 8 } = options
    const capacity = options.capacity ?? { cores: 16, memoryMb: 65_536, accelerators: 0 }
    const log = TruthLog.create(clock)
    const platform = await PlatformStandIn.create({ ...platformOptions, clock, log })
    const workers = new Map<string, WorkerStandIn>()
    const vms: Vm[] = []
    for (const { region, failureDomain, workers: count } of failureDomains) {
      for (let index = 0; index < count; index++) {
        const workerId = `${failureDomain}-w${index}`
        const standIn = await WorkerStandIn.create({ ...worker, clock, log, workerId, capacity, checkpoints: platform.objects })
        workers.set(workerId, standIn)
        const rack = `${failureDomain}-r${Math.floor(index / rackSize)}`
        vms.push({ id: workerId, role: 'worker', address: standIn.address(), region, failureDomain, rack, state: 'live', ...capacity })
      }
    }
    platform.vms.set(vms)
    platform.vms.publish()
    return new CellStandIn(log, platform, workers)
  }

  worker (id: string): WorkerStandIn {
    const worker = this.workers.get(id)
    if (worker === undefined) throw new Error(`worker ${id} does not exist`)
    return worker
  }

  /** The true VMs of a rack or a failure domain, without lag. */
  workersWhere (where: Partial<Pick<Vm, 'region' | 'failureDomain' | 'rack'>>): readonly WorkerStandIn[] {
    const wanted = Object.entries(where)
    return [...this.workers.values()].filter(worker => {
      const vm = this.platform.vms.get(worker.workerId)
      return vm !== undefined && wanted.every(([name, value]) => vm[name as keyof Vm] === value)
    })
  }

  /** Shows a VM as leaving, after the list's lag. */
  markLeaving (id: string): void {
    const vm = this.platform.vms.get(id)
    if (vm === undefined) throw new Error(`VM ${id} does not exist`)
    this.platform.vms.set([{ ...vm, state: 'leaving' }])
  }

  async close (): Promise<void> {
    await Promise.all([...this.workers.values()].map(worker => worker.close()))
    await this.platform.close()
  }

  private async controlWorker ({ id, action, faults }: WorkerControl) {
    const worker = this.worker(id)
    if (faults !== undefined) worker.setFaults(faults)
    if (action !== undefined) {
      const perform = workerActions[action]
      if (perform === undefined) throw new Error(`action ${action} does not exist; allowed: ${Object.keys(workerActions).join(', ')}`)
      await perform(worker, this)
    }
    return { id, address: worker.address(), faults: worker.faults(), report: worker.report() }
  }
}

const workerActions: Readonly<Record<string, (worker: WorkerStandIn, cell: CellStandIn) => Promise<void>>> = {
  die: worker => worker.die(),
  restart: worker => worker.restartEmpty(),
  pause: async worker => worker.pause(),
  resume: async worker => worker.resume(),
  leave: async (worker, cell) => cell.markLeaving(worker.workerId)
}
