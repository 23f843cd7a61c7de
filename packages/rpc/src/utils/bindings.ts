/**
 * What the bindings of several peers share.
 */

import { ErrorKind, fail, type Answer, type ChangeOrigin, type ClusterState, type WorkloadState } from '@flamingorouter/scheduler'
import type { DescMethodUnary } from '@bufbuild/protobuf'
import type { CallContext } from '../types/binding.js'

/** Longest wait of a watch, in milliseconds. */
export const MAX_WAIT_MS = 60_000

/** Entries of a list that does not say how many, and at most. */
export const DEFAULT_PAGE = 100
export const MAX_PAGE = 1_000

/** Origin of a change, by which a repeat is recognised. */
export function originOf (method: DescMethodUnary<any, any>, requestId: string, context: CallContext): ChangeOrigin {
  return { actor: context.actor, requestId, method: method.name, digest: context.digest }
}

/** Narrows an answer to the kind that the event leads to. */
export function expectAnswer<K extends Answer['kind']> (answer: Answer, kind: K): Extract<Answer, { kind: K }> {
  if (answer.kind !== kind) fail(ErrorKind.internal, `answer ${answer.kind} in place of ${kind}`)
  return answer as Extract<Answer, { kind: K }>
}

/** Refuses work in the name of another team than the caller's own. */
export function requireTeam (team: string, context: CallContext): void {
  if (context.team === '' || team === '' || team === context.team) return
  fail(ErrorKind.permissionDenied, `${context.actor} acts for team ${context.team} only, not ${team}`)
}

/** Refuses those who act for one team alone. */
export function requireAllTeams (context: CallContext): void {
  if (context.team === '') return
  fail(ErrorKind.permissionDenied, `${context.actor} acts for team ${context.team} only, and this concerns all`)
}

/** True when the caller may read work of this team. */
export function mayRead (team: string, context: CallContext): boolean {
  return context.team === '' || team === context.team
}

/** The workload, or a refusal that does not tell whether another team has one of this id. */
export function findWorkload (state: ClusterState, id: string, context: CallContext): WorkloadState {
  const workload = state.workloads.get(id)
  if (workload === undefined || !mayRead(workload.spec.team, context)) fail(ErrorKind.notFound, `no workload ${id}`)
  return workload
}

/** Names the VM of a target, as long as the target is known. */
export function vmNames (state: ClusterState): (target: string) => string {
  return target => state.targets.get(target)?.vm ?? ''
}

export function matchesLabels (labels: Readonly<Record<string, string>>, selector: Readonly<Record<string, string>>): boolean {
  for (const key of Object.keys(selector)) {
    if (labels[key] !== selector[key]) return false
  }
  return true
}

/** Number of entries to return for the limit of a request. */
export function pageSize (limit: number): number {
  return limit === 0 ? DEFAULT_PAGE : Math.min(limit, MAX_PAGE)
}
