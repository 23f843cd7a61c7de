/**
 * Test harness for a cell of real processes: starts stand-in targets, sends
 * requests, records the outcomes that callers receive, and checks the invariants
 * over these records. Used by the scenarios and by the soak test.
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
  findOverlappingRuns, findOverloadedVms, findOversubscribedRunners, findRepeatedExecutions, findIncorrectOutcomes, type Capacity, type CallerOutcome
} from './checkers.js'
import { isReady, RealCell } from './real-cell.js'
import { FaultProxy } from './fault-proxy.js'

export const WORKER_CAPACITY: Capacity = { millicores: 8_000, memoryMib: 16_384, accelerators: 1 }
export const SLOTS_PER_RUNNER = 8
export const CONNECTIONS_PER_RUNNER = 64
const REQUEST_DEADLINE_MS = 10_000
const AVAILABILITY_ZONES = ['zone-a', 'zone-b', 'zone-c'] as const

const OUTCOME_KIND_NAMES: Readonly<Record<number, string>> = {
  [OutcomeKind.DONE]: 'done',
  [OutcomeKind.NOT_RUN]: 'notRun',
  [OutcomeKind.UNKNOWN]: 'unknown',
  [OutcomeKind.CANCELLED]: 'cancelled',
  [OutcomeKind.PENDING]: 'pending'
}

export class CellHarness {
  /** Undefined until a cell is started. */
  cell!: RealCell
  readonly client = RpcClient.create({ headers: { 'x-flamingorouter-principal': 'feature' } })
  readonly workers: StandInWorker[] = []
  readonly runners: StandInRunner[] = []
  readonly journal = MemoryJournal.create()
  readonly outcomes: CallerOutcome[] = []
  /** Proxies between stand-in targets and entries, by `<target> <entry address>` or `<target> commands`. */
  readonly targetProxies = new Map<string, FaultProxy>()
  /** Calls and other work that one step started and a later step awaits. */
  readonly pendingWork: Array<Promise<unknown>> = []
  /** The configuration change that an operator sent last. */
  lastChange: PutConfigurationRequest | undefined
  /** Answers to the operators' configuration changes, in order: the version or the error kind. */
  readonly operatorAnswers: string[] = []
  /** Name of the controller that was restarted with an empty data folder; empty if none. */
  wipedController = ''
  private readonly createdMsByRequest = new Map<string, number>()
  private endpointCounter = 0

  selectEndpoint (): string {
    const { endpoints } = this.cell
    this.endpointCounter += 1
    return endpoints[this.endpointCounter % endpoints.length]
  }

  /** Calls the entries in turn: retries on another entry, 200 ms later, when one is unavailable or times out. */
  async call<I extends DescMessage, O extends DescMessage> (
    method: DescMethodUnary<I, O>,
    request: MessageShape<I>,
    maxAttempts = 4
  ): Promise<MessageShape<O>> {
    for (let attemptsLeft = maxAttempts; ; attemptsLeft -= 1) {
      try {
        return await this.client.call(this.selectEndpoint(), method, request)
      } catch (thrown) {
        const { kind } = toFailure(thrown)
        // Every change sent by this harness has a request id, so it is safe to send again after a lost answer.
        if (attemptsLeft <= 1 || (kind !== 'unavailable' && kind !== 'deadlineExceeded')) throw thrown
        await new Promise(resolve => { setTimeout(resolve, 200) })
      }
    }
  }

  /** Starts workers. With `behindProxies`, all traffic between a worker and the entries passes through fault proxies. */
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
        availabilityZone: AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length],
        capacity: WORKER_CAPACITY,
        entries: proxies?.entries ?? entries,
        advertise: proxies?.advertise
      }))
    }
    await Promise.all(this.workers.slice(-count).map(worker => worker.start()))
  }

  /** Lists the proxies of a worker in both directions: its calls to entries, and the commands that it receives. */
  listProxies (name: string): FaultProxy[] {
    return [...this.targetProxies].filter(([key]) => key.startsWith(`${name} `)).map(([, proxy]) => proxy)
  }

  /** Returns the proxy of the commands to a worker. */
  getCommandProxy (name: string): FaultProxy {
    const proxy = this.targetProxies.get(`${name} commands`)
    assert.ok(proxy)
    return proxy
  }

  private async openProxies (name: string, entries: readonly string[]): Promise<{ entries: string[], advertise: (address: string) => string }> {
    const proxyAddresses: string[] = []
    for (const entry of entries) {
      const proxy = await FaultProxy.start(() => entry)
      this.targetProxies.set(`${name} ${entry}`, proxy)
      proxyAddresses.push(proxy.address)
    }
    let workerAddress = ''
    const commands = await FaultProxy.start(() => workerAddress)
    this.targetProxies.set(`${name} commands`, commands)
    return {
      entries: proxyAddresses,
      advertise: address => {
        workerAddress = address
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
        slots: SLOTS_PER_RUNNER,
        connections: CONNECTIONS_PER_RUNNER,
        availabilityZone: AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length],
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

  /** Polls the entries in turn until one is ready, as a load balancer does, and returns its host:port. */
  async waitForReadyEndpoint (): Promise<string> {
    for (;;) {
      const endpoint = this.selectEndpoint()
      if (await isReady(endpoint)) return endpoint
    }
  }

  /** Time at which a request was first made, in Unix milliseconds: a repeat must carry the same value. */
  private getCreatedMs (requestId: string): number {
    const createdMs = this.createdMsByRequest.get(requestId) ?? Date.now()
    this.createdMsByRequest.set(requestId, createdMs)
    return createdMs
  }

  /** Sends one request and records the outcome that the caller receives; a failed call is recorded as `refused`. */
  async submit (service: string, requestId: string, idempotent: boolean, endpoint = this.selectEndpoint()): Promise<CallerOutcome> {
    const deadlineMs = REQUEST_DEADLINE_MS
    const payload = `payload of ${requestId}`
    const request = create(SubmitRequestSchema, {
      service,
      requestId,
      idempotent,
      deadlineMs,
      createdMs: BigInt(this.getCreatedMs(requestId)),
      payload: new TextEncoder().encode(payload)
    })
    const received: CallerOutcome = { caller: 'feature', requestId, idempotent, kind: 'refused', body: '', payload }
    try {
      const { outcome } = await this.client.call(endpoint, CallerService.method.submit, request, { timeoutMs: deadlineMs + 5_000 })
      received.kind = OUTCOME_KIND_NAMES[outcome?.kind ?? 0] ?? 'none'
      received.body = new TextDecoder().decode(outcome?.body)
    } catch (thrown) {
      received.body = toFailure(thrown).message
    }
    this.outcomes.push(received)
    return received
  }

  /** Stops the targets, the proxies and the client, then the cell. */
  async close (): Promise<void> {
    await Promise.all(this.workers.map(worker => worker.kill()))
    await Promise.all(this.runners.map(runner => runner.kill()))
    await Promise.all([...this.targetProxies.values()].map(proxy => proxy.close()))
    await this.client.destroy()
    await this.cell?.close()
  }

  listTaskRuns (): TaskRun[] {
    return this.workers.flatMap(({ core }) => core.journal)
  }

  /** Checks the invariants that must hold at any time; returns one line per violation. */
  findViolations (): string[] {
    const capacities = new Map(this.workers.map(({ core }) => [core.vm, WORKER_CAPACITY]))
    return [
      ...findOverlappingRuns(this.listTaskRuns()),
      ...findOverloadedVms(this.listTaskRuns(), capacities),
      ...findRepeatedExecutions(this.journal.records, this.outcomes),
      ...findIncorrectOutcomes(this.journal.records, this.outcomes),
      ...findOversubscribedRunners(this.journal.records, SLOTS_PER_RUNNER, CONNECTIONS_PER_RUNNER)
    ]
  }
}

function rotate<T> (items: readonly T[], offset: number): T[] {
  const start = offset % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}
