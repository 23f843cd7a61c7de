/**
 * A stand-in worker for tests and the small cell: it announces itself, renews
 * its lease, runs tasks as timers and keeps a journal of every run.
 */

import { create } from '@bufbuild/protobuf'
import { RpcClient, RpcServer, type RpcCall } from '@flamingorouter/rpc'
import { toFailure, type Command, type Resources } from '@flamingorouter/scheduler'
import {
  AnnounceRequestSchema, ExecuteResponseSchema, RenewRequestSchema, TargetService, TaskResult, WorkerService,
  type Command as CommandMessage, type ExecuteRequest, type ExecuteResponse
} from '@flamingorouter/schema'
import { WorkerCore, type TaskRun } from './worker-core.js'

const ADVANCE_MS = 20

/** Milliseconds since 1970 that never run backwards. */
function currentMs (): number {
  return Math.round(performance.timeOrigin + performance.now())
}
const CALL_TIMEOUT_MS = 1_500
const REANNOUNCE_MS = 200

const RESULTS = {
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
  /** Addresses of entries; one is taken after the other. */
  entries: readonly string[]
  headers?: Readonly<Record<string, string>>
  /** Turns the address that is served into the one that is announced. */
  advertise?: (address: string) => string
  /** Told of each run as it begins and as it ends. */
  recorded?: (record: TaskRun) => void
}

export class StandInWorker {
  readonly core: WorkerCore
  private readonly client: RpcClient
  private readonly server: RpcServer
  private address = ''
  private incarnation = currentMs()
  private renewEveryMs = REANNOUNCE_MS
  private entry = 0
  private timer: NodeJS.Timeout | undefined
  private readonly advancer: NodeJS.Timeout
  private isStopped = false

  private constructor (private readonly options: StandInWorkerOptions) {
    this.core = WorkerCore.create(options.name, options.vm, options.recorded)
    this.client = RpcClient.create({ connections: 2, headers: options.headers })
    this.server = RpcServer.create({
      methods: [{ method: WorkerService.method.execute, check: () => {}, roles: ['platform'] }],
      handlers: new Map([[`${WorkerService.typeName}/Execute`, async (call: RpcCall) => this.execute(call.request)]]),
      authenticate: () => ({ name: 'cell', roles: ['platform'], team: '' })
    })
    this.advancer = setInterval(() => { this.advance() }, ADVANCE_MS)
  }

  static create (options: StandInWorkerOptions): StandInWorker {
    return new StandInWorker(options)
  }

  /** Serves commands and begins to announce itself. */
  async start (host = '127.0.0.1', port = 0): Promise<void> {
    const bound = await this.server.listen({ host, port })
    const address = `${host}:${bound}`
    this.address = this.options.advertise?.(address) ?? address
    this.beat()
  }

  /** Says that it leaves; the system moves the work away. */
  async leave (reason: string): Promise<void> {
    const { session } = this.core
    await this.client.call(this.nextEntry(), TargetService.method.leave, {
      $typeName: 'flamingorouter.targets.v1.LeaveRequest', session, name: this.options.name, reason
    }, { timeoutMs: CALL_TIMEOUT_MS })
  }

  /** Ends at once, as a crash would. */
  async stop (): Promise<void> {
    this.isStopped = true
    clearTimeout(this.timer)
    clearInterval(this.advancer)
    this.core.endSession(currentMs())
    await Promise.all([this.server.close(), this.client.destroy()])
  }

  private beat (): void {
    const call = this.core.session === '' ? this.announce() : this.renew()
    call
      .catch((thrown: unknown) => { this.failed(toFailure(thrown).message) })
      .finally(() => {
        if (!this.isStopped) this.timer = setTimeout(() => { this.beat() }, this.renewEveryMs)
      })
  }

  private failed (_reason: string): void {
    this.entry += 1
    if (this.core.session === '') this.renewEveryMs = REANNOUNCE_MS
  }

  private async announce (): Promise<void> {
    const { name, vm, rack, availabilityZone, capacity } = this.options
    const sentAt = currentMs()
    const request = create(AnnounceRequestSchema, {
      name, vm, rack, availabilityZone, incarnation: BigInt(this.incarnation), address: this.address, worker: { capacity }
    })
    const response = await this.client.call(this.nextEntry(), TargetService.method.announce, request, { timeoutMs: CALL_TIMEOUT_MS })
    this.renewEveryMs = response.renewEveryMs
    this.core.openSession(response.session, Number(response.fence), sentAt + response.leaseMs)
  }

  private async renew (): Promise<void> {
    const sentAt = currentMs()
    const { session } = this.core
    const request = create(RenewRequestSchema, {
      session,
      name: this.options.name,
      running: this.core.listRunning(),
      ended: this.core.listEnded().map(end => ({ ...end, result: RESULTS[end.result], runMs: BigInt(end.runMs) }))
    })
    const response = await this.client.call(this.nextEntry(), TargetService.method.renew, request, { timeoutMs: CALL_TIMEOUT_MS })
    if (this.core.session !== session) return
    if (response.sessionOver) return this.endSession()
    this.core.acknowledge(response.acknowledged)
    this.core.leaseUntil = Math.max(this.core.leaseUntil, sentAt + response.leaseMs)
  }

  private execute (request: ExecuteRequest): ExecuteResponse {
    const commands = request.commands.map(toCommand)
    const results = this.core.execute(request.session, Number(request.fence), commands, currentMs())
    return create(ExecuteResponseSchema, { results })
  }

  private advance (): void {
    const now = currentMs()
    if (this.core.isLeaseOver(now)) this.endSession()
    this.core.advance(now)
  }

  private endSession (): void {
    this.core.endSession(currentMs())
    this.incarnation = Math.max(this.incarnation + 1, currentMs())
    this.renewEveryMs = REANNOUNCE_MS
  }

  private nextEntry (): string {
    return this.options.entries[this.entry % this.options.entries.length]
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
