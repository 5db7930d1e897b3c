import test from 'ava'
import { LineWriter } from '../lineWriter.js'

const MAX_WAITS = 500

test('a slow reader does not block writers: the buffer stays bounded, and the output says how many lines were dropped', async t => {
  const written: string[] = []
  let resume = () => {}
  const writer = LineWriter.create((data, callback) => {
    written.push(data.toString())
    resume = () => callback(null, data.length)
  })
  const line = `${'x'.repeat(99)}\n`
  writer.write(line)
  await new Promise(resolve => setTimeout(resolve, 60))
  for (let i = 0; i < 30_000; i++) writer.write(line)
  t.deepEqual(written, [line], 'one write is under way')
  resume()
  const [, second = ''] = written
  t.true(second.length < 1_100_000)
  const lines = second.trimEnd().split('\n')
  t.is(lines.length - 1 + (JSON.parse(lines[lines.length - 1] ?? '') as { leftOut: number }).leftOut, 30_000)
})

test('no data is lost after EAGAIN or a partial write', async t => {
  let received = ''
  let calls = 0
  const writer = LineWriter.create((data, callback) => {
    calls++
    if (calls === 1) return callback(Object.assign(new Error('again'), { code: 'EAGAIN' }), 0)
    received += data.subarray(0, 3).toString()
    callback(null, Math.min(3, data.length))
  })
  writer.write('first\n')
  writer.write('second\n')
  // The writes take timers of their own, which come later than one set now if the event loop stands still meanwhile.
  for (let waits = 0; waits < MAX_WAITS && received.length < 'first\nsecond\n'.length; waits++) await new Promise(resolve => setTimeout(resolve, 20))
  t.is(received, 'first\nsecond\n')
})
