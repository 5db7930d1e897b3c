import { once } from 'node:events'
import { createServer } from 'node:http2'
import type { ServerHttp2Stream } from 'node:http2'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { silentLog } from '@citronnotch/base/logger'
import test from 'ava'
import { PeerListener } from '../peerListener.js'

const PORT = 7_390
const PREFACE = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
const EMPTY_SETTINGS = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0])
/** Headers of a call without its message: POST, http, path / of the static table, and an authority of one letter. */
const OPEN_CALL = Buffer.from([0, 0, 6, 1, 4, 0, 0, 0, 1, 0x83, 0x86, 0x84, 1, 1, 100])
const TIMEOUT_MS = 5_000

// Guards against machines that take all descriptors of a daemon, or keep other daemons out.
test('beyond the limit, the connection from which nothing came for the longest time is closed for a new one', async t => {
  const address = `127.${1 + process.pid % 250}.91.1`
  let now = 0
  const received: Buffer[] = []
  const listener = await PeerListener.create({
    address: `${address}:${PORT}`, maxConnections: 3, maxUnfinishedBytes: Infinity, now: () => ++now, log: silentLog, onConnection: socket => { socket.on('data', data => { received.push(data) }).on('error', () => {}) }
  })
  t.teardown(() => listener.close())
  const open = async () => {
    const socket = connect(PORT, address)
    socket.on('error', () => {})
    t.teardown(() => socket.destroy())
    await once(socket, 'connect')
    await sleep(20)
    return socket
  }
  const peer = await open()
  const quiet = await open()
  await open()
  peer.write('x')
  for (const endMs = Date.now() + TIMEOUT_MS; received.length === 0 && Date.now() < endMs;) await sleep(10)
  const [next] = await Promise.all([open(), once(quiet, 'close')])
  t.true(quiet.destroyed)
  t.false(peer.destroyed)
  t.false(next.destroyed)
})

// Guards against calls of daemons that have ended which stay in memory.
test('the open call of a client that goes away is closed', async t => {
  const address = `127.${1 + process.pid % 250}.91.2`
  const http2Server = createServer().on('stream', stream => { stream.on('error', () => {}) })
  const listener = await PeerListener.create({
    address: `${address}:${PORT}`, maxConnections: 3, maxUnfinishedBytes: Infinity, now: () => 0, log: silentLog, onConnection: connection => { http2Server.emit('connection', connection) }
  })
  t.teardown(() => listener.close())
  for (const leave of ['end', 'resetAndDestroy'] as const) {
    const stream = once(http2Server, 'stream')
    const socket = connect(PORT, address)
    socket.on('error', () => {}).resume()
    socket.write(Buffer.concat([Buffer.from(PREFACE), EMPTY_SETTINGS, OPEN_CALL]))
    const [call] = await stream as [ServerHttp2Stream]
    const isClosed = Promise.race([new Promise<boolean>(resolve => { call.once('close', () => resolve(true)) }), sleep(TIMEOUT_MS, false)])
    socket[leave]()
    t.true(await isClosed, leave)
  }
})

test('beyond the memory for open calls, the connection that holds the most for the longest time is closed', async t => {
  const address = `127.${1 + process.pid % 250}.91.3`
  let now = 0
  const listener = await PeerListener.create({
    address: `${address}:${PORT}`, maxConnections: 10, maxUnfinishedBytes: 150_000, now: () => ++now, log: silentLog, onConnection: connection => { connection.on('error', () => {}).resume() }
  })
  t.teardown(() => listener.close())
  const openCall = async () => {
    const socket = connect(PORT, address)
    socket.on('error', () => {}).resume()
    t.teardown(() => socket.destroy())
    await once(socket, 'connect')
    socket.write(Buffer.concat([Buffer.from(PREFACE), OPEN_CALL]))
    await sleep(20)
    return socket
  }
  const oldest = await openCall()
  const older = await openCall()
  t.false(oldest.destroyed)
  const [newest] = await Promise.all([openCall(), once(oldest, 'close')])
  t.false(older.destroyed)
  t.false(newest.destroyed)
})
