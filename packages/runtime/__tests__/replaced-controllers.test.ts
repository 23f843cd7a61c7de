/**
 * Links to a controller that came back under a new id at its old address, as after the loss of its disk. A link that the
 * leader had dialled for the former member must not hide the new one: its answers were dropped as those of a removed
 * member, so that it was never taken in and the next lost disk ended the group (review/6).
 */

import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { LinkServer, type HelloFrame, type Link, type MemberFacts } from '@flamingorouter/controllers'
import { ControllerLinks } from '../src/index.js'

/** Longest wait of a test for a condition, in milliseconds. */
const WAIT_LIMIT_MS = 5_000

/** Time after which a dialler that is refused tries again at its longest interval, in milliseconds. */
const LONGEST_REDIAL_REACHED_MS = 500

/** Time after which the dialler of a closed link tries again, in milliseconds; until then only the other link is open. */
const REDIAL_PAUSE_MS = 50

/** Time within which a dialler that is refused has tried once more, in milliseconds. */
const REDIAL_MS = 400

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  for (let waitedMs = 0; waitedMs < WAIT_LIMIT_MS && !isDone(); waitedMs += 5) await pause(5)
  assert.ok(isDone(), `not within ${WAIT_LIMIT_MS} ms`)
}

/** A controller that answers each question, and records what it receives as sender and message. */
class Peer {
  readonly received: Array<[string, unknown]> = []
  /** Links that others opened to this controller, in the order of their hellos. */
  readonly inbound: Link[] = []
  members: readonly MemberFacts[] = []
  port = 0
  readonly links: ControllerLinks
  private readonly server: LinkServer

  private constructor (id: string) {
    const hello: HelloFrame = { kind: 'hello', group: 'group', process: id, role: 'controller', availabilityZone: 'zone' }
    this.links = ControllerLinks.create(hello, () => this.members)
    this.links.handleMessage = (from, message) => {
      this.received.push([from, message])
      if (message === 'question') this.links.send(from, 'answer')
    }
    this.server = LinkServer.create(hello, {
      opened: link => {
        this.inbound.push(link)
        this.links.add(link)
      },
      called: async () => undefined,
      replication: (link, message) => { this.links.receive(link, message) },
      notice: () => {},
      closed: link => { this.links.remove(link) }
    })
  }

  static create (id: string): Peer {
    return new Peer(id)
  }

  /** Listens on a port of the loopback address; 0 picks a free one. */
  async listen (port = 0): Promise<void> {
    this.port = await this.server.listen({ host: '127.0.0.1', port })
  }

  get openInbound (): Link[] {
    return this.inbound.filter(link => link.isOpen)
  }

  /** Senders of the answers received so far. */
  get answeredBy (): string[] {
    return [...new Set(this.received.filter(([, message]) => message === 'answer').map(([from]) => from))]
  }

  close (): void {
    this.links.close()
    this.server.close()
  }
}

function createMember (id: string, port: number, role: MemberFacts['role'] = 'learner'): MemberFacts {
  return { id, address: `127.0.0.1:${port}`, availabilityZone: 'zone', role }
}

