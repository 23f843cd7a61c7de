/**
 * Runs a service, a batch job, a gang and requests in a small cell, shows their
 * progress, and prints the results.
 */

import { create } from '@bufbuild/protobuf'
import Table from 'cli-table3'
import { build, type Histogram } from 'hdr-histogram-js'
import { RpcClient } from '@flamingorouter/rpc'
import {
  ApplyWorkloadRequestSchema, CallerService, GetStatusRequestSchema, GetWorkloadRequestSchema, OperatorService,
  OutcomeKind, SubmitRequestSchema, TaskPhase, Urgency, WorkloadKind, type Resources, type WorkloadStatus
} from '@flamingorouter/schema'
import type { SmallCell } from './small-cell.js'

const SERVICE_TASKS = 4
const BATCH_TASKS = 48
const GANG_TASKS = 6
const REQUEST_COUNT = 400
const REQUEST_CONCURRENCY = 32
const REQUEST_DEADLINE_MS = 10_000
const POLL_INTERVAL_MS = 100

/** Time limit for all workloads to complete; the demonstration fails when it is exceeded. */
const WORK_TIMEOUT_MS = 60_000

interface DemoWorkload {
  name: string
  kind: WorkloadKind
  taskCount: number
  millicores: number
  memoryMib: number
  accelerators: number
  urgency: Urgency
  /** Run time of a task in milliseconds; 0 for a task that runs until it is stopped. */
  runMs: number
}

const WORKLOADS: readonly DemoWorkload[] = [
  { name: 'dispatch-api', kind: WorkloadKind.SERVICE, taskCount: SERVICE_TASKS, millicores: 2_000, memoryMib: 2_048, accelerators: 0, urgency: Urgency.NORMAL, runMs: 0 },
  { name: 'route-rebuild', kind: WorkloadKind.BATCH, taskCount: BATCH_TASKS, millicores: 3_000, memoryMib: 4_096, accelerators: 0, urgency: Urgency.BULK, runMs: 900 },
  { name: 'spill-reconstruction', kind: WorkloadKind.GANG, taskCount: GANG_TASKS, millicores: 4_000, memoryMib: 8_192, accelerators: 1, urgency: Urgency.URGENT, runMs: 700 }
]

/** Table style without colour, so that the output is plain text when piped. */
const PLAIN_STYLE = { head: [], border: [] }

interface PeakReservation { millicores: number, memoryMib: number, accelerators: number }

