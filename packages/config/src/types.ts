/** One fault of a configuration folder. */
export interface ConfigIssue {
  /** Empty when the folder itself is at fault. */
  readonly file: string
  /** Counted from 1; 0 when the fault has no line. */
  readonly line: number
  /** Path of the value, such as `teams.press.share`; empty for the whole document. */
  readonly path: string
  readonly reason: string
  /** What may be written instead. */
  readonly allowed?: string
  /** Known name that is nearest to an unknown one. */
  readonly nearest?: string
}

/** A value that differs between two configurations; `undefined` means absent. */
export interface ConfigChange {
  readonly path: string
  readonly from?: unknown
  readonly to?: unknown
}
