import { createServer } from 'node:net'
import { constants } from 'node:os'

const SIGNAL_EXIT_CODE = 128

/** Lets the program end through its `exit` handlers, which stop the daemons, when one of these signals arrives. */
export function exitOnSignals (): void {
  for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.once(name, () => process.exit(SIGNAL_EXIT_CODE + constants.signals[name]))
}

/** Returns a port on which another process listens, whose answers would be taken for those of the own daemons; undefined if there is none. */
export async function findUsedPort (first: number, count: number): Promise<number | undefined> {
  for (let port = first; port < first + count; port++) if (!await isFree(port)) return port
  return undefined
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', (err: NodeJS.ErrnoException) => err.code === 'EADDRINUSE' ? resolve(false) : reject(err))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
