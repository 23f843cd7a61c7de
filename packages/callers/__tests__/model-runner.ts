/**
 * Simulated runners, which check their own slots and connections, and the client through
 * which an entry calls them.
 */

import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { RunnerClient, type RunnerCall, type RunnerCallResult } from '../src/index.js'
import type { RequestFlowModel } from './request-flow-model.js'

export const SLOTS_PER_RUNNER = 2
export const CONNECTIONS_PER_RUNNER = 4
export const ENTRY_COUNT = 3
export const RUNNER_COUNT = 3

/**
 * Behaviour of a runner for one request. `unsent`: no connection is established;
 * `lostBefore` and `lostAfter`: the connection is lost before or after the request ran;
 * `slow`: runs for 700 ms; `late`: runs until the deadline and answers 50 ms after it;
 * `delayed`: receives the request after 200 ms and runs for the whole time limit that the
 * request carries, so that it answers after the deadline of the caller; `heldUp`: receives
 * the request after 2 s, when its grant has expired.
 */
export type RunnerPlan = 'answer' | 'slow' | 'refuse' | 'unsent' | 'lostBefore' | 'lostAfter' | 'late' | 'delayed' | 'heldUp'

const ARRIVAL_DELAY_MS: Readonly<Partial<Record<RunnerPlan, number>>> = { delayed: 200, heldUp: 2_000 }

export interface RunStart { key: string, idempotent: boolean, startedAt: number }

/** A runner that accepts every request sent under its current session. */
export class ModelRunner {
  running = 0
  /** Open connections by the client of the entry process that opened them. */
  readonly openConnections = new Map<ModelRunnerClient, number>()
  constructor (readonly name: string, private readonly model: RequestFlowModel) {}

  get session (): string {
    return this.model.committed.targets.get(this.name)?.session ?? ''
  }

  async serve (call: RunnerCall, entry: ModelRunnerClient, plan: RunnerPlan): Promise<RunnerCallResult> {
    this.countConnection(entry, 1)
    try {
      return await this.execute(call, plan)
    } finally {
      this.countConnection(entry, -1)
    }
  }

  private async execute (call: RunnerCall, plan: RunnerPlan): Promise<RunnerCallResult> {
    const { timers } = this.model
    if (plan === 'unsent') return { kind: 'notRun', reason: 'no connection' }
    await timers.pause(ARRIVAL_DELAY_MS[plan] ?? 5)
    if (plan === 'lostBefore') return { kind: 'lost', reason: 'the connection was lost' }
    if (plan === 'refuse' || call.grant.session !== this.session) return { kind: 'notRun', reason: 'refused' }
    this.running += 1
    assert.ok(this.running <= SLOTS_PER_RUNNER, `${this.name} runs ${this.running} requests in ${SLOTS_PER_RUNNER} slots`)
    const key = `${call.caller} ${call.requestId}`
    this.model.runStarts.push({ key, idempotent: call.requestId.startsWith('i'), startedAt: timers.time })
    const workMs = plan === 'slow' ? 700 : plan === 'late' || plan === 'delayed' || plan === 'heldUp' ? call.deadlineMs : 20
    await timers.pause(Math.min(workMs, call.deadlineMs))
    this.running -= 1
    if (plan === 'lostAfter') return { kind: 'lost', reason: 'the connection was lost' }
    if (plan === 'late') await timers.pause(50)
    return { kind: 'answered', body: call.payload, digest: computeDigest(call.payload) }
  }

  private countConnection (entry: ModelRunnerClient, change: number): void {
    this.openConnections.set(entry, (this.openConnections.get(entry) ?? 0) + change)
    assert.ok((this.openConnections.get(entry) ?? 0) <= 1, `an entry exceeds its share of connections to ${this.name}`)
    let total = 0
    for (const count of this.openConnections.values()) total += count
    assert.ok(total <= CONNECTIONS_PER_RUNNER, `${this.name} has ${total} connections`)
  }
}

export function computeDigest (body: Uint8Array): string {
  return createHash('sha256').update(body).digest('hex')
}

export class ModelRunnerClient extends RunnerClient {
  isDead = false

  constructor (private readonly model: RequestFlowModel) {
    super()
  }

  override async run (call: RunnerCall): Promise<RunnerCallResult> {
    const runner = this.model.runners.find(other => other.name === call.grant.runner)
    assert.ok(runner)
    const plan = this.model.plans.shift() ?? 'answer'
    const result = await runner.serve(call, this, plan).catch((error: Error) => {
      // The flow passes the error to the caller, which may have its answer already.
      this.model.fault ??= error
      throw error
    })
    return this.isDead ? await neverSettle() : result
  }

  override async close (): Promise<void> {}
}

/** A promise that never settles, as for a call of a process that has crashed. */
export async function neverSettle<T> (): Promise<T> {
  return await new Promise(() => {})
}
