import { connect } from 'node:net'
import { parseAddress } from '../utils.js'
import { PEER_CONNECT_TIMEOUT_MS } from './constants.js'

/**
 * True when the VM at `address` refuses connections there, which shows that the process that listened
 * has ended and the kernel has closed its sockets. A paused process or a cut link gives no refusal.
 */
export function isRefused (address: string): Promise<boolean> {
  const { host, port } = parseAddress(address)
  return new Promise(resolve => {
    const socket = connect({ host, port, timeout: PEER_CONNECT_TIMEOUT_MS })
    const finish = (refused: boolean) => {
      socket.destroy()
      resolve(refused)
    }
    socket.on('connect', () => finish(false))
    socket.on('timeout', () => finish(false))
    socket.on('error', (err: NodeJS.ErrnoException) => finish(err.code === 'ECONNREFUSED'))
  })
}
