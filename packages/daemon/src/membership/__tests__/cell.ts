import { ManualClock } from '../../clock.js'
import { silentLog } from '../../logger.js'
import { HybridClock, Timeline } from '../../timeline/index.js'
import { Membership } from '../index.js'
import type { LossReason, Member, MembershipOptions, SessionRow, ShardPlace, ShardRow } from '../index.js'
import { FakeStore, FakeTables } from './fakeTables.js'
import { Host } from './host.js'

export interface Daemon {
  readonly host: Host
  readonly tables: FakeTables
  readonly membership: Membership
  readonly losses: LossReason[]
  /** Resolves when `run` has returned. */
  readonly done: Promise<void>
}

interface StartOptions {
  readonly incarnation?: string
  readonly failureDomain?: string
  readonly region?: string
  readonly rate?: number
}

export const SUVA: ShardPlace = { shardId: 'suva-a', failureDomain: 'suva-a', region: 'viti-levu' }

/** Daemons on simulated hosts with one store, and a monitor of the invariants of ownership. */
export class Cell {
  readonly wire = ManualClock.create()
  readonly store = new FakeStore()
  readonly daemons: Daemon[] = []
  /** Broken invariants, empty when all is well. */
  readonly violations: string[] = []
  private readonly epochs = new Map<string, number>()

  constructor (
    private readonly options: MembershipOptions = {},
    private readonly places: readonly ShardPlace[] = [SUVA]
  ) {
    this.store.onWrite = ({ table, key, value }) => {
      if (table !== 'shards') return
      const { epoch, released } = value as ShardRow
      const last = this.epochs.get(key) ?? 0
      if (epoch < last || (epoch === last && !released)) this.violations.push(`epoch of ${key} went from ${last} to ${epoch}`)
      this.epochs.set(key, epoch)
    }
  }

  start (daemonId: string, { incarnation = `${daemonId}-1`, failureDomain = 'suva-a', region = 'viti-levu', rate = 1 }: StartOptions = {}): Daemon {
    const host = new Host(this.wire, rate)
    const tables = new FakeTables(this.store, host)
    const self: Member = {
      daemonId, incarnation, region, failureDomain, peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:2', operatorAddress: '127.0.0.1:3'
    }
    const timeline = Timeline.create({ daemonId, hlc: HybridClock.create(host) })
    const membership = Membership.create({
      self, tables, clock: host, log: silentLog, timeline, shards: () => this.places, options: this.options
    })
    const losses: LossReason[] = []
    membership.addListener({ acquired () {}, lost: (_shardId, reason) => losses.push(reason) })
    const daemon = { host, tables, membership, losses, done: membership.run(new AbortController().signal) }
    this.daemons.push(daemon)
    return daemon
  }

  /** Lets time pass, checking the invariants four times a second. */
  async pass (ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 250) {
      await this.wire.advance(Math.min(left, 250))
      this.check()
    }
  }

  /** Wakes a host and checks what its process sees before anything else runs there. */
  wake ({ host }: Daemon): void {
    host.wake()
    this.check()
  }

  row (shardId = 'suva-a'): ShardRow | undefined {
    return this.store.rows.get(`shards ${shardId}`)?.value as ShardRow | undefined
  }

  session (key: string): SessionRow | undefined {
    return this.store.rows.get(`sessions ${key}`)?.value as SessionRow | undefined
  }

  /** Live daemon that the shard row names. */
  owner (shardId = 'suva-a'): Daemon {
    const owner = this.daemons.find(({ membership }) => membership.self.incarnation === this.row(shardId)?.owner.incarnation)
    if (owner === undefined) throw new Error(`${shardId} has no owner`)
    return owner
  }

  private check () {
    const running = this.daemons.filter(({ host }) => host.isAlive && !host.isPaused)
    for (const { shardId } of this.places) {
      const all = running.flatMap(({ membership }) => {
        const authority = membership.authority(shardId)
        return authority === undefined ? [] : [{ id: membership.self.incarnation, membership, ...authority }]
      })
      const attached = all.filter(({ mode }) => mode === 'attached')
      if (attached.length > 1) this.violations.push(`${attached.map(({ id }) => id).join(' and ')} are both attached to ${shardId}`)
      const { owner, epoch } = this.row(shardId) ?? {}
      for (const one of attached) {
        if (one.id !== owner?.incarnation || one.epoch !== epoch) this.violations.push(`${one.id} is attached to ${shardId}, the row names ${owner?.incarnation}`)
      }
      for (const one of all) {
        const former = all.find(other => other.epoch < one.epoch)
        if (former !== undefined && one.membership.predecessorsEnded(shardId)) this.violations.push(`${one.id} counts ${former.id} as ended on ${shardId}`)
      }
    }
  }
}
