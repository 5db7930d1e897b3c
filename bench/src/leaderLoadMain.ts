import { cac } from 'cac'
import { runLeaderLoad } from './leaderLoad.js'
import { LOADS } from './loads.js'

const cli = cac('leader-load')
cli.option('--load <text>', 'part of the name of the load', { default: 'wide gangs' })
cli.option('--seed <number>', 'seed of the arrivals', { default: 1 })
cli.option('--seconds <number>', 'duration of the load', { default: 20 })
cli.option('--scale <number>', 'multiplier of workers and arrivals', { default: 3 })
cli.option('--pressure <number>', 'further multiplier of the arrivals', { default: 1 })
cli.option('--port <number>', 'first port of the daemons', { default: 21_000 })
cli.option('--program <path>', 'program of the daemon', { default: 'target/citronnotch.mjs' })
cli.help()
const { options } = cli.parse()
if (options.help !== true) {
  const load = LOADS.find(({ pattern }) => pattern.includes(String(options.load)))
  if (load === undefined) throw new Error(`no load is named ${String(options.load)}; there are: ${LOADS.map(({ pattern }) => pattern).join(', ')}`)
  const { profile, ...result } = await runLeaderLoad({
    load, seed: Number(options.seed), seconds: Number(options.seconds), scale: Number(options.scale), pressure: Number(options.pressure), firstPort: Number(options.port), program: String(options.program)
  })
  console.log(JSON.stringify(result, undefined, 1))
  for (const row of profile) console.log(row)
}
