/**
 * Runs the roles that the settings define, until a signal stops the process.
 */

import type { LinkTraffic, PeerKeys } from '@flamingorouter/controllers'
import { createStatusResponse, NO_FACTS } from '@flamingorouter/operators'
import { RpcServer, toResources, type CallRecord, type PlainResponse } from '@flamingorouter/rpc'
import {
  ALL_BINDINGS, ALL_METHOD_RULES, ControllerNode, createLocalMethods, EntryNode, handleUnexpectedErrors, type Controller, type RuntimeLog
} from '@flamingorouter/runtime'
import { AccessControl } from '../core/access-control.js'
import { Metrics, type CellLoad } from '../metrics/metrics.js'
import type { Settings } from '../types/settings.js'
import { StreamLog } from './stream-log.js'

/** Exit code after a fatal fault of the controller, or after a second signal. */
const FAULT_EXIT_CODE = 1

/** Starts the roles, and resolves when a signal has stopped them; throws if a role fails to start. */
export async function runServe (settings: Settings): Promise<void> {
  const log = StreamLog.create(settings.process, settings.log.level)
  handleUnexpectedErrors(process, log)
  const serverProcess = ServerProcess.create(settings, log)
  const stopped = waitForStop(log, serverProcess)
  try {
    await serverProcess.start()
  } catch (thrown) {
    log.error('start_failed', { error: String(thrown) })
    await serverProcess.stop()
    throw thrown
  }
  log.info('started', { controller: settings.controller !== undefined, entry: settings.entry !== undefined })
  await stopped
}

/** The roles of one process with the log, metrics, tokens and keys that they share. */
class ServerProcess {
  private readonly metrics: Metrics
  private readonly access: AccessControl
  private controller: ControllerNode | undefined
  private entry: EntryNode | undefined
  private observeServer: RpcServer | undefined
  private readonly linkTraffic: LinkTraffic = { received: 0, sent: 0 }
  private readonly readPeerKeys = (): PeerKeys | undefined => this.access.readPeerKeys()

  private constructor (
    private readonly settings: Settings,
    private readonly log: RuntimeLog
  ) {
    this.metrics = Metrics.create(settings.process)
    this.access = AccessControl.create(settings, log)
    this.metrics.observeTraffic('links', () => this.linkTraffic)
  }

  static create (settings: Settings, log: RuntimeLog): ServerProcess {
    return new ServerProcess(settings, log)
  }

  async start (): Promise<void> {
    this.controller = await this.startController()
    this.entry = await this.startEntry()
    this.observeServer = await this.startObserveServer()
  }

  async stop (): Promise<void> {
    this.access.close()
    await this.entry?.stop()
    await this.controller?.stop()
    await this.observeServer?.close()
  }

  private async startController (): Promise<ControllerNode | undefined> {
    const { settings, log, metrics } = this
    const { controller } = settings
    if (controller === undefined) return undefined
    const node = await ControllerNode.start({
      id: settings.process,
      group: settings.group,
      availabilityZone: settings.availabilityZone,
      dataFolder: controller.dataFolder,
      listen: controller.listen,
      bootstrap: listInitialMembers(settings),
      timing: settings.timing,
      snapshotEvery: controller.snapshotEvery,
      limits: settings.limits,
      seed: createSeed(settings.process)
    }, {
      bindings: ALL_BINDINGS,
      localMethods: createLocalMethods(),
      log,
      metrics,
      peerKeys: this.readPeerKeys,
      traffic: this.linkTraffic,
      handleFault: () => { process.exit(FAULT_EXIT_CODE) }
    })
    this.access.watchPeerKeys(keys => { node.replacePeerKeys(keys) })
    metrics.observeCell(() => readCellLoad(node.controller))
    metrics.observeReplica(() => {
      const { role, term, commitIndex, lastIndex } = node.controller.replica.status()
      const { configurationVersion } = node.controller.state
      return { isLeader: role === 'leader', term, commitIndex, lastIndex, configurationVersion }
    })
    return node
  }

