/**
 * Starts a small deployment on loopback addresses with the commands of deploy/system.toml, stand-in runners, and the calls of a
 * client and an operator. What is sent, answered and run goes to a record.
 */

import { spawn } from 'node:child_process'
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const REPOSITORY = join(FOLDER, '..', '..')
const PORTS = { frontend: 8161, readiness: 8167, control: 8166, internal: 7720, runner: 8080, cloud: 8169 }

/** The bounds of the site coastline-ops, which the platform gives to each process. */
export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  recover_s: 12,
  hold_max_ms: 6000,
  stop_ms: 200,
  gang_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  remote_factor: 2,
  checkpoint_s: 2,
  restore_ms: 250,
  notice_ms: 4500,
  migrate_s: 1.5,
  maintenance_s: 2,
  fencing_enabled: true,
  lease_ms: 3000,
  thaw_ms: 300,
  pace_ms: 100,
  harm_ms: 4000
}

export const HAS_TROUBLE = process.env.TROUBLE !== '0'
export const pause = ms => new Promise(resolve => { setTimeout(resolve, ms) })

export class Cell {
  /** `recordPath` is the file record.txt of the case. */
  constructor (recordPath) {
    this.startedAt = Date.now()
    this.recordPath = recordPath
    writeFileSync(this.recordPath, '')
    this.temporary = mkdtempSync(join(tmpdir(), 'review-'))
    const draw = () => 1 + Math.floor(Math.random() * 253)
    this.network = `127.${draw()}.${draw()}`
    this.processes = new Map()
    this.children = new Set()
    this.runs = []
    /** The highest end that was taken note of, by runner, and the leases that lapsed. */
    this.acks = new Map()
    this.lapses = []
    this.lives = 0
    this.isOver = false
  }

  record (text) {
    appendFileSync(this.recordPath, `${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`)
  }

  controllerHost (index) { return `${this.network}.${10 + index}` }
  entryHost (index) { return `${this.network}.${40 + index}` }
  get controls () { return Array.from({ length: this.controllerCount }, (_, index) => `${this.controllerHost(index)}:${PORTS.control}`) }

  /** Starts controllers and entries, and waits until all entries are ready. */
  async start ({ controllers = 3, entries = 2, cloud } = {}) {
    this.controllerCount = controllers
    this.entryCount = entries
    await this.startCloud(cloud)
    for (let index = 0; index < controllers; index++) this.startController(index, true)
    for (let index = 0; index < entries; index++) this.startEntry(index, true)
    for (let index = 0; index < entries; index++) {
      await this.until(async () => (await this.call(`${this.entryHost(index)}:${PORTS.readiness}`, 'GET', '/api/readyz')).status === 200, 30_000, `entry ${index} is ready`)
    }
    this.record('the cell is ready')
  }

  startCloud (handler) {
    this.cloudServer = createServer((incoming, response) => {
      let text = ''
      incoming.on('data', chunk => { text += chunk })
      incoming.on('end', () => {
        if (handler !== undefined) return handler(incoming, text, response)
        response.writeHead(200, { 'Content-Type': 'application/json' })
        response.end('{"machines":[],"next_token":""}')
      })
    })
    return new Promise((resolve, reject) => {
      this.cloudServer.once('error', reject)
      this.cloudServer.listen(PORTS.cloud, `${this.network}.5`, resolve)
    })
  }

