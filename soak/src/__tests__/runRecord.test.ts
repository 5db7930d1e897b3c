import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { TOKENS_PER_EPOCH } from '@citronnotch/cell/testing'
import test from 'ava'
import { RunRecord } from '../runRecord.js'

const TASK = '0000000000000001.0.0.0'

function writeLog (name: string, lines: readonly object[]): string {
  const path = join(mkdtempSync(join(tmpdir(), 'citronnotch-run-record-')), `${name}.log`)
  writeFileSync(path, lines.map(line => `${JSON.stringify(line)}\n`).join(''))
  return path
}

function createRecord (): RunRecord {
  const record = RunRecord.create()
  record.add('Run started.', { worker: 'w1', task: TASK, run: 1, token: 3 * TOKENS_PER_EPOCH + 1, isLate: false }, 1_000)
  record.add('Run started.', { worker: 'w2', task: TASK, run: 2, token: 3 * TOKENS_PER_EPOCH + 2, isLate: true }, 2_000)
  return record
}

const doubleRuns = [{ task: TASK, run: 2, workerId: 'w2', earlier: { workerId: 'w1', run: 1 } }]

// Guards against two runs at once of which the soak does not say who ordered them.
test('two runs at once are described by the daemons that ordered them, their ends and the reason of the repetition', t => {
  const record = createRecord()
  record.add('Run ended.', { worker: 'w1', task: TASK, run: 1, status: 'done' }, 3_000)
  record.add('End acknowledged.', { worker: 'w1', task: TASK, run: 1, status: 'done' }, 3_100)
  const log = writeLog('d0', [{ message: 'Leadership gained.', epoch: 3 }, { message: 'Run lost.', task: TASK, run: 1, reason: 'lease-lapsed' }])
  t.deepEqual(record.describe(doubleRuns, new Map([['d0', log]])), [
    `${TASK}: run 1 on w1 by d0 (epoch 3) 00:00:01.000 to 00:00:03.000 done, acknowledged, lost by d0 as lease-lapsed / run 2 on w2 by d0 (epoch 3, late) 00:00:02.000 running`
  ])
})

test('a run on a worker that crashes ends with it', t => {
  const record = createRecord()
  record.add('Crashed.', { worker: 'w1' }, 2_500)
  t.deepEqual(record.describe(doubleRuns, new Map()), [
    `${TASK}: run 1 on w1 by ? (epoch 3) 00:00:01.000 to 00:00:02.500 crashed / run 2 on w2 by ? (epoch 3, late) 00:00:02.000 running`
  ])
})