export class Demo {
  private readonly client = RpcClient.create({ headers: { 'x-flamingorouter-principal': 'demo' } })
  private readonly outcomes = new Map<string, number>()
  private readonly requestWaits = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3 })
  private readonly appliedAt = new Map<string, number>()
  private readonly peakReservation: PeakReservation = { millicores: 0, memoryMib: 0, accelerators: 0 }
  private endpointCounter = 0
  /** Last progress line written; the same line is not written twice in a row. */
  private lastProgressLine = ''

  private constructor (private readonly cell: SmallCell) {}

  static create (cell: SmallCell): Demo {
    return new Demo(cell)
  }

  /** Runs all workloads and requests; resolves with true if all of them completed in time. */
  async run (): Promise<boolean> {
    for (const plan of WORKLOADS) await this.applyWorkload(plan)
    const [areWorkloadsComplete] = await Promise.all([this.watchTasks(), this.sendRequests()])
    process.stdout.write('\n')
    this.printOutcomes()
    this.printPacking()
    await this.client.close()
    return areWorkloadsComplete && this.outcomes.get('done') === REQUEST_COUNT
  }

  private selectEndpoint (): string {
    const { endpoints } = this.cell
    this.endpointCounter += 1
    return endpoints[this.endpointCounter % endpoints.length]
  }

  private async applyWorkload (plan: DemoWorkload): Promise<void> {
    const { name, kind, taskCount, urgency, runMs, ...resources } = plan
    const request = create(ApplyWorkloadRequestSchema, {
      requestId: `apply-${name}`,
      spec: {
        name,
        kind,
        taskCount,
        urgency,
        resources,
        firm: 'coastline',
        team: 'dispatch',
        idempotent: true,
        retryLimit: 1,
        payload: new TextEncoder().encode(JSON.stringify({ runMs }))
      }
    })
    const { id } = await this.client.call(this.selectEndpoint(), OperatorService.method.applyWorkload, request)
    this.appliedAt.set(id, getCurrentMs())
    console.log(`applied ${name}: ${taskCount} tasks`)
  }

  private async watchTasks (): Promise<boolean> {
    const deadline = getCurrentMs() + WORK_TIMEOUT_MS
    while (getCurrentMs() < deadline) {
      const statuses = await Promise.all([...this.appliedAt.keys()].map(id => this.readWorkload(id)))
      await this.recordPeakReservation()
      this.showProgress(statuses.map(describeProgress).join('   '))
      if (statuses.every(isComplete)) return true
      await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
    }
    return false
  }

  private showProgress (line: string): void {
    if (line === this.lastProgressLine) return
    this.lastProgressLine = line
    process.stdout.write(process.stdout.isTTY ? `\r${line}` : `${line}\n`)
  }

  private async readWorkload (id: string): Promise<WorkloadStatus> {
    const request = create(GetWorkloadRequestSchema, { id })
    const { status } = await this.client.call(this.selectEndpoint(), OperatorService.method.getWorkload, request)
    if (status === undefined) throw new Error(`the answer contains no status of workload ${id}`)
    return status
  }

  private async recordPeakReservation (): Promise<void> {
    const { reserved } = await this.client.call(this.selectEndpoint(), OperatorService.method.getStatus, create(GetStatusRequestSchema))
    if (reserved === undefined) return
    for (const dimension of ['millicores', 'memoryMib', 'accelerators'] as const) {
      this.peakReservation[dimension] = Math.max(this.peakReservation[dimension], (reserved as Resources)[dimension])
    }
  }

  private async sendRequests (): Promise<void> {
    let nextIndex = 0
    const send = async (): Promise<void> => {
      while (nextIndex < REQUEST_COUNT) await this.sendRequest(nextIndex++)
    }
    await Promise.all(Array.from({ length: REQUEST_CONCURRENCY }, send))
  }

  private async sendRequest (index: number): Promise<void> {
    const request = create(SubmitRequestSchema, {
      service: 'dispatch',
      requestId: `lookup-${index}`,
      idempotent: index % 2 === 0,
      urgency: index % 3 + 1,
      deadlineMs: REQUEST_DEADLINE_MS,
      createdMs: BigInt(getCurrentMs()),
      payload: new TextEncoder().encode(`lookup ${index}`)
    })
    const startedAt = performance.now()
    const { outcome } = await this.client.call(this.selectEndpoint(), CallerService.method.submit, request, { timeoutMs: REQUEST_DEADLINE_MS * 2 })
    this.requestWaits.recordValue(Math.max(1, Math.round(performance.now() - startedAt)))
    const kind = OutcomeKind[outcome?.kind ?? OutcomeKind.UNSPECIFIED].toLowerCase()
    this.outcomes.set(kind, (this.outcomes.get(kind) ?? 0) + 1)
  }

  private printOutcomes (): void {
    const table = new Table({ head: ['work', 'count', 'outcome', 'wait p50 ms', 'wait p99 ms'], style: PLAIN_STYLE })
    for (const plan of WORKLOADS) {
      const waits = this.createTaskWaitHistogram(plan.name)
      table.push([plan.name, plan.taskCount, plan.runMs === 0 ? 'running' : 'succeeded', ...listPercentiles(waits)])
    }
    const requests = [...this.outcomes].map(([kind, count]) => `${count} ${kind}`).join(', ')
    table.push(['requests (until answered)', REQUEST_COUNT, requests, ...listPercentiles(this.requestWaits)])
    console.log(table.toString())
  }

  /** Returns the times in milliseconds from the acceptance of the workload to each start of a task on a worker. */
  private createTaskWaitHistogram (id: string): Histogram {
    const waits = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 })
    const appliedAt = this.appliedAt.get(id) ?? 0
    for (const { core } of this.cell.workers) {
      for (const run of core.journal) {
        if (run.task.startsWith(`${id}/`)) waits.recordValue(Math.max(1, Math.round(run.begin - appliedAt)))
      }
    }
    return waits
  }

  private printPacking (): void {
    const table = new Table({ head: ['resource', 'capacity', 'reserved at peak', 'packing'], style: PLAIN_STYLE })
    for (const dimension of ['millicores', 'memoryMib', 'accelerators'] as const) {
      const capacity = this.cell.capacity[dimension]
      table.push([dimension, capacity, this.peakReservation[dimension], `${Math.round(100 * this.peakReservation[dimension] / capacity)}%`])
    }
    console.log(table.toString())
  }
}

function getCurrentMs (): number {
  return Math.round(performance.timeOrigin + performance.now())
}

function listPercentiles (histogram: Histogram): number[] {
  return [histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99)]
}

function describeProgress (status: WorkloadStatus): string {
  const running = status.tasks.filter(({ phase }) => phase === TaskPhase.RUNNING).length
  const succeeded = status.tasks.filter(({ phase }) => phase === TaskPhase.SUCCEEDED).length
  return `${status.id}: ${running} running, ${succeeded} of ${status.tasks.length} succeeded`
}

/** A service is complete when all of its tasks run, any other workload when all of them have succeeded. */
function isComplete (status: WorkloadStatus): boolean {
  const expectedPhase = status.spec?.kind === WorkloadKind.SERVICE ? TaskPhase.RUNNING : TaskPhase.SUCCEEDED
  return status.tasks.every(({ phase }) => phase === expectedPhase)
}
