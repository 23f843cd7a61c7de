/**
 * Validates the announcements of targets and determines the initial phase of a
 * session.
 */

import type { Announcement } from '../../types/events.js'
import type { ClusterState } from '../../types/state.js'
import { TargetKind, TargetPhase, type TargetState } from '../../types/targets.js'

/** Why an announcement is invalid; empty when it is valid. */
export function findAnnouncementFault (announcement: Announcement): string {
  const { name, vm, address, kind, capacity, service, slots, connections } = announcement
  if (name === '') return 'name is empty'
  if (vm === '') return 'vm is empty'
  if (address === '') return 'address is empty'
  if (kind === TargetKind.worker) {
    return capacity.millicores > 0 && capacity.memoryMib > 0 ? '' : 'capacity of a worker must have millicores and memory above 0'
  }
  if (service === '') return 'service of a runner is empty'
  return slots > 0 && connections > 0 ? '' : 'slots and connections of a runner must be above 0'
}

/**
 * True when an announcement repeats the one that opened the session of the target. Only its address, VM, kind and
 * service are compared.
 */
export function isSameAnnouncement (announcement: Announcement, target: TargetState): boolean {
  return announcement.address === target.address &&
    announcement.vm === target.vm &&
    announcement.kind === target.kind &&
    announcement.service === target.service
}

/**
 * Determines the phase of a target at the start of a session. A drain persists across sessions. A suspicion persists
 * only if the previous session was replaced, since a target whose lease has expired is in the phase `lost` instead; a
 * target that was being probed is suspect again.
 */
export function determineInitialPhase (
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

/** True while a target or its VM is drained by an operator or the platform. */
export function isDrained (state: ClusterState, target: { name: string, vm: string }): boolean {
  return state.drainedVms.has(target.vm) || state.drainedTargets.has(target.name)
}