  private async startEntry (): Promise<EntryNode | undefined> {
    const { settings, log, metrics, access } = this
    const { entry } = settings
    if (entry === undefined) return undefined
    const node = await EntryNode.start({
      process: settings.process,
      group: settings.group,
      availabilityZone: settings.availabilityZone,
      listen: splitAddress(entry.listen),
      controllers: settings.controllers,
      readinessFallMs: entry.readinessFallMs
    }, {
      methodRules: ALL_METHOD_RULES,
      authenticate: access.authenticate,
      keys: access.readKeys(),
      peerKeys: this.readPeerKeys,
      traffic: this.linkTraffic,
      limits: settings.http,
      log,
      metrics,
      handleCallRecord: record => { this.handleCallRecord(record) },
      pages: new Map([['/metrics', () => metrics.render()]])
    })
    metrics.observeTraffic('http', () => node.traffic)
    access.watchKeysAndTokens(keys => { node.replaceKeys(keys) })
    return node
  }

  /** Starts the server for the health and metrics pages of a process without the entry role. */
  private async startObserveServer (): Promise<RpcServer | undefined> {
    const { observe, http } = this.settings
    if (observe === undefined) return undefined
    const server = RpcServer.create({
      methodRules: [],
      handlers: new Map(),
      authenticate: this.access.authenticate,
      handleError: error => { this.log.error('server_failed', { error: error.message }) },
      limits: http,
      pages: new Map<string, () => PlainResponse | Promise<PlainResponse>>([
        ['/livez', () => ({ status: 200, type: 'text/plain', body: 'live\n' })],
        ['/readyz', () => this.describeReadiness()],
        ['/metrics', () => this.metrics.render()]
      ])
    })
    await server.listen(splitAddress(observe.listen))
    return server
  }

  /** A controller is ready while its replica knows the leader, which may be the replica itself. */
  private describeReadiness (): PlainResponse {
    const isReady = (this.controller?.controller.replica.status().leader ?? '') !== ''
    return { status: isReady ? 200 : 503, type: 'text/plain', body: isReady ? 'ready\n' : 'not ready\n' }
  }

  private handleCallRecord (record: CallRecord): void {
    this.metrics.recordCall(record)
    const { failure, name: method, principal: actor, remoteAddress: from } = record
    if (failure !== undefined) this.log.info('call_refused', { method, actor, from, kind: failure.kind, reason: failure.message })
  }
}

/** Returns the load of the cell; undefined unless this controller leads and holds the leader lease. */
function readCellLoad (controller: Controller): CellLoad | undefined {
  if (!controller.isAuthoritative) return undefined
  const { capacity, reserved, tasksWaiting, tasksRunning, workers, runners } = createStatusResponse(controller.state, NO_FACTS)
  return { capacity: toResources(capacity), reserved: toResources(reserved), tasksWaiting, tasksRunning, workers, runners }
}

/** Returns the initial members of the group; empty for a controller that is added to the group later. */
function listInitialMembers (settings: Settings): Array<Settings['controllers'][number] & { role: 'voter' }> {
  if (!settings.controllers.some(({ id }) => id === settings.process)) return []
  return settings.controllers.map(member => ({ ...member, role: 'voter' as const }))
}

/** Resolves after a graceful stop on the first signal; a second signal exits immediately. */
function waitForStop (log: RuntimeLog, serverProcess: ServerProcess): Promise<void> {
  return new Promise((resolve, reject) => {
    let isStopping = false
    const stop = (signal: string): void => {
      if (isStopping) process.exit(FAULT_EXIT_CODE)
      isStopping = true
      log.info('stopping', { signal })
      serverProcess.stop().then(() => {
        log.info('stopped')
        resolve()
      }, reject)
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  })
}

function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/** Derives the random seed from the process name, so that election timeouts differ between processes. */
function createSeed (name: string): number {
  let seed = 0
  for (const character of name) seed = (seed * 31 + character.charCodeAt(0)) | 0
  return seed
}
