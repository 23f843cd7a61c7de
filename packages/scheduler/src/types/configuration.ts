/**
 * What operators configure: teams, placement policies, documents, and the audit
 * trail of every change that was accepted or refused.
 */

import type { Answer } from './answers.js'
import type { Resources } from './resources.js'
import type { WorkloadKind } from './workloads.js'

export interface TeamState {
  name: string
  firm: string
  /** Zero in a dimension is no limit. */
  quota: Resources
  weight: number
  version: number
}

export interface PolicyState {
  name: string
  /** Empty applies to all kinds. */
  kind: WorkloadKind | ''
  firm: string
  /** Name of a placement strategy. */
  strategy: string
  maxPerVm: number
  maxPerRack: number
  preempts: boolean
  version: number
}

export interface DocumentState {
  name: string
  version: number
  document: string
}

export interface AuditEntry {
  number: number
  timeMs: number
  actor: string
  method: string
  subject: string
  before: string
  after: string
  /** An error kind, or empty when accepted. */
  refusal: string
  requestId: string
}

/** The first answer to a change, kept for a repeat of its request id. */
export interface AnsweredChange {
  digest: string
  answer: Answer
  at: number
}
