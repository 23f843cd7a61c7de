/**
 * Teams, policies and configuration documents. Each is changed by compare-and-set
 * on its version.
 */

import type { PolicyState, TeamState } from '../../types/configuration.js'
import type { Event, EventOf } from '../../types/events.js'
import type { Limits } from '../../types/limits.js'
import { ErrorKind } from '../../utils/errors.js'
import { type ChangeRequest, ChangeRecorder } from '../changes/change-recorder.js'
import { Component } from '../component.js'
import type { Step } from '../step.js'

const WEIGHT_MAX = 1_000
/** Weight of a team that states none (0). */
const WEIGHT_DEFAULT = 100
const DOCUMENT_MAX_CHARACTERS = 1_048_576

interface Versioned { name: string, version: number }

export class Configuration extends Component {
  readonly handledKinds = ['putTeam', 'putPolicy', 'putDocument', 'memberChanged'] as const
  private readonly changeRecorder: ChangeRecorder

  private constructor (limits: Limits) {
    super()
    this.changeRecorder = ChangeRecorder.create(limits)
  }

  static create (limits: Limits): Configuration {
    return new Configuration(limits)
  }

  reset (): void {}

  handle (event: Event, step: Step): void {
    switch (event.kind) {
      case 'putTeam': return this.putTeam(event, step)
      case 'putPolicy': return this.putPolicy(event, step)
      case 'putDocument': return this.putDocument(event, step)
      case 'memberChanged': return this.recordMember(event, step)
    }
  }

  /** Removes the expired answers to changes, including those of other components. */
  override tick (step: Step): void {
    this.changeRecorder.forgetExpired(step)
  }

  private putTeam (event: EventOf<'putTeam'>, step: Step): void {
    const change = { call: event.call, origin: event.origin, subject: `team ${event.team.name}` }
    const before = step.state.teams.get(event.team.name)
    if (!this.checkChange(step, change, before, event.expectedVersion, findTeamFault(event.team))) return
    const weight = event.team.weight === 0 ? WEIGHT_DEFAULT : event.team.weight
    const team = { ...event.team, weight, version: event.expectedVersion + 1 }
    step.decide({ kind: 'teamPut', team })
    this.accept(step, change, before, team)
  }

  private putPolicy (event: EventOf<'putPolicy'>, step: Step): void {
    const change = { call: event.call, origin: event.origin, subject: `policy ${event.policy.name}` }
    const before = step.state.policies.get(event.policy.name)
    if (!this.checkChange(step, change, before, event.expectedVersion, findPolicyFault(event.policy))) return
    const policy = { ...event.policy, version: event.expectedVersion + 1 }
    step.decide({ kind: 'policyPut', policy })
    this.accept(step, change, before, policy)
  }

  private putDocument (event: EventOf<'putDocument'>, step: Step): void {
    const { name } = event.document
    const change = { call: event.call, origin: event.origin, subject: `document ${name}` }
    const before = step.state.documents.get(name)
    const fault = name === '' ? 'name is empty' : findDocumentFault(event.document.document)
    if (!this.checkChange(step, change, before, event.expectedVersion, fault)) return
    const document = { ...event.document, version: event.expectedVersion + 1 }
    step.decide({ kind: 'documentPut', document })
    this.accept(step, change, before, document)
  }

  /** Audits and answers a membership change; the change itself is in the replicated log already. */
  private recordMember (event: EventOf<'memberChanged'>, step: Step): void {
    const { call, origin, member, before, after, refusal } = event
    const change = { call, origin, subject: `member ${member}` }
    if (refusal !== undefined) return this.changeRecorder.refuseWith(step, change, refusal)
    this.changeRecorder.accept(step, change, { kind: 'applied', id: member, version: 0 }, before, after)
  }

  /** True when a change may be applied. A repeat is answered; an invalid change, or one that expects another version, is refused. */
  private checkChange (
    step: Step,
    change: ChangeRequest,
    before: Versioned | undefined,
    expectedVersion: number,
    fault: string
  ): boolean {
    if (this.changeRecorder.answerIfRepeat(step, change)) return false
    if (fault !== '') {
      this.changeRecorder.refuse(step, change, ErrorKind.invalidArgument, fault)
      return false
    }
    const version = before?.version ?? 0
    if (version === expectedVersion) return true
    const message = `${change.subject} has version ${version}, but version ${expectedVersion} was expected`
    this.changeRecorder.refuse(step, change, ErrorKind.conflict, message)
    return false
  }

  private accept (step: Step, change: ChangeRequest, before: Versioned | undefined, after: Versioned): void {
    const answer = { kind: 'applied', id: after.name, version: after.version } as const
    this.changeRecorder.accept(step, change, answer, before === undefined ? '' : JSON.stringify(before), JSON.stringify(after))
  }
}

function findTeamFault (team: TeamState): string {
  if (team.name === '') return 'name is empty'
  if (!Number.isInteger(team.weight) || team.weight < 0 || team.weight > WEIGHT_MAX) {
    return `weight ${team.weight} is not a whole number from 0 to ${WEIGHT_MAX}`
  }
  return ''
}

function findPolicyFault (policy: PolicyState): string {
  return policy.name === '' ? 'name is empty' : ''
}

function findDocumentFault (document: string): string {
  if (document.length > DOCUMENT_MAX_CHARACTERS) return `document is longer than ${DOCUMENT_MAX_CHARACTERS} characters`
  try {
    const parsed: unknown = JSON.parse(document)
    const isObject = typeof parsed === 'object' && parsed !== null && !Array.isArray(parsed)
    return isObject ? '' : 'document is not a JSON object'
  } catch {
    return 'document is not JSON'
  }
}
