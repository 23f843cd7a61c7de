/**
 * Helpers shared by the bindings of several packages.
 */

import { ErrorKind, fail, type Answer, type ChangeOrigin, type ClusterState, type WorkloadState } from '@flamingorouter/scheduler'
import type { DescMethodUnary } from '@bufbuild/protobuf'
import type { CallContext } from '../types/binding.js'

/** Longest time that a watch waits for a change, in milliseconds. */
export const MAX_WAIT_MS = 60_000

/** Items on a page of a list whose request states no limit. */
export const DEFAULT_PAGE_SIZE = 100
/** Largest number of items on a page of a list. */
export const MAX_PAGE_SIZE = 1_000

/** Origin of a change, by which a repeated request is recognised. */
export function createOrigin (method: DescMethodUnary<any, any>, requestId: string, context: CallContext): ChangeOrigin {
  return { actor: context.actor, requestId, method: method.name, digest: context.digest }
}

/** Narrows an answer to the expected kind; any other kind is an internal error. */
export function expectAnswer<K extends Answer['kind']> (answer: Answer, kind: K): Extract<Answer, { kind: K }> {
  if (answer.kind !== kind) fail(ErrorKind.internal, `the scheduler answered ${answer.kind} instead of ${kind}`)
  return answer as Extract<Answer, { kind: K }>
}

/** Throws `permissionDenied` when the caller may not act for the team. */
export function requireTeam (team: string, context: CallContext): void {
  if (context.team === '' || team === '' || team === context.team) return
  fail(ErrorKind.permissionDenied, `${context.actor} may act for team ${context.team} only, not for ${team}`)
}

/** Throws `permissionDenied` when the caller may act for one team only. */
export function requireAllTeams (context: CallContext): void {
  if (context.team === '') return
  fail(ErrorKind.permissionDenied, `${context.actor} may act for team ${context.team} only, but this method affects all teams`)
}

/** True when the caller may read this team and its workloads. */
export function canReadTeam (team: string, context: CallContext): boolean {
  return context.team === '' || team === context.team
}

/** Finds a workload; throws `notFound` also for one of another team, so that its existence is not revealed. */
export function findWorkload (state: ClusterState, id: string, context: CallContext): WorkloadState {
  const workload = state.workloads.get(id)
  if (workload === undefined || !canReadTeam(workload.spec.team, context)) fail(ErrorKind.notFound, `there is no workload ${id}`)
  return workload
}

/** Creates a function that returns the VM of a target, or an empty name for an unknown target. */
export function createVmLookup (state: ClusterState): (target: string) => string {
  return target => state.targets.get(target)?.vm ?? ''
}

/** True when the labels contain every pair of the selector. */
export function matchesLabels (labels: Readonly<Record<string, string>>, selector: Readonly<Record<string, string>>): boolean {
  for (const key of Object.keys(selector)) {
    if (labels[key] !== selector[key]) return false
  }
  return true
}

/** Number of items to return for the limit in a request, where 0 stands for the default. */
export function resolvePageSize (limit: number): number {
  return limit === 0 ? DEFAULT_PAGE_SIZE : Math.min(limit, MAX_PAGE_SIZE)
}
