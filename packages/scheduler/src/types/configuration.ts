/**
 * Configuration that operators maintain: teams, placement policies, documents,
 * and the audit trail of every change that was accepted or refused.
 */

import type { Answer } from './answers.js'
import type { Resources } from './resources.js'
import type { WorkloadKind } from './workloads.js'

export interface TeamState {
  name: string
  firm: string
  /** Zero in a dimension means that this resource is not limited. */
  quota: Resources
  /** Weight in fair sharing, 1 to 1000. */
  weight: number
  version: number
}

export interface PolicyState {
  name: string
  /** Kind of workload that the policy applies to; empty for all kinds. */
  kind: WorkloadKind | ''
  /** Firm that the policy applies to; empty for all firms. */
  firm: string
  /** Name of a placement strategy. */
  strategy: string
  /** Tasks of one workload that one VM may run; 0 for no limit. */
  maxPerVm: number
  /** Tasks of one workload that one rack may run; 0 for no limit. */
  maxPerRack: number
  /** True when the work may preempt work of a lower urgency or priority. */
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
  /** Error kind of a refused change; empty when the change was accepted. */
  refusal: string
  requestId: string
}

/** The first answer to a change, kept so that a repeat of its request id gets the same answer. */
export interface AnsweredChange {
  digest: string
  answer: Answer
  /** Cluster time in milliseconds at which the change was answered. */
  at: number
}
