/**
 * A running controller process: its data folder, control port, links and timers.
 */

import { randomBytes } from 'node:crypto'
import {
  FolderDisk, LinkServer, MonotonicClock, parseAddress, Replica,
  type HelloFrame, type LinkHandlers, type LinkTraffic, type MemberFacts, type MessageDrop, type PeerKeys, type RaftTiming
} from '@flamingorouter/controllers'
import type { Binding } from '@flamingorouter/rpc'
import { createComponents, Scheduler, type Limits } from '@flamingorouter/scheduler'
import { Controller, type ControllerHooks } from './controller.js'
import { ControllerLinks } from './controller-links.js'
import type { LocalMethod } from './local-methods.js'
import { monotonicNow } from './clock.js'
import { observeGcMs } from './gc-clock.js'
import { LoopMonitor } from './loop-monitor.js'
import { MessageDropLog } from './message-drop-log.js'
import type { MetricsRecorder } from './metrics-recorder.js'
import type { RuntimeLog } from './runtime-log.js'

/** Time between two ticks of the replica, in milliseconds. */
const TICK_INTERVAL_MS = 20

/** Number of replica ticks for each scheduler tick. */
const REPLICA_TICKS_PER_SCHEDULER_TICK = 3

/** Size of the random identity of a data folder in bytes; every replication message carries two of them. */
const DISK_ID_BYTES = 9

/** How long a planned stop waits for another controller to take over leadership, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 2_000

/** Configuration of a controller process. */
export interface ControllerSettings {
  id: string
  group: string
  availabilityZone: string
  dataFolder: string
  /** Address to listen on for controllers and entries, as host:port. */
  listen: string
  /** Initial members of a new group; empty for a controller that joins a group. */
  bootstrap: readonly MemberFacts[]
  timing: RaftTiming
  /** Number of log entries after which a snapshot is taken. */
  snapshotEvery: number
  limits: Limits
  /** Seeds the random election timeouts. */
  seed: number
  /** False if the environment already guarantees that only one process uses the data folder. */
  isFolderLocked?: boolean
}

/** Dependencies of a controller process. */
export interface ControllerContext extends ControllerHooks {
  bindings: readonly Binding[]
  /** Methods that need more than the replicated state, such as membership, by full RPC name. */
  localMethods?: ReadonlyMap<string, LocalMethod>
  log: RuntimeLog
  metrics?: MetricsRecorder
  /** Called when the controller cannot continue; the process should exit. */
  handleFault: (reason: string) => void
  /** Returns the current keys of the links; undefined for plain TCP. */
  peerKeys?: () => PeerKeys | undefined
  /** Counts the bytes sent and received over the links. */
  traffic?: LinkTraffic
}

export class ControllerNode {
  private timer: NodeJS.Timeout | undefined
  private tickCount = 0

  private constructor (
    readonly controller: Controller,
    readonly replica: Replica,
    private readonly links: ControllerLinks,
    private readonly server: LinkServer,
    private readonly loopMonitor: LoopMonitor
  ) {}

