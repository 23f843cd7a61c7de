/**
 * Runners of the model, which count their slots and connections themselves, and
 * the client by which an entry reaches them.
 */

import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { RunnerClient, type Run, type RunEnd } from '../src/index.js'
import type { World } from './model.js'

export const SLOTS = 2
export const CONNECTIONS = 4
export const ENTRIES = 3
export const RUNNERS = 3

export type Plan = 'answer' | 'slow' | 'refuse' | 'unsent' | 'lostBefore' | 'lostAfter' | 'late' | 'far'

export interface Begin { key: string, idempotent: boolean, at: number }

/** A runner that takes whatever it is sent under its session. */
export class ModelRunner {
  running = 0
  /** Connections by the process of an entry that opened them. */
  readonly open = new Map<ModelRunnerClient, number>()
  constructor (readonly name: string, private readonly world: World) {}

  get session (): string {
    return this.world.committed.targets.get(this.name)?.session ?? ''
  }

  async serve (run: Run, entry: ModelRunnerClient, plan: Plan): Promise<RunEnd> {
    this.connect(entry, 1)
    try {
      return await this.take(run, plan)
    } finally {
      this.connect(entry, -1)
    }
  }

  private async take (run: Run, plan: Plan): Promise<RunEnd> {
    const { timers } = this.world
    if (plan === 'unsent') return { kind: 'notRun', reason: 'no connection' }
    await timers.pause(plan === 'far' ? 200 : 5)
    if (plan === 'lostBefore') return { kind: 'lost', reason: 'cut' }
    if (plan === 'refuse' || run.grant.session !== this.session) return { kind: 'notRun', reason: 'refused' }
    this.running += 1
    assert.ok(this.running <= SLOTS, `${this.name} runs ${this.running} requests in ${SLOTS} slots`)
    const key = `${run.caller} ${run.requestId}`
    this.world.begins.push({ key, idempotent: run.requestId.startsWith('i'), at: timers.time })
    const workMs = plan === 'slow' ? 700 : plan === 'late' || plan === 'far' ? run.deadlineMs : 20
    await timers.pause(Math.min(workMs, run.deadlineMs))
    this.running -= 1
    if (plan === 'lostAfter') return { kind: 'lost', reason: 'cut' }
    if (plan === 'late') await timers.pause(50)
    return { kind: 'answered', body: run.payload, digest: digestOf(run.payload) }
  }

  private connect (entry: ModelRunnerClient, change: number): void {
    this.open.set(entry, (this.open.get(entry) ?? 0) + change)
    assert.ok((this.open.get(entry) ?? 0) <= 1, `an entry has more than its share of connections to ${this.name}`)
    let total = 0
    for (const count of this.open.values()) total += count
    assert.ok(total <= CONNECTIONS, `${this.name} has ${total} connections`)
  }
}

export function digestOf (body: Uint8Array): string {
  return createHash('sha256').update(body).digest('hex')
}

export class ModelRunnerClient extends RunnerClient {
  isDead = false

  constructor (private readonly world: World) {
    super()
  }

  override async run (run: Run): Promise<RunEnd> {
    const runner = this.world.runners.find(other => other.name === run.grant.runner)
    assert.ok(runner)
    const plan = this.world.plans.shift() ?? 'answer'
    const end = await runner.serve(run, this, plan)
    return this.isDead ? await never() : end
  }

  override async close (): Promise<void> {}
}

/** What a process that has died does. */
export async function never<T> (): Promise<T> {
  return await new Promise(() => {})
}
