/**
 * Tells other processes which controllers there are, in a process that serves
 * operators and workers but keeps no state: one on a VM without a disk.
 */

import { InternalMethod, LinkServer, parseAddress, type CallFrame, type HeartbeatBody, type HelloFrame, type Link, type MembersAnswer } from '@flamingorouter/controllers'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { LeaderClient } from './leader-client.js'
import type { RuntimeLog } from './runtime-log.js'

export class Directory {
  private constructor (private readonly server: LinkServer) {}

  /** Listens on host:port with what the way to the leader has learnt. */
  static async start (hello: HelloFrame, listen: string, leader: LeaderClient, log: RuntimeLog): Promise<Directory> {
    const server = LinkServer.create(hello, {
      opened: () => {},
      called: async (_link: Link, frame: CallFrame): Promise<MembersAnswer> => {
        if (frame.method === InternalMethod.members) return { controllers: leader.controllers }
        // After a restart of all, with seeds that keep no state, this is how they hear of those that do.
        if (frame.method === InternalMethod.heartbeat) learn(leader, frame.body as HeartbeatBody)
        fail(ErrorKind.notLeader, 'this process keeps no state')
      },
      replication: () => {},
      notice: () => {},
      closed: (link, reason) => { if (link.peer !== undefined) log.warn('peer_lost', { peer: link.peer.process, role: link.peer.role, reason }) }
    })
    await server.listen(parseAddress(listen))
    return new Directory(server)
  }

  close (): void {
    this.server.close()
  }
}

function learn (leader: LeaderClient, { candidate }: HeartbeatBody): void {
  if (candidate !== undefined) leader.addControllers([{ id: candidate.id, address: candidate.address }])
}
