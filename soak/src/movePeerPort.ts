import { Server, Socket } from 'node:net'

// Loaded first by a daemon of a soak: its listener for peers moves to another port, so that a proxy can take its place,
// and its connections come from an address of its own, so that links can fail for some daemons only.

const { searchParams } = new URL(import.meta.url)
const [from, to] = [Number(searchParams.get('from')), Number(searchParams.get('to'))]
const source = searchParams.get('source')
const { listen } = Server.prototype
const { connect } = Socket.prototype

Server.prototype.listen = function (this: Server, ...args: unknown[]) {
  // The port is the first argument, or an option.
  const [first, ...others] = args
  const isOption = typeof first === 'object' && first !== null && 'port' in first && first.port === from
  return listen.apply(this, [first === from ? to : isOption ? { ...first, port: to } : first, ...others] as Parameters<typeof listen>)
} as typeof listen

Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
  // Node.js itself passes the options in a list.
  const options = (Array.isArray(args[0]) ? args[0][0] : args[0]) as { localAddress?: string | undefined, readonly port?: unknown } | undefined
  if (source !== null && options?.port !== undefined) options.localAddress ??= source
  return connect.apply(this, args as unknown as Parameters<typeof connect>)
} as typeof connect
