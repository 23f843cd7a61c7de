/**
 * Reads the state of the cell from a snapshot.
 */

import { decodeValue } from '@flamingorouter/controllers'
import { createClusterState, type ClusterState } from '@flamingorouter/scheduler'

/** An empty snapshot is that of a new group. One of an earlier version lacks fields that were added later; they get their initial values. */
export function decodeState (snapshot: Uint8Array): ClusterState {
  return snapshot.length === 0 ? createClusterState() : { ...createClusterState(), ...decodeValue(snapshot) as Partial<ClusterState> }
}
