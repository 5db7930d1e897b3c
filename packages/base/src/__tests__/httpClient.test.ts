import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import { SystemClock } from '../clock.js'
import { HttpClient } from '../httpClient.js'

/** Serves empty answers on loopback, keeps idle connections open, and counts the connections. */
async function createCountingServer () {
  let connections = 0
  const server = createServer({ keepAliveTimeout: 0 }, (_req, res) => { res.end('{}') })
  server.on('connection', () => { connections++ })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  const address = server.address()
  return {
    url: `http://127.0.0.1:${typeof address === 'object' ? address?.port : 0}`,
    connections: () => connections,
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

// Guards against SHORT: connections to workers were closed after 4 s without a call, and opening them anew took a tenth of the leader's processor.
test('a connection that was idle for some seconds is used again', async t => {
  const server = await createCountingServer()
  const client = HttpClient.create({ url: server.url, clock: SystemClock.create(), timeoutMs: 1_000, connections: 1, codePrefix: 'test', serverName: 'test server' })
  t.true((await client.post('/', {})).ok)
  await sleep(6_000)
  t.true((await client.post('/', {})).ok)
  t.is(server.connections(), 1)
  await client.close()
  server.close()
})

test('a connection that the server has closed while it was idle is replaced', async t => {
  const server = await createCountingServer()
  const client = HttpClient.create({ url: server.url, clock: SystemClock.create(), timeoutMs: 1_000, connections: 1, codePrefix: 'test', serverName: 'test server' })
  t.true((await client.post('/', {})).ok)
  server.close()
  await sleep(100)
  const res = await client.post('/', {})
  t.true(res.err && res.val.verdict === 'not-run', 'nothing listens any more, and nothing was sent')
  await client.close()
})
