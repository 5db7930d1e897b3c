import type { ConfigSummary, ConfigVersion } from '@citronnotch/protocol'
import { z } from 'zod'

export const CONFIG_TABLE = 'config'
/** Key of the row that names the version in force. */
export const CURRENT_KEY = 'current'

// Wide enough that keys sort like numbers for centuries of changes.
const VERSION_DIGITS = 12

const versionRowSchema = z.object({
  version: z.int().min(1),
  changeId: z.string().min(1),
  author: z.string(),
  acceptedAt: z.string(),
  files: z.record(z.string(), z.string())
})

const currentRowSchema = versionRowSchema.omit({ files: true })

/** Value of the row `current`. */
export type CurrentRow = z.infer<typeof currentRowSchema>

/** Key of the row that holds the content of a version. */
export function versionKey (version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0')
}

/** Returns undefined when the value isn't a configuration version. */
export function parseVersionRow (value: unknown): ConfigVersion | undefined {
  return versionRowSchema.safeParse(value).data
}

/** Returns undefined when the value isn't a pointer to a version. */
export function parseCurrentRow (value: unknown): CurrentRow | undefined {
  return currentRowSchema.safeParse(value).data
}

export function summaryOf (version: ConfigSummary): ConfigSummary {
  return { version: version.version, author: version.author, acceptedAt: version.acceptedAt }
}
