/**
 * A cell of real processes with its stand-in targets, the callers' books, and the
 * checks over both. Scenarios and the soak drive it.
 */

import assert from 'node:assert/strict'
import { create, type DescMessage, type DescMethodUnary, type MessageShape } from '@bufbuild/protobuf'
import { RpcClient } from '@flamingorouter/rpc'
import { toFailure } from '@flamingorouter/scheduler'
import {
  CallerService, GetWorkloadRequestSchema, OperatorService, OutcomeKind, SubmitRequestSchema,
  type PutConfigurationRequest, type WorkloadStatus
} from '@flamingorouter/schema'
import { MemoryJournal, StandInRunner, StandInWorker, type TaskRun } from '@flamingorouter/targets'
import {
  findOverlaps, findOverloads, findOversubscription, findRepeats, findUntruths, type Capacity, type ToldOutcome
} from './checkers.js'
import { isReady, RealCell } from './real-cell.js'
import { FaultProxy } from './fault-proxy.js'

export const WORKER_CAPACITY: Capacity = { millicores: 8_000, memoryMib: 16_384, accelerators: 1 }
export const SLOTS = 8
export const CONNECTIONS = 64
const DEADLINE_MS = 10_000
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const

const KINDS: Readonly<Record<number, string>> = {
  [OutcomeKind.DONE]: 'done',
  [OutcomeKind.NOT_RUN]: 'notRun',
  [OutcomeKind.UNKNOWN]: 'unknown',
  [OutcomeKind.CANCELLED]: 'cancelled',
  [OutcomeKind.PENDING]: 'pending'
}

export class CellBench {
  /** Absent until a cell is started. */
  cell!: RealCell
  readonly client = RpcClient.create({ headers: { 'x-flamingorouter-principal': 'feature' } })
  readonly workers: StandInWorker[] = []
  readonly runners: StandInRunner[] = []
  readonly journal = MemoryJournal.create()
  readonly told: ToldOutcome[] = []
  /** Proxies between stand-in targets and entries, by the target's name. */
  readonly targetProxies = new Map<string, FaultProxy>()
  /** Calls and other work that a step began and a later one waits for. */
  readonly pending: Array<Promise<unknown>> = []
  /** The change that an operator sent last. */
  change: PutConfigurationRequest | undefined
  /** What operators were answered, in order. */
  readonly answers: string[] = []
  /** Name of a controller that lost its disk. */
  lost = ''
  private readonly firstMade = new Map<string, number>()
  private turn = 0

  nextEndpoint (): string {
    const { endpoints } = this.cell
    this.turn += 1
    return endpoints[this.turn % endpoints.length]
  }

  /** Calls any entry, and another one when it does not answer. */
  async call<I extends DescMessage, O extends DescMessage> (
    method: DescMethodUnary<I, O>,
    request: MessageShape<I>,
    tries = 4
  ): Promise<MessageShape<O>> {
    for (let left = tries; ; left -= 1) {
      try {
        return await this.client.call(this.nextEndpoint(), method, request)
      } catch (thrown) {
        const { kind } = toFailure(thrown)
        // Every change here has a request id, so that it may be sent again when its answer was lost.
        if (left <= 1 || (kind !== 'unavailable' && kind !== 'deadlineExceeded')) throw thrown
        await new Promise(resolve => { setTimeout(resolve, 200) })
      }
    }
  }

