/**
 * Lists the controllers for other processes, in a process that serves operators
 * and workers but keeps no state, such as one on a VM without a disk.
 */

import { InternalMethod, LinkServer, parseAddress, type CallFrame, type HeartbeatBody, type HelloFrame, type Link, type MembersAnswer } from '@flamingorouter/controllers'
import { ErrorKind, fail } from '@flamingorouter/scheduler'
import type { LeaderClient } from './leader-client.js'
import type { RuntimeLog } from './runtime-log.js'

export class ControllerDirectory {
  private constructor (private readonly server: LinkServer) {}

  /** Listens on host:port and answers with the controllers that the leader client has found. */
  static async start (hello: HelloFrame, listen: string, leader: LeaderClient, log: RuntimeLog): Promise<ControllerDirectory> {
    const server = LinkServer.create(hello, {
      opened: () => {},
      called: async (_link: Link, frame: CallFrame): Promise<MembersAnswer> => {
        if (frame.method === InternalMethod.members) return { controllers: leader.controllers }
        // After a restart of all processes, the addresses in the settings may all be of processes without
        // state. A controller then announces its own address to them by its heartbeat.
        if (frame.method === InternalMethod.heartbeat) addCandidate(leader, frame.body as HeartbeatBody)
        fail(ErrorKind.notLeader, 'this process keeps no state')
      },
      replication: () => {},
      notice: () => {},
      closed: (link, reason) => { if (link.peer !== undefined) log.warn('peer_lost', { peer: link.peer.process, role: link.peer.role, reason }) }
    })
    await server.listen(parseAddress(listen))
    return new ControllerDirectory(server)
  }

  close (): void {
    this.server.close()
  }
}

function addCandidate (leader: LeaderClient, { candidate }: HeartbeatBody): void {
  if (candidate !== undefined) leader.addControllers([{ id: candidate.id, address: candidate.address }])
}
