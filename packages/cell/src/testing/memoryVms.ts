import type { Clock } from '@citronnotch/base/clock'
import { Failure } from '@citronnotch/base/errors'
import { Err, Ok } from '@citronnotch/base/result'
import type { Result } from '@citronnotch/base/result'
import type { MaintenanceOrder, MaintenanceOutcome, VmService } from '../ports.js'
import type { WorkerVm } from '../types.js'

interface MemoryVm {
  workerId: string
  /** Time at which the VM is up again after its last maintenance; 0 before the first one. */
  upAt: number
  readonly maintainedWaves: Set<number>
}

/** In-memory VM service that records the maintenance orders and the largest number of VMs down at once. */
export class MemoryVms implements VmService {
  readonly orders: MaintenanceOrder[] = []
  peakDownCount = 0
  /** Whether the answer to an order is lost; the order still takes effect. */
  shouldLoseAnswer: (order: MaintenanceOrder) => boolean = () => false
  private readonly vms = new Map<string, MemoryVm>()

  private constructor (private readonly clock: Clock, private readonly maintenanceMs: number) {}

  static create (clock: Clock, maintenanceMs: number, workers: Readonly<Record<string, string>>): MemoryVms {
    const service = new MemoryVms(clock, maintenanceMs)
    for (const [id, workerId] of Object.entries(workers)) service.vms.set(id, { workerId, upAt: 0, maintainedWaves: new Set() })
    return service
  }

  hasHadMaintenance (id: string, wave: number): boolean {
    return this.vms.get(id)?.maintainedWaves.has(wave) === true
  }

  async list (): Promise<Result<readonly WorkerVm[], Failure>> {
    return Ok([...this.vms].map(([id, vm]) => ({ id, state: this.isDown(vm) ? 'maintenance' as const : 'up' as const, workerId: vm.workerId })))
  }

  async startMaintenance (order: MaintenanceOrder): Promise<Result<MaintenanceOutcome, Failure>> {
    this.orders.push(order)
    const vm = this.vms.get(order.vmId)
    if (vm === undefined) return Ok('not-in-wave')
    if (!vm.maintainedWaves.has(order.wave)) {
      if (this.isDown(vm)) return Ok('busy')
      vm.maintainedWaves.add(order.wave)
      vm.upAt = this.clock.now() + this.maintenanceMs
      vm.workerId = `${vm.workerId}+`
      this.peakDownCount = Math.max(this.peakDownCount, [...this.vms.values()].filter(other => this.isDown(other)).length)
    }
    return this.shouldLoseAnswer(order) ? Err(Failure.mayHaveRun('vm-service-answer-lost', 'The answer was lost.')) : Ok('accepted')
  }

  async close (): Promise<void> {}

  private isDown (vm: MemoryVm): boolean {
    return vm.upAt > this.clock.now()
  }
}
