/** Holds everything that passes while it is closed. */
export class PauseGate {
  private opened: Promise<void> | undefined
  private open: (() => void) | undefined

  static create (): PauseGate {
    return new PauseGate()
  }

  paused (): boolean {
    return this.opened !== undefined
  }

  pause (): void {
    this.opened ??= new Promise(resolve => { this.open = resolve })
  }

  resume (): void {
    this.open?.()
    this.opened = undefined
  }

  /** Resolves when the gate is open. */
  async passed (): Promise<void> {
    while (this.opened !== undefined) await this.opened
  }
}
