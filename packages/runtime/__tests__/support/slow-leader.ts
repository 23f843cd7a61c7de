/**
 * A leader on a port of its own that takes a given time to commit each order.
 */

import { InternalMethod, LinkServer, type CallFrame, type HelloFrame, type JobEvent, type Link } from '@flamingorouter/controllers'
import { ErrorKind, Failure, type Answer } from '@flamingorouter/scheduler'
import { JobCalls, JobGateway, type RuntimeLog } from '../../src/index.js'

export function createHello (process: string): HelloFrame {
  return { kind: 'hello', group: 'group', process, role: 'entry', availabilityZone: 'zone' }
}

export function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

export class SlowLeader {
  readonly orders: JobEvent[] = []
  commitMs = 30
  /** Term in which it leads; 0 while it does not. */
  term = 1
  /** Why it refuses orders; undefined while it accepts them. */
  refusal: Failure | undefined
  private address = ''
  private readonly calls: JobCalls
  private readonly server: LinkServer

  private constructor (log: RuntimeLog, private readonly turnMs: number) {
    this.calls = JobCalls.create({ ask: async () => await this.commit(), propose: () => {}, readTurnMs: () => this.turnMs }, log)
    this.server = LinkServer.create(createHello('leader'), { opened: () => {}, called: (_link: Link, frame) => this.answer(frame), replication: () => {}, notice: () => {}, closed: () => {} })
  }

  static async start (log: RuntimeLog, turnMs = 0): Promise<SlowLeader> {
    const leader = new SlowLeader(log, turnMs)
    leader.address = `127.0.0.1:${await leader.server.listen({ host: '127.0.0.1', port: 0 })}`
    return leader
  }

  /** A process that knows only this leader. */
  createGateway (process: string, log?: RuntimeLog): JobGateway {
    return JobGateway.create({ hello: createHello(process), controllers: [{ id: 'leader', address: this.address }], log })
  }

  close (): void {
    this.server.close()
  }

  private async answer (frame: CallFrame): Promise<unknown> {
    if (frame.method === InternalMethod.members) return { controllers: [] }
    if (this.term === 0) throw Failure.create(ErrorKind.notLeader, 'no leader is known')
    const { committedCellVersion } = this.calls
    if (frame.method === InternalMethod.heartbeat) return { term: this.term, configurationVersion: 0, controllers: [], committedCellVersion }
    this.orders.push(frame.body as JobEvent)
    return await this.calls.answer('relay', frame.body as JobEvent)
  }

  private async commit (): Promise<Answer> {
    const order = this.orders[this.orders.length - 1]
    // A commit that the test does not wait for must not keep the process running.
    await new Promise(resolve => { setTimeout(resolve, this.commitMs).unref() })
    if (this.refusal !== undefined) throw this.refusal
    return order.kind === 'configureCell' ? { kind: 'cell', version: order.cell.version, document: order.cell.document } : { kind: 'workerKnown' }
  }
}
