import test from 'ava'
import { checkConfig, diffConfig, explainValue, formatChange } from '../index.js'

const BASE = 'cell: suva\nregions: [lau]\nfailureDomains:\n  lakeba-a: { region: lau }\n'

test('a later file overrides an earlier one, and explainValue lists the files that set a value in merge order', t => {
  const files = { '10-base.yaml': `${BASE}teams:\n  press: { share: 2 }\n`, '20-press.yaml': 'teams:\n  press: { share: 3 }\n' }
  const explained = explainValue(files, 'teams.press.share').unwrap()
  t.is(explained.value, 3)
  t.deepEqual(explained.history.map(({ file, line }) => [file, line]), [['10-base.yaml', 6], ['20-press.yaml', 2]])
})

test('an unknown setting is reported with its file, its line and the nearest valid name', t => {
  const checked = checkConfig({ '10-base.yaml': BASE, '20-press.yaml': 'team:\n  press: {}\n' })
  if (checked.ok) return t.fail('the folder is accepted')
  t.like(checked.val[0], { file: '20-press.yaml', line: 1, nearest: 'teams' })
})

test('diffConfig lists only the values that differ between two configurations', t => {
  const config = (share: number) => checkConfig({ '10-base.yaml': `${BASE}teams:\n  press: { share: ${share} }\n` }).unwrap().config
  t.deepEqual(diffConfig(config(1), config(2)).map(formatChange), ['teams.press.share: 1 -> 2'])
  t.deepEqual(diffConfig(config(1), config(1)), [])
})
