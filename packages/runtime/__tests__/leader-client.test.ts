/**
 * Calls to the leader that are repeated after a lost answer: the answer to the repeat does
 * not tell what became of the attempt before it. Calls while there is no leader: an entry
 * says that a call did not run only if it is certain.
 */

import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { InternalMethod, LinkServer, Topic, type AdmissionAnswer, type CallFrame, type ControllerAddress, type HeartbeatBody, type HelloFrame, type Link } from '@flamingorouter/controllers'
import { ErrorKind, Failure, type Answer } from '@flamingorouter/scheduler'
import { AdmissionService, HEARTBEAT_INTERVAL_MS, JobGateway } from '../src/index.js'

const CALL_TIMEOUT_MS = 5_000

/** Time within which a call reaches the next leader after that has announced itself, in milliseconds; a heartbeat takes 1,000 ms to time out. */
const REPEAT_LIMIT_MS = 500

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

function createHello (process: string): HelloFrame {
  return { kind: 'hello', group: 'group', process, role: 'entry', availabilityZone: 'zone' }
}

describe('a submission whose first attempt got no answer', () => {
  let server: LinkServer
  let gateway: JobGateway
  let submissionCount: number
  let answerRepeat: () => Answer
  let heldTimes: Array<number | undefined>

  /** Answers as a leader, but closes the link after the first submission arrived. */
  async function answerCall (link: Link, frame: CallFrame): Promise<unknown> {
    if (frame.method === InternalMethod.heartbeat) return { term: 1, configurationVersion: 0, controllers: [] }
    submissionCount += 1
    heldTimes.push((frame.body as { heldMs?: number }).heldMs)
    if (submissionCount > 1) return answerRepeat()
    link.close('closed by the test')
    return undefined
  }

  beforeEach(async () => {
    submissionCount = 0
    heldTimes = []
    const handlers = { opened: () => {}, called: answerCall, replication: () => {}, notice: () => {}, closed: () => {} }
    server = LinkServer.create(createHello('controller'), handlers)
    const port = await server.listen({ host: '127.0.0.1', port: 0 })
    gateway = JobGateway.create({ hello: createHello('entry'), controllers: [{ id: 'controller', address: `127.0.0.1:${port}` }] })
  })

  afterEach(() => {
    gateway.close()
    server.close()
  })

  async function submit (): Promise<Answer> {
    return await gateway.ask({ kind: 'acceptJob', host: 'host', path: '/queue/1', spec: { payload: '', stages: [] } }, CALL_TIMEOUT_MS)
  }

  it('is repeated and accepted', async () => {
    answerRepeat = () => ({ kind: 'jobAccepted' })
    assert.equal((await submit()).kind, 'jobAccepted')
    assert.equal(submissionCount, 2)
  })

  it('states with the repeat for how long it has waited, and nothing while there is a leader', async () => {
    answerRepeat = () => ({ kind: 'jobAccepted' })
    await gateway.ask({ kind: 'readJob', host: 'host', path: '/queue/' }, CALL_TIMEOUT_MS)
    heldTimes = []
    submissionCount = 0
    await submit()
    await submit()
    const [first, repeat, next] = heldTimes
    assert.equal(first, undefined)
    assert.ok(repeat !== undefined && repeat > 0, `the repeat states ${repeat}`)
    assert.equal(next, undefined)
  })

  for (const kind of [ErrorKind.unavailable, ErrorKind.resourceExhausted, ErrorKind.notFound, ErrorKind.unauthenticated]) {
    it(`is not reported as refused when the repeat is: ${kind}`, async () => {
      answerRepeat = () => { throw Failure.create(kind, 'retry later', { retryAfterMs: 1_000 }) }
      await assert.rejects(submit(), { kind: ErrorKind.deadlineExceeded })
      assert.equal(submissionCount, 2)
    })
  }

  it('gets the refusal of its content, which is the same for every attempt', async () => {
    answerRepeat = () => { throw Failure.create(ErrorKind.invalidArgument, 'the job has no stage') }
    await assert.rejects(submit(), { kind: ErrorKind.invalidArgument })
  })
})

/** A controller of the cell on a port of its own; it leads, or answers nothing, as the test says. */
class ScriptedController {
  readonly submissions: string[] = []
  /** Term in which it leads; 0 while it follows. */
  term = 0
  isFrozen = false
  /** True while it answers heartbeats only, as a leader that cannot keep up with its calls. */
  isOverloaded = false
  address = ''
  private readonly links: Link[] = []
  private readonly server: LinkServer

  private constructor (readonly name: string) {
    const opened = (link: Link): void => { this.links.push(link) }
    this.server = LinkServer.create(createHello(name), { opened, called: (_link, frame) => this.answer(frame), replication: () => {}, notice: () => {}, closed: () => {} })
  }

  static async start (name: string): Promise<ScriptedController> {
    const controller = new ScriptedController(name)
    controller.address = `127.0.0.1:${await controller.server.listen({ host: '127.0.0.1', port: 0 })}`
    return controller
  }

