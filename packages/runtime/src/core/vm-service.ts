/**
 * Client of the external service that runs the VMs: lists them and takes one down
 * for upkeep.
 */

import type { ListedVm, UpkeepOutcome } from '@flamingorouter/scheduler'

export abstract class VmService {
  /** Lists all VMs; rejects when the answer was missing or incomplete. */
  abstract list (): Promise<ListedVm[]>
  /**
   * Orders that a VM be taken down for upkeep; `fence` is the fencing token, the term of the leader.
   * Does not throw: a failed call has an unknown outcome.
   */
  abstract orderUpkeep (wave: number, vm: string, fence: number): Promise<UpkeepOutcome>
}
