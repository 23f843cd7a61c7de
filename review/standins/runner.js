/**
 * A stand-in runner: one life of a process that follows PROTOCOL.md, sections "Running tasks" and "Service discovery". It
 * checks no capacity (`admission_check` false) and starts what it is told to start. Usage: node runner.js OPTIONS, where
 * OPTIONS is a JSON text. Each start and end of a run is a JSON line on standard output.
 *
 * The payload of a job says what its tasks do: {"ms": N} ends `done` after N ms of work; {"last": true} lasts until stopped;
 * {"fail": true} ends `failed` after `ms`; {"until": T} ends `done` at the Unix millisecond T.
 */

import { createServer, request } from 'node:http'

const options = JSON.parse(process.argv[2])
const { id, host, port, service, zone, controls, heartbeatMs, stopMs, holdMaxMs, checkpointMs = 0 } = options
const capacity = options.capacity ?? { cpu: 64000, mem_mb: 131072, gpu: 0 }
const born = Date.now()
const startedAt = performance.now()

/** Most ends that one answer lists, and the time until a task that lasts is at work. */
const LISTED_ENDS = 500
const STARTUP_MS = 300

let fence = 0
let leaseUntil = 0
let hasLapsed = true
let sequence = 0
let lastEnd = 0
let acknowledged = 0
let ended = []
const running = new Map()
const closed = new Map()
let waiting = []

const clock = () => Math.floor(performance.now() - startedAt)
const log = fields => { process.stdout.write(`${JSON.stringify({ at: Date.now(), runner: id, ...fields })}\n`) }

function end (task, how) {
  const run = running.get(task)
  if (run === undefined) return
  running.delete(task)
  clearTimeout(run.timer)
  closed.set(task, Math.max(closed.get(task) ?? 0, run.run))
  ended.push([++lastEnd, task, run.run, how, how === 'done' ? '' : saved(run)])
  log({ event: 'end', task, run: run.run, how, number: lastEnd })
  const release = waiting
  waiting = []
  for (const answer of release) answer()
}

function saved (run) {
  if (checkpointMs === 0) return ''
  const worked = clock() - run.startedClock
  return worked < checkpointMs ? run.checkpoint : `${run.task}@${Math.floor(worked / checkpointMs)}`
}

function begin (task, run, spec, checkpoint) {
  const work = JSON.parse(spec)
  const started = { task, run, spec, checkpoint, startedClock: clock(), work, timer: undefined, isStopping: false }
  running.set(task, started)
  log({ event: 'start', task, run, spec, checkpoint })
  const durationMs = work.until === undefined ? work.ms : Math.max(1, work.until - Date.now())
  started.durationMs = durationMs
  if (work.last !== true) started.timer = setTimeout(() => { end(task, work.fail === true ? 'failed' : 'done') }, durationMs)
}

function percentOf ({ work, startedClock, durationMs }) {
  const worked = clock() - startedClock
  return Math.min(work.last === true ? 100 : 99, Math.floor(100 * worked / (work.last === true ? STARTUP_MS : durationMs)))
}

/** Takes the end of a lease; it never shortens, and a longer one is shortened to the longest. */
function extend (untilMs) {
  if (typeof untilMs === 'number') leaseUntil = Math.max(leaseUntil, Math.min(untilMs, clock() + holdMaxMs))
}

function isFenced (body) {
  const given = body.fence ?? 0
  if (given < fence) return true
  fence = given
  return false
}

function startRun (body) {
  if (isFenced(body)) return [409, { reason: 'fence' }]
  const { task, run, spec, until_ms: untilMs } = body
  const present = running.get(task)
  if (present?.run === run) {
    extend(untilMs)
    return [200, {}]
  }
  if (run <= Math.max(closed.get(task) ?? 0, present?.run ?? 0)) {
    extend(untilMs)
    return [409, { reason: 'old' }]
  }
  if (untilMs <= clock()) return [409, { reason: 'late' }]
  extend(untilMs)
  if (present !== undefined) end(task, 'stopped')
  begin(task, run, spec, body.checkpoint ?? '')
  return [200, {}]
}

function stopRun (body) {
  if (isFenced(body)) return [409, { reason: 'fence' }]
  const { task, run } = body
  closed.set(task, Math.max(closed.get(task) ?? 0, run))
  const present = running.get(task)
  if (present !== undefined && present.run <= run && !present.isStopping) {
    present.isStopping = true
    clearTimeout(present.timer)
    present.timer = setTimeout(() => { end(task, 'stopped') }, stopMs / 2)
  }
  return [200, {}]
}

async function hold (body) {
  if (isFenced(body)) return [409, { reason: 'fence' }]
  extend(body.until_ms)
  if ((body.ack_cursor ?? 0) > acknowledged) {
    acknowledged = body.ack_cursor
    ended = ended.filter(([number]) => number > acknowledged)
    log({ event: 'ack', number: acknowledged })
  }
  if (ended.length === 0 && body.wait_ms > 0) {
    await new Promise(resolve => {
      waiting.push(resolve)
      setTimeout(resolve, body.wait_ms)
    })
  }
  const rows = [...running.values()].map(run => [run.task, run.run, saved(run), percentOf(run), 0])
  return [200, { running: rows, ended: ended.slice(0, LISTED_ENDS) }]
}

async function answer (url, headers, text) {
  const expected = headers['x-expect-instance']
  if (expected !== undefined && expected !== id) return [421, {}]
  const body = JSON.parse(text)
  switch (url) {
    case '/api/run-start': return startRun(body)
    case '/api/run-stop': return stopRun(body)
    case '/api/hold': return await hold(body)
    case '/api/pace': return isFenced(body) ? [409, { reason: 'fence' }] : [200, {}]
    default: return [404, {}]
  }
}

const server = createServer((incoming, response) => {
  let text = ''
  incoming.on('data', chunk => { text += chunk })
  incoming.on('end', () => {
    answer(incoming.url, incoming.headers, text).then(([status, fields]) => {
      const reply = JSON.stringify({ clock_ms: clock(), born, ...fields })
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(reply) })
      response.end(reply)
    }, () => { response.destroy() })
  })
})
server.keepAliveTimeout = 60_000

/** Reports itself to the first node that acknowledges within a second. */
function report (attempt = 0) {
  if (attempt >= controls.length) return
  const [controlHost, controlPort] = controls[(sequence + attempt) % controls.length].split(':')
  const reply = JSON.stringify({
    service, address: `${host}:${port}`, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity, labels: ['a', `rack-${zone}`], clock_ms: clock(), born, sequence: ++sequence
  })
  const call = request({ host: controlHost, port: Number(controlPort), method: 'PUT', path: `/api/instances/${id}`, headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(reply) }, timeout: 1_000 })
  let isSettled = false
  const settle = isAcknowledged => {
    if (isSettled) return
    isSettled = true
    if (!isAcknowledged) report(attempt + 1)
  }
  call.on('response', response => {
    response.resume()
    settle(response.statusCode >= 200 && response.statusCode < 300)
  })
  call.on('timeout', () => { call.destroy() })
  call.on('error', () => { settle(false) })
  call.on('close', () => { settle(false) })
  call.end(reply)
}

setInterval(() => {
  if (clock() < leaseUntil) {
    hasLapsed = false
    return
  }
  if (!hasLapsed) log({ event: 'lapse' })
  hasLapsed = true
  for (const task of [...running.keys()]) end(task, 'lapsed')
}, 20)

server.listen(port, host, () => {
  log({ event: 'up', born })
  report()
  setInterval(() => { report() }, heartbeatMs)
})
