/**
 * Carries out the effects of the scheduler that are calls to other processes and
 * services, and passes their results back to the scheduler: admission queries and
 * commands through entries, and calls of the VM service. A result that arrives
 * after leadership was lost is dropped.
 */

import { InternalMethod, type AdmissionAnswer, type AdmissionBody, type ExecuteAnswer, type ExecuteBody } from '@flamingorouter/controllers'
import { ErrorKind, fail, toFailure, type Effect, type Event, type ListedVm } from '@flamingorouter/scheduler'
import { clusterNow } from './clock.js'
import type { LinkTable } from './link-table.js'
import type { RuntimeLog } from './runtime-log.js'
import type { VmService } from './vm-service.js'

/** How long an entry may take to deliver commands to a worker and return the results, in milliseconds; longer than the entry waits for the worker. */
const EXECUTE_TIMEOUT_MS = 2_000

/** Effects that depend on no decision and are therefore released without waiting for a commit. */
const IMMEDIATE_KINDS: ReadonlySet<Effect['kind']> = new Set(['askAdmission', 'listVms', 'watchWorker', 'unwatchWorker'])

export function isImmediate (effect: Effect): boolean {
  return IMMEDIATE_KINDS.has(effect.kind)
}

type EffectOf<Kind extends Effect['kind']> = Extract<Effect, { kind: Kind }>

/** An effect that is a call to another process or service. */
export type CallEffect = EffectOf<'askAdmission' | 'listVms' | 'orderUpkeep' | 'command'>

/** The controller on whose behalf the calls are made. */
export interface EffectCallsOwner {
  /** Passes an event to the scheduler. */
  feed: (event: Event) => void
  isLeading: () => boolean
  isAuthoritative: () => boolean
  /** The current term of the replica. */
  term: () => number
  /** Open links to entries. */
  entryLinks: LinkTable
}

export class EffectCalls {
  private constructor (
    private readonly owner: EffectCallsOwner,
    private readonly log: RuntimeLog,
    private readonly service: VmService | undefined
  ) {}

  /** Without a VM service, the effects that need one fail and are logged. */
  static create (owner: EffectCallsOwner, log: RuntimeLog, service?: VmService): EffectCalls {
    return new EffectCalls(owner, log, service)
  }

  carryOut (effect: CallEffect): void {
    switch (effect.kind) {
      case 'askAdmission': this.askAdmission(effect).catch((thrown: unknown) => {
        this.log.error('admission_failed', { stage: effect.stage, error: toFailure(thrown).message })
      }); return
      case 'listVms': this.listVms().catch((thrown: unknown) => {
        this.log.error('list_vms_failed', { error: toFailure(thrown).message })
      }); return
      case 'orderUpkeep': this.orderUpkeep(effect.wave, effect.vm).catch((thrown: unknown) => {
        this.log.error('order_upkeep_failed', { wave: effect.wave, vm: effect.vm, error: toFailure(thrown).message })
      }); return
      case 'command': this.execute(effect).catch((thrown: unknown) => {
        this.log.error('execute_failed', { target: effect.target, error: toFailure(thrown).message })
      })
    }
  }

  private async askAdmission (effect: EffectOf<'askAdmission'>): Promise<void> {
    const { entry, stage, workers, timeoutMs } = effect
    const askedAt = clusterNow()
    const body: AdmissionBody = { stage, workers, timeoutMs }
    let answer: AdmissionAnswer | undefined
    try {
      const link = this.owner.entryLinks.find(entry) ?? fail(ErrorKind.unavailable, `entry ${entry} is not connected`)
      answer = await link.call(InternalMethod.admission, body, timeoutMs) as AdmissionAnswer
    } catch (thrown) {
      this.log.warn('admission_unanswered', { stage, entry, asked: workers.length, error: toFailure(thrown).message })
    }
    if (!this.owner.isLeading()) return
    const tickets = answer?.tickets ?? []
    this.owner.feed({ kind: 'admissionAnswered', entry, stage, workers, tickets, askedAt, isAnswered: answer !== undefined })
  }

  private async listVms (): Promise<void> {
    const sentAt = clusterNow()
    let vms: ListedVm[] | undefined
    try {
      vms = await this.vmService().list()
    } catch (thrown) {
      this.log.warn('vms_not_listed', { error: toFailure(thrown).message })
    }
    if (this.owner.isLeading()) this.owner.feed({ kind: 'vmsListed', vms, sentAt })
  }

  private async orderUpkeep (wave: number, vm: string): Promise<void> {
    const term = this.owner.term()
    if (!this.owner.isAuthoritative()) return
    const outcome = await this.vmService().orderUpkeep(wave, vm, term)
    if (this.owner.isLeading() && this.owner.term() === term) this.owner.feed({ kind: 'upkeepOrdered', wave, vm, outcome })
  }

  private vmService (): VmService {
    return this.service ?? fail(ErrorKind.failedPrecondition, 'no VM service is configured')
  }

  private async execute (effect: EffectOf<'command'>): Promise<void> {
    const { target, address, session, fence, commands } = effect
    // Every entry can reach the worker at its address, so another one takes the place of an entry that is not connected.
    const body: ExecuteBody = { target, address, session, fence, commands }
    const link = this.owner.entryLinks.find(effect.entry) ?? this.owner.entryLinks.list().at(0)
    try {
      if (!this.owner.isAuthoritative()) fail(ErrorKind.notLeader, 'this controller does not hold the leader lease; commands were not sent')
      if (link === undefined) fail(ErrorKind.unavailable, 'no entry is connected; commands were not sent')
      const answer = await link.call(InternalMethod.execute, body, EXECUTE_TIMEOUT_MS) as ExecuteAnswer
      if (this.owner.isLeading()) this.owner.feed({ kind: 'commandResults', target, session, results: answer.results })
    } catch (thrown) {
      const reason = toFailure(thrown).message
      if (this.owner.isLeading()) this.owner.feed({ kind: 'commandsLost', target, session, commands, reason })
    }
  }
}
