/**
 * A complete small cell in one process: controllers, entries, and stand-in workers
 * and runners, connected over loopback. Its data folders are removed when it stops.
 */

import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { MemberFacts } from '@flamingorouter/controllers'
import { createLoopbackAuthenticator } from '@flamingorouter/rpc'
import { DEFAULT_LIMITS } from '@flamingorouter/scheduler'
import { StandInRunner, StandInWorker } from '@flamingorouter/targets'
import {
  ALL_BINDINGS, ALL_METHOD_RULES, ControllerNode, createLocalMethods, EntryNode, type RuntimeLog
} from '@flamingorouter/runtime'
import { findFreePorts } from '../utils/ports.js'

const HOST = '127.0.0.1'
const GROUP = 'dev'
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const
const TIMING = { heartbeatMs: 50, electionMs: 300, driftMs: 30 }
const SNAPSHOT_EVERY = 10_000

/** Capacity of one stand-in worker. */
const WORKER_CAPACITY = { millicores: 16_000, memoryMib: 32_768, accelerators: 2 }
const SLOTS_PER_RUNNER = 8
const CONNECTIONS_PER_RUNNER = 64

export interface SmallCellOptions {
  workers: number
  runners: number
  /** Service that the runners serve. */
  service: string
  /** Port of the first entry; 0 selects a free port. */
  port: number
  log: RuntimeLog
}

export class SmallCell {
  readonly workers: StandInWorker[] = []
  readonly runners: StandInRunner[] = []
  private readonly controllers: ControllerNode[] = []
  private readonly entries: EntryNode[] = []
  private members: MemberFacts[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'flamingorouter-'))

  private constructor (private readonly options: SmallCellOptions) {}

  static async start (options: SmallCellOptions): Promise<SmallCell> {
    const cell = new SmallCell(options)
    await cell.startControllers()
    await cell.startEntries()
    await cell.startTargets()
    return cell
  }

  /** host:port of each entry. */
  get endpoints (): string[] {
    return this.entries.map(({ port }) => `${HOST}:${port}`)
  }

  get capacity (): typeof WORKER_CAPACITY {
    const { workers } = this.options
    return {
      millicores: WORKER_CAPACITY.millicores * workers,
      memoryMib: WORKER_CAPACITY.memoryMib * workers,
      accelerators: WORKER_CAPACITY.accelerators * workers
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.runners.map(runner => runner.kill()))
    await Promise.all(this.workers.map(worker => worker.kill()))
    await Promise.all(this.entries.map(entry => entry.stop()))
    await Promise.all(this.controllers.map(controller => controller.kill()))
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async startControllers (): Promise<void> {
    const ports = await findFreePorts(ZONES.length)
    const members = ZONES.map((availabilityZone, index) => ({
      id: `controller-${index + 1}`,
      address: `${HOST}:${ports[index]}`,
      availabilityZone,
      role: 'voter' as const
    }))
    for (const [index, member] of members.entries()) {
      this.controllers.push(await ControllerNode.start({
        id: member.id,
        group: GROUP,
        availabilityZone: member.availabilityZone,
        dataFolder: join(this.folder, member.id),
        listen: member.address,
        bootstrap: members,
        timing: TIMING,
        snapshotEvery: SNAPSHOT_EVERY,
        limits: DEFAULT_LIMITS,
        seed: index + 1
      }, {
        bindings: ALL_BINDINGS,
        localMethods: createLocalMethods(),
        log: this.options.log,
        handleFault: reason => { this.options.log.error('controller_faulted', { id: member.id, reason }) }
      }))
    }
    this.members = members
  }

  private async startEntries (): Promise<void> {
    for (const [index, port] of [this.options.port, 0].entries()) {
      this.entries.push(await EntryNode.start({
        process: `entry-${index + 1}`,
        group: GROUP,
        availabilityZone: ZONES[index],
        listen: { host: HOST, port },
        controllers: this.members,
        readinessFallMs: 0
      }, { methodRules: ALL_METHOD_RULES, authenticate: createLoopbackAuthenticator(), log: this.options.log }))
    }
    await this.waitUntilReady()
  }

  private async waitUntilReady (): Promise<void> {
    while (!this.entries.every(({ entry }) => entry.isReady)) {
      await new Promise(resolve => { setTimeout(resolve, 20) })
    }
  }

  private async startTargets (): Promise<void> {
    const { workers, runners, service } = this.options
    const entries = this.endpoints
    for (let index = 0; index < workers; index += 1) {
      const zone = ZONES[index % ZONES.length]
      this.workers.push(StandInWorker.create({
        name: `worker-${index + 1}`,
        vm: `vm-${index + 1}`,
        rack: `${zone}-rack-1`,
        availabilityZone: zone,
        capacity: WORKER_CAPACITY,
        entries
      }))
    }
    for (let index = 0; index < runners; index += 1) {
      this.runners.push(StandInRunner.create({
        name: `runner-${index + 1}`,
        service,
        vm: `vm-${workers + index + 1}`,
        availabilityZone: ZONES[index % ZONES.length],
        entries,
        slots: SLOTS_PER_RUNNER,
        connections: CONNECTIONS_PER_RUNNER
      }))
    }
    await Promise.all([...this.workers, ...this.runners].map(target => target.start()))
  }
}
