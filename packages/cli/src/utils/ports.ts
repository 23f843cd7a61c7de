/**
 * Finds free ports of the loopback interface for processes that are about to
 * start. They lie below the range from which the kernel takes the ports of
 * outgoing connections, so that none of those takes one in the meantime.
 */

import { createServer } from 'node:net'

const HOST = '127.0.0.1'
const FIRST_PORT = 15_000
const PORT_COUNT = 15_000

/** Differs between processes that look for ports at the same time. */
let next = process.pid * 101 % PORT_COUNT

export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  for (let tried = 0; ports.length < count && tried < PORT_COUNT; tried += 1) {
    const port = FIRST_PORT + next
    next = (next + 1) % PORT_COUNT
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return new Promise(resolve => {
    server.once('error', () => { resolve(false) })
    server.listen(port, HOST, () => { server.close(() => { resolve(true) }) })
  })
}
