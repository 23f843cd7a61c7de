/**
 * Runners that follow PROTOCOL.md ("Running tasks", "Service discovery"). They are servers in the process of the script; a
 * crash closes their port and connections and forgets all that they held. The work of the tasks is simulated: `plans` says for
 * each job how long the tasks of each step work and how they end.
 */

import { createServer } from 'node:http'
import { call } from './http.js'
import { BOUNDS, PORTS } from './cell.js'

const GANG_BREAK_MS = 50
const RESTART_WORK_MS = 400

export class Fleet {
  constructor (cell, journal, plans) {
    this.cell = cell
    this.journal = journal
    /** By job: its steps, each with `count`, `workMs` (Infinity: the task lasts), `gang`, `checkpointing`. */
    this.plans = plans
    this.runners = []
    this.starts = []
    this.lastId = 0
  }

  static async start (cell, journal, plans, specs) {
    const fleet = new Fleet(cell, journal, plans)
    for (const [index, spec] of specs.entries()) fleet.runners.push(new Runner(fleet, index, spec))
    for (const runner of fleet.runners) await runner.begin()
    return fleet
  }

  findRuns (predicate) {
    return this.runners.flatMap(runner => [...runner.running.values()].filter(predicate).map(run => ({ runner, run })))
  }

  gangMembers (key, run) {
    return this.findRuns(other => other.gang === key && other.run === run)
  }

  async stop () {
    for (const runner of this.runners) await runner.crash('the script ends')
  }
}

class Runner {
  constructor (fleet, index, { zone = 'zone-a', rack = 'r1-1', kind = 'a', cpu = 8000, memMb = 16384 }) {
    Object.assign(this, { fleet, index, zone, rack, kind, cpu, memMb })
    this.address = `${fleet.cell.prefix}.${101 + index}:${PORTS.runner}`
    this.isUp = false
    this.running = new Map()
    this.sockets = new Set()
  }

  get clockMs () {
    return Math.floor(performance.now() - this.upSince + 1000)
  }

