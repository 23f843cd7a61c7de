/**
 * Finds free ports of the loopback interface for processes that are about to
 * start. The ports are below the ephemeral range of the kernel, so that no outgoing
 * connection occupies one in the meantime.
 */

import { createServer } from 'node:net'

const HOST = '127.0.0.1'
const FIRST_PORT = 15_000
const PORT_COUNT = 15_000

/** Starts at an offset that depends on the process id, so that processes searching at the same time find different ports. */
let nextOffset = process.pid * 101 % PORT_COUNT

/** Returns `count` ports that are free at the moment; fewer if the range does not contain as many. */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  for (let triedCount = 0; ports.length < count && triedCount < PORT_COUNT; triedCount += 1) {
    const port = FIRST_PORT + nextOffset
    nextOffset = (nextOffset + 1) % PORT_COUNT
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
