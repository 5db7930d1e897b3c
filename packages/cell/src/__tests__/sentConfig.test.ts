import { deflateRawSync } from 'node:zlib'
import test from 'ava'
import { ConfigAnswers, decodeSentConfig } from '../sentConfig.js'
import { decodeKnownConfig } from '../knownConfig.js'
import { createOddValues, createQueue, spreadOverFields } from '../testing/index.js'
import type { CellConfig } from '../types.js'

const AGE_MS = 7

function createConfig (version: number, queues = 3): CellConfig {
  return { version, queues: Array.from({ length: queues }, (_, index) => createQueue({ name: `queue-${index}`, host: `host-${index}.example` })), limits: { maxBodyBytes: 1 } }
}

/** Answers of a daemon that has the configuration in force, as they travel. */
function createAnswers (config: () => CellConfig) {
  const answers = ConfigAnswers.create({ known: version => ({ version: config().version, ageMs: AGE_MS, ...(config().version > version ? { config: config() } : {}) }) })
  return async (version: number, acceptsDeflated?: boolean) => JSON.parse(JSON.stringify(await answers.answer({ version, ...(acceptsDeflated === undefined ? {} : { acceptsDeflated }) }))) as unknown
}

// Guards against CONFIG: daemons of an earlier build and of this one could not tell each other their configuration during an upgrade.
test('a configuration is sent deflated to those that accept it, and daemons of an earlier build understand each answer', async t => {
  const config = createConfig(3)
  const ask = createAnswers(() => config)
  const known = { version: 3, ageMs: AGE_MS, config }
  t.false('config' in (await ask(2, true) as object))
  t.deepEqual(await decodeSentConfig(await ask(2, true), false), known)
  t.deepEqual(decodeKnownConfig(await ask(2), false), known, 'asked by an earlier build')
  t.deepEqual(await decodeSentConfig(known, false), known, 'answered by an earlier build')
  t.deepEqual(await decodeSentConfig(await ask(3, true), false), { version: 3, ageMs: AGE_MS })
})

// Guards against SHORT: a leader that is asked by all others would compress the same configuration for each of them.
test('each version is compressed once', async t => {
  let compressed = 0
  const counted = (version: number): CellConfig => ({ ...createConfig(version), toJSON: () => { compressed++ } } as CellConfig)
  let config = counted(3)
  const answers = ConfigAnswers.create({ known: () => ({ version: config.version, ageMs: AGE_MS, config }) })
  const answer = () => answers.answer({ version: 2, acceptsDeflated: true }).catch(() => {})
  await Promise.all([answer(), answer(), answer()])
  await answer()
  t.is(compressed, 1)
  config = counted(4)
  await answer()
  t.is(compressed, 2)
})

// Guards against processes that end by themselves, and against memory without bound, by what another machine of the network sends.
test('no odd value of another daemon is taken for a deflated configuration, and none fills the memory', async t => {
  const config = createConfig(3)
  const valid = await createAnswers(() => config)(2, true) as { readonly deflated: string }
  for (const [description, odd] of createOddValues()) {
    for (const value of [odd, ...spreadOverFields(valid, odd)]) await t.notThrowsAsync(decodeSentConfig(value, false), description)
  }
  const deflated = (text: string | Buffer) => deflateRawSync(text).toString('base64')
  const texts = [deflated(Buffer.alloc(64 * 1024 * 1024, ' ')), deflated('null'), deflated('{'), deflated(JSON.stringify(createConfig(4))), valid.deflated.slice(0, -8), 'no base64', '']
  for (const text of texts) t.is(await decodeSentConfig({ ...valid, deflated: text }, false), undefined)
})