  /** Starts a new life: it holds and knows nothing of before. */
  async begin () {
    this.fleet.lastId += 1
    this.id = `i-${String(this.fleet.lastId).padStart(4, '0')}`
    this.born = Date.now()
    this.upSince = performance.now()
    this.sequence = 0
    this.fence = 0
    this.leaseUntil = 0
    this.running = new Map()
    this.closedRuns = new Map()
    this.ended = []
    this.lastEnd = 0
    this.waiting = new Set()
    this.isUp = true
    this.server = createServer((request, response) => { this.serve(request, response).catch(() => { response.destroy() }) })
    this.server.keepAliveTimeout = 60000
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
    const [host, port] = this.address.split(':')
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, resolve)
    })
    this.fleet.journal.note(`runner ${this.id} up at ${this.address}`)
    this.leaseTimer = setInterval(() => { this.expire() }, 20)
    this.beatTimer = setInterval(() => { this.beat() }, 1500)
    this.beat()
  }

  /** The process ends at once: connections are closed, and all that it held is gone. */
  async crash (reason) {
    if (!this.isUp) return
    this.isUp = false
    clearInterval(this.leaseTimer)
    clearInterval(this.beatTimer)
    this.fleet.journal.note(`runner ${this.id} crashes (${reason}), with it ${[...this.running.values()].map(run => `${run.task}#${run.run}`).join(' ') || 'no run'}`)
    const runs = [...this.running.values()]
    this.running = new Map()
    for (const run of runs) {
      clearTimeout(run.timer)
      run.record.end = 'crashed'
      run.record.endedAt = this.fleet.journal.seconds
      this.breakGang(run)
    }
    const closed = new Promise(resolve => { this.server.close(resolve) })
    for (const socket of this.sockets) socket.destroy()
    await closed
  }

  async beat () {
    const { controls } = this.fleet.cell
    const life = this.born
    for (let attempt = 0; attempt < controls.length && this.isUp && this.born === life; attempt++) {
      this.sequence += 1
      const body = {
        service: 'runners-1',
        address: this.address,
        zone: this.zone,
        version: 'v1',
        slots: 8,
        state: 'ready',
        cold_remaining_ms: 0,
        capacity: { cpu: this.cpu, mem_mb: this.memMb, gpu: 0 },
        labels: [this.kind, this.rack],
        clock_ms: this.clockMs,
        sequence: this.sequence,
        born: this.born
      }
      const { status } = await call(controls[(this.index + this.sequence) % controls.length], 'PUT', `/api/instances/${this.id}`, { body })
      if (status >= 200 && status < 300) return
    }
  }

  async serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const answer = (status, body = {}) => {
      if (!this.isUp) return response.destroy()
      const text = JSON.stringify({ clock_ms: this.clockMs, born: this.born, ...body })
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
    }
    if (!this.isUp) return response.destroy()
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return answer(421)
    if (request.url === '/healthz') return answer(200)
    const order = JSON.parse(Buffer.concat(chunks).toString())
    this.expire()
    if ((order.fence ?? 0) < this.fence) return answer(409, { reason: 'fence' })
    this.fence = order.fence ?? 0
    if (request.url === '/api/run-start') return this.startRun(order, answer)
    if (request.url === '/api/run-stop') return this.stopRun(order, answer)
    if (request.url === '/api/hold') return await this.hold(order, answer)
    if (request.url === '/api/pace') return answer(200)
    answer(400)
  }

  extend (untilMs) {
    if (untilMs !== undefined) this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clockMs + BOUNDS.hold_max_ms))
  }

  expire () {
    if (this.clockMs < this.leaseUntil) return
    for (const run of [...this.running.values()]) this.endRun(run, 'lapsed')
  }

  startRun (order, answer) {
    const { task, run, spec, checkpoint = '' } = order
    const active = this.running.get(task)
    this.extend(order.until_ms)
    if (active?.run === run) return answer(200)
    if (active !== undefined || run <= (this.closedRuns.get(task) ?? 0)) return answer(409, { reason: 'old' })
    if (order.until_ms <= this.clockMs) return answer(409, { reason: 'late' })
    const [job, occurrence, step] = task.split('.')
    const plan = this.fleet.plans.get(job)?.steps[Number(step)]
    const record = { task, run, runner: this.id, at: this.fleet.journal.seconds, spec, checkpoint, end: '', endedAt: Infinity }
    this.fleet.starts.push(record)
    this.fleet.journal.note(`runner ${this.id} starts ${task}#${run}${checkpoint === '' ? '' : ` from checkpoint ${checkpoint}`}`)
    const started = { task, run, record, plan, gang: plan?.gang === true ? `${job}.${occurrence}.${step}` : '', startedAt: performance.now(), workBase: Number(checkpoint.split('-')[1] ?? 0), saved: checkpoint, workingSince: undefined }
    this.running.set(task, started)
    this.beginWork(started)
    answer(200)
  }

  beginWork (run) {
    if (run.plan === undefined || run.plan.workMs === Infinity) {
      run.workingSince = performance.now()
      return
    }
    if (run.gang === '') return this.scheduleEnd(run)
    const members = this.fleet.gangMembers(run.gang, run.run)
    if (members.length === run.plan.count) {
      for (const member of members) {
        clearTimeout(member.run.timer)
        member.runner.scheduleEnd(member.run)
      }
      return
    }
    run.timer = setTimeout(() => { this.endRun(run, 'alone') }, BOUNDS.gang_ms)
  }

  scheduleEnd (run) {
    run.workingSince = performance.now()
    run.timer = setTimeout(() => {
      if (run.gang === '') return this.endRun(run, 'done')
      for (const member of this.fleet.gangMembers(run.gang, run.run)) member.runner.endRun(member.run, 'done')
    }, run.plan.workMs - run.workBase)
  }

  workedMs (run) {
    return run.workBase + (run.workingSince === undefined ? 0 : performance.now() - run.workingSince)
  }

  /** A new checkpoint comes with each checkpoint_s of work and, if `isStop`, at a stop. */
  save (run, isStop) {
    if (run.plan?.checkpointing !== true || run.workingSince === undefined) return run.saved
    const intervalMs = BOUNDS.checkpoint_s * 1000
    const worked = this.workedMs(run)
    const at = isStop ? Math.floor(worked) : Math.floor(worked / intervalMs) * intervalMs
    if (at > run.workBase) run.saved = `${run.gang === '' ? run.task : run.gang}-${at}`
    return run.saved
  }

  stopRun ({ task, run }, answer) {
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0))
    const active = this.running.get(task)
    this.fleet.journal.note(`runner ${this.id} is told to stop ${task}#${run}`)
    if (active !== undefined && active.run <= run) setTimeout(() => { this.endRun(active, 'stopped') }, BOUNDS.stop_ms / 2)
    answer(200)
  }

  endRun (run, how) {
    if (this.running.get(run.task) !== run) return
    const saved = this.save(run, how === 'stopped')
    this.running.delete(run.task)
    clearTimeout(run.timer)
    run.record.end = how
    run.record.endedAt = this.fleet.journal.seconds
    this.closedRuns.set(run.task, Math.max(run.run, this.closedRuns.get(run.task) ?? 0))
    this.lastEnd += 1
    this.ended.push([this.lastEnd, run.task, run.run, how, saved])
    this.fleet.journal.note(`runner ${this.id}: ${run.task}#${run.run} ends ${how}`)
    if (how !== 'done') this.breakGang(run)
    for (const wake of this.waiting) wake()
  }

  breakGang (run) {
    if (run.gang === '') return
    setTimeout(() => {
      for (const member of this.fleet.gangMembers(run.gang, run.run)) member.runner.endRun(member.run, 'broken')
    }, GANG_BREAK_MS)
  }

  async hold (order, answer) {
    if (order.ack_cursor > 0) this.ended = this.ended.filter(([number]) => number > order.ack_cursor)
    this.extend(order.until_ms)
    if ((order.wait_ms ?? 0) > 0 && this.ended.length === 0) {
      await new Promise(resolve => {
        const wake = () => {
          this.waiting.delete(wake)
          clearTimeout(timer)
          resolve()
        }
        const timer = setTimeout(wake, Math.min(2000, order.wait_ms))
        this.waiting.add(wake)
      })
    }
    this.expire()
    const running = [...this.running.values()].map(run => [run.task, run.run, this.save(run, false), this.percentOf(run), 0])
    answer(200, { running, ended: this.ended.slice(0, 500) })
  }

  percentOf (run) {
    if (run.plan?.workMs === Infinity || run.plan === undefined) return performance.now() - run.startedAt > RESTART_WORK_MS ? 100 : 0
    return Math.min(99, Math.floor(this.workedMs(run) * 100 / run.plan.workMs))
  }
}