  /** Starts workers; behind proxies, all that passes between each and the entries can be disturbed. */
  async startWorkers (count: number, behindProxies = false): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const number = this.workers.length + 1
      const name = `worker-${number}`
      const entries = rotate(this.cell.endpoints, index)
      const proxies = behindProxies ? await this.openProxies(name, entries) : undefined
      this.workers.push(StandInWorker.create({
        name,
        vm: `worker-vm-${number}`,
        rack: `rack-${number}`,
        availabilityZone: ZONES[index % ZONES.length],
        capacity: WORKER_CAPACITY,
        entries: proxies?.entries ?? entries,
        advertise: proxies?.advertise
      }))
    }
    await Promise.all(this.workers.slice(-count).map(worker => worker.start()))
  }

  /** The proxies of what a worker calls and of what it is called by. */
  proxiesOf (name: string): FaultProxy[] {
    return [...this.targetProxies].filter(([key]) => key.startsWith(`${name} `)).map(([, proxy]) => proxy)
  }

  /** The proxy of the commands to a worker. */
  commandProxy (name: string): FaultProxy {
    const proxy = this.targetProxies.get(`${name} commands`)
    assert.ok(proxy)
    return proxy
  }

  private async openProxies (name: string, entries: readonly string[]): Promise<{ entries: string[], advertise: (address: string) => string }> {
    const opened: string[] = []
    for (const entry of entries) {
      const proxy = await FaultProxy.start(() => entry)
      this.targetProxies.set(`${name} ${entry}`, proxy)
      opened.push(proxy.address)
    }
    let served = ''
    const commands = await FaultProxy.start(() => served)
    this.targetProxies.set(`${name} commands`, commands)
    return {
      entries: opened,
      advertise: address => {
        served = address
        return commands.address
      }
    }
  }

  async startRunners (count: number, service: string, workMs = 5): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const number = this.runners.length + 1
      this.runners.push(StandInRunner.create({
        name: `runner-${number}`,
        service,
        slots: SLOTS,
        connections: CONNECTIONS,
        availabilityZone: ZONES[index % ZONES.length],
        entries: rotate(this.cell.endpoints, index),
        journal: this.journal.write,
        plan: () => ({ behaviour: 'answer', workMs })
      }))
    }
    await Promise.all(this.runners.slice(-count).map(runner => runner.start()))
  }

  async readWorkload (id: string): Promise<WorkloadStatus> {
    const { status } = await this.call(OperatorService.method.getWorkload, create(GetWorkloadRequestSchema, { id }))
    assert.ok(status)
    return status
  }

  /** An entry whose readiness the balancer has seen. */
  async readyEndpoint (): Promise<string> {
    for (;;) {
      const endpoint = this.nextEndpoint()
      if (await isReady(endpoint)) return endpoint
    }
  }

  /** A repeat names the time at which its request was first made. */
  private createdMs (requestId: string): number {
    const known = this.firstMade.get(requestId) ?? Date.now()
    this.firstMade.set(requestId, known)
    return known
  }

  /** Sends one request and books what the caller was told. */
  async submit (service: string, requestId: string, idempotent: boolean, endpoint = this.nextEndpoint()): Promise<ToldOutcome> {
    const deadlineMs = DEADLINE_MS
    const sent = `payload of ${requestId}`
    const request = create(SubmitRequestSchema, {
      service,
      requestId,
      idempotent,
      deadlineMs,
      createdMs: BigInt(this.createdMs(requestId)),
      payload: new TextEncoder().encode(sent)
    })
    const told: ToldOutcome = { caller: 'feature', requestId, idempotent, kind: 'refused', body: '', sent }
    try {
      const { outcome } = await this.client.call(endpoint, CallerService.method.submit, request, { timeoutMs: deadlineMs + 5_000 })
      told.kind = KINDS[outcome?.kind ?? 0] ?? 'none'
      told.body = new TextDecoder().decode(outcome?.body)
    } catch (thrown) {
      told.body = toFailure(thrown).message
    }
    this.told.push(told)
    return told
  }

  /** Ends the targets, then the cell. */
  async close (): Promise<void> {
    await Promise.all(this.workers.map(worker => worker.stop()))
    await Promise.all(this.runners.map(runner => runner.die()))
    await Promise.all([...this.targetProxies.values()].map(proxy => proxy.close()))
    await this.client.destroy()
    await this.cell?.close()
  }

  runs (): TaskRun[] {
    return this.workers.flatMap(({ core }) => core.journal)
  }

  /** Every invariant that must hold at any time. */
  findFaults (): string[] {
    const capacities = new Map(this.workers.map(({ core }) => [core.vm, WORKER_CAPACITY]))
    return [
      ...findOverlaps(this.runs()),
      ...findOverloads(this.runs(), capacities),
      ...findRepeats(this.journal.records, this.told),
      ...findUntruths(this.journal.records, this.told),
      ...findOversubscription(this.journal.records, SLOTS, CONNECTIONS)
    ]
  }
}

function rotate<T> (items: readonly T[], by: number): T[] {
  const start = by % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}
