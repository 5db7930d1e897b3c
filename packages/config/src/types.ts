/** Problem in a configuration folder. */
export interface ConfigIssue {
  /** Name of the file; empty if the issue concerns the whole folder. */
  readonly file: string
  /** Line number, from 1; 0 if the issue has no line. */
  readonly line: number
  /** Path of the value, such as `teams.press.share`; empty for the whole document. */
  readonly path: string
  readonly reason: string
  /** Values that are allowed instead, as text. */
  readonly allowed?: string
  /** Valid name that is most similar to the invalid one. */
  readonly nearest?: string
}

/** Value that differs between two configurations. `from` is absent for an added value, `to` for a removed one. */
export interface ConfigChange {
  readonly path: string
  readonly from?: unknown
  readonly to?: unknown
}