  /** What each heartbeat said about admission queries. */
  readonly offers: unknown[] = []

  /** Asks the entry for tickets, as a leader does. */
  async ask (): Promise<unknown> {
    return await this.links[0].call(InternalMethod.admission, { stage: 'job/0/0', workers: [], timeoutMs: CALL_TIMEOUT_MS }, CALL_TIMEOUT_MS)
  }

  /** Begins to lead and announces it, as a controller that was elected. */
  lead (term: number): void {
    this.term = term
    for (const link of this.links) link.send({ kind: 'notice', topic: Topic.leading, body: { term } })
  }

  close (): void {
    this.server.close()
  }

  private async answer (frame: CallFrame): Promise<unknown> {
    const event = frame.body as { path?: string }
    if (frame.method === InternalMethod.heartbeat) this.offers.push((frame.body as HeartbeatBody).isAdvisor)
    if (frame.method === InternalMethod.job) this.submissions.push(event.path ?? '')
    if (this.isFrozen) return await new Promise(() => {})
    if (frame.method === InternalMethod.members) return { controllers: [] }
    if (this.term === 0) throw Failure.create(ErrorKind.notLeader, 'another controller leads')
    if (frame.method === InternalMethod.heartbeat) return { term: this.term, configurationVersion: 0, controllers: [] }
    if (this.isOverloaded) return await new Promise(() => {})
    return { kind: 'jobAccepted' }
  }
}

/** An admission service that answers all queries when the test says so. */
class HeldAdmission extends AdmissionService {
  private readonly pending: Array<() => void> = []

  static create (): HeldAdmission {
    return new HeldAdmission()
  }

  override ask (): Promise<AdmissionAnswer> {
    return new Promise(resolve => { this.pending.push(() => { resolve({ tickets: [] }) }) })
  }

  get count (): number {
    return this.pending.length
  }

  answer (): void {
    for (const resolve of this.pending.splice(0)) resolve()
  }
}

describe('an entry whose leader freezes', () => {
  let former: ScriptedController
  let next: ScriptedController
  let admission: HeldAdmission
  let gateway: JobGateway

  beforeEach(async () => {
    former = await ScriptedController.start('former')
    next = await ScriptedController.start('next')
    former.term = 1
    admission = HeldAdmission.create()
    gateway = JobGateway.create({ hello: createHello('entry'), controllers: [former, next].map(({ name, address }) => ({ id: name, address })), admission })
    while (!gateway.leader.hasLeader) await pause(5)
  })

  afterEach(() => {
    gateway.close()
    former.close()
    next.close()
  })

  function submit (timeoutMs: number): Promise<Answer> {
    return gateway.ask({ kind: 'acceptJob', host: 'host', path: '/queue/id', spec: { payload: '', stages: [] } }, timeoutMs)
  }

  it('asks the next leader under the same id for a call that the former one may have accepted, within the time of the caller', async () => {
    former.isFrozen = true
    const answer = submit(CALL_TIMEOUT_MS)
    while (former.submissions.length === 0) await pause(5)
    next.lead(2)
    const startedAt = performance.now()
    assert.equal((await answer).kind, 'jobAccepted')
    assert.deepEqual(next.submissions, former.submissions)
    assert.ok(performance.now() - startedAt < REPEAT_LIMIT_MS, 'the call waited for the former leader')
  })

  it('offers itself to the next leader for admission queries once that of the former one is over, and says so at once', async () => {
    const query = former.ask()
    while (admission.count === 0) await pause(5)
    former.isFrozen = true
    next.offers.splice(0)
    next.lead(2)
    while (next.offers.length === 0) await pause(5)
    assert.equal(next.offers[0], false)
    const startedAt = performance.now()
    admission.answer()
    await query
    while (next.offers.at(-1) !== true) await pause(5)
    assert.ok(performance.now() - startedAt < HEARTBEAT_INTERVAL_MS / 2, 'the entry waited for its next heartbeat')
  })

  it('offers itself while it carries a query of the same leader', async () => {
    const query = former.ask()
    while (admission.count === 0) await pause(5)
    gateway.leader.sendHeartbeats()
    await pause(50)
    assert.ok(former.offers.length > 1 && former.offers.every(offer => offer === true))
    admission.answer()
    await query
  })

  it('does not report such a call as not run when there is no next leader in time', async () => {
    former.isFrozen = true
    await assert.rejects(submit(400), { kind: ErrorKind.deadlineExceeded })
    assert.equal(former.submissions.length, 1)
  })

  it('refuses a call that never left it as not run, with a delay within the spread', async () => {
    former.term = 0
    gateway.leader.sendHeartbeats()
    while (gateway.leader.hasLeader) await pause(5)
    const refusals = await Promise.all(Array.from({ length: 40 }, async () => await submit(CALL_TIMEOUT_MS).catch((thrown: unknown) => thrown as Failure)))
    const delays = refusals.map(refusal => refusal instanceof Failure && refusal.kind === ErrorKind.unavailable ? refusal.retryAfterMs : NaN)
    assert.deepEqual(former.submissions, [])
    assert.ok(delays.every(delay => delay >= 500 && delay <= 2_000), delays.join())
    assert.ok(Math.max(...delays) - Math.min(...delays) > 500, `the delays are not spread: ${delays.join()}`)
  })
})

