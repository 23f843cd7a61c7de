/**
 * One seed: real processes under load, the faults of the plan, the promises
 * checked while it runs from what callers and targets see, and at the end that
 * everything that was accepted comes to its end.
 */

import { setTimeout as pause } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { toFailure } from '@flamingorouter/scheduler'
import { ApplyWorkloadRequestSchema, OperatorService, TaskPhase, WorkloadKind } from '@flamingorouter/schema'
import { CellBench } from '../features/support/cell-bench.js'
import { RealCell, waitFor } from '../features/support/real-cell.js'
import { SoakFault, type PlannedFault, type SoakPlan } from './plan.js'

const SERVICE = 'dispatch'
const RUNNERS = 3

/** Requests at the same time, half of them not idempotent. */
const CALLERS = 6

/** Time between two looks at the promises, and between two batches, in milliseconds. */
const CHECK_MS = 500
const BATCH_MS = 1_200

/** Time between two requests of a caller that was answered, in milliseconds. */
const REQUEST_MS = 40

const BATCH_TASKS = 6
const TASK_MS = 700
const DELAY_MS = 150

/** After the last fault: within which a request is served, and within which all batches have ended, in milliseconds. */
const RECOVER_MS = 15_000
const FINISH_MS = 60_000

export interface SoakResult {
  faults: string[]
  requests: number
  batches: number
  taskRuns: number
}

export class Soak {
  private readonly bench = new CellBench()
  private readonly found = new Set<string>()
  private readonly batches: string[] = []
  private readonly under = new Map<string, PlannedFault>()
  private isOver = false

  private constructor (private readonly plan: SoakPlan) {}

  static async run (plan: SoakPlan): Promise<SoakResult> {
    const soak = new Soak(plan)
    try {
      return await soak.run()
    } finally {
      await soak.bench.close()
    }
  }

  private async run (): Promise<SoakResult> {
    const { bench, plan } = this
    bench.cell = await RealCell.start({ controllers: plan.controllers, entries: plan.entries })
    await bench.startWorkers(plan.workers, true)
    await bench.startRunners(RUNNERS, SERVICE, 20)
    const load = [...Array.from({ length: CALLERS }, (_, caller) => this.callOn(caller)), this.applyOn(), this.checkOn()]
    await Promise.all(plan.faults.map(fault => this.bringAbout(fault)))
    await this.recover()
    this.isOver = true
    await Promise.all(load)
    await this.finish()
    this.check()
    return { faults: [...this.found], requests: bench.told.length, batches: this.batches.length, taskRuns: bench.runs().length }
  }

  /** One caller: it keeps its entry until that fails, and repeats what it got no clear answer for under the same id. */
  private async callOn (caller: number): Promise<void> {
    let endpoint = this.bench.nextEndpoint()
    for (let number = 0; !this.isOver; number += 1) {
      const { kind } = await this.bench.submit(SERVICE, `${this.plan.seed}-${caller}-${number}`, caller % 2 === 0, endpoint)
      if (kind === 'refused') endpoint = this.bench.nextEndpoint()
      await pause(REQUEST_MS)
    }
  }

  private async applyOn (): Promise<void> {
    for (let number = 0; !this.isOver; number += 1) {
      const name = `batch-${this.plan.seed}-${number}`
      if (await this.apply(name)) this.batches.push(name)
      await pause(BATCH_MS)
    }
  }

  /** True when the batch was acknowledged. */
  private async apply (name: string): Promise<boolean> {
    const spec = {
      name,
      kind: WorkloadKind.BATCH,
      firm: 'coastline',
      team: 'dispatch',
      taskCount: BATCH_TASKS,
      resources: { millicores: 1_000, memoryMib: 512, accelerators: 0 },
      urgency: 2,
      idempotent: true,
      retryLimit: 20,
      payload: new TextEncoder().encode(JSON.stringify({ runMs: TASK_MS }))
    }
    try {
      await this.bench.call(OperatorService.method.applyWorkload, create(ApplyWorkloadRequestSchema, { requestId: `apply-${name}`, spec }))
      return true
    } catch (thrown) {
      const { kind, message } = toFailure(thrown)
      if (kind !== 'unavailable' && kind !== 'deadlineExceeded' && kind !== 'resourceExhausted') this.found.add(`${name} was refused: ${kind} ${message}`)
      return false
    }
  }

  private async checkOn (): Promise<void> {
    while (!this.isOver) {
      this.check()
      await pause(CHECK_MS)
    }
  }

  private check (): void {
    for (const fault of this.bench.findFaults()) this.found.add(fault)
  }

  private async bringAbout (fault: PlannedFault): Promise<void> {
    await pause(fault.atMs)
    this.under.set(fault.victim, fault)
    await this.begin(fault)
    await pause(fault.forMs)
    await this.end(fault)
    this.under.delete(fault.victim)
  }

  private async begin ({ kind, victim }: PlannedFault): Promise<void> {
    const { cell } = this.bench
    switch (kind) {
      case SoakFault.kill: return await cell.kill(victim)
      case SoakFault.stop: { await cell.stop(victim); return }
      case SoakFault.freeze: return cell.freeze(victim)
      default: for (const proxy of this.proxiesOf(victim)) proxy.set(DISTURBANCES[kind])
    }
  }

  private async end ({ kind, victim }: PlannedFault): Promise<void> {
    const { cell } = this.bench
    switch (kind) {
      case SoakFault.kill:
      case SoakFault.stop: return await cell.launch(victim)
      case SoakFault.freeze: return cell.thaw(victim)
      default: for (const proxy of this.proxiesOf(victim)) proxy.heal()
    }
  }

  private proxiesOf (victim: string): ReturnType<CellBench['proxiesOf']> {
    return victim.startsWith('worker') ? this.bench.proxiesOf(victim) : this.bench.cell.proxiesOf(victim)
  }

  /** All faults are over: each entry is ready again, and a request is served. */
  private async recover (): Promise<void> {
    await this.expect('every entry is ready', RECOVER_MS, async () => { await this.bench.cell.waitReady() })
    await this.expect('a request is served', RECOVER_MS, async () => {
      let number = 0
      await waitFor('a request is served', RECOVER_MS, async () => {
        number += 1
        return (await this.bench.submit(SERVICE, `${this.plan.seed}-after-${number}`, true)).kind === 'done'
      })
    })
  }

  /** Every batch that was acknowledged ends, with all of its tasks done. */
  private async finish (): Promise<void> {
    for (const name of this.batches) {
      await this.expect(`${name} ends`, FINISH_MS, async () => {
        await waitFor(`${name} ends`, FINISH_MS, async () => {
          const { tasks } = await this.bench.readWorkload(name)
          return tasks.length === BATCH_TASKS && tasks.every(({ phase }) => phase === TaskPhase.SUCCEEDED)
        })
      })
    }
  }

  private async expect (what: string, withinMs: number, holds: () => Promise<void>): Promise<void> {
    try {
      await holds()
    } catch (thrown) {
      this.found.add(`not within ${withinMs} ms: ${what}: ${toFailure(thrown).message}`)
    }
  }
}

const DISTURBANCES = Object.freeze({
  [SoakFault.silence]: { swallowsForth: true, swallowsBack: true },
  [SoakFault.targetCut]: { swallowsForth: true, swallowsBack: true },
  [SoakFault.oneWay]: { swallowsForth: true },
  [SoakFault.reset]: { isCut: true },
  [SoakFault.delay]: { delayMs: DELAY_MS }
})
