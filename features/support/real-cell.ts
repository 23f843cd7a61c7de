/**
 * A cell of real processes: the binary runs once for each controller and each
 * entry. The connections of each process to each controller pass through a
 * separate fault proxy.
 */

import { spawn, type ChildProcess } from 'node:child_process'
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { findFreePorts } from '../../packages/cli/src/utils/ports.js'
import { FaultProxy } from './fault-proxy.js'

const HOST = '127.0.0.1'
const BINARY = 'dist/flamingorouter'
const POLL_INTERVAL_MS = 20
const AVAILABILITY_ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'] as const

/** Timeout of one readiness probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000

/** Timeout until all entries of a cell are ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000

export interface ProcessState {
  name: string
  role: 'controller' | 'entry'
  zone: string
  port: number
  /** Undefined until the process is first launched. */
  child: ChildProcess | undefined
  /** Lines of standard output and standard error since the process was added to the cell. */
  output: string[]
  isFrozen: boolean
}

export interface RealCellOptions {
  controllers: number
  entries: number
  /** Additional settings of a process, given its name and the folder of its settings file. */
  settings?: (name: string, folder: string) => Promise<Record<string, unknown>>
}

export class RealCell {
  readonly processes = new Map<string, ProcessState>()
  /** Proxies of the connections from a process to a controller; the key is `process>controller`. */
  private readonly proxies = new Map<string, FaultProxy>()
  private readonly folder = mkdtempSync(join(tmpdir(), 'flamingorouter-cell-'))

  private readonly children: ChildProcess[] = []
  /** Kills all child processes when the test process exits, so that none is left running. */
  private readonly killChildren = (): void => {
    for (const child of this.children) child.kill('SIGKILL')
  }

  private constructor (private readonly options: RealCellOptions) {
    process.once('exit', this.killChildren)
  }

  static async start (options: RealCellOptions): Promise<RealCell> {
    const cell = new RealCell(options)
    const ports = await findFreePorts(options.controllers + options.entries)
    for (let index = 0; index < ports.length; index += 1) {
      const isController = index < options.controllers
      const number = isController ? index + 1 : index - options.controllers + 1
      cell.addProcess(isController ? 'controller' : 'entry', number, ports[index])
    }
    await Promise.all([...cell.processes.keys()].map(name => cell.launch(name)))
    await cell.waitUntilReady()
    return cell
  }

  get controllers (): ProcessState[] {
    return this.listProcesses('controller')
  }

  get entries (): ProcessState[] {
    return this.listProcesses('entry')
  }

  /** host:port of every entry. */
  get endpoints (): string[] {
    return this.entries.map(({ port }) => `${HOST}:${port}`)
  }

  getProcess (name: string): ProcessState {
    const state = this.processes.get(name)
    if (state === undefined) throw new Error(`cell has no process ${name}`)
    return state
  }

  /** Adds a controller that is not an initial member, without starting it. */
  async addController (number: number): Promise<ProcessState> {
    const [port] = await findFreePorts(1)
    return this.addProcess('controller', number, port)
  }

  /** Adds an entry without starting it. */
  async addEntry (name: string): Promise<void> {
    const [port] = await findFreePorts(1)
    this.addProcess('entry', Number(name.split('-')[1]), port)
  }

  /** Kills a process and removes it from the cell. */
  removeProcess (name: string): void {
    this.getProcess(name).child?.kill('SIGKILL')
    this.processes.delete(name)
  }

