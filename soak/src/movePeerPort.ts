import { Server } from 'node:net'

// Loaded first by a daemon of a soak: its listener for peers moves to another port, so that a proxy can take its place.

const { searchParams } = new URL(import.meta.url)
const [from, to] = [Number(searchParams.get('from')), Number(searchParams.get('to'))]
const { listen } = Server.prototype

Server.prototype.listen = function (this: Server, ...args: unknown[]) {
  const [options] = args
  const isMoved = typeof options === 'object' && options !== null && 'port' in options && options.port === from
  return listen.apply(this, (isMoved ? [{ ...options, port: to }, ...args.slice(1)] : args) as Parameters<typeof listen>)
} as typeof listen
