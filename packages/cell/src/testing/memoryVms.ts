import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { MaintenanceOrder, MaintenanceOutcome, VmService } from '../ports.js'
import type { WorkerVm } from '../types.js'

interface MemoryVm {
  workerId: string
  /** Time at which it is up again; 0 while it is up. */
  upAt: number
  readonly doneWaves: Set<number>
}

/** VMs in memory, with a record of what was ordered and how many were down at once. */
export class MemoryVms implements VmService {
  readonly orders: MaintenanceOrder[] = []
  mostDown = 0
  /** Decides whether the answer of an order is lost. */
  losesAnswer: (order: MaintenanceOrder) => boolean = () => false
  private readonly vms = new Map<string, MemoryVm>()

  private constructor (private readonly clock: Clock, private readonly maintenanceMs: number) {}

  static create (clock: Clock, maintenanceMs: number, workers: Readonly<Record<string, string>>): MemoryVms {
    const service = new MemoryVms(clock, maintenanceMs)
    for (const [id, workerId] of Object.entries(workers)) service.vms.set(id, { workerId, upAt: 0, doneWaves: new Set() })
    return service
  }

  isMaintained (id: string, wave: number): boolean {
    return this.vms.get(id)?.doneWaves.has(wave) === true
  }

  async list (): Promise<Result<readonly WorkerVm[], Failure>> {
    return Ok([...this.vms].map(([id, vm]) => ({ id, state: this.isDown(vm) ? 'maintenance' as const : 'up' as const, workerId: vm.workerId })))
  }

  async startMaintenance (order: MaintenanceOrder): Promise<Result<MaintenanceOutcome, Failure>> {
    this.orders.push(order)
    const vm = this.vms.get(order.vmId)
    if (vm === undefined) return Ok('not-in-wave')
    if (!vm.doneWaves.has(order.wave)) {
      if (this.isDown(vm)) return Ok('busy')
      vm.doneWaves.add(order.wave)
      vm.upAt = this.clock.now() + this.maintenanceMs
      vm.workerId = `${vm.workerId}+`
      this.mostDown = Math.max(this.mostDown, [...this.vms.values()].filter(each => this.isDown(each)).length)
    }
    return this.losesAnswer(order) ? Err(Failure.mayHaveRun('vm-service-answer-lost', 'The answer was lost.')) : Ok('accepted')
  }

  async close (): Promise<void> {}

  private isDown (vm: MemoryVm): boolean {
    return vm.upAt > this.clock.now()
  }
}