  async launch (name: string): Promise<void> {
    const state = this.getProcess(name)
    const file = join(this.folder, `${name}.json`)
    writeFileSync(file, JSON.stringify(await this.createSettings(state)))
    const child = spawn(BINARY, ['serve', file], { stdio: ['ignore', 'pipe', 'pipe'] })
    state.child = child
    this.children.push(child)
    state.isFrozen = false
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({ input: stream }).on('line', line => { if (line !== '') state.output.push(line) })
    }
  }

  /** Sends SIGKILL; resolves when the process has exited. */
  async kill (name: string): Promise<void> {
    await this.terminate(name, 'SIGKILL')
  }

  /** Sends SIGTERM; resolves with the exit code, or null if a signal ended the process. */
  async stop (name: string): Promise<number | null> {
    return await this.terminate(name, 'SIGTERM')
  }

  freeze (name: string): void {
    const state = this.getProcess(name)
    state.isFrozen = true
    state.child?.kill('SIGSTOP')
  }

  resume (name: string): void {
    const state = this.getProcess(name)
    state.isFrozen = false
    state.child?.kill('SIGCONT')
  }

  getDataFolder (name: string): string {
    return join(this.folder, `${name}-data`)
  }

  /** Removes the data folder of a stopped controller. */
  removeDataFolder (name: string): void {
    rmSync(this.getDataFolder(name), { recursive: true, force: true })
  }

  /** Lists the proxies of all connections that a process opens or accepts. */
  listProxies (name: string): FaultProxy[] {
    const found: FaultProxy[] = []
    for (const [key, proxy] of this.proxies) {
      if (key.split('>').includes(name)) found.push(proxy)
    }
    return found
  }

  /** Returns the proxy of the connections that one process opens to another; throws if there is none. */
  getProxy (from: string, to: string): FaultProxy {
    const proxy = this.proxies.get(`${from}>${to}`)
    if (proxy === undefined) throw new Error(`cell has no proxy from ${from} to ${to}`)
    return proxy
  }

  /** Silently drops all bytes to and from a process. */
  isolate (name: string): void {
    for (const proxy of this.listProxies(name)) proxy.setFault({ dropsToServer: true, dropsToClient: true })
  }

  /** Ends the network faults between all processes; frozen processes stay frozen. */
  clearFaults (): void {
    for (const proxy of this.proxies.values()) proxy.clearFault()
  }

  /** Returns the controller that logged the highest term as leader; undefined if none has led yet. */
  findLeader (): string | undefined {
    let leader: string | undefined
    let highest = -1
    for (const state of this.controllers) {
      for (const line of state.output) {
        const term = Number(/event=leading term=(\d+)/.exec(line)?.[1] ?? -1)
        if (term <= highest) continue
        highest = term
        leader = state.name
      }
    }
    return leader
  }

  async waitUntilReady (): Promise<void> {
    await waitFor('every entry is ready', READY_TIMEOUT_MS, async () => {
      const answers = await Promise.all(this.endpoints.map(isReady))
      return answers.every(answer => answer)
    })
  }

  async close (): Promise<void> {
    process.off('exit', this.killChildren)
    const running = [...this.processes.values()].filter(({ child }) => child !== undefined && child.exitCode === null)
    await Promise.all(running.map(({ name }) => this.kill(name)))
    await Promise.all([...this.proxies.values()].map(proxy => proxy.close()))
    rmSync(this.folder, { recursive: true, force: true })
  }

  private get initialControllers (): ProcessState[] {
    return this.controllers.slice(0, this.options.controllers)
  }

  private listProcesses (role: ProcessState['role']): ProcessState[] {
    return [...this.processes.values()].filter(state => state.role === role)
  }

  private addProcess (role: ProcessState['role'], number: number, port: number): ProcessState {
    const name = `${role}-${number}`
    const zone = AVAILABILITY_ZONES[(number - 1) % AVAILABILITY_ZONES.length]
    const state: ProcessState = { name, role, zone, port, child: undefined, output: [], isFrozen: false }
    this.processes.set(name, state)
    return state
  }

  private async terminate (name: string, signal: NodeJS.Signals): Promise<number | null> {
    const { child } = this.getProcess(name)
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return child?.exitCode ?? null
    const ended = new Promise<number | null>(resolve => { child.once('exit', resolve) })
    child.kill(signal)
    return await ended
  }

  private async createSettings (state: ProcessState): Promise<Record<string, unknown>> {
    const listen = `${HOST}:${state.port}`
    const controllers = await Promise.all(this.initialControllers.map(async peer => ({
      id: peer.name,
      address: peer === state ? listen : await this.openProxy(state.name, peer),
      availabilityZone: peer.zone
    })))
    const data = this.getDataFolder(state.name)
    mkdirSync(data, { recursive: true })
    const role = state.role === 'controller'
      ? { controller: { dataFolder: data, listen } }
      : { entry: { listen, readinessFallMs: 300 } }
    return {
      process: state.name,
      group: 'features',
      availabilityZone: state.zone,
      vm: `vm-of-${state.name}`,
      controllers,
      ...role,
      ...await this.options.settings?.(state.name, this.folder)
    }
  }

  private async openProxy (from: string, peer: ProcessState): Promise<string> {
    const key = `${from}>${peer.name}`
    let proxy = this.proxies.get(key)
    if (proxy === undefined) {
      proxy = await FaultProxy.start(() => `${HOST}:${peer.port}`)
      this.proxies.set(key, proxy)
    }
    return proxy.address
  }
}

export async function isReady (endpoint: string): Promise<boolean> {
  try {
    return (await fetch(`http://${endpoint}/readyz`, { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) })).ok
  } catch {
    return false
  }
}

/** Polls until a condition holds; throws an error that names it after the timeout. */
export async function waitFor (condition: string, timeoutMs: number, isMet: () => boolean | Promise<boolean>): Promise<void> {
  const deadlineAt = performance.now() + timeoutMs
  while (!await isMet()) {
    if (performance.now() > deadlineAt) throw new Error(`condition not met within ${timeoutMs} ms: ${condition}`)
    await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
  }
}
