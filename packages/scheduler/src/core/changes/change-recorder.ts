/**
 * Records changes. Every event with a `ChangeOrigin` passes through here: a
 * repeat of a request id gets the first answer, and every accepted or refused
 * change is added to the audit trail.
 */

import type { Answer } from '../../types/answers.js'
import type { ChangeOrigin } from '../../types/events.js'
import type { ClusterState } from '../../types/state.js'
import type { Limits } from '../../types/limits.js'
import { ErrorKind, type Failure } from '../../utils/errors.js'
import type { Step } from '../step.js'

/** Largest number of answers that one tick removes. */
const FORGET_BATCH_SIZE = 1_000

/** A change that an event requests. */
export interface ChangeRequest {
  call: number
  origin: ChangeOrigin
  /** Object that is changed, for the audit trail. */
  subject: string
}

export class ChangeRecorder {
  private constructor (private readonly limits: Limits) {}

  static create (limits: Limits): ChangeRecorder {
    return new ChangeRecorder(limits)
  }

  /** Answers a change whose request id was used before; returns false when the change is new and not answered yet. */
  answerIfRepeat (step: Step, change: ChangeRequest): boolean {
    const { origin, call } = change
    if (origin.requestId === '') return false
    const answered = step.state.answered.get(changeKey(origin))
    if (answered === undefined) return false
    if (answered.digest === origin.digest) {
      step.reply(call, answered.answer)
    } else {
      this.refuse(step, change, ErrorKind.conflict, `request id ${origin.requestId} was already used for another change`)
    }
    return true
  }

  /** Audits an accepted change, keeps its answer for a repeat and sends it. */
  accept (step: Step, change: ChangeRequest, answer: Answer, before: string, after: string): void {
    const { origin, call } = change
    this.audit(step, change, { before, after, refusal: '' })
    if (origin.requestId !== '') {
      const answered = { digest: origin.digest, answer, at: step.now }
      step.decide({ kind: 'changeAnswered', key: changeKey(origin), answered })
    }
    step.reply(call, answer)
  }

  /** Audits a refused change and answers it; nothing is changed. */
  refuse (step: Step, change: ChangeRequest, error: ErrorKind, message: string, retryAfterMs = 0): void {
    this.audit(step, change, { before: '', after: '', refusal: error })
    step.refuse(change.call, error, message, retryAfterMs)
  }

  refuseWith (step: Step, change: ChangeRequest, failure: Failure): void {
    this.refuse(step, change, failure.kind, failure.message, failure.retryAfterMs)
  }

  /** Removes answers older than the retention time. The map is ordered by the time of the answers. */
  forgetExpired (step: Step): void {
    const expired: string[] = []
    for (const [key, answered] of step.state.answered) {
      if (answered.at + this.limits.retentionMs > step.now || expired.length === FORGET_BATCH_SIZE) break
      expired.push(key)
    }
    for (const key of expired) step.decide({ kind: 'changeForgotten', key })
  }

  private audit (step: Step, change: ChangeRequest, result: { before: string, after: string, refusal: string }): void {
    const { origin, subject } = change
    const entry = {
      number: step.state.auditNumber + 1,
      timeMs: step.now,
      actor: origin.actor,
      method: origin.method,
      subject,
      requestId: origin.requestId,
      ...result
    }
    step.decide({ kind: 'audited', entry, limit: this.limits.auditLimit })
  }
}

/** True when the state has an answer to this change with the same content. */
export function isAnswered (state: ClusterState, origin: ChangeOrigin): boolean {
  return origin.requestId !== '' && state.answered.get(changeKey(origin))?.digest === origin.digest
}

/** The length marks where the actor ends, so that different pairs never have the same key. */
function changeKey (origin: ChangeOrigin): string {
  return `${origin.actor.length} ${origin.actor} ${origin.requestId}`
}
