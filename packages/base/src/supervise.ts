import type { Clock } from './clock.js'
import type { Log } from './logger.js'

/** Pause before a loop that has failed is started again, in milliseconds. */
export const RESTART_PAUSE_MS = 200

export interface SuperviseOptions {
  /** Name of the loop in the log. */
  readonly part: string
  readonly signal: AbortSignal
  readonly clock: Clock
  readonly log: Log
  /** Called each time that the loop fails. */
  readonly onFailure?: () => void
}

/**
 * Runs a loop until it returns. A loop that fails before the signal aborts is logged and started again, so that one
 * unforeseen input doesn't end it while the rest of the process goes on. Never rejects.
 */
export async function supervise (run: () => Promise<unknown>, { part, signal, clock, log, onFailure }: SuperviseOptions): Promise<void> {
  for (;;) {
    try {
      await run()
      return
    } catch (err) {
      log.error('Loop failed; starting it again.', { loop: part, err })
      onFailure?.()
    }
    if (signal.aborted) return
    await clock.sleep(RESTART_PAUSE_MS, signal)
  }
}
