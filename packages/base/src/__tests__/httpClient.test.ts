import { fork } from 'node:child_process'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import type { ExecutionContext } from 'ava'
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

/** Keeps this process from reading answers, as a long computation does. */
function blockFor (ms: number) {
  for (const endsAt = performance.now() + ms; performance.now() < endsAt;);
}

// Guards against SHORT: a leader without processor time took answers that it had not read yet for lost ones, and sent its calls again.
test('an answer that has arrived while this process was busy is no timeout', async t => {
  const child = fork(fileURLToPath(new URL('./answeringServer.js', import.meta.url)))
  t.teardown(() => { child.kill() })
  const port = await new Promise<number>(resolve => child.once('message', message => resolve(message as number)))
  const client = HttpClient.create({ url: `http://127.0.0.1:${port}`, clock: SystemClock.create(), timeoutMs: 150, connections: 1, codePrefix: 'test', serverName: 'test server' })
  t.true((await client.post('/', {})).ok)
  const call = client.post('/', {})
  // The request is written before the process is busy, and answered meanwhile.
  await sleep(20)
  // After this, due timers run before answers are read.
  await new Promise(resolve => setImmediate(resolve))
  blockFor(400)
  t.true((await call).ok)
  await client.close()
})

// Guards against LOST (issue 61): calls that waited in this process for a free connection were taken for an unreachable server.
test('a call that finds no free connection in time is told from one to a server that can not be reached', async t => {
  const server = createServer((_req, res) => { setTimeout(() => res.end('{}'), 300) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  const address = server.address()
  const port = typeof address === 'object' ? address?.port ?? 0 : 0
  const options = { clock: SystemClock.create(), timeoutMs: 450, connections: 1, codePrefix: 'test', serverName: 'test server' }
  const client = HttpClient.create({ ...options, url: `http://127.0.0.1:${port}` })
  const codes = await Promise.all([1, 2, 3, 4].map(async () => {
    const res = await client.post('/', {})
    return res.ok ? 'ok' : res.val.code
  }))
  t.deepEqual([codes[0], codes[3]], ['ok', 'test-queued'])
  await client.close()
  server.close()
  server.closeAllConnections()
  const gone = HttpClient.create({ ...options, url: `http://127.0.0.1:${port}` })
  const res = await gone.post('/', {})
  t.true(res.err && res.val.code === 'test-unreachable')
  await gone.close()
})

const PIECE = Buffer.alloc(1_000)

/** Serves answers of `pieces` pieces, one each `intervalMs`. */
async function createSlowServer (t: ExecutionContext, pieces: number, intervalMs: number) {
  const server = createServer((_req, res) => {
    res.writeHead(200)
    const send = (left: number) => {
      if (left === 0 || res.destroyed) res.end()
      else res.write(PIECE, () => setTimeout(() => send(left - 1), intervalMs))
    }
    send(pieces)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  const address = server.address()
  const client = HttpClient.create({ url: `http://127.0.0.1:${typeof address === 'object' ? address?.port : 0}`, clock: SystemClock.create(), timeoutMs: 400, connections: 1, codePrefix: 'test', serverName: 'test server' })
  t.teardown(() => client.close())
  return client
}

// Guards against LOST (issue 78): large answers that arrived steadily were ended in the middle and asked for anew.
test('an answer that arrives steadily takes as long as its transfer may, and only if its call says so', async t => {
  const client = await createSlowServer(t, 12, 100)
  const call = async (totalMs?: number) => {
    const startedAt = performance.now()
    const res = await client.call({ method: 'GET', path: '/', ...(totalMs === undefined ? {} : { transfer: { stallMs: 800, totalMs } }) })
    return [res.ok ? res.val.body.length : res.val.code, performance.now() - startedAt] as const
  }
  t.is((await call(20_000))[0], 12 * PIECE.length)
  for (const totalMs of [undefined, 700]) {
    const [outcome, tookMs] = await call(totalMs)
    t.is(outcome, 'test-answer-lost')
    t.true(tookMs < 1_100, `ended after ${tookMs} ms`)
  }
})

// Guards against lost service: a transfer over a connection that has been cut would last until its upper bound.
test('a transfer of which nothing more arrives is ended', async t => {
  const client = await createSlowServer(t, 2, 60_000)
  const startedAt = performance.now()
  const res = await client.call({ method: 'GET', path: '/', transfer: { stallMs: 300, totalMs: 20_000 } })
  t.true(res.err && res.val.code === 'test-answer-lost')
  t.true(performance.now() - startedAt < 5_000)
})
