import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { silentLog } from '@citronnotch/base/logger'
import test from 'ava'
import { PeerListener } from '../peerListener.js'

const PORT = 7_390
const TIMEOUT_MS = 5_000

// Guards against machines that take all descriptors of a daemon, or keep other daemons out.
test('beyond the limit, the connection from which nothing came for the longest time is closed for a new one', async t => {
  const address = `127.${1 + process.pid % 250}.91.1`
  let now = 0
  const received: Buffer[] = []
  const listener = await PeerListener.create({
    address: `${address}:${PORT}`, maxConnections: 3, now: () => ++now, log: silentLog, onConnection: socket => { socket.on('data', data => { received.push(data) }).on('error', () => {}) }
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
