import test from 'ava'
import { HOLD_MS } from '../../constants.js'
import { Cell } from './cell.js'

async function ownedCell (...ids: string[]) {
  const cell = new Cell()
  for (const id of ids) cell.start(id)
  await cell.pass(10_000)
  const owner = cell.owner()
  const others = cell.daemons.filter(daemon => daemon !== owner)
  return { cell, owner, others, other: others[0] ?? owner }
}

test('a shard whose owner was killed has another owner with a higher epoch after 7 to 10 s', async t => {
  const { cell, owner, other } = await ownedCell('d1', 'd2')
  owner.host.kill()
  await cell.pass(6_000)
  t.is(cell.row()?.epoch, 1)
  await cell.pass(4_000)
  t.deepEqual(other.membership.authority('suva-a'), { shardId: 'suva-a', epoch: 2, mode: 'attached' })
  t.false(other.membership.predecessorsEnded('suva-a'))
  await cell.pass(HOLD_MS * 1.02)
  t.true(other.membership.predecessorsEnded('suva-a'))
  t.deepEqual(cell.violations, [])
})
