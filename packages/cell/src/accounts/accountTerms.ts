import type { ClientAccount } from '../types.js'

/** Maximum number of dropped accounts whose terms are kept, as many as a configuration may list. */
const MAX_DROPPED = 10_000

/**
 * The client accounts of the configuration in force, by name. An account that a later version drops keeps its last terms
 * as far as this daemon has seen them, since its accepted jobs go on.
 */
export class AccountTerms {
  private listed: readonly ClientAccount[] | undefined
  private changes = 0
  private byName = new Map<string, ClientAccount>()

  private constructor (private readonly inForce: () => readonly ClientAccount[] | undefined) {}

  /** `inForce`: the accounts of the configuration in force; undefined if the cell has none. */
  static create (inForce: () => readonly ClientAccount[] | undefined): AccountTerms {
    return new AccountTerms(inForce)
  }

  /** Whether the cell has accounts. */
  areInUse (): boolean {
    return this.inForce() !== undefined
  }

  /** Accounts of the configuration in force. */
  all (): readonly ClientAccount[] {
    return this.inForce() ?? []
  }

  /** Grows with each change. */
  version (): number {
    this.refresh()
    return this.changes
  }

  get (name: string): ClientAccount | undefined {
    this.refresh()
    return this.listed === undefined ? undefined : this.byName.get(name)
  }

  /** Takes note of the version in force; called with each one, as a look-up may come only after the next. */
  refresh (): void {
    const listed = this.inForce()
    if (listed === this.listed) return
    this.changes++
    if (listed === undefined) this.listed = undefined
    else this.update(listed)
  }

  private update (listed: readonly ClientAccount[]) {
    const current = new Map<string, ClientAccount>()
    // The first of two accounts with the same name counts.
    for (const account of listed) if (!current.has(account.name)) current.set(account.name, account)
    const dropped = [...this.byName].filter(([name]) => !current.has(name)).slice(-MAX_DROPPED)
    this.byName = new Map([...dropped, ...current])
    this.listed = listed
  }
}
