/** Queue that serves teams in turn, so that a team with many entries doesn't delay the others. */
export class FairQueue<T> {
  /** Teams in the order of their next turn. */
  private readonly byTeam = new Map<string, T[]>()
  private count = 0

  static create<T> (): FairQueue<T> {
    return new FairQueue<T>()
  }

  get length (): number {
    return this.count
  }

  push (team: string, item: T): void {
    const queue = this.byTeam.get(team)
    if (queue === undefined) this.byTeam.set(team, [item])
    else queue.push(item)
    this.count++
  }

  /** Takes the oldest entry of the team whose turn it is. */
  shift (): T | undefined {
    const next = this.byTeam.entries().next()
    if (next.done) return undefined
    const [team, queue] = next.value
    const item = queue.shift()
    this.byTeam.delete(team)
    if (queue.length > 0) this.byTeam.set(team, queue)
    this.count--
    return item
  }

  remove (team: string, item: T): boolean {
    const queue = this.byTeam.get(team)
    const at = queue?.indexOf(item) ?? -1
    if (queue === undefined || at < 0) return false
    queue.splice(at, 1)
    if (queue.length === 0) this.byTeam.delete(team)
    this.count--
    return true
  }

  /** Entries that would be served before a new one of `team`. */
  aheadOf (team: string): number {
    const own = this.byTeam.get(team)?.length ?? 0
    let ahead = 0
    for (const [other, queue] of this.byTeam) ahead += other === team ? own : Math.min(queue.length, own + 1)
    return ahead
  }

  /** Takes the newest entry of the longest team queue, if that is longer than `team`'s would become. */
  evictFor (team: string): T | undefined {
    let longest: T[] | undefined
    let longestTeam = ''
    for (const [other, queue] of this.byTeam) {
      if (longest === undefined || queue.length > longest.length) [longest, longestTeam] = [queue, other]
    }
    const own = this.byTeam.get(team)?.length ?? 0
    if (longest === undefined || longest.length <= own + 1) return undefined
    const item = longest.at(-1)!
    this.remove(longestTeam, item)
    return item
  }

  /** Takes every entry. */
  clear (): readonly T[] {
    const all = [...this.byTeam.values()].flat()
    this.byTeam.clear()
    this.count = 0
    return all
  }
}
