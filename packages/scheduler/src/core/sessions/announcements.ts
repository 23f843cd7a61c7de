/**
 * What an announcement must hold, and in which phase a target begins.
 */

import type { Announcement } from '../../types/events.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, TargetPhase, type TargetState } from '../../types/targets.js'

/** What is wrong with an announcement; empty when nothing is. */
export function announcementFault (announcement: Announcement): string {
  const { name, vm, address, kind, capacity, service, slots, connections } = announcement
  if (name === '') return 'name is empty'
  if (vm === '') return 'vm is empty'
  if (address === '') return 'address is empty'
  if (kind === TargetKind.worker) {
    return capacity.millicores > 0 && capacity.memoryMib > 0 ? '' : 'capacity of a worker is empty'
  }
  if (service === '') return 'service of a runner is empty'
  return slots > 0 && connections > 0 ? '' : 'a runner needs slots and connections'
}

/** True when an announcement is a repeat of the one that opened the session. */
export function isSameAnnouncement (announcement: Announcement, target: TargetState): boolean {
  return announcement.address === target.address &&
    announcement.vm === target.vm &&
    announcement.kind === target.kind &&
    announcement.service === target.service
}

/** What keeps work away from a target outlives its session. */
export function phaseAtAnnouncement (
  state: ClusterState,
  announcement: Announcement,
  existing: TargetState | undefined
): TargetPhase {
  if (isDrained(state, announcement)) return TargetPhase.draining
  switch (existing?.phase) {
    case TargetPhase.suspect: return TargetPhase.suspect
    case TargetPhase.probing: return TargetPhase.suspect
    default: return TargetPhase.ready
  }
}

/** True while an operator or the platform keeps new work away from a target. */
export function isDrained (state: ClusterState, target: { name: string, vm: string }): boolean {
  return state.drainedVms.has(target.vm) || state.drainedTargets.has(target.name)
}
