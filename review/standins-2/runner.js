/**
 * A stand-in runner that follows PROTOCOL.md ("Running tasks", "Service discovery"). What a task does is written in the `spec`
 * of its job: `{"work":MS}` ends `done` after that time, `{"lasts":true}` works until it is stopped, and with `"gang":N` the N
 * tasks of a run work only together, from the moment when all are present with the same checkpoint. The runner guards nothing
 * (`admission_check` false) and never fails a task by itself.
 */

import { createServer, request } from 'node:http'

const HEARTBEAT_MS = 1_500
const CALL_TIMEOUT_MS = 1_000
const STOP_MS = 50
const STARTUP_MS = 300
const HOLD_MAX_MS = 6_000
const WAIT_MAX_MS = 2_000
const ENDS_LISTED = 500
const GANG_MS = 3_000
const CHECKPOINT_MS = 2_000
const RESTORE_MS = 250

/** Sends a request with a JSON body; resolves with the status and the text, or with status 0 without an answer. */
export function send (method, address, path, body, timeoutMs, headers = {}) {
  return new Promise(resolve => {
    const [host, port] = address.split(':')
    const text = body === undefined ? undefined : JSON.stringify(body)
    const length = text === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }
    const call = request({ host, port, method, path, agent: false, headers: { ...length, ...headers } }, response => {
      let answer = ''
      response.setEncoding('utf8')
      response.on('data', chunk => { answer += chunk })
      response.on('end', () => { finish({ status: response.statusCode, text: answer }) })
      response.on('error', error => { finish({ status: 0, text: error.message }) })
    })
    const timer = setTimeout(() => { call.destroy(new Error('no answer in time')) }, timeoutMs)
    const finish = result => {
      clearTimeout(timer)
      resolve(result)
    }
    call.on('error', error => { finish({ status: 0, text: error.message }) })
    call.end(text)
  })
}

/** All runners: the members of a gang find each other by it. */
const allRunners = []

/** The members of a gang run that are present: `ID.K.STEP.INDEX` of one member, and the number of the run. */
function listMembers (task, number) {
  const stage = task.slice(0, task.lastIndexOf('.') + 1)
  return allRunners.flatMap(runner => runner.isUp ? [...runner.running].filter(([name, run]) => name.startsWith(stage) && run.number === number).map(([, run]) => run) : [])
}

export class Runner {
  /** `control` returns the addresses of the nodes that serve control; `note` writes a line to the record. */
  constructor ({ id, address, service, zone, rack, cpu, memMb, control, note }) {
    Object.assign(this, { id, address, service, zone, rack, cpu, memMb, control, note })
    this.isUp = false
    this.isDraining = false
    this.starts = []
    allRunners.push(this)
  }

