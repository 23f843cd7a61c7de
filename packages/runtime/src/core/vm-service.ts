/**
 * Whoever runs the VMs: lists them and takes one down for its upkeep.
 */

import type { ListedVm, UpkeepOutcome } from '@flamingorouter/scheduler'

export abstract class VmService {
  /** Rejects when there was no whole answer. */
  abstract list (): Promise<ListedVm[]>
  /** Has a VM taken down; the fence is the term of the leader. Doesn't throw: an error is an unknown outcome. */
  abstract orderUpkeep (wave: number, vm: string, fence: number): Promise<UpkeepOutcome>
}
