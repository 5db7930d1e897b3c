import type { Clock, Vm } from '@citronnotch/daemon'

interface Snapshot { readonly at: number, readonly number: number, readonly vms: ReadonlyMap<string, Vm> }

/** Live and leaving VMs, shown as they were some time ago. */
export class VmRegistry {
  private snapshots: Snapshot[] = [{ at: -Infinity, number: 0, vms: new Map() }]

  private constructor (private readonly clock: Clock, private readonly lagMs: number) {}

  static create (clock: Clock, lagMs: number): VmRegistry {
    return new VmRegistry(clock, lagMs)
  }

  /** Adds or replaces VMs. */
  set (vms: readonly Vm[]): void {
    this.change(next => { for (const vm of vms) next.set(vm.id, vm) })
  }

  remove (ids: readonly string[]): void {
    this.change(next => { for (const id of ids) next.delete(id) })
  }

  /** The true state of a VM, without lag. */
  get (id: string): Vm | undefined {
    return this.snapshots.at(-1)?.vms.get(id)
  }

  /** Shows the present state at once; for the start of a cell. */
  publish (): void {
    const latest = this.snapshots.at(-1) as Snapshot
    this.snapshots = [{ ...latest, at: -Infinity }]
  }

  /** The list as callers of the platform see it, and a number that identifies its state. */
  visible (failureDomain?: string): { readonly number: number, readonly vms: readonly Vm[] } {
    const visibleUntil = this.clock.now() - this.lagMs
    const index = this.snapshots.findLastIndex(snapshot => snapshot.at <= visibleUntil)
    this.snapshots = this.snapshots.slice(index)
    const { number, vms } = this.snapshots[0] as Snapshot
    return { number, vms: [...vms.values()].filter(vm => failureDomain === undefined || vm.failureDomain === failureDomain) }
  }

  private change (update: (next: Map<string, Vm>) => void) {
    const latest = this.snapshots.at(-1) as Snapshot
    const vms = new Map(latest.vms)
    update(vms)
    this.snapshots.push({ at: this.clock.now(), number: latest.number + 1, vms })
  }
}
