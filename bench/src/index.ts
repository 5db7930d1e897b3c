import { playDay } from './decisions.js'
import { LOADS } from './loads.js'

const SEEDS = [1, 2, 3]
const pattern = process.argv[2] ?? ''
const seeds = process.argv[3] === undefined ? SEEDS : [Number(process.argv[3])]

for (const load of LOADS.filter(({ pattern: name }) => name.includes(pattern))) {
  for (const seed of seeds) {
    const day = await playDay(load, seed)
    console.log(`${load.pattern}, seed ${seed}: worth ${day.worthShare.toFixed(3)}, worst window ${day.worstWindow.toFixed(3)}, ${day.adviceCalls} calls for advice, ${day.violations.length} violations`)
    for (const { queue, asked, inTime, late, worthShare, medianMs } of day.queues) {
      console.log(`  ${queue.padEnd(8)} ${String(asked).padStart(5)} asked ${String(inTime).padStart(5)} in time ${String(late).padStart(4)} late  worth ${worthShare.toFixed(3)}  median ${Math.round(medianMs)} ms`)
    }
    for (const violation of day.violations.slice(0, 3)) console.log(`  violation: ${violation}`)
  }
}
