import { createServer } from 'node:http'

const ANSWER_AFTER_MS = 60

/** Answers shortly after a request, in a process of its own, and sends its port to the parent process. */
const server = createServer((_req, res) => { setTimeout(() => res.end('{}'), ANSWER_AFTER_MS) })
server.listen(0, '127.0.0.1', () => {
  const address = server.address()
  process.send?.(typeof address === 'object' ? address?.port : 0)
})
