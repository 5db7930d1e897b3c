import http from 'node:http'

/** Sends one request; resolves with status 0 if there was no complete answer. */
export function call (address, { method, path, headers = {}, body, timeoutMs = 3_000 }) {
  const { host, port } = parse(address)
  return new Promise(resolve => {
    const data = body === undefined ? undefined : JSON.stringify(body)
    const req = http.request({
      host, port, method, path, agent: false, headers: { ...headers, ...(data === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(data) }) }
    }, res => {
      const chunks = []
      res.on('data', chunk => chunks.push(chunk))
      res.on('end', () => done({ status: res.statusCode, headers: res.headers, body: parseJson(Buffer.concat(chunks).toString()) }))
      res.on('error', () => done({ status: 0 }))
      res.on('aborted', () => done({ status: 0 }))
    })
    const timer = setTimeout(() => {
      done({ status: 0 })
      req.destroy()
    }, timeoutMs)
    let isDone = false
    function done (res) {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      resolve(res)
    }
    req.on('error', () => done({ status: 0 }))
    req.end(data)
  })
}

export function parse (address) {
  const [host, port] = address.split(':')
  return { host, port: Number(port) }
}

export function parseJson (text) {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/**
 * Serves JSON on `host`, on a free port unless one is given. `handle` gets `{ method, path, query, headers, body, socket }` and
 * resolves with `{ status, body }`, or with undefined to leave the request unanswered.
 */
export async function serve (host, handle, port = 0) {
  const server = http.createServer({ keepAliveTimeout: 60_000 }, async (req, res) => {
    const chunks = []
    try {
      for await (const chunk of req) chunks.push(chunk)
    } catch {
      return
    }
    const url = new URL(req.url, 'http://local')
    const reply = await handle({
      method: req.method, path: url.pathname, query: url.searchParams, headers: req.headers, body: parseJson(Buffer.concat(chunks).toString()), socket: req.socket
    })
    if (reply === undefined || res.destroyed) return
    const data = reply.body === undefined ? '' : JSON.stringify(reply.body)
    res.writeHead(reply.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(data), ...reply.headers })
    res.end(data)
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return { server, address: `${host}:${server.address().port}`, close: () => new Promise(resolve => { server.close(resolve); server.closeAllConnections() }) }
}
