import type { Clock } from '@citronnotch/base/clock'
import type { Log } from '@citronnotch/base/logger'

/** Interval between checks of the configuration, in milliseconds; short beside that of load balancers, which is a second. */
const CHECK_INTERVAL_MS = 200

export interface ReadinessOptions {
  readonly hasConfig: () => boolean
  /** Whether the configuration in force is recent enough to be acted on. */
  readonly isConfigConfirmed: () => boolean
  readonly isStoreUnavailable: () => boolean
  /** Time within which a confirmed configuration must be in force, in milliseconds. */
  readonly applyWithinMs: number
  readonly clock: Clock
  readonly log: Log
}

/**
 * Whether load balancers should send callers to this daemon: it has a configuration, reaches the store, and its
 * configuration doesn't stay too old to be acted on. The last changes only after `applyWithinMs` without an interruption,
 * in both directions: a short outage of the configuration takes out none of the daemons, and a single confirmation, which
 * holds for less than that, brings none back. Time without the store doesn't count, as its outage makes the configuration
 * of all daemons old at once, and they are to be ready as soon as it is over.
 */
export class Readiness {
  /** Whether the configuration has stayed too old. */
  private isConfigStale = false
  /** Monotonic time since which the configuration has not been in the state that `isConfigStale` says; undefined if it is. */
  private changingSince: number | undefined

  private constructor (private readonly options: ReadinessOptions) {}

  static create (options: ReadinessOptions): Readiness {
    return new Readiness(options)
  }

  isReady (): boolean {
    return this.options.hasConfig() && !this.options.isStoreUnavailable() && !this.isConfigStale
  }

  /** Follows the configuration until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(CHECK_INTERVAL_MS, signal)
      this.check()
    }
  }

  private check () {
    const { hasConfig, isConfigConfirmed, isStoreUnavailable, applyWithinMs, clock, log } = this.options
    const isStale = !isConfigConfirmed()
    if (!hasConfig() || isStoreUnavailable() || isStale === this.isConfigStale) {
      this.changingSince = undefined
      return
    }
    this.changingSince ??= clock.now()
    if (clock.now() - this.changingSince < applyWithinMs) return
    this.isConfigStale = isStale
    this.changingSince = undefined
    if (isStale) log.warn('Daemon is not ready, as its configuration stays old.')
    else log.info('Daemon is ready again, as its configuration stays confirmed.')
  }
}
