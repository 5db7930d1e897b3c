import type { ServiceRequest } from './types.js'

type Headers = ServiceRequest['headers']

// RFC 9110, section 7.6.1; `expect` and `content-length` are set anew by the client library.
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])
const SET_BY_CLIENT = new Set(['host', 'expect', 'content-length'])

/** Returns the headers of a request as they go to a backend server. */
export function requestHeaders (headers: Headers): Headers {
  return endToEnd(headers).filter(([name]) => !SET_BY_CLIENT.has(name.toLowerCase()))
}

/** Returns the headers of a backend server's answer as they go to the caller. */
export function responseHeaders (headers: Headers): Headers {
  return endToEnd(headers)
}

function endToEnd (headers: Headers): Headers {
  const named = new Set(headers
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(',').map(token => token.trim().toLowerCase())))
  return headers.filter(([name]) => !HOP_BY_HOP.has(name.toLowerCase()) && !named.has(name.toLowerCase()))
}