describe('an entry whose leader does not answer calls in time', () => {
  let leader: ScriptedController
  let gateway: JobGateway

  beforeEach(async () => {
    leader = await ScriptedController.start('leader')
    leader.term = 1
    leader.isOverloaded = true
    gateway = JobGateway.create({ hello: createHello('entry'), controllers: [{ id: 'leader', address: leader.address }] })
    while (!gateway.leader.hasLeader) await pause(5)
  })

  afterEach(() => {
    gateway.close()
    leader.close()
  })

  /** Makes calls in a turn of the event loop that has lasted for 100 ms, as in a process that serves many callers. */
  async function submitLateInTurn (count: number): Promise<void> {
    for (const startedAt = performance.now(); performance.now() - startedAt < 100;);
    await Promise.all(Array.from({ length: count }, async () => {
      await assert.rejects(gateway.ask({ kind: 'acceptJob', host: 'host', path: '/queue/id', spec: { payload: '', stages: [] } }, 400), { kind: ErrorKind.deadlineExceeded })
    }))
  }

  it('sends each call once, since a repeat could not succeed in what is left of its time', async () => {
    await submitLateInTurn(20)
    await pause(50)
    assert.equal(leader.submissions.length, 20)
  })
})

describe('a controller that moved to another address under its id', () => {
  const servers: LinkServer[] = []
  let gateway: JobGateway

  afterEach(() => {
    gateway.close()
    for (const server of servers.splice(0)) server.close()
  })

  async function listen (id: string, answer: (frame: CallFrame) => unknown): Promise<ControllerAddress> {
    const server = LinkServer.create(createHello(id), { opened: () => {}, called: async (_link, frame) => answer(frame), replication: () => {}, notice: () => {}, closed: () => {} })
    servers.push(server)
    return { id, address: `127.0.0.1:${await server.listen({ host: '127.0.0.1', port: 0 })}` }
  }

  // An entry ignored the new address of an id that it had learnt, and found no leader while that controller led.
  it('is found there when it leads', async () => {
    const moved = await listen('moved', ({ method }) => method === InternalMethod.heartbeat ? { term: 1, configurationVersion: 0, controllers: [] } : { kind: 'jobAccepted' })
    const statedAddresses = [{ id: 'moved', address: '127.0.0.1:1' }]
    const other = await listen('other', ({ method }) => method === InternalMethod.members ? { controllers: [statedAddresses.pop() ?? moved] } : notLead())
    gateway = JobGateway.create({ hello: createHello('entry'), controllers: [other] })
    const answer = await gateway.ask({ kind: 'acceptJob', host: 'host', path: '/queue/1', spec: { payload: '', stages: [] } }, CALL_TIMEOUT_MS)
    assert.equal(answer.kind, 'jobAccepted')
  })

  // Each stale answer closed the link to the new address before the first heartbeat over it was answered.
  it('is found there while a controller that has not learnt of the move still states the former address', async () => {
    const moved = await listen('moved', async ({ method }) => {
      if (method !== InternalMethod.heartbeat) return { kind: 'jobAccepted' }
      await pause(100)
      return { term: 1, configurationVersion: 0, controllers: [] }
    })
    const fresh = await listen('fresh', ({ method }) => method === InternalMethod.members ? { controllers: [moved] } : notLead())
    const stale = await listen('stale', async ({ method }) => {
      if (method !== InternalMethod.members) notLead()
      await pause(50)
      return { controllers: [{ id: 'moved', address: '127.0.0.1:1' }] }
    })
    gateway = JobGateway.create({ hello: createHello('entry'), controllers: [fresh, stale] })
    const answer = await gateway.ask({ kind: 'acceptJob', host: 'host', path: '/queue/1', spec: { payload: '', stages: [] } }, CALL_TIMEOUT_MS)
    assert.equal(answer.kind, 'jobAccepted')
  })

  // An entry that was cut off at the addresses of its settings went past them, as behind a proxy.
  it('is not searched for there when the settings name it at another address', async () => {
    let dialled = 0
    const moved = await listen('moved', () => { dialled += 1 })
    const other = await listen('other', ({ method }) => method === InternalMethod.members ? { controllers: [moved] } : notLead())
    gateway = JobGateway.create({ hello: createHello('entry'), controllers: [{ id: 'moved', address: '127.0.0.1:1' }, other] })
    await pause(2 * HEARTBEAT_INTERVAL_MS)
    assert.equal(dialled, 0)
  })

  function notLead (): never {
    throw Failure.create(ErrorKind.notLeader, 'this controller does not lead')
  }
})
