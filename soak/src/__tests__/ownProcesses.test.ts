import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { existsSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const PORTS_PER_SOAK = 15
const POLL_MS = 20
/** Time that a process may take to start or to end, in milliseconds. */
const LIMIT_MS = 20_000
const soakPath = fileURLToPath(new URL('../index.js', import.meta.url))

let nextPort = 21_000 + 60 * (process.pid % 100)

/** Starts a soak whose daemons are programs that only write their ids to a file. */
function startSoak () {
  const folder = mkdtempSync(join(tmpdir(), 'citronnotch-soak-test-'))
  const [program, pidsPath] = [join(folder, 'program.mjs'), join(folder, 'pids')]
  writeFileSync(program, `import { appendFileSync } from 'node:fs'; appendFileSync(${JSON.stringify(pidsPath)}, process.pid + ' '); setInterval(() => {}, 1_000)`)
  const port = nextPort
  nextPort += PORTS_PER_SOAK
  const launch = () => spawn(process.execPath, [soakPath, '--seed', '1', '--seconds', '8', '--port', String(port), '--program', program], { stdio: ['ignore', 'ignore', 'pipe'] })
  return { port, launch, pids: () => existsSync(pidsPath) ? readFileSync(pidsPath, 'utf8').trim().split(' ').map(Number) : [] }
}

async function waitUntil (condition: () => boolean) {
  for (const endMs = Date.now() + LIMIT_MS; !condition() && Date.now() < endMs;) await sleep(POLL_MS)
  return condition()
}

function isRunning (pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch {
    return false
  }
}

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  // Guards against daemons that outlive their soak and answer the callers of the next one.
  test.serial(`a soak that is ended by ${signal} ends its daemons`, async t => {
    const { launch, pids } = startSoak()
    const soak = launch()
    t.teardown(() => { for (const pid of pids().filter(isRunning)) process.kill(pid) })
    t.true(await waitUntil(() => pids().length === 3))
    soak.kill(signal)
    const [code] = await once(soak, 'exit')
    t.true(code > 128)
    t.true(await waitUntil(() => !pids().some(isRunning)))
  })
}

// Guards against a soak that reports the answers of daemons that it has not started.
test.serial('a soak does not start while one of its ports is in use', async t => {
  const { port, launch, pids } = startSoak()
  const server = createServer().listen(port + PORTS_PER_SOAK - 1, '127.0.0.1')
  t.teardown(() => server.close())
  await once(server, 'listening')
  const soak = launch()
  const messages: Buffer[] = []
  soak.stderr.on('data', message => messages.push(message))
  const [code] = await once(soak, 'close')
  t.is(code, 1)
  t.regex(Buffer.concat(messages).toString(), new RegExp(`^Port ${port + PORTS_PER_SOAK - 1} of 127.0.0.1 is in use`))
  t.deepEqual(pids(), [])
})
