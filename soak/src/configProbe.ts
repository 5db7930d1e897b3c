import type { Clock } from '@citronnotch/base/clock'
import type { Audit } from '@citronnotch/cell/testing'
import { oneQueueConfig } from '@citronnotch/platform/testing'
import type { Emulator } from '@citronnotch/platform/testing'
import { Agent, request } from 'undici'

/** Time within which a confirmed configuration must be in force: the default of the daemons' settings, in milliseconds. */
const APPLY_WITHIN_MS = 2_500
const REQUEST_TIMEOUT_MS = 3_000
/** Number of versions after which the route of a version is removed again. */
const ROUTE_LIFETIME = 2

interface Version {
  readonly number: number
  readonly writtenAt: number
}

/**
 * Writes configurations, each with a route of its own, and asks all daemons for these routes: whatever the store and the
 * other daemons do, a daemon must not answer as only an older configuration allows, but may refuse to answer.
 */
export class ConfigProbe {
  private readonly agent = new Agent({ connections: 1, pipelining: 1 })
  private readonly versions: Version[] = []

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
    const answers = await Promise.all(this.addresses.map(async address => ({ address, isOld: await this.answersByEarlier(address, due.number) })))
    // A daemon that was suspended may answer by a version that was written after the probe was sent.
    if (this.isOutdated(due)) return
    for (const { address, isOld } of answers) {
      if (isOld) this.audit.violations.push(`${address} answers by a version before ${due.number}, written ${Math.round(sentAt - due.writtenAt)} ms before`)
    }
  }

  close (): Promise<void> {
    return this.agent.destroy()
  }

  /** Whether a later version has removed the route that this one adds. */
  private isOutdated (version: Version): boolean {
    return (this.versions[this.versions.length - 1]?.number ?? 0) >= version.number + ROUTE_LIFETIME
  }

  /** Whether the daemon answers as only an earlier version allows. */
  private async answersByEarlier (address: string, version: number): Promise<boolean> {
    const [added, removed] = await Promise.all([this.statusOf(address, version), this.statusOf(address, version - ROUTE_LIFETIME)])
    return added === 404 || removed === 200
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
