/**
 * A stand-in of the advice service (PROTOCOL.md, `POST /api/advise`): it takes `decide_ms` and `each_ms` for each worker named,
 * handles one call at a time for each calling machine, in turn, and grants two of three workers. Every machine calls over a
 * connection of its own, by which they are told apart.
 */

import { createServer } from 'node:http'

const WAITING_LIMIT = 32

export class Advice {
  /** `timing` has `decide_ms`, `each_ms` and `valid_ms`, as the configuration states them. */
  constructor (timing) {
    this.timing = timing
    this.answered = 0
    this.queues = new Map()
  }

  async start () {
    this.server = createServer((call, response) => { this.serve(call, response) })
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  serve (call, response) {
    const chunks = []
    call.on('error', () => {})
    call.on('data', chunk => { chunks.push(chunk) })
    call.on('end', () => {
      const { step, workers } = JSON.parse(Buffer.concat(chunks).toString('utf8'))
      const queue = this.queues.get(call.socket) ?? { waiting: 0, last: Promise.resolve() }
      this.queues.set(call.socket, queue)
      if (queue.waiting >= WAITING_LIMIT) return this.answer(response, 429, {})
      queue.waiting += 1
      queue.last = queue.last.then(async () => {
        await new Promise(resolve => { setTimeout(resolve, this.timing.decide_ms + this.timing.each_ms * workers.length) })
        queue.waiting -= 1
        this.answered += 1
        const granted = workers.filter(worker => isGranted(step, worker)).map(worker => [worker, `${step}/${worker}`])
        this.answer(response, 200, { granted })
      })
    })
  }

  answer (response, status, body) {
    if (response.destroyed) return
    const text = JSON.stringify(body)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    response.end(text)
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** Which workers may run a step doesn't change. */
function isGranted (step, worker) {
  let sum = 0
  for (const character of `${step}${worker}`) sum = (sum * 31 + character.charCodeAt(0)) % 1_000_003
  return sum % 3 !== 0
}
