/**
 * One run of the soak test: real processes under load while the faults of a plan
 * are injected. The invariants are checked periodically against what callers and
 * targets observe. After the last fault the cell must recover, and every
 * acknowledged batch must complete.
 */

import { setTimeout as pause } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { toFailure } from '@flamingorouter/scheduler'
import { ApplyWorkloadRequestSchema, OperatorService, TaskPhase, WorkloadKind } from '@flamingorouter/schema'
import { CellHarness } from '../features/support/cell-harness.js'
import { RealCell, waitFor } from '../features/support/real-cell.js'
import { SoakFault, type PlannedFault, type SoakPlan } from './plan.js'

const SERVICE = 'dispatch'
const RUNNER_COUNT = 3

/** Concurrent callers; half of them send requests that are not idempotent. */
const CALLER_COUNT = 6

/** Interval between two checks of the invariants. */
const CHECK_INTERVAL_MS = 500

/** Interval between the answer to one batch and the sending of the next. */
const BATCH_INTERVAL_MS = 1_200

/** Pause of a caller between an answer and its next request, in milliseconds. */
const REQUEST_PAUSE_MS = 40

const TASKS_PER_BATCH = 6
const TASK_RUN_TIME_MS = 700

/** Delay of each chunk of data during the fault `delay`. */
const CHUNK_DELAY_MS = 150

/** Time within which a request must be served after the last fault, counted from when every entry is ready. */
const RECOVERY_TIMEOUT_MS = 15_000

/** Time within which each batch must end; it is counted anew for each batch. */
const COMPLETION_TIMEOUT_MS = 60_000

export interface SoakResult {
  violations: string[]
  requests: number
  batches: number
  taskRuns: number
}

export class Soak {
  private readonly harness = new CellHarness()
  private readonly violations = new Set<string>()
  private readonly acknowledgedBatches: string[] = []
  private readonly activeFaults = new Map<string, PlannedFault>()
  private isLoadStopped = false

  private constructor (private readonly plan: SoakPlan) {}

  static async run (plan: SoakPlan): Promise<SoakResult> {
    const soak = new Soak(plan)
    try {
      return await soak.run()
    } finally {
      await soak.harness.close()
    }
  }

  private async run (): Promise<SoakResult> {
    const { harness, plan } = this
    harness.cell = await RealCell.start({ controllers: plan.controllers, entries: plan.entries })
    await harness.startWorkers(plan.workers, true)
    await harness.startRunners(RUNNER_COUNT, SERVICE, 20)
    const load = [...Array.from({ length: CALLER_COUNT }, (_, caller) => this.sendRequests(caller)), this.applyBatches(), this.checkPeriodically()]
    await Promise.all(plan.faults.map(fault => this.injectFault(fault)))
    await this.waitForRecovery()
    this.isLoadStopped = true
    await Promise.all(load)
    await this.waitForBatches()
    this.recordViolations()
    return { violations: [...this.violations], requests: harness.outcomes.length, batches: this.acknowledgedBatches.length, taskRuns: harness.listTaskRuns().length }
  }

  /** Sends requests one after another to the same entry, and switches to another entry when a call fails. */
  private async sendRequests (caller: number): Promise<void> {
    let endpoint = this.harness.selectEndpoint()
    for (let number = 0; !this.isLoadStopped; number += 1) {
      const { kind } = await this.harness.submit(SERVICE, `${this.plan.seed}-${caller}-${number}`, caller % 2 === 0, endpoint)
      if (kind === 'refused') endpoint = this.harness.selectEndpoint()
      await pause(REQUEST_PAUSE_MS)
    }
  }

  private async applyBatches (): Promise<void> {
    for (let number = 0; !this.isLoadStopped; number += 1) {
      const name = `batch-${this.plan.seed}-${number}`
      if (await this.applyBatch(name)) this.acknowledgedBatches.push(name)
      await pause(BATCH_INTERVAL_MS)
    }
  }