  /** Opens the data folder, starts the replica and listens on the control port; rejects when one of these fails. */
  static async start (settings: ControllerSettings, context: ControllerContext): Promise<ControllerNode> {
    const { id, group, availabilityZone } = settings
    const hello: HelloFrame = { kind: 'hello', group, process: id, role: 'controller', availabilityZone }
    const loopMonitor = createLoopMonitor(context)
    const controller = Controller.create({
      scheduler: Scheduler.create(createComponents(settings.limits)),
      bindings: context.bindings,
      localMethods: context.localMethods ?? new Map(),
      orderDispatcher: context.orderDispatcher,
      vmService: context.vmService,
      handleApplied: context.handleApplied,
      handleCandidate: context.handleCandidate,
      knownControllers: context.knownControllers,
      log: context.log,
      metrics: context.metrics,
      loopMonitor,
      handleFault: context.handleFault
    })
    const members = (): readonly MemberFacts[] => {
      const known = controller.isAttached ? controller.replica.status().members : []
      return known.length > 0 ? known : settings.bootstrap
    }
    const drops = MessageDropLog.create(context.log, context.metrics)
    const handleDrop = (drop: MessageDrop): void => { drops.record(drop, monotonicNow()) }
    const links = ControllerLinks.create(hello, members, context.peerKeys, context.traffic, context.log)
    links.handleDrop = handleDrop
    const replica = await Replica.open({
      id,
      group,
      disk: await FolderDisk.open(settings.dataFolder, settings.isFolderLocked),
      newDiskId: randomBytes(DISK_ID_BYTES).toString('base64url'),
      bootstrap: [...settings.bootstrap],
      transport: links,
      owner: controller,
      clock: MonotonicClock.create(),
      seed: settings.seed,
      timing: settings.timing,
      snapshotEvery: settings.snapshotEvery,
      handleDrop
    })
    controller.attach(replica)
    links.handleMessage = (from, message) => { controller.receive(from, message) }
    const server = LinkServer.create(hello, { ...createHandlers(controller, links, context.log), traffic: context.traffic }, context.peerKeys?.())
    server.handleError = error => { context.log.error('server_failed', { error: error.message }) }
    await server.listen(parseAddress(settings.listen))
    links.dialMembers()
    const node = new ControllerNode(controller, replica, links, server, loopMonitor)
    node.timer = setInterval(() => { node.tick() }, TICK_INTERVAL_MS)
    return node
  }

  /** Stops as planned: hands leadership over, then closes everything. */
  async stop (): Promise<void> {
    await this.transferLeadership()
    await this.kill()
  }

  /** Closes everything without handing leadership over. */
  async kill (): Promise<void> {
    clearInterval(this.timer)
    this.server.close()
    this.links.close()
    await this.replica.close()
  }

  /** Replaces the keys for new links that other processes open; the links that this process dials read `peerKeys` each time. */
  replacePeerKeys (keys: PeerKeys): void {
    this.server.replaceKeys(keys)
  }

  private tick (): void {
    this.loopMonitor.tick()
    this.controller.flush()
    this.replica.tick()
    this.tickCount += 1
    if (this.tickCount % REPLICA_TICKS_PER_SCHEDULER_TICK !== 0) return
    // Members join while the process runs. A link that is opened only by the first message of an election drops that
    // message, and the candidate waits for another election timeout.
    this.links.dialMembers()
    this.controller.tick()
  }

  /** Transfers leadership to another voter, if this controller leads and there is one; gives up after a timeout. */
  async transferLeadership (): Promise<void> {
    if (this.replica.status().role !== 'leader') return
    const others = this.replica.status().members.filter(({ id, role }) => role === 'voter' && id !== this.replica.status().id)
    if (others.length === 0) return
    for (let waitedMs = 0; waitedMs < TRANSFER_TIMEOUT_MS && this.replica.status().role === 'leader'; waitedMs += TICK_INTERVAL_MS) {
      if (this.replica.holdsLease()) this.replica.transferLeadership()
      await new Promise(resolve => { setTimeout(resolve, TICK_INTERVAL_MS) })
    }
  }
}

function createLoopMonitor ({ log, metrics }: ControllerContext): LoopMonitor {
  return LoopMonitor.create({
    intervalMs: TICK_INTERVAL_MS,
    now: monotonicNow,
    readProcessorTime: () => process.cpuUsage(),
    readGcMs: observeGcMs(),
    handleDelay: ({ delayMs, isStalled, workMs, work }) => {
      metrics?.recordLoopDelay(delayMs)
      if (isStalled) log.warn('event_loop_stalled', { delayMs: Math.round(delayMs), workMs, work })
    }
  })
}

function createHandlers (controller: Controller, links: ControllerLinks, log: RuntimeLog): LinkHandlers {
  return {
    opened: link => {
      links.add(link)
      controller.handleLinkOpened(link)
    },
    called: (link, frame) => controller.handleCall(link, frame),
    replication: (link, message) => { links.receive(link, message) },
    notice: (link, topic, body) => { controller.handleNotice(link, topic, body) },
    closed: (link, reason) => {
      if (link.peer !== undefined) log.warn('peer_lost', { peer: link.peer.process, role: link.peer.role, reason })
      links.remove(link)
      controller.handleLinkClosed(link)
    }
  }
}