describe('links to a controller that replaced a member at its address', () => {
  let leader: Peer
  let replacement: Peer

  beforeEach(() => {
    leader = Peer.create('leader')
    replacement = Peer.create('new')
  })

  afterEach(() => {
    leader.close()
    replacement.close()
  })

  /** Sends questions to the new member at short intervals until `isDone`. */
  async function askUntil (isDone: () => boolean): Promise<void> {
    const timer = setInterval(() => { leader.links.send('new', 'question') }, 10)
    await waitUntil(isDone).finally(() => { clearInterval(timer) })
  }

  /** Dials the address of the former member, at which the new controller answers. */
  async function reachAsFormerMember (): Promise<void> {
    await replacement.listen()
    leader.members = [createMember('old', replacement.port, 'voter')]
    leader.links.dialMembers()
    await waitUntil(() => replacement.openInbound.length === 1)
  }

  it('deliver its answers under its own id when the dialler of the former member connects last', async () => {
    await replacement.listen()
    const { port } = replacement
    replacement.close()
    leader.members = [createMember('old', port, 'voter')]
    leader.links.dialMembers()
    await pause(LONGEST_REDIAL_REACHED_MS)
    replacement = Peer.create('new')
    await replacement.listen(port)
    leader.members = [createMember('new', port)]
    await askUntil(() => leader.answeredBy.length > 0)
    await pause(REDIAL_MS)
    leader.received.length = 0
    await askUntil(() => leader.answeredBy.length > 0)
    assert.deepEqual(leader.answeredBy, ['new'])
    assert.equal(replacement.openInbound.length, 1, 'the dialler of the former member is closed')
  })

  it('deliver its answers under its own id when it was reached before the former member was removed', async () => {
    await reachAsFormerMember()
    leader.members = [createMember('new', replacement.port)]
    await askUntil(() => leader.answeredBy.length > 0)
    assert.deepEqual(leader.answeredBy, ['new'])
  })

  it('never deliver its messages as those of the member whose address was dialled', async () => {
    await reachAsFormerMember()
    replacement.links.send('leader', 'vote')
    await waitUntil(() => leader.received.length > 0)
    assert.deepEqual(leader.received, [['new', 'vote']])
  })

  it('carry no message for the member whose address was dialled', async () => {
    await reachAsFormerMember()
    leader.links.send('old', 'entries')
    replacement.links.send('leader', 'vote')
    await waitUntil(() => leader.received.length > 0)
    assert.deepEqual(replacement.received, [])
  })
})

describe('links to a member that moved to another address under its id', () => {
  // Entries went to the former process over its newer link and were dropped there, so that the member fell silent.
  it('carry messages to the process at the new address, while the one at the old address still opens links', async () => {
    const [leader, former, moved] = [Peer.create('leader'), Peer.create('moved'), Peer.create('moved')]
    try {
      for (const peer of [leader, moved]) await peer.listen()
      leader.members = [createMember('moved', moved.port)]
      leader.links.dialMembers()
      await waitUntil(() => moved.openInbound.length === 1)
      former.members = [createMember('leader', leader.port, 'voter')]
      former.links.dialMembers()
      await waitUntil(() => leader.openInbound.length === 1)
      leader.links.send('moved', 'entries')
      await waitUntil(() => moved.received.length + former.received.length > 0)
      assert.deepEqual(moved.received, [['leader', 'entries']])
    } finally {
      for (const peer of [leader, former, moved]) peer.close()
    }
  })
})

describe('several links between two controllers', () => {
  for (const closing of ['first', 'last'] as const) {
    it(`carry messages both ways after the ${closing} of them has closed`, async () => {
      const [one, two] = [Peer.create('one'), Peer.create('two')]
      try {
        await one.listen()
        await two.listen()
        one.members = [createMember('two', two.port, 'voter')]
        two.members = [createMember('one', one.port, 'voter')]
        one.links.dialMembers()
        await waitUntil(() => two.openInbound.length === 1)
        two.links.dialMembers()
        await waitUntil(() => one.openInbound.length === 1)
        const [link] = closing === 'first' ? two.inbound : one.inbound
        link.close('closed by the test')
        await waitUntil(() => !link.isOpen)
        await pause(REDIAL_PAUSE_MS / 2)
        one.links.send('two', 'question')
        await waitUntil(() => one.answeredBy.length > 0)
        assert.deepEqual(one.received, [['two', 'answer']])
      } finally {
        one.close()
        two.close()
      }
    })
  }

  // The older link was forgotten when a newer one closed, so that a learner had no way to answer.
  it('carry messages to a controller without a membership after the newest link has closed', async () => {
    const [one, two] = [Peer.create('one'), Peer.create('two')]
    const other = Peer.create('one')
    try {
      await two.listen()
      for (const peer of [one, other]) {
        peer.members = [createMember('two', two.port)]
        peer.links.dialMembers()
        await waitUntil(() => two.openInbound.length >= (peer === one ? 1 : 2))
      }
      other.close()
      await waitUntil(() => two.openInbound.length === 1)
      two.links.send('one', 'answer')
      await waitUntil(() => one.received.length > 0)
      assert.deepEqual(one.received, [['two', 'answer']])
    } finally {
      for (const peer of [one, two, other]) peer.close()
    }
  })
})
