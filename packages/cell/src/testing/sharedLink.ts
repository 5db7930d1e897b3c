import type { Clock } from '@citronnotch/base/clock'

const TICK_MS = 10

interface Transfer {
  remainingBytes: number
  readonly settle: (isComplete: boolean) => void
  readonly deadline: number
}

/** Link of limited width that all transfers under way share in equal parts. A transfer that reaches its timeout takes no more of it. */
export class SharedLink {
  private transfers: readonly Transfer[] = []
  private isRunning = false

  private constructor (private readonly clock: Clock, private readonly bytesPerSecond: number) {}

  static create (clock: Clock, bytesPerSecond: number): SharedLink {
    return new SharedLink(clock, bytesPerSecond)
  }

  /** Resolves with whether the bytes have arrived within the timeout, in milliseconds. */
  transfer (bytes: number, timeoutMs: number): Promise<boolean> {
    return new Promise(resolve => {
      this.transfers = [...this.transfers, { remainingBytes: bytes, settle: resolve, deadline: this.clock.now() + timeoutMs }]
      this.run().catch(() => {})
    })
  }

  private async run () {
    if (this.isRunning) return
    this.isRunning = true
    while (this.transfers.length > 0) {
      await this.clock.sleep(TICK_MS)
      const share = this.bytesPerSecond * TICK_MS / 1_000 / this.transfers.length
      for (const transfer of this.transfers) transfer.remainingBytes -= share
      const isOver = (transfer: Transfer) => transfer.remainingBytes <= 0 || this.clock.now() >= transfer.deadline
      const over = this.transfers.filter(isOver)
      this.transfers = this.transfers.filter(transfer => !isOver(transfer))
      for (const { settle, remainingBytes } of over) settle(remainingBytes <= 0)
    }
    this.isRunning = false
  }
}
