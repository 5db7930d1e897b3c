import { promisify } from 'node:util'
import { deflateRaw, inflateRaw } from 'node:zlib'
import { recordOf } from '@citronnotch/base/untrusted'
import type { ConfigInForce, KnownConfig } from './configInForce.js'
import { decodeKnownConfig } from './knownConfig.js'
import type { CellConfig } from './types.js'

const deflate = promisify(deflateRaw)
const inflate = promisify(inflateRaw)

/** Limits the memory that the configuration of another daemon can take, in bytes of JSON. */
const MAX_CONFIG_BYTES = 16 * 1024 * 1024

/** What a daemon asks another one for: its configuration if that is later than `version`. Daemons of an earlier build don't accept it deflated. */
export interface ConfigRequest {
  readonly version: number
  readonly acceptsDeflated?: boolean
}

/** A known configuration on its way to another daemon, in full or as base64 of its deflated JSON. */
export type SentConfig = Partial<KnownConfig> & { readonly deflated?: string }

/** Answers other daemons that ask for the configuration in force. Each version is compressed once, when a daemon asks for it first. */
export class ConfigAnswers {
  private compressed: { readonly config: CellConfig, readonly text: Promise<string> } | undefined

  private constructor (private readonly inForce: Pick<ConfigInForce, 'known'>) {}

  static create (inForce: Pick<ConfigInForce, 'known'>): ConfigAnswers {
    return new ConfigAnswers(inForce)
  }

  async answer ({ version, acceptsDeflated }: ConfigRequest): Promise<SentConfig> {
    const known = this.inForce.known(version)
    if (known?.config === undefined || acceptsDeflated !== true) return known ?? {}
    const { config, ...fields } = known
    return { ...fields, deflated: await this.compress(config) }
  }

  private compress (config: CellConfig): Promise<string> {
    if (this.compressed?.config !== config) this.compressed = { config, text: deflate(JSON.stringify(config)).then(bytes => bytes.toString('base64')) }
    return this.compressed.text
  }
}

/** Returns undefined if the value isn't what a daemon tells of its configuration; `hasAccounts` as in `decodeKnownConfig`. */
export async function decodeSentConfig (value: unknown, hasAccounts: boolean): Promise<KnownConfig | undefined> {
  const { deflated, ...fields } = recordOf(value)
  if (deflated === undefined) return decodeKnownConfig(value, hasAccounts)
  if (typeof deflated !== 'string') return undefined
  try {
    const json = await inflate(Buffer.from(deflated, 'base64'), { maxOutputLength: MAX_CONFIG_BYTES })
    return decodeKnownConfig({ ...fields, config: JSON.parse(json.toString('utf8')) as unknown }, hasAccounts)
  } catch {
    return undefined
  }
}
