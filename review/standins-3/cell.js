/**
 * A small deployment of the system on loopback addresses: machines that run the two roles of deploy/system.toml, each as a
 * process of its own with the command of that file; their settings files and data folders are in a temporary folder. Also
 * the clients and the operator.
 */

import { spawn } from 'node:child_process'
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { guard } from './guard.js'
import { call } from './http.js'
import { pause, waitFor } from './journal.js'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const PORTS = { frontend: 8161, control: 8166, readiness: 8167, internal: 7720, runner: 8367, service: 8169, controllerMetrics: 9464 }

/** Bounds of the small deployment of the users' pages (coastline-ops). */
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

/** The commands of the two roles, as deploy/system.toml has them. */
function readCommands () {
  const commands = {}
  let role = ''
  for (const line of readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').split('\n')) {
    role = /^\[roles\.(.+)\]$/.exec(line)?.[1] ?? role
    const run = /^run = "(.*)"$/.exec(line)?.[1]
    if (run !== undefined) commands[role] = run.split(' ')
  }
  return commands
}

/** A prefix of loopback addresses, like 127.83.7, none of whose ports is in use. */
async function findFreePrefix () {
  for (;;) {
    const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 256)}`
    const isFree = await new Promise(resolve => {
      const server = createServer()
      server.on('error', () => { resolve(false) })
      server.listen(PORTS.control, `${prefix}.11`, () => { server.close(() => { resolve(true) }) })
    })
    if (isFree) return prefix
  }
}

export class Cell {
  constructor (journal, prefix, machineCount, coreCount, cloudAddress) {
    this.journal = journal
    this.prefix = prefix
    this.commands = readCommands()
    this.folder = mkdtempSync(join(tmpdir(), 'review-3-'))
    this.cloudAddress = cloudAddress
    this.isBootstrap = true
    this.machines = Array.from({ length: machineCount }, (_, index) => ({ name: `front-${'abcdefg'[index]}-1`, zone: `zone-${'abcdefg'[index]}`, ip: `${prefix}.${11 + index}`, hasController: index < coreCount }))
    this.processes = new Map()
    this.started = []
    guard(journal, () => {
      for (const child of this.started) child.kill('SIGKILL')
      if (process.env.KEEP_LOGS === '1') return console.log(this.folder)
      // A process that is being killed may still write there.
      try {
        rmSync(this.folder, { recursive: true, force: true, maxRetries: 5, retryDelay: 50 })
      } catch (thrown) {
        journal.note(`the temporary folder is left: ${thrown.message}`)
      }
    })
  }

  /** Starts `machines` machines, all of which run the entry role; the first `core` of them have a disk and run the controller role. */
  static async start (journal, { machines = 3, core = 3, hasCloud = false } = {}) {
    const prefix = await findFreePrefix()
    const cell = new Cell(journal, prefix, machines, core, hasCloud ? `${prefix}.9:${PORTS.service}` : '')
    for (const machine of cell.machines) {
      if (machine.hasController) cell.startProcess(machine, 'controller')
      cell.startProcess(machine, 'entry')
    }
    const isReady = await waitFor(async () => {
      const answers = await Promise.all(cell.machines.map(({ ip }) => call(`${ip}:${PORTS.readiness}`, 'GET', '/api/readyz')))
      return answers.every(({ status }) => status === 200)
    }, 30000, 100)
    if (!isReady) {
      await cell.stop()
      throw new Error('the processes are not ready')
    }
    cell.isBootstrap = false
    journal.note('all processes are ready')
    return cell
  }

  get controls () {
    return this.machines.filter(({ hasController }) => hasController).map(({ ip }) => `${ip}:${PORTS.control}`)
  }

  get fronts () {
    return this.machines.map(({ ip }) => `${ip}:${PORTS.frontend}`)
  }

  startProcess ({ name, zone, ip }, role) {
    const key = `${name}/${role}`
    const dataFolder = role === 'controller' ? join(this.folder, name) : ''
    if (dataFolder !== '') mkdirSync(dataFolder, { recursive: true })
    const path = join(this.folder, `${name}-${role}.json`)
    writeFileSync(path, JSON.stringify({ learnt_run_times: true, platform: this.createSettings({ name, zone, ip }, role, dataFolder) }))
    const [command, ...words] = this.commands[role]
    const child = spawn(command, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, FLAMINGOROUTER_SETTINGS: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = join(this.folder, `${name}-${role}.txt`)
    child.stdout.on('data', data => { appendFileSync(log, data) })
    child.stderr.on('data', data => { appendFileSync(log, data) })
    child.on('exit', (code, signal) => { this.journal.note(`process ${key} (${child.pid}) ended: ${signal ?? code}`) })
    this.processes.set(key, child)
    this.started.push(child)
    this.journal.note(`process ${key} (${child.pid}) started`)
  }

  createSettings ({ name, zone, ip }, role, dataFolder) {
    return {
      node: name,
      role,
      machine_class: 'front',
      serves: role === 'controller' ? ['control'] : ['front'],
      ip,
      zone,
      region: 'region-1',
      internal_port_range: [PORTS.internal, PORTS.internal + 15],
      seeds: this.machines.slice(0, 3).map(machine => `${machine.ip}:${PORTS.control}`),
      bootstrap: this.isBootstrap,
      fault_counted: true,
      data_dir: dataFolder,
      discovery: 'register',
      entry: 'vip',
      heartbeat_ms: 1500,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'upkeep', 'sharing'],
      config_mode: 'highest',
      orders: 'call',
      advice: '',
      zones: Object.fromEntries(this.machines.map(machine => [machine.zone, 'region-1'])),
      listen: role === 'controller' ? { control: `${ip}:${PORTS.control}` } : { frontend: `${ip}:${PORTS.frontend}`, readiness: `${ip}:${PORTS.readiness}` },
      limits: { cpu_share: 0.675, cores: 2, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 128 },
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      cloud: this.cloudAddress === '' ? {} : { address: this.cloudAddress, rate_per_s: 60, duties: [], duty_per_s: 60 }
    }
  }

  /** Sends a signal to all processes of a machine. */
  signal ({ name }, signal) {
    for (const [key, child] of this.processes) {
      if (key.startsWith(`${name}/`)) child.kill(signal)
    }
    this.journal.note(`${signal} to all processes of ${name}`)
  }

  /** Kills the controller that leads, as its metrics say, and starts it again a second later. */
  async restartLeader () {
    for (const machine of this.machines.filter(({ hasController }) => hasController)) {
      const { text } = await call(`${machine.ip}:${PORTS.controllerMetrics}`, 'GET', '/metrics')
      if (!/^(\w+_)?leader(\{.*\})? 1$/m.test(text)) continue
      this.journal.note(`${machine.name} leads; its controller is killed`)
      this.processes.get(`${machine.name}/controller`).kill('SIGKILL')
      await pause(1000)
      this.startProcess(machine, 'controller')
      return
    }
    throw new Error('no controller says that it leads')
  }

  readLog (machine, role) {
    return readFileSync(join(this.folder, `${machine.name}-${role}.txt`), 'utf8')
  }

  /** Sends a call of the operator to one process after another until one answers clearly. */
  async operate (method, path, body, limitMs = 15000) {
    for (const end = performance.now() + limitMs; performance.now() < end;) {
      for (const address of this.controls) {
        const answer = await call(address, method, path, { body })
        this.journal.note(`operator: ${method} ${path} at ${address}: ${answer.status || answer.error}`)
        if (answer.status > 0 && answer.status < 500 && answer.status !== 408 && answer.status !== 429) return answer
        await pause(200)
      }
    }
    return { status: 0, text: '' }
  }

  /** A call of a client at the entry with this number, with the deadline of the users' pages. */
  async ask (entry, method, path, body, timeoutMs = 3000) {
    const address = this.fronts[entry % this.fronts.length]
    const answer = await call(address, method, path, { body, headers: { Host: 'jobs.example', 'X-Deadline-Ms': '3000' }, timeoutMs })
    this.journal.note(`client: ${method} ${path} at ${address}: ${answer.status || answer.error} ${answer.text}`)
    return answer
  }

  /** Submits a job; as a client does, again at another entry when it gets no clear answer. */
  async submit (path, body) {
    let answer
    for (let attempt = 0; attempt < 5; attempt++) {
      answer = await this.ask(attempt, 'POST', path, body)
      if (answer.status >= 200 && answer.status < 300) return answer
      await pause(500)
    }
    return answer
  }

  async stop () {
    const running = this.started.filter(child => child.exitCode === null && child.signalCode === null)
    for (const child of running) child.kill('SIGKILL')
    await waitFor(() => running.every(child => child.exitCode !== null || child.signalCode !== null), 3000)
  }
}

/** A configuration with one queue for each of the prefixes. */
export function createConfiguration (version, queues, service = 'runners-1') {
  return {
    version,
    routes: queues.map(queue => ({
      name: `r-${queue.prefix.replaceAll('/', '')}`,
      host: 'jobs.example',
      path_prefix: queue.prefix,
      kind: 'unsafe',
      timeout_ms: 3000,
      target_latency_ms: 1000,
      priority: 1,
      service,
      max_attempts: 4,
      stretch: 2.2,
      ...queue.fields
    })),
    services: [{ name: service, health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, admission_check: false, standby: false }],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
  }
}
