/**
 * Loaded into a daemon by NODE_OPTIONS, in place of the network between machines: its listener for peers moves to another
 * port, so that a proxy can take its place, and its connections come from an address that tells its machine.
 */
import { Server, Socket } from 'node:net'

const { REVIEW_PEER_PORT: from, REVIEW_PEER_PORT_MOVED: to, REVIEW_SOURCE: source } = process.env
const { listen } = Server.prototype
const { connect } = Socket.prototype

Server.prototype.listen = function (...args) {
  const [options] = args
  const isMoved = typeof options === 'object' && options !== null && options.port === Number(from)
  return listen.apply(this, isMoved ? [{ ...options, port: Number(to) }, ...args.slice(1)] : args)
}

Socket.prototype.connect = function (...args) {
  const options = Array.isArray(args[0]) ? args[0][0] : args[0]
  if (options?.port !== undefined) options.localAddress ??= source
  return connect.apply(this, args)
}
