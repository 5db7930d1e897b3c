import test from 'ava'
import { QueueClient } from '../client.js'
import { submit } from '../commands/submit.js'
import { EXIT_CODES, toCommandResult } from '../output.js'
import { timeline } from '../queries/timeline.js'

test('timeline orders the lines of several logs by time, keeps only those of the given job and skips lines that are not JSON', t => {
  const logLine = (time: string, message: string, job: string) => JSON.stringify({ time, level: 'info', part: '[leader]', message, job })
  const logs = new Map([
    ['d1', [logLine('2026-01-01T00:00:02.000Z', 'Job ended.', 'a'), logLine('2026-01-01T00:00:01.000Z', 'Job ended.', 'b')].join('\n')],
    ['d2', `not json {\n${logLine('2026-01-01T00:00:01.500Z', 'Request answered.', 'a')}`]
  ])
  t.deepEqual(timeline(logs, '"a"'), [
    '2026-01-01T00:00:01.500Z d2 [leader] Request answered. job="a"',
    '2026-01-01T00:00:02.000Z d1 [leader] Job ended. job="a"'
  ])
})

const exitCodeByStatus: ReadonlyArray<readonly [number, number]> = [[200, EXIT_CODES.success], [410, EXIT_CODES.rejected], [503, EXIT_CODES.rejected], [504, EXIT_CODES.unknownOutcome]]
for (const [status, exitCode] of exitCodeByStatus) {
  test(`a response with status ${status} gives exit code ${exitCode}`, t => { t.is(toCommandResult({ status, body: {} }, 'ok').exitCode, exitCode) })
}

test('a job file that can not be read is reported as not sent', async t => {
  const { exitCode, text } = await submit(QueueClient.create({ address: '127.0.0.1:1', host: 'a.example', path: '/a/' }), '/nonexistent/job.json')
  t.is(exitCode, EXIT_CODES.usage)
  t.regex(text, /^Nothing was sent/)
})

test('status 500 is reported as an unknown outcome', t => {
  t.is(toCommandResult({ status: 500, body: {} }, '').exitCode, EXIT_CODES.unknownOutcome)
})
