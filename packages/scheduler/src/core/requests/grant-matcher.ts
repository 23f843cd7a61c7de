/**
 * Assigns free slots to waiting requests in queue order.
 */

import type { Grant } from '../../types/requests.js'
import { TargetPhase, type TargetState } from '../../types/targets.js'
import type { Step } from '../step.js'
import type { ActiveGrant, LiveRequest } from './live-request.js'
import type { RequestTable } from './request-table.js'
import { findLowestFreeSlot, type Runner } from './runner-pool.js'
import type { Service } from './service.js'

export class GrantMatcher {
  static create (table: RequestTable): GrantMatcher {
    return new GrantMatcher(table)
  }

  private constructor (private readonly table: RequestTable) {}

  /** Grants free slots of one service until none is left or no request at the head of a lane can use one. */
  match (service: Service, step: Step): void {
    if (service.queue.size === 0) return
    let available = service.runners.findAvailable(this.table.entryHorizons.unreportedCount, step.now)
    while (available.length > 0) {
      const granted = service.queue.listHeads().some(head => this.tryGrant(service, available, head, step))
      if (!granted) return
      available = available.filter(runner => service.runners.countFreeSlots(runner, this.table.entryHorizons.unreportedCount, step.now) > 0)
    }
  }

  /** Grants a slot to a request, or sheds it when it is too late; returns false when it keeps waiting. */
  private tryGrant (service: Service, available: readonly Runner[], request: LiveRequest, step: Step): boolean {
    if (service.isTooLate(request, step.now)) {
      this.table.finish(request, service.createShedOutcome('it can no longer be done before its deadline'), step)
      return true
    }
    const runner = service.runners.pickFastest(available, request)
    if (runner?.target === undefined || !this.extendHorizon(request, step)) return false
    this.grant(service, runner, runner.target, request, step)
    return true
  }

  private extendHorizon (request: LiveRequest, step: Step): boolean {
    return this.table.entryHorizons.extendHorizon(request.facts.instance, request.deadlineAt + this.table.limits.lateMs, step)
  }

  private grant (service: Service, runner: Runner, target: TargetState, request: LiveRequest, step: Step): void {
    if (target.phase === TargetPhase.suspect) service.runners.delayProbe(runner, step.now)
    const activeGrant: ActiveGrant = {
      id: this.table.entryHorizons.nextGrantId(),
      runner: runner.name,
      session: target.session,
      slot: findLowestFreeSlot(runner),
      instance: request.facts.instance,
      token: request.facts.token,
      key: request.key,
      grantedAt: step.now,
      expiresAt: request.deadlineAt + this.table.limits.lateMs
    }
    this.table.grants.add(activeGrant)
    request.phase = 'granted'
    request.grant = activeGrant
    service.queue.handleDeparture()
    if (!request.facts.idempotent) this.table.records.claim(request, activeGrant, step)
    const grant: Grant = {
      id: activeGrant.id,
      runner: runner.name,
      address: target.address,
      session: target.session,
      slot: activeGrant.slot,
      fence: target.fence,
      expiresInMs: request.deadlineAt - step.now,
      connections: service.runners.getConnectionShare(target)
    }
    step.reply(request.call, { kind: 'granted', grant })
    request.call = 0
  }
}
