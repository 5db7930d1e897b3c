import type { Clock } from '@citronnotch/base/clock'
import type { Audit } from '@citronnotch/cell/testing'
import { oneQueueConfig } from '@citronnotch/platform/testing'
import type { Emulator } from '@citronnotch/platform/testing'
import { Agent, request } from 'undici'

/** Time within which a confirmed configuration must be in force: the default of the daemons' settings, in milliseconds. */
const APPLY_WITHIN_MS = 2_500
/** Time for which another daemon must have answered by the configuration; probes and refreshes fit into it. */
const KNOWN_FOR_MS = 2_000
const REQUEST_TIMEOUT_MS = 3_000
/** Number of versions after which the route of a version is removed again. */
const ROUTE_LIFETIME = 2

interface Version {
  readonly number: number
  readonly writtenAt: number
}

/**
 * Writes configurations, each with a route of its own, and asks all daemons for these routes: a daemon must not answer
 * as only an older configuration allows while another one, which it reaches, has been answering by the later one.
 */
export class ConfigProbe {
  private readonly agent = new Agent({ connections: 1, pipelining: 1 })
  private readonly versions: Version[] = []
  /** Time since which each daemon has answered every probe by the latest due version, by address. */
  private readonly upToDateSince = new Map<string, { readonly version: number, readonly since: number }>()

  private constructor (
    private readonly addresses: readonly string[], private readonly emulator: Emulator, private readonly host: string, private readonly pathPrefix: string,
    private readonly audit: Audit, private readonly clock: Clock
  ) {}

  static create (addresses: readonly string[], emulator: Emulator, host: string, pathPrefix: string, audit: Audit, clock: Clock): ConfigProbe {
    return new ConfigProbe(addresses, emulator, host, pathPrefix, audit, clock)
  }

  /** Writes the next version of the configuration. */
  change (): void {
    const number = (this.versions[this.versions.length - 1]?.number ?? 0) + 1
    const config = oneQueueConfig(this.host, this.pathPrefix)
    const [route] = config.routes as readonly object[]
    const added = Array.from({ length: ROUTE_LIFETIME }, (_, index) => number - index).filter(other => other > 0)
    this.emulator.putConfig({ version: number, routes: [route, ...added.map(other => ({ ...route, name: `added-${other}`, path_prefix: prefixOf(other) }))] })
    this.versions.push({ number, writtenAt: this.clock.now() })
  }

  /** Asks each daemon for the route that the latest due version adds and for the one that it removes. */
  async probe (): Promise<void> {
    const sentAt = this.clock.now()
    const due = [...this.versions].reverse().find(({ writtenAt }) => sentAt - writtenAt > APPLY_WITHIN_MS)
    if (due === undefined || this.isOutdated(due)) return
    const answers = await Promise.all(this.addresses.map(async address => ({ address, isUpToDate: await this.isUpToDate(address, due.number) })))
    // A daemon that was suspended may answer by a version that was written after the probe was sent.
    if (this.isOutdated(due)) return
    const isKnown = [...this.upToDateSince.values()].some(({ version, since }) => version === due.number && sentAt - since >= KNOWN_FOR_MS)
    for (const { address, isUpToDate } of answers) {
      if (isUpToDate === false && isKnown) this.audit.violations.push(`${address} answers by a version before ${due.number}, written ${Math.round(sentAt - due.writtenAt)} ms before`)
      const known = this.upToDateSince.get(address)
      if (isUpToDate !== true) this.upToDateSince.delete(address)
      else if (known?.version !== due.number) this.upToDateSince.set(address, { version: due.number, since: sentAt })
    }
  }

  close (): Promise<void> {
    return this.agent.destroy()
  }

  /** Whether a later version has removed the route that this one adds. */
  private isOutdated (version: Version): boolean {
    return (this.versions[this.versions.length - 1]?.number ?? 0) >= version.number + ROUTE_LIFETIME
  }

  /** Undefined if the daemon gave no answer, or refused to give one. */
  private async isUpToDate (address: string, version: number): Promise<boolean | undefined> {
    const [added, removed] = await Promise.all([this.statusOf(address, version), this.statusOf(address, version - ROUTE_LIFETIME)])
    if (added === 404 || removed === 200) return false
    return added === 200 && removed === 404 ? true : undefined
  }

  /** Status 0: there was no complete answer. */
  private async statusOf (address: string, version: number): Promise<number> {
    try {
      const res = await request(`http://${address}${prefixOf(version)}`, { dispatcher: this.agent, headers: { host: this.host }, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
      await res.body.dump()
      return res.statusCode
    } catch {
      return 0
    }
  }
}

function prefixOf (version: number): string {
  return `/added-${version}/`
}
