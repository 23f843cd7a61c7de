/**
 * A running entry process: its HTTP port and its links to the controllers.
 */

import type { ControllerAddress, HelloFrame, LinkTraffic, PeerKeys } from '@flamingorouter/controllers'
import {
  RpcClient, RpcServer, type Authenticate, type CallRecord, type ServerKeys, type MethodRules, type PlainResponse,
  type RpcLimits, type ServerTraffic
} from '@flamingorouter/rpc'
import { Entry } from './entry.js'
import { createRequestHandlers, type RequestHandlers } from './request-handlers.js'
import type { MetricsRecorder } from './metrics-recorder.js'
import type { RuntimeLog } from './runtime-log.js'

/** Default time between the end of readiness and the closing of the port, in milliseconds. */
const DEFAULT_READINESS_FALL_MS = 500

/** How long a planned stop waits for calls in flight, in milliseconds. */
const DRAIN_TIMEOUT_MS = 30_000

/** Configuration of an entry process. */
export interface EntrySettings {
  process: string
  group: string
  availabilityZone: string
  /** Address to listen on for HTTP. */
  listen: { host: string, port: number }
  controllers: readonly ControllerAddress[]
  /** Time between the end of readiness and the closing of the port, in milliseconds. */
  readinessFallMs?: number
}

/** Dependencies of an entry process. */
export interface EntryContext {
  /** Rules of every method that the entry serves. */
  methodRules: readonly MethodRules[]
  authenticate: Authenticate
  log: RuntimeLog
  /** Called with the record of each finished call. */
  handleCallRecord?: (record: CallRecord) => void
  limits?: Partial<RpcLimits>
  /** Keys for TLS on the HTTP port; absent for plain HTTP. */
  keys?: ServerKeys
  /** Returns the current keys of the links to controllers; undefined for plain TCP. */
  peerKeys?: () => PeerKeys | undefined
  /** Counts the bytes sent and received over the links to controllers. */
  traffic?: LinkTraffic
  metrics?: MetricsRecorder
  /** Plain HTTP pages to serve in addition to /livez and /readyz, by path. */
  pages?: ReadonlyMap<string, () => PlainResponse | Promise<PlainResponse>>
}

export class EntryNode {
  private constructor (
    readonly entry: Entry,
    private readonly server: RpcServer,
    private readonly workerClient: RpcClient,
    private readonly requests: RequestHandlers,
    private readonly settings: EntrySettings,
    /** HTTP port on which the entry listens. */
    readonly port: number
  ) {}

  /** Starts the entry and listens on the HTTP port; rejects when the port cannot be opened. */
  static async start (settings: EntrySettings, context: EntryContext): Promise<EntryNode> {
    const { process, group, availabilityZone } = settings
    const hello: HelloFrame = { kind: 'hello', group, process, role: 'entry', availabilityZone }
    const workerClient = RpcClient.create()
    const { methodRules, log, peerKeys, traffic } = context
    const entry = Entry.create({ hello, controllers: settings.controllers, methodRules, workerClient, peerKeys, traffic, log })
    const requests = createRequestHandlers(entry, context.metrics)
    entry.reportGrants = () => requests.flow.createReport()
    const server = RpcServer.create({
      methodRules: context.methodRules,
      handlers: entry.createHandlers(requests.handlers),
      authenticate: context.authenticate,
      handleCallRecord: context.handleCallRecord,
      handleError: error => { context.log.error('server_failed', { error: error.message }) },
      limits: context.limits,
      keys: context.keys,
      pages: new Map([
        ...context.pages ?? [],
        ['/livez', () => ({ status: 200, type: 'text/plain', body: 'live\n' })],
        ['/readyz', () => describeReadiness(entry)]
      ])
    })
    const port = await server.listen(settings.listen)
    return new EntryNode(entry, server, workerClient, requests, settings, port)
  }

  /** Replaces the TLS keys for new connections. */
  replaceKeys (keys: ServerKeys): void {
    this.server.replaceKeys(keys)
  }

  /** Byte counts of the HTTP port. */
  get traffic (): ServerTraffic {
    return this.server.traffic
  }

  /**
   * Stops as planned: ends readiness, accepts no new connections after `readinessFallMs`,
   * waits for the calls in flight, then closes the links.
   */
  async stop (): Promise<void> {
    this.entry.drain()
    await new Promise(resolve => { setTimeout(resolve, this.settings.readinessFallMs ?? DEFAULT_READINESS_FALL_MS) })
    await Promise.all([this.server.close(), this.entry.waitUntilIdle(DRAIN_TIMEOUT_MS), this.requests.flow.drain()])
    this.entry.close()
    await Promise.all([this.workerClient.close(), this.requests.close()])
  }
}

function describeReadiness (entry: Entry): PlainResponse {
  if (entry.isReady) return { status: 200, type: 'text/plain', body: 'ready\n' }
  return { status: 503, type: 'text/plain', body: 'not ready\n' }
}