  /** Returns true if the batch was acknowledged; an error that no fault explains is recorded as a violation. */
  private async applyBatch (name: string): Promise<boolean> {
    const spec = {
      name,
      kind: WorkloadKind.BATCH,
      firm: 'coastline',
      team: 'dispatch',
      taskCount: TASKS_PER_BATCH,
      resources: { millicores: 1_000, memoryMib: 512, accelerators: 0 },
      urgency: 2,
      idempotent: true,
      retryLimit: 20,
      payload: new TextEncoder().encode(JSON.stringify({ runMs: TASK_RUN_TIME_MS }))
    }
    try {
      await this.harness.call(OperatorService.method.applyWorkload, create(ApplyWorkloadRequestSchema, { requestId: `apply-${name}`, spec }))
      return true
    } catch (thrown) {
      const { kind, message } = toFailure(thrown)
      if (kind !== 'unavailable' && kind !== 'deadlineExceeded' && kind !== 'resourceExhausted') this.violations.add(`${name} was refused with an error that no fault explains: ${kind} ${message}`)
      return false
    }
  }

  private async checkPeriodically (): Promise<void> {
    while (!this.isLoadStopped) {
      this.recordViolations()
      await pause(CHECK_INTERVAL_MS)
    }
  }

  private recordViolations (): void {
    for (const violation of this.harness.findViolations()) this.violations.add(violation)
  }

  private async injectFault (fault: PlannedFault): Promise<void> {
    await pause(fault.atMs)
    this.activeFaults.set(fault.component, fault)
    await this.beginFault(fault)
    await pause(fault.durationMs)
    await this.endFault(fault)
    this.activeFaults.delete(fault.component)
  }

  private async beginFault ({ kind, component }: PlannedFault): Promise<void> {
    const { cell } = this.harness
    switch (kind) {
      case SoakFault.kill: return await cell.kill(component)
      case SoakFault.stop: { await cell.stop(component); return }
      case SoakFault.freeze: return cell.freeze(component)
      default: for (const proxy of this.listProxies(component)) proxy.setFault(PROXY_FAULTS[kind])
    }
  }

  private async endFault ({ kind, component }: PlannedFault): Promise<void> {
    const { cell } = this.harness
    switch (kind) {
      case SoakFault.kill:
      case SoakFault.stop: return await cell.launch(component)
      case SoakFault.freeze: return cell.resume(component)
      default: for (const proxy of this.listProxies(component)) proxy.clearFault()
    }
  }

  private listProxies (component: string): ReturnType<CellHarness['listProxies']> {
    return component.startsWith('worker') ? this.harness.listProxies(component) : this.harness.cell.listProxies(component)
  }

  /** Waits, after the last fault, until each entry is ready and a request is served. */
  private async waitForRecovery (): Promise<void> {
    await this.recordUnlessMet('every entry is ready', RECOVERY_TIMEOUT_MS, async () => { await this.harness.cell.waitUntilReady() })
    await this.recordUnlessMet('a request is served', RECOVERY_TIMEOUT_MS, async () => {
      let number = 0
      await waitFor('a request is served', RECOVERY_TIMEOUT_MS, async () => {
        number += 1
        return (await this.harness.submit(SERVICE, `${this.plan.seed}-after-${number}`, true)).kind === 'done'
      })
    })
  }

  /** Waits until each acknowledged batch has ended with all of its tasks succeeded. */
  private async waitForBatches (): Promise<void> {
    for (const name of this.acknowledgedBatches) {
      await this.recordUnlessMet(`${name} ends`, COMPLETION_TIMEOUT_MS, async () => {
        await waitFor(`${name} ends`, COMPLETION_TIMEOUT_MS, async () => {
          const { tasks } = await this.harness.readWorkload(name)
          return tasks.length === TASKS_PER_BATCH && tasks.every(({ phase }) => phase === TaskPhase.SUCCEEDED)
        })
      })
    }
  }

  private async recordUnlessMet (condition: string, withinMs: number, waitUntilMet: () => Promise<void>): Promise<void> {
    try {
      await waitUntilMet()
    } catch (thrown) {
      this.violations.add(`condition not met within ${withinMs} ms: ${condition}: ${toFailure(thrown).message}`)
    }
  }
}

const PROXY_FAULTS = Object.freeze({
  [SoakFault.silence]: { dropsToServer: true, dropsToClient: true },
  [SoakFault.targetCut]: { dropsToServer: true, dropsToClient: true },
  [SoakFault.oneWay]: { dropsToServer: true },
  [SoakFault.reset]: { refusesConnections: true },
  [SoakFault.delay]: { delayMs: CHUNK_DELAY_MS }
})
