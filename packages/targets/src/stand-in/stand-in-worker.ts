/**
 * A stand-in worker for tests and the development cell: it announces itself, renews
 * its lease, simulates tasks by timers and keeps a journal of every run.
 */

import { create } from '@bufbuild/protobuf'
import { RpcClient, RpcServer, type RpcCall } from '@flamingorouter/rpc'
import { toFailure, type Command, type Resources } from '@flamingorouter/scheduler'
import {
  AnnounceRequestSchema, ExecuteResponseSchema, RenewRequestSchema, TargetService, TaskResult, WorkerService,
  type Command as CommandMessage, type ExecuteRequest, type ExecuteResponse
} from '@flamingorouter/schema'
import { WorkerCore, type TaskRun } from './worker-core.js'

const EXPIRY_CHECK_INTERVAL_MS = 20

/** Milliseconds since 1970, from a clock that never goes backwards. */
function readClockMs (): number {
  return Math.round(performance.timeOrigin + performance.now())
}
const CALL_TIMEOUT_MS = 1_500
const REANNOUNCE_INTERVAL_MS = 200

const MESSAGES_BY_RESULT = {
  succeeded: TaskResult.SUCCEEDED,
  failed: TaskResult.FAILED,
  stopped: TaskResult.STOPPED,
  checkpointed: TaskResult.CHECKPOINTED,
  refused: TaskResult.REFUSED
} as const

export interface StandInWorkerOptions {
  name: string
  vm: string
  rack: string
  availabilityZone: string
  capacity: Resources
  /** Addresses of entries, host:port; after a failed call the next one is used. */
  entries: readonly string[]
  headers?: Readonly<Record<string, string>>
  /** Maps the address at which the worker listens to the one that it announces. */
  advertise?: (address: string) => string
  /** Called when a run begins and when it ends. */
  handleRunChange?: (record: TaskRun) => void
}

export class StandInWorker {
  readonly core: WorkerCore
  private readonly client: RpcClient
  private readonly server: RpcServer
  private address = ''
  private incarnation = readClockMs()
  private renewEveryMs = REANNOUNCE_INTERVAL_MS
  private entryIndex = 0
  private heartbeatTimer: NodeJS.Timeout | undefined
  private readonly expiryCheckTimer: NodeJS.Timeout
  private isStopped = false

  private constructor (private readonly options: StandInWorkerOptions) {
    this.core = WorkerCore.create(options.name, options.vm, options.handleRunChange)
    this.client = RpcClient.create({ connections: 2, headers: options.headers })
    this.server = RpcServer.create({
      methodRules: [{ method: WorkerService.method.execute, check: () => {}, roles: ['platform'] }],
      handlers: new Map([[`${WorkerService.typeName}/Execute`, async (call: RpcCall) => this.execute(call.request)]]),
      authenticate: () => ({ name: 'cell', roles: ['platform'], team: '' })
    })
    this.expiryCheckTimer = setInterval(() => { this.checkExpiry() }, EXPIRY_CHECK_INTERVAL_MS)
  }

  static create (options: StandInWorkerOptions): StandInWorker {
    return new StandInWorker(options)
  }

  /** Starts to serve commands and to announce itself; resolves before the worker is accepted. */
  async start (host = '127.0.0.1', port = 0): Promise<void> {
    const boundPort = await this.server.listen({ host, port })
    const address = `${host}:${boundPort}`
    this.address = this.options.advertise?.(address) ?? address
    this.sendHeartbeat()
  }

  /** Announces that it leaves; the system then moves its tasks to other workers. */
  async leave (reason: string): Promise<void> {
    const { session } = this.core
    await this.client.call(this.getEntryAddress(), TargetService.method.leave, {
      $typeName: 'flamingorouter.targets.v1.LeaveRequest', session, name: this.options.name, reason
    }, { timeoutMs: CALL_TIMEOUT_MS })
  }

  /** Stops at once without leaving, as a crash would. */
  async kill (): Promise<void> {
    this.isStopped = true
    clearTimeout(this.heartbeatTimer)
    clearInterval(this.expiryCheckTimer)
    this.core.endSession(readClockMs())
    await Promise.all([this.server.close(), this.client.destroy()])
  }

  private sendHeartbeat (): void {
    const call = this.core.session === '' ? this.announce() : this.renew()
    call
      .catch((thrown: unknown) => { this.handleCallFailure(toFailure(thrown).message) })
      .finally(() => {
        if (!this.isStopped) this.heartbeatTimer = setTimeout(() => { this.sendHeartbeat() }, this.renewEveryMs)
      })
  }

  private handleCallFailure (_reason: string): void {
    this.entryIndex += 1
    if (this.core.session === '') this.renewEveryMs = REANNOUNCE_INTERVAL_MS
  }

  private async announce (): Promise<void> {
    const { name, vm, rack, availabilityZone, capacity } = this.options
    const sentAt = readClockMs()
    const request = create(AnnounceRequestSchema, {
      name, vm, rack, availabilityZone, incarnation: BigInt(this.incarnation), address: this.address, worker: { capacity }
    })
    const response = await this.client.call(this.getEntryAddress(), TargetService.method.announce, request, { timeoutMs: CALL_TIMEOUT_MS })
    this.renewEveryMs = response.renewEveryMs
    this.core.openSession(response.session, Number(response.fence), sentAt + response.leaseMs)
  }

  private async renew (): Promise<void> {
    const sentAt = readClockMs()
    const { session } = this.core
    const request = create(RenewRequestSchema, {
      session,
      name: this.options.name,
      running: this.core.listRunning(),
      ended: this.core.listEnded().map(end => ({ ...end, result: MESSAGES_BY_RESULT[end.result], runMs: BigInt(end.runMs) }))
    })
    const response = await this.client.call(this.getEntryAddress(), TargetService.method.renew, request, { timeoutMs: CALL_TIMEOUT_MS })
    if (this.core.session !== session) return
    if (response.sessionOver) return this.endSession()
    this.core.acknowledge(response.acknowledged)
    this.core.leaseExpiresAt = Math.max(this.core.leaseExpiresAt, sentAt + response.leaseMs)
  }

  private execute (request: ExecuteRequest): ExecuteResponse {
    const commands = request.commands.map(toCommand)
    const results = this.core.execute(request.session, Number(request.fence), commands, readClockMs())
    return create(ExecuteResponseSchema, { results })
  }

  private checkExpiry (): void {
    const now = readClockMs()
    if (this.core.hasLeaseExpired(now)) this.endSession()
    this.core.endDueTasks(now)
  }

  private endSession (): void {
    this.core.endSession(readClockMs())
    this.incarnation = Math.max(this.incarnation + 1, readClockMs())
    this.renewEveryMs = REANNOUNCE_INTERVAL_MS
  }

  private getEntryAddress (): string {
    return this.options.entries[this.entryIndex % this.options.entries.length]
  }
}

function toCommand (message: CommandMessage): Command {
  return { task: message.task, attempt: message.attempt, action: toAction(message.action) }
}

function toAction (action: CommandMessage['action']): Command['action'] {
  switch (action.case) {
    case 'start': return {
      kind: 'start',
      workload: action.value.workload,
      resources: action.value.resources ?? { millicores: 0, memoryMib: 0, accelerators: 0 },
      payload: action.value.payload
    }
    case 'checkpoint': return { kind: 'checkpoint', graceMs: action.value.graceMs }
    case 'throttle': return { kind: 'throttle', millicores: action.value.millicores }
    default: return { kind: 'stop', graceMs: action.value?.graceMs ?? 0 }
  }
}
