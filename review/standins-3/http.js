/**
 * A client for one call over HTTP with a time limit. Without a complete answer the status is 0.
 */

import { request } from 'node:http'

export function call (address, method, path, { body, headers = {}, timeoutMs = 1000, agent } = {}) {
  const [host, port] = address.split(':')
  const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body)
  return new Promise(resolve => {
    const message = request({
      host,
      port: Number(port),
      method,
      path,
      agent,
      headers: { ...(text === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }), ...headers }
    })
    const timer = setTimeout(() => { message.destroy(new Error('no answer in time')) }, timeoutMs)
    const finish = answer => {
      clearTimeout(timer)
      resolve(answer)
    }
    message.on('error', error => { finish({ status: 0, text: '', headers: {}, error: error.message }) })
    message.on('response', response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('error', error => { finish({ status: 0, text: '', headers: {}, error: error.message }) })
      response.on('end', () => { finish({ status: response.statusCode, text: Buffer.concat(chunks).toString(), headers: response.headers }) })
    })
    message.end(text)
  })
}