  settings (name, role, host, serves, isFirstStart, dataFolder) {
    const listen = serves === 'control' ? { control: `${host}:${PORTS.control}` } : { frontend: `${host}:${PORTS.frontend}`, readiness: `${host}:${PORTS.readiness}` }
    const platform = {
      node: name,
      role,
      machine_class: 'front',
      serves: [serves],
      ip: host,
      zone: 'z-a',
      region: 'z',
      internal_port_range: [PORTS.internal, PORTS.internal + 15],
      seeds: this.controls.slice(0, 3),
      bootstrap: isFirstStart,
      fault_counted: dataFolder !== '',
      data_dir: dataFolder,
      discovery: 'register',
      entry: 'vip',
      heartbeat_ms: 1500,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'advice', 'upkeep', 'sharing'],
      config_mode: 'highest',
      orders: 'call',
      advice: '',
      zones: { 'z-a': 'z' },
      listen,
      limits: { cpu_share: 0.675, cores: 2, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 128 },
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      cloud: { address: `${this.network}.5:${PORTS.cloud}`, rate_per_s: 60, duties: [], duty_per_s: 60 }
    }
    const path = join(this.temporary, `${name}-${role}.json`)
    // The template of the roles, deploy/settings.json, with all fields of the platform.
    writeFileSync(path, readFileSync(join(REPOSITORY, 'deploy', 'settings.json'), 'utf8').replace('{{.|json}}', JSON.stringify(platform)))
    return path
  }

  startController (index, isFirstStart = false) {
    const host = this.controllerHost(index)
    const dataFolder = join(this.temporary, `data-${index}`)
    mkdirSync(dataFolder, { recursive: true })
    this.startRole(`controller-${index}`, 'controller', this.settings(`front-${index}`, 'controller', host, 'control', isFirstStart, dataFolder))
  }

  startEntry (index, isFirstStart = false) {
    this.startRole(`entry-${index}`, 'entry', this.settings(`edge-${index}`, 'entry', this.entryHost(index), 'front', isFirstStart, ''))
  }

  /** Starts a program with the command of its role in the deploy file. */
  startRole (name, role, settingsPath) {
    const deploy = readFileSync(join(REPOSITORY, 'deploy', 'system.toml'), 'utf8')
    const [, command] = new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]*)"`).exec(deploy)
    const [program, ...words] = command.split(' ')
    const child = spawn(program, words, { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', FLAMINGOROUTER_SETTINGS: settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.track(name, child)
    this.readLines(child.stdout, line => { this.noteProductLine(name, line) })
    this.readLines(child.stderr, line => { this.noteProductLine(name, line) })
  }

  /** Keeps a process that was started, so that it is ended with the case, however that ends. */
  track (name, child) {
    if (this.isOver) {
      child.kill('SIGKILL')
      return
    }
    this.processes.set(name, child)
    this.children.add(child)
    child.on('error', error => { this.record(`${name} could not be started: ${error.message}`) })
    this.record(`${name} starts as process ${child.pid}`)
    child.on('exit', (code, signal) => {
      this.children.delete(child)
      this.record(`${name} (process ${child.pid}) ended: ${signal ?? code}`)
      if (this.processes.get(name) === child) this.processes.delete(name)
    })
  }

  readLines (stream, handle) {
    let rest = ''
    stream.on('data', chunk => {
      const lines = (rest + String(chunk)).split('\n')
      rest = lines.pop()
      for (const line of lines) handle(line)
    })
  }

  /** The product's own log goes to the record where it explains a case; no check reads it, but for the name of the leader. */
  noteProductLine (name, line) {
    if (/"event":"leading"/.test(line)) this.leader = name
    if (/"event":"(leading|leadership_lost|job_closed|crashes_counted|worker_lost|uncaught_exception|stopped_by_fault|apply_failed|event_failed|start_failed|replica_faulted)"/.test(line)) this.record(`log of ${name}: ${line.slice(0, 400)}`)
  }

  /** Starts one life of a runner at the address of this index; returns its id. */
  startRunner (index, options = {}) {
    const id = options.id ?? `i-${index}-${++this.lives}`
    const runnerOptions = { id, host: `${this.network}.${100 + index}`, port: PORTS.runner, service: 'svc', zone: 'z-a', controls: this.controls, heartbeatMs: 1500, stopMs: BOUNDS.stop_ms, holdMaxMs: BOUNDS.hold_max_ms, ...options }
    const child = spawn(process.execPath, [join(FOLDER, 'runner.js'), JSON.stringify(runnerOptions)], { stdio: ['ignore', 'pipe', 'inherit'] })
    this.track(`runner-${index}`, child)
    this.readLines(child.stdout, line => { this.noteRunnerLine(index, line) })
    child.on('close', () => {
      for (const run of this.runs) {
        if (run.runner === id && run.endedAt === undefined) Object.assign(run, { endedAt: Date.now(), how: 'crashed' })
      }
    })
    return id
  }

  noteRunnerLine (index, line) {
    const { at, runner, event, task, run, how, number, ...rest } = JSON.parse(line)
    this.record([runner, event, task, run, how, number, rest.checkpoint].filter(word => word !== undefined && word !== '').join(' '))
    if (event === 'ack') this.acks.set(runner, number)
    if (event === 'lapse') this.lapses.push({ runner, at })
    if (event === 'start') this.runs.push({ runner, index, task, run, startedAt: at, endedAt: undefined, how: undefined, ...rest })
    const open = event === 'end' ? this.runs.find(other => other.runner === runner && other.task === task && other.run === run) : undefined
    if (open !== undefined) Object.assign(open, { endedAt: at, how, number })
  }

  signal (name, signal) {
    this.record(`${signal} to ${name}`)
    this.processes.get(name)?.kill(signal)
  }

  /** One HTTP call; the status is 0 without an answer. */
  call (address, method, path, body, headers = {}, timeoutMs = 3_000) {
    return new Promise(resolve => {
      const [host, port] = address.split(':')
      const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body)
      const outgoing = request({ host, port: Number(port), method, path, agent: false, headers: { ...(text === '' ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }), ...headers } })
      const timer = setTimeout(() => { outgoing.destroy(new Error('no answer in time')) }, timeoutMs)
      const settle = answer => {
        clearTimeout(timer)
        resolve(answer)
      }
      outgoing.on('error', error => { settle({ status: 0, text: String(error) }) })
      outgoing.on('response', response => {
        let answer = ''
        response.on('data', chunk => { answer += chunk })
        response.on('end', () => { settle({ status: response.statusCode, text: answer }) })
        response.on('error', error => { settle({ status: 0, text: String(error) }) })
      })
      outgoing.end(text)
    })
  }

  async callRecorded (address, method, path, body, headers, timeoutMs) {
    const sent = body === undefined ? '' : (typeof body === 'string' ? body : JSON.stringify(body)).slice(0, 160)
    this.record(`-> ${address} ${method} ${path} ${sent}`)
    const answer = await this.call(address, method, path, body, headers, timeoutMs)
    this.record(`<- ${address} ${method} ${path} ${answer.status} ${answer.text.slice(0, 160)}`)
    return answer
  }

  async until (check, limitMs, what) {
    for (const endsAt = Date.now() + limitMs; Date.now() < endsAt; await pause(50)) {
      if (await check()) return
    }
    throw new Error(`not within ${limitMs} ms: ${what}`)
  }

  /** A configuration of one queue, or of those given. */
  configuration (version, routes = [{}]) {
    return {
      version,
      routes: routes.map((route, index) => ({ name: `r-${index}`, host: 'queue.example', path_prefix: `/q${index}/`, kind: 'unsafe', timeout_ms: 3000, target_latency_ms: 1000, priority: 1, service: 'svc', max_attempts: 4, stretch: 2.2, ...route })),
      services: [{ name: 'svc', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, admission_check: false, standby: false }],
      limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
    }
  }

  /** Sends a configuration until it is acknowledged, to one node after the other. */
  async configure (configuration) {
    for (let attempt = 0; attempt < 40; attempt++) {
      const answer = await this.callRecorded(this.controls[attempt % this.controls.length], 'PUT', '/api/config', configuration, {}, 1_000)
      if (answer.status === 200) return
      await pause(100)
    }
    throw new Error('the configuration was not acknowledged')
  }

  /** A call of a client, at one entry after the other until there is a clear answer. */
  async ask (method, path, body, { attempts = 20, isSilent = false } = {}) {
    let answer = { status: 0, text: '' }
    for (let attempt = 0; attempt < attempts; attempt++) {
      const address = `${this.entryHost(attempt % this.entryCount)}:${PORTS.frontend}`
      const headers = { Host: 'queue.example', 'X-Deadline-Ms': '3000' }
      answer = isSilent ? await this.call(address, method, path, body, headers) : await this.callRecorded(address, method, path, body, headers)
      if (answer.status !== 0 && answer.status < 500) return answer
      await pause(100)
    }
    return answer
  }

  killAll () {
    for (const child of this.children) child.kill('SIGKILL')
  }

  async stop () {
    this.isOver = true
    const ends = []
    for (const child of this.children) ends.push(new Promise(resolve => { child.once('exit', resolve) }))
    this.killAll()
    await Promise.race([Promise.all(ends), pause(3_000)])
    this.cloudServer?.closeAllConnections()
    this.cloudServer?.close()
    rmSync(this.temporary, { recursive: true, force: true })
  }
}

/**
 * Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. All processes that were
 * started end before, also after an error, a signal or the time limit.
 */
export async function play (recordPath, scenario, limitMs = 110_000) {
  const cell = new Cell(recordPath)
  let ending
  const finish = status => {
    ending ??= (async () => {
      await cell.stop()
      cell.record(`exit ${status}`)
      process.exit(status)
    })()
    return ending
  }
  const giveUp = reason => {
    if (ending !== undefined) return
    cell.record(`the case could not run: ${reason}`)
    process.stdout.write(`the case could not run: ${reason}\n`)
    finish(2)
  }
  process.on('exit', () => { cell.killAll() })
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => { giveUp(signal) })
  process.on('uncaughtException', error => { giveUp(error.stack) })
  process.on('unhandledRejection', error => { giveUp(String(error)) })
  setTimeout(() => { giveUp('its time is over') }, limitMs)
  try {
    const broken = await scenario(cell)
    if (ending !== undefined) return await ending
    const text = broken === '' ? 'the rule held' : `BROKEN: ${broken}`
    cell.record(text)
    process.stdout.write(`${text}\n`)
    await finish(broken === '' ? 0 : 1)
  } catch (thrown) {
    giveUp(thrown.stack)
    await ending
  }
}
