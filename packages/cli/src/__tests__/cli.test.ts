import test from 'ava'
import { EXIT, outcomeOf } from '../output.js'
import { timeline } from '../queries/timeline.js'

test('the logs of several daemons become one time line of a job, in the order of time', t => {
  const line = (time: string, message: string, job: string) => JSON.stringify({ time, level: 'info', part: '[leader]', message, job })
  const logs = new Map([
    ['d1', [line('2026-01-01T00:00:02.000Z', 'Job ended.', 'a'), line('2026-01-01T00:00:01.000Z', 'Job ended.', 'b')].join('\n')],
    ['d2', `not json {\n${line('2026-01-01T00:00:01.500Z', 'Request answered.', 'a')}`]
  ])
  t.deepEqual(timeline(logs, '"a"'), [
    '2026-01-01T00:00:01.500Z d2 [leader] Request answered. job="a"',
    '2026-01-01T00:00:02.000Z d1 [leader] Job ended. job="a"'
  ])
})

const answers: ReadonlyArray<readonly [number, number]> = [[200, EXIT.served], [410, EXIT.refused], [503, EXIT.refused], [504, EXIT.unknown]]
for (const [status, code] of answers) {
  test(`an answer ${status} exits with ${code}`, t => { t.is(outcomeOf({ status, body: {} }, 'ok').code, code) })
}