  /** Starts the process of the runner: a new incarnation, which knows nothing of before. */
  async start (address = this.address) {
    this.address = address
    this.born = Date.now()
    this.startedAt = performance.now()
    this.sequence = 0
    this.fence = 0
    this.untilMs = 0
    this.running = new Map()
    this.ended = []
    this.endCount = 0
    this.settled = new Map()
    this.waiting = new Set()
    this.server = createServer((call, response) => { this.serve(call, response) })
    this.server.keepAliveTimeout = 60_000
    const [host, port] = address.split(':')
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, resolve)
    })
    this.isUp = true
    this.note(`runner ${this.id} up at ${address}, born ${this.born}`)
    this.tickTimer = setInterval(() => { this.tick() }, 20)
    this.beat().catch(() => {})
    this.beatTimer = setInterval(() => { this.beat().catch(() => {}) }, HEARTBEAT_MS)
  }

  /** Ends the process at once, as a crash does: all connections close, and everything that ran is gone. */
  crash () {
    this.isUp = false
    clearInterval(this.tickTimer)
    clearInterval(this.beatTimer)
    this.server.close()
    this.server.closeAllConnections()
    const lost = [...this.running.keys()]
    for (const run of this.running.values()) run.record.endedAt = Date.now()
    this.running.clear()
    this.note(`runner ${this.id} crashed with ${lost.length} runs: ${lost.slice(0, 5).join(' ')}`)
  }

  get clockMs () {
    return Math.floor(performance.now() - this.startedAt) + 1_000
  }

  async beat () {
    const nodes = this.control()
    const first = Math.floor(Math.random() * nodes.length)
    const body = {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.isDraining ? 'draining' : 'ready',
      cold_remaining_ms: 0,
      capacity: { cpu: this.cpu, mem_mb: this.memMb, gpu: 0 },
      labels: ['a', this.rack],
      clock_ms: this.clockMs,
      born: this.born,
      sequence: ++this.sequence
    }
    for (let attempt = 0; attempt < nodes.length && this.isUp; attempt++) {
      const { status } = await send('PUT', nodes[(first + attempt) % nodes.length], `/api/instances/${this.id}`, body, CALL_TIMEOUT_MS)
      if (status >= 200 && status < 300) return
    }
  }

  /** Ends tasks whose work is done or whose lease has lapsed, and answers hold calls that waited. */
  tick () {
    const now = this.clockMs
    for (const [task, run] of this.running) {
      if (run.stopAt !== undefined && now >= run.stopAt) this.end(task, run, 'stopped')
      else if (now >= this.untilMs) this.end(task, run, 'lapsed')
      else if (run.gang > 0) this.tickMember(task, run, now)
      else if (run.workMs !== undefined && now - run.startedMs >= run.workMs) this.end(task, run, 'done')
    }
    for (const hold of this.waiting) {
      if (this.ended.length > 0 || now >= hold.answerAt) this.answerHold(hold)
    }
  }

  /** Members work from the moment when all are present; all of them must carry the same checkpoint. */
  tickMember (task, run, now) {
    const members = listMembers(task, run.number)
    if (run.workSince === undefined) {
      if (members.length === run.gang && members.every(({ checkpoint }) => checkpoint === run.checkpoint)) {
        const resumedMs = run.checkpoint === '' ? 0 : Number(run.checkpoint.slice(1))
        run.workSince = now + (run.checkpoint === '' ? 0 : RESTORE_MS) - resumedMs
        this.note(`runner ${this.id}: all members of run ${run.number} of ${task} are present; it works from ${resumedMs} ms on`)
      } else if (now - run.startedMs >= GANG_MS) this.end(task, run, 'alone')
      return
    }
    const workedMs = now - run.workSince
    if (workedMs >= run.workMs) return this.end(task, run, 'done')
    if (members.length < run.gang && members.every(({ workMs }) => workedMs < workMs - 100)) return this.end(task, run, 'broken')
    const saved = `w${CHECKPOINT_MS * Math.floor(workedMs / CHECKPOINT_MS)}`
    if (saved !== 'w0' && workedMs > Number(run.checkpoint.slice(1))) run.checkpoint = saved
  }

  end (task, run, how) {
    this.running.delete(task)
    this.settled.set(task, Math.max(this.settled.get(task) ?? 0, run.number))
    this.ended.push([++this.endCount, task, run.number, how, run.checkpoint])
    run.record.endedAt = Date.now()
    run.record.how = how
    if (how !== 'done' || run.isLasting) this.note(`runner ${this.id}: run ${run.number} of ${task} ended ${how}${run.checkpoint === '' ? '' : `, saved ${run.checkpoint}`}`)
  }

  serve (call, response) {
    const chunks = []
    call.on('data', chunk => { chunks.push(chunk) })
    call.on('end', () => {
      let body
      try {
        body = JSON.parse(Buffer.concat(chunks).toString('utf8'))
      } catch {
        return this.answer(response, 400, {})
      }
      const expected = call.headers['x-expect-instance']
      if (expected !== undefined && expected !== this.id) return this.answer(response, 421, {})
      if (call.url === '/api/run-start') return this.serveStart(body, response)
      if (call.url === '/api/run-stop') return this.serveStop(body, response)
      if (call.url === '/api/hold') return this.serveHold(body, response)
      if (call.url === '/api/pace') return this.answer(response, 200, {})
      this.answer(response, call.url === '/healthz' ? 200 : 404, {})
    })
    call.on('error', () => {})
  }

  answer (response, status, body) {
    const text = JSON.stringify({ clock_ms: this.clockMs, born: this.born, ...body })
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    response.end(text)
  }

  /** True if the fence is not lower than the highest one seen. */
  accepts (fence = 0) {
    if (fence < this.fence) return false
    this.fence = fence
    return true
  }

  extend (untilMs) {
    if (untilMs !== undefined) this.untilMs = Math.max(this.untilMs, Math.min(untilMs, this.clockMs + HOLD_MAX_MS))
  }

  serveStart ({ task, run, spec, until_ms: untilMs, fence, checkpoint = '' }, response) {
    if (!this.accepts(fence)) return this.answer(response, 409, { reason: 'fence' })
    if (this.running.get(task)?.number === run) return this.answer(response, 200, {})
    if (untilMs <= this.clockMs) return this.answer(response, 409, { reason: 'late' })
    this.extend(untilMs)
    if (this.running.has(task) || run <= (this.settled.get(task) ?? 0)) return this.answer(response, 409, { reason: 'old' })
    const { work, lasts = false, gang = 0 } = JSON.parse(spec)
    const record = { task, run, runner: this.id, startedAt: Date.now(), endedAt: undefined, how: '' }
    this.starts.push(record)
    this.running.set(task, { number: run, startedMs: this.clockMs, workMs: lasts ? undefined : work, isLasting: lasts, gang, checkpoint, record })
    if (lasts || gang > 0) this.note(`runner ${this.id}: run ${run} of ${task} started${gang > 0 ? ` with the checkpoint '${checkpoint}'` : ''}`)
    this.answer(response, 200, {})
  }

  serveStop ({ task, run, fence }, response) {
    if (!this.accepts(fence)) return this.answer(response, 409, { reason: 'fence' })
    const found = this.running.get(task)
    if (found !== undefined && found.number <= run) found.stopAt ??= this.clockMs + STOP_MS
    this.settled.set(task, Math.max(this.settled.get(task) ?? 0, run))
    this.answer(response, 200, {})
  }

  serveHold ({ fence, ack_cursor: cursor = 0, until_ms: untilMs, wait_ms: waitMs = 0 }, response) {
    if (!this.accepts(fence)) return this.answer(response, 409, { reason: 'fence' })
    this.extend(untilMs)
    this.heldAt = performance.now()
    this.ended = this.ended.filter(([number]) => number > cursor)
    const hold = { response, answerAt: this.clockMs + Math.min(waitMs, WAIT_MAX_MS) }
    if (this.ended.length > 0 || waitMs === 0) return this.answerHold(hold)
    this.waiting.add(hold)
    response.on('close', () => { this.waiting.delete(hold) })
  }

  answerHold (hold) {
    this.waiting.delete(hold)
    const running = [...this.running].map(([task, run]) => {
      const workedMs = run.gang === 0 ? this.clockMs - run.startedMs : run.workSince === undefined ? 0 : Math.max(0, this.clockMs - run.workSince)
      const percent = run.isLasting ? (workedMs >= STARTUP_MS ? 100 : 0) : Math.min(99, Math.floor(100 * workedMs / run.workMs))
      return [task, run.number, run.checkpoint, percent, 0]
    })
    this.answer(hold.response, 200, { running, ended: this.ended.slice(0, ENDS_LISTED) })
  }
}
