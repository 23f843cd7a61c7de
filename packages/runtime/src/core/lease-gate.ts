/**
 * Holds the calls that a leader reads after its lease has run out. In a turn of the event loop that is longer than the lease, the
 * answers that renew it have arrived but are not read yet. A caller that was told that this process does not lead would search
 * for another leader, of which there is none.
 */

import { ErrorKind, Failure } from '@flamingorouter/scheduler'

interface HeldCall {
  resolve: () => void
  reject: (failure: Failure) => void
}

export class LeaseGate {
  private held: HeldCall[] = []

  static create (): LeaseGate {
    return new LeaseGate()
  }

  /** Resolves when the lease is renewed; rejects with notLeader when the leadership is lost. */
  wait (): Promise<void> {
    return new Promise((resolve, reject) => { this.held.push({ resolve, reject }) })
  }

  /** Lets the held calls continue if `isOpen` returns true. */
  openIf (isOpen: () => boolean): void {
    if (this.held.length === 0 || !isOpen()) return
    for (const { resolve } of this.held.splice(0)) resolve()
  }

  /** Refuses the held calls. */
  refuse (reason: string): void {
    for (const { reject } of this.held.splice(0)) reject(Failure.create(ErrorKind.notLeader, reason))
  }
}
