import type { Clock } from '../clock.js'
import type { Member } from '../membership/types.js'
import { FULL_BACKOFF_MS } from './constants.js'
import type { OwnedRoom } from './types.js'

export interface ShardChoiceOptions {
  readonly self: Pick<Member, 'region' | 'failureDomain'>
  readonly roomView: () => readonly OwnedRoom[]
  readonly clock: Clock
  readonly random: () => number
}

/** Requests of this entry at one shard, and what gossip showed when it last changed. */
interface Seen { freeSlots: number, queued: number, atChange: number, outstanding: number, fullUntil: number }

/** Queued requests for each backend server from which on a shard counts as full. */
const FULL_QUEUE_PER_SERVER = 1

type Tier = 'failureDomain' | 'region' | 'remote'

/** Chooses a shard for a request: near before far, and with free slots before without. */
export class ShardChoice {
  private readonly seen = new Map<string, Seen>()

  private constructor (private readonly options: ShardChoiceOptions) {}

  static create (options: ShardChoiceOptions): ShardChoice {
    return new ShardChoice(options)
  }

  /** Returns undefined when no shard outside `excluded` has a backend server. */
  choose (service: string, excluded: ReadonlySet<string>): OwnedRoom | undefined {
    const rooms = this.options.roomView().filter(room => room.service === service && room.backendServers > 0 && !excluded.has(room.shardId))
    const tiers: Record<Tier, OwnedRoom[]> = { failureDomain: [], region: [], remote: [] }
    for (const room of rooms) tiers[this.tierOf(room)].push(room)
    const near = [...tiers.failureDomain, ...tiers.region]
    const isOpen = (room: OwnedRoom) => !this.isFull(room)
    const hasFree = (room: OwnedRoom) => isOpen(room) && this.freeSlots(room) > 0
    // A request crosses a region border only when no near shard would take it soon.
    return this.leastLoaded(tiers.failureDomain.filter(hasFree)) ??
      this.leastLoaded(tiers.region.filter(hasFree)) ??
      this.leastLoaded(near.filter(isOpen)) ??
      this.leastLoaded(tiers.remote.filter(hasFree)) ??
      this.leastLoaded(tiers.remote.filter(isOpen)) ??
      this.leastLoaded(near) ??
      this.leastLoaded(tiers.remote)
  }

  isRemote (room: OwnedRoom): boolean {
    return this.tierOf(room) === 'remote'
  }

  /** Takes note of a request sent to a shard; the returned function is called when it has ended. */
  started (room: OwnedRoom): () => void {
    const seen = this.see(room)
    seen.outstanding++
    return () => { seen.outstanding-- }
  }

  /** Takes note that a shard refused for lack of room. */
  refused (room: OwnedRoom): void {
    this.see(room).fullUntil = this.options.clock.now() + FULL_BACKOFF_MS
  }

  private leastLoaded (rooms: readonly OwnedRoom[]): OwnedRoom | undefined {
    if (rooms.length <= 1) return rooms[0]
    // Two random choices: always taking the least loaded would send every entry to the same shard until the next gossip.
    const first = Math.floor(this.options.random() * rooms.length)
    const second = (first + 1 + Math.floor(this.options.random() * (rooms.length - 1))) % rooms.length
    const [a, b] = [rooms[first]!, rooms[second]!]
    return this.load(a) <= this.load(b) ? a : b
  }

  private load (room: OwnedRoom): number {
    return (room.queuedRequests - this.freeSlots(room)) / room.backendServers
  }

  private freeSlots (room: OwnedRoom): number {
    const { outstanding, atChange } = this.see(room)
    return room.local ? room.freeSlots : room.freeSlots - Math.max(0, outstanding - atChange)
  }

  private isFull (room: OwnedRoom): boolean {
    if (this.see(room).fullUntil > this.options.clock.now()) return true
    const queued = room.queuedRequests + Math.max(0, -this.freeSlots(room))
    return this.freeSlots(room) <= 0 && queued >= room.backendServers * FULL_QUEUE_PER_SERVER
  }

  private tierOf ({ owner }: OwnedRoom): Tier {
    const { self } = this.options
    if (owner.failureDomain === self.failureDomain) return 'failureDomain'
    return owner.region === self.region ? 'region' : 'remote'
  }

  private see (room: OwnedRoom): Seen {
    const key = `${room.shardId}\n${room.service}`
    let seen = this.seen.get(key)
    if (seen === undefined) {
      seen = { freeSlots: room.freeSlots, queued: room.queuedRequests, atChange: 0, outstanding: 0, fullUntil: 0 }
      this.seen.set(key, seen)
    }
    if (seen.freeSlots !== room.freeSlots || seen.queued !== room.queuedRequests) {
      Object.assign(seen, { freeSlots: room.freeSlots, queued: room.queuedRequests, atChange: seen.outstanding })
    }
    return seen
  }
}
